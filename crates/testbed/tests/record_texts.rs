//! Guards the format of recordings on disk: a line that an earlier release wrote must be read, and written again unchanged.
use crankpaddle_testbed::record::{Record, Seen};
use serde::{de::DeserializeOwned, Serialize};

const EVENTS: [&str; 5] = [
    r#"{"what":"asked","call":7,"front":1,"bill":"b1","class":2,"gives_up":1500}"#,
    r#"{"what":"told","call":7,"told":"plays"}"#,
    r#"{"what":"told","call":8,"told":"refused"}"#,
    r#"{"what":"broke","call":9}"#,
    r#"{"what":"stalled","front":3,"stands":true}"#,
];

const RECORDS: [&str; 21] = [
    r#"{"at":1764633600000000001,"what":"asked","call":7,"front":1,"bill":"b1","class":2,"gives_up":18446744073709551615}"#,
    r#"{"at":0,"what":"told","call":7,"told":"plays"}"#,
    r#"{"at":5,"what":"told","call":7,"told":"failed"}"#,
    r#"{"at":5,"what":"told","call":7,"told":"superseded"}"#,
    r#"{"at":5,"what":"told","call":7,"told":"error"}"#,
    r#"{"at":5,"what":"broke","call":9}"#,
    r#"{"at":5,"what":"set_up","name":"n","server":4,"front":"f","bill":"b1","class":"c","title":"t","rung":2,"zone":"north"}"#,
    r#"{"at":5,"what":"billed","name":"n","bill":"b1"}"#,
    r#"{"at":5,"what":"disowned","name":"n"}"#,
    r#"{"at":5,"what":"replied","name":"n","reply":"plays"}"#,
    r#"{"at":5,"what":"replied","name":"n","reply":"full"}"#,
    r#"{"at":5,"what":"replied","name":"n","reply":"error"}"#,
    r#"{"at":5,"what":"replied","name":"n","reply":"reset"}"#,
    r#"{"at":5,"what":"replied","name":"n","reply":"left"}"#,
    r#"{"at":5,"what":"rung","name":"n","rung":3}"#,
    r#"{"at":5,"what":"ended","name":"n","bytes":840000}"#,
    r#"{"at":5,"what":"fetched","name":"n","bytes":840000}"#,
    r#"{"at":5,"what":"started","server":4,"places":26.0}"#,
    r#"{"at":5,"what":"fell","server":4}"#,
    r#"{"at":5,"what":"listed","front":"f","server":4,"ready":false}"#,
    r#"{"at":5,"what":"died","front":3}"#,
];

fn assert_round_trip<T: DeserializeOwned + Serialize>(line: &str) {
    let read: T = serde_json::from_str(line).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), line);
}

#[test]
fn each_event_is_read_and_written_in_its_recorded_form() {
    EVENTS.into_iter().for_each(assert_round_trip::<Seen>);
}

#[test]
fn each_record_is_read_and_written_in_its_recorded_form() {
    RECORDS.into_iter().for_each(assert_round_trip::<Record>);
}
