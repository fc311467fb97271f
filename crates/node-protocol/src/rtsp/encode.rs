//! Encodes messages to servers.
use super::cseq;
use crate::Tag;
use std::fmt::Write;

/// A set-up request to a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSetUp<'a> {
    /// The id of the session.
    pub tag: Tag,
    /// The title, as the viewer sent it.
    pub title: &'a str,
    /// The name of the class.
    pub class: &'a str,
    /// How long the front node waits for a response, in milliseconds (`X-Patience`).
    pub patience: u64,
    /// The rung at which the session starts (`Rate-Step`).
    pub rung: u8,
    /// The viewer's session description, sent byte for byte as the body.
    pub blob: &'a str,
}

/// The start line and the headers that all requests have. Writing to a String never fails.
fn request(method: &str, address: &str, cseq: u32, tag: Tag) -> String {
    let mut text = format!("{method} rtsp://media/{address} RTSP/1.0\r\nCSeq: {cseq}\r\n");
    let _ = write!(text, "Session: {tag}\r\n");
    text
}

/// Appends the body's length, the end of the headers and the body.
fn finish(mut text: String, body: &str) -> Vec<u8> {
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// Requests the set-up of a session.
#[must_use]
pub fn set_up(set_up: &ServerSetUp<'_>) -> Vec<u8> {
    let mut text = request("SETUP", set_up.title, cseq::SET_UP, set_up.tag);
    let _ = write!(
        text,
        "Subject: {}\r\nX-Patience: {}\r\nRate-Step: {}\r\n",
        set_up.class, set_up.patience, set_up.rung
    );
    finish(text, set_up.blob)
}

/// Cancels a set-up that has no response yet.
#[must_use]
pub fn cancel(tag: Tag) -> Vec<u8> {
    let text = request("TEARDOWN", tag.as_str(), cseq::TEAR_DOWN, tag);
    finish(text, "")
}

/// Ends a session that is, or may be, established. `cause` is sent in the `Reason` header.
#[must_use]
pub fn release(tag: Tag, cause: u16) -> Vec<u8> {
    let mut text = request("TEARDOWN", tag.as_str(), cseq::TEAR_DOWN, tag);
    let _ = write!(text, "Reason: cause={cause}\r\n");
    finish(text, "")
}

/// Changes a session's rung.
#[must_use]
pub fn set_rung(tag: Tag, rung: u8) -> Vec<u8> {
    let mut text = request("SET_PARAMETER", tag.as_str(), cseq::ONE_WAY, tag);
    let _ = write!(text, "Rate-Step: {rung}\r\n");
    finish(text, "")
}

/// Requests a load report.
#[must_use]
pub fn health_check(tag: Tag) -> Vec<u8> {
    finish(request("OPTIONS", "load", cseq::OPTIONS, tag), "")
}

/// Acknowledges a request of a server; `cseq` and `tag` are those of the request.
#[must_use]
pub fn acknowledge(cseq: u32, tag: Option<Tag>) -> Vec<u8> {
    let mut text = format!("RTSP/1.0 200 OK\r\nCSeq: {cseq}\r\n");
    if let Some(tag) = tag {
        let _ = write!(text, "Session: {tag}\r\n");
    }
    finish(text, "")
}
