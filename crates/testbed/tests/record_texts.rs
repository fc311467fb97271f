//! Recordings on disk keep their form: what an earlier release wrote is read, and written again the same.
use crankpaddle_testbed::record::Seen;

const LINES: [&str; 5] = [
    r#"{"what":"asked","call":7,"front":1,"bill":"b1","class":2,"gives_up":1500}"#,
    r#"{"what":"told","call":7,"told":"plays"}"#,
    r#"{"what":"told","call":8,"told":"refused"}"#,
    r#"{"what":"broke","call":9}"#,
    r#"{"what":"stalled","front":3,"stands":true}"#,
];

#[test]
fn each_event_is_read_and_written_in_its_recorded_form() {
    for line in LINES {
        let seen: Seen = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_string(&seen).unwrap(), line);
    }
}
