//! The exact bytes that a front sends to media servers and the list service, and the exact texts that it parses from them.
use crankpaddle_front::EndpointListKind;
use crankpaddle_http::head::Response;
use crankpaddle_server_protocol::{event_stream, list, session_inventory, sessions};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Parses a JSON text as a type and serializes the value again.
fn round_trip<T: Serialize + DeserializeOwned>(text: &str) -> String {
    let value: T = serde_json::from_str(text).unwrap();
    serde_json::to_string(&value).unwrap()
}

/// Checks that parsing and serializing leaves the texts unchanged.
fn assert_round_trips<T: Serialize + DeserializeOwned>(texts: &[&str]) {
    for text in texts {
        assert_eq!(round_trip::<T>(text), *text);
    }
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).unwrap()
}

const SET_UP: &str = r#"{"front":"f1","bill":"b1","title":"clip","class":"preview","tenant":"main","rung":2,"zone":"north"}"#;

#[test]
fn set_up_request_is_a_put_with_all_fields() {
    let set_up = serde_json::from_str(SET_UP).unwrap();
    let request = text(sessions::set_up("10.0.0.1:80", "s-1", &set_up));
    let (head, body) = request.split_once("\r\n\r\n").unwrap();
    assert_eq!(body, SET_UP);
    assert_eq!(head, format!("PUT /sessions/s-1 HTTP/1.1\r\nhost: 10.0.0.1:80\r\ncontent-type: application/json\r\ncontent-length: {}", body.len()));
}

#[test]
fn set_up_body_leaves_out_an_empty_tenant_and_zone() {
    assert_round_trips::<sessions::SetUpBody>(&[
        SET_UP,
        r#"{"front":"f1","bill":"b1","title":"clip","class":"preview","rung":0}"#,
    ]);
}

#[test]
fn rung_request_is_a_patch_with_the_rung() {
    assert_eq!(
        text(sessions::set_rung("h", "s-1", 3)),
        "PATCH /sessions/s-1 HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\ncontent-length: 10\r\n\r\n{\"rung\":3}"
    );
    assert_round_trips::<sessions::RungBody>(&[r#"{"rung":3}"#]);
}

#[test]
fn teardown_is_a_delete_and_its_response_counts_bytes() {
    assert_eq!(
        text(sessions::tear_down("h", "s-1")),
        "DELETE /sessions/s-1 HTTP/1.1\r\nhost: h\r\n\r\n"
    );
    assert_round_trips::<sessions::TearDownResult>(&[r#"{"sent_bytes":12345}"#]);
    let sent_bytes = |head: &str| {
        let (response, _) = Response::parse(head.as_bytes()).unwrap().unwrap();
        sessions::parse_tear_down_response(&response, br#"{"sent_bytes":7}"#)
            .map(|result| result.sent_bytes)
    };
    assert_eq!(sent_bytes("HTTP/1.1 200 OK\r\n\r\n"), Some(7));
    assert_eq!(sent_bytes("HTTP/1.1 404 Not Found\r\n\r\n"), None);
}

#[test]
fn names_and_digests_at_servers_have_these_texts() {
    assert_eq!(sessions::media_path("s-1"), "/sessions/s-1/media");
    assert_eq!(sessions::FULL, "urn:crankpaddle:problem:full");
    assert_eq!(
        sessions::billing_key("key-0001"),
        "1c1994d97561115e8778171182abce03"
    );
    assert_eq!(
        sessions::front_name(&[7; 16], "a"),
        "fb828ee5821fe12b0c55e8a3f7a4dd314"
    );
}

#[test]
fn inventory_is_requested_by_front_and_parsed_with_all_fields() {
    assert_eq!(
        text(session_inventory::request("h", "f1")),
        "GET /sessions?front=f1 HTTP/1.1\r\nhost: h\r\naccept: application/json\r\n\r\n"
    );
    assert_round_trips::<session_inventory::SessionInventory>(&[
        r#"{"boots":["3","4"],"age_ms":1500,"held":[{"session":"s-1","bill":"b1","tenant":"main","class":"preview","title":"clip","rung":1},{"session":"s-2","bill":"b2","class":"preview","title":"clip","rung":0}],"under_way":["s-3"],"ran":[{"bill":"b1","tenant":"main"},{"bill":"b2"}]}"#,
    ]);
    assert_eq!(
        round_trip::<session_inventory::SessionInventory>(r#"{"boots":["4"],"age_ms":1}"#),
        r#"{"boots":["4"],"age_ms":1,"held":[],"under_way":[],"ran":[]}"#
    );
}

#[test]
fn event_streams_are_subscribed_to_by_front() {
    let expected = |path: &str| {
        format!("GET {path}?front=f1 HTTP/1.1\r\nhost: h\r\naccept: text/event-stream\r\nconnection: close\r\n\r\n")
    };
    assert_eq!(
        text(event_stream::subscribe("h", "f1")),
        expected("/events")
    );
    assert_eq!(
        text(list::subscribe("h", "f1")),
        expected("/servers/events")
    );
}

#[test]
fn events_of_a_server_keep_their_fields() {
    assert_round_trips::<event_stream::StreamStart>(&[
        r#"{"boot":"4","sessions":["s-1","s-2"],"age_ms":1500}"#,
        r#"{"boot":"4","sessions":[]}"#,
    ]);
    assert_round_trips::<event_stream::SessionUpdateMessage>(&[
        r#"{"session":"s-1","delivered":0.5,"link":1.25,"uplink":0.75,"rung":2}"#,
        r#"{"session":"s-1"}"#,
    ]);
    assert_round_trips::<event_stream::SessionOver>(&[
        r#"{"session":"s-1","finished":true,"sent_bytes":99}"#,
        r#"{"session":"s-1","finished":false}"#,
    ]);
    assert_round_trips::<event_stream::TrafficCounts>(&[
        r#"{"sent":[["s-1",99],["s-2",0]],"crossing":[{"to":"south","class":"preview","rate":1500.5}]}"#,
    ]);
    assert_eq!(
        round_trip::<event_stream::TrafficCounts>("{}"),
        r#"{"sent":[],"crossing":[]}"#
    );
}

#[test]
fn events_of_a_server_are_parsed_by_type() {
    let data = |name: &str| match name {
        "hello" => r#"{"boot":"4","sessions":[]}"#,
        "over" => r#"{"session":"s-1","finished":true}"#,
        _ => r#"{"session":"s-1"}"#,
    };
    for (name, is_known) in [
        ("hello", true),
        ("note", true),
        ("over", true),
        ("traffic", true),
        ("else", false),
    ] {
        let event = crankpaddle_http::sse::Event {
            name: name.into(),
            data: data(name).into(),
            ..Default::default()
        };
        assert_eq!(
            event_stream::read(&event).unwrap().is_some(),
            is_known,
            "{name}"
        );
    }
    let over: serde_json::Value = serde_json::from_str(data("over")).unwrap();
    assert_eq!(
        text(event_stream::write("over", &over)),
        "event: over\ndata: {\"finished\":true,\"session\":\"s-1\"}\n\n"
    );
}

const LIST: &str = r#"{"serial":9,"servers":[{"id":4,"zone":"north","kind":"std","cell":1,"state":"ready","weight":1.5,"started_ms":5,"address":"127.0.0.1:1"},{"id":5,"zone":"north","kind":"std","cell":1,"state":"draining","weight":1.0,"started_ms":0,"address":"127.0.0.1:2"},{"id":6,"zone":"north","kind":"std","cell":1,"state":"gone","weight":1.0,"started_ms":0,"address":"127.0.0.1:3"}]}"#;

#[test]
fn endpoint_list_is_sent_and_cached_with_the_same_fields() {
    assert_round_trips::<list::EndpointListBody>(&[LIST]);
    let servers = serde_json::from_str(LIST).unwrap();
    for (kind, name) in [
        (EndpointListKind::Full, "full"),
        (EndpointListKind::Delta, "delta"),
    ] {
        let event = text(list::write(kind, &servers));
        assert_eq!(event, format!("event: {name}\nid: 9\ndata: {LIST}\n\n"));
    }
    assert_eq!(list::CachedEndpoints::from_text(LIST).unwrap().text(), LIST);
}
