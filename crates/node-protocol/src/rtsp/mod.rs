//! The protocol with servers: RTSP messages, each of which has a `Content-Length`.
mod decode;
mod encode;

use crate::Tag;

pub use decode::{DecodeError, Decoder};
pub use encode::{acknowledge, cancel, health_check, release, set_rung, set_up, ServerSetUp};

/// Sequence numbers (`CSeq`), of which the protocol has one for each kind of request.
pub mod cseq {
    /// The sequence number of `SETUP` and its responses.
    pub const SET_UP: u32 = 1;
    /// The sequence number of `TEARDOWN`.
    pub const TEAR_DOWN: u32 = 2;
    /// The sequence number of `OPTIONS`.
    pub const OPTIONS: u32 = 3;
    /// The sequence number of requests that need no response.
    pub const ONE_WAY: u32 = 4;
}

/// Response statuses that a front node distinguishes.
pub mod status {
    /// The request succeeded.
    pub const OK: u16 = 200;
    /// The server has no capacity.
    pub const NOT_ENOUGH_BANDWIDTH: u16 = 453;
    /// The server never started the session.
    pub const SESSION_NOT_FOUND: u16 = 454;
    /// The set-up failed within the server.
    pub const GATEWAY_TIMEOUT: u16 = 504;
}

/// Whether a message is a request or a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request with its method and its address, an `rtsp://` URI.
    Request(String, String),
    /// A response with its status.
    Response(u16),
}

/// A decoded message of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Whether it is a request or a response.
    pub kind: Kind,
    /// The sequence number; `None` if it is missing or malformed.
    pub cseq: Option<u32>,
    /// The id of the session; `None` if it is missing or malformed.
    pub session: Option<Tag>,
    /// The names and values of all other headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// The body, byte for byte. It need not be text. A response that no attempt waits for may have a body as well.
    pub body: Vec<u8>,
}

impl Message {
    /// The body as text; `None` if it is not UTF-8.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.body).ok()
    }

    /// The value of the first header with this name, compared without case. `CSeq`, `Session` and `Content-Length` are not
    /// among these headers.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether the message is a request that ends a session.
    #[must_use]
    pub fn is_release(&self) -> bool {
        matches!(&self.kind, Kind::Request(method, _) if method == "TEARDOWN")
    }

    /// Whether the message is a response that accepts a set-up. Its body is the server's description of the session.
    #[must_use]
    pub fn is_set_up_acceptance(&self) -> bool {
        self.kind == Kind::Response(status::OK) && self.cseq == Some(cseq::SET_UP)
    }

    /// Whether the body ends with a line break, as a description does that was received to its end.
    #[must_use]
    pub fn ends_with_line_break(&self) -> bool {
        self.body.ends_with(b"\n")
    }

    /// The cause of a release, from its `Reason` header; `None` if it is missing or malformed.
    #[must_use]
    pub fn cause(&self) -> Option<u16> {
        self.header("Reason")?
            .trim()
            .strip_prefix("cause=")?
            .trim()
            .parse()
            .ok()
    }

    /// The load report of the message, in a header such as `X-State: x0:0.4;x1:0.8`. Malformed fields are left out.
    #[must_use]
    pub fn load_report(&self) -> Vec<ReportField<'_>> {
        let report = self.header("X-State").unwrap_or_default();
        report.split(';').filter_map(ReportField::parse).collect()
    }

    /// The session update in the headers `X-Note` (the name) and `Figure` (the value); `None` if one is missing or malformed.
    #[must_use]
    pub fn session_update(&self) -> Option<ReportField<'_>> {
        let value = finite(self.header("Figure")?)?;
        let name = self.header("X-Note")?.trim();
        Some(ReportField { name, value })
    }
}

/// A field that a server reports in a load report or a session update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportField<'a> {
    /// The name that the protocol or the settings give the field.
    pub name: &'a str,
    /// The value, which is finite.
    pub value: f64,
}

impl<'a> ReportField<'a> {
    /// Parses `name:value`; `None` if there is no colon or the value is not a finite number.
    fn parse(text: &'a str) -> Option<ReportField<'a>> {
        let (name, value) = text.split_once(':')?;
        Some(ReportField {
            name: name.trim(),
            value: finite(value)?,
        })
    }
}

/// Parses a finite number; surrounding spaces are ignored.
fn finite(text: &str) -> Option<f64> {
    let number: f64 = text.trim().parse().ok()?;
    number.is_finite().then_some(number)
}
