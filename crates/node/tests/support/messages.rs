//! Messages of the platform's protocols.
use crankpaddle_node_protocol::rtsp::Message;
use crankpaddle_node_protocol::Tag;
use serde_json::{json, Value};

pub(crate) fn response(status: u16, cseq: u32, tag: Tag, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {tag}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

pub(crate) fn ok_response(tag: Tag, body: &str) -> Vec<u8> {
    response(200, 1, tag, "", body)
}

pub(crate) fn session_update(tag: Tag, name: &str, figure: f64) -> Vec<u8> {
    format!(
        "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: {tag}\r\nX-Note: {name}\r\nFigure: {figure}\r\n\
         Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

pub(crate) fn session_id_of(message: &Message) -> Tag {
    message.session.expect("a session")
}

pub(crate) fn tag(n: u64) -> Tag {
    Tag::parse(&format!("{n:016x}")).expect("16 hex digits")
}

/// A viewer's set-up request. `left` is the longest wait in milliseconds as text, and `more_extras` is appended to the extras.
pub(crate) fn start_message(tag: Tag, class: &str, left: &str, more_extras: &str) -> Value {
    json!({"verb": "START", "tag": tag.as_str(), "blob": format!("offer {tag}\r\n"), "opts": {"class": class,
        "left": left, "key": "7f3a9c21e0b4d655",
        "extras": format!("home:0;copies:1;top:1;viewer:00000000b4d65521{more_extras}")}})
}
