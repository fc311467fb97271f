//! Encoding what viewers are sent.
use crate::Tag;
use serde_json::{json, Value};

fn line(value: &Value) -> Vec<u8> {
    let mut bytes = value.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

/// The session is established.
#[must_use]
pub fn started(tag: Tag, blob: &str) -> Vec<u8> {
    line(&json!({"verb": "STARTED", "tag": tag.as_str(), "opts": {}, "blob": blob}))
}

/// A rejection, a failure or the end of a session; `retry_after_ms`: the milliseconds after which a retry makes sense.
#[must_use]
pub fn finish(tag: Tag, cause: u16, retry_after_ms: Option<u64>) -> Vec<u8> {
    let opts = retry_after_ms.map_or(json!({}), |wait| json!({"wait": wait.to_string()}));
    line(&json!({"verb": "FINISH", "tag": tag.as_str(), "opts": opts, "rc": cause}))
}

/// Acknowledges a release.
#[must_use]
pub fn finished(tag: Tag) -> Vec<u8> {
    line(&json!({"verb": "FINISHED", "tag": tag.as_str(), "opts": {}}))
}

/// Answers [`super::Message::Echo`].
#[must_use]
pub fn echoed(tag: Tag) -> Vec<u8> {
    line(&json!({"verb": "ECHOED", "tag": tag.as_str(), "opts": {}, "rc": 1}))
}

/// The session is migrated: it ends, and its viewer should open it again.
#[must_use]
pub fn moved(tag: Tag) -> Vec<u8> {
    line(&json!({"verb": "MOVE", "tag": tag.as_str(), "opts": {}}))
}
