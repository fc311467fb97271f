//! Encodes messages to viewers.
use crate::Tag;
use serde_json::{json, Value};

fn json_line(value: &Value) -> Vec<u8> {
    let mut bytes = value.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

/// Reports that a session is established. `blob` is the session description of the server.
#[must_use]
pub fn started(tag: Tag, blob: &str) -> Vec<u8> {
    json_line(&json!({"verb": "STARTED", "tag": tag.as_str(), "opts": {}, "blob": blob}))
}

/// Reports the rejection or failure of a set-up, or the end of a session. `retry_after_ms` states after how many milliseconds a
/// retry may succeed; `None` states nothing.
#[must_use]
pub fn finish(tag: Tag, cause: u16, retry_after_ms: Option<u64>) -> Vec<u8> {
    let opts = retry_after_ms.map_or(json!({}), |wait| json!({"wait": wait.to_string()}));
    json_line(&json!({"verb": "FINISH", "tag": tag.as_str(), "opts": opts, "rc": cause}))
}

/// Acknowledges that a viewer ended its session or cancelled its set-up.
#[must_use]
pub fn finished(tag: Tag) -> Vec<u8> {
    json_line(&json!({"verb": "FINISHED", "tag": tag.as_str(), "opts": {}}))
}

/// Answers [`super::Message::Echo`].
#[must_use]
pub fn echoed(tag: Tag) -> Vec<u8> {
    json_line(&json!({"verb": "ECHOED", "tag": tag.as_str(), "opts": {}, "rc": 1}))
}

/// Reports that a session is migrated: it ends, and its viewer should open it again.
#[must_use]
pub fn moved(tag: Tag) -> Vec<u8> {
    json_line(&json!({"verb": "MOVE", "tag": tag.as_str(), "opts": {}}))
}
