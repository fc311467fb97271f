//! Servers: RTSP messages, each with its `Content-Length`.
mod decode;
mod encode;

use crate::Tag;

pub use decode::{DecodeError, Decoder};
pub use encode::{acknowledge, cancel, health_check, release, set_rung, set_up, SetUp};

/// Sequence numbers that the protocol fixes.
pub mod cseq {
    /// Of `SETUP` and its answers.
    pub const SET_UP: u32 = 1;
    /// Of `TEARDOWN`.
    pub const TEAR_DOWN: u32 = 2;
    /// Of `OPTIONS`.
    pub const OPTIONS: u32 = 3;
    /// Of what wants no answer.
    pub const NOTE: u32 = 4;
}

/// Statuses of responses that the node tells apart.
pub mod status {
    /// Accepted.
    pub const OK: u16 = 200;
    /// The server has no capacity.
    pub const NOT_ENOUGH_BANDWIDTH: u16 = 453;
    /// The server never began the session.
    pub const SESSION_NOT_FOUND: u16 = 454;
    /// The set-up broke off within the server.
    pub const GATEWAY_TIMEOUT: u16 = 504;
}

/// What a message is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request: its method and address.
    Request(String, String),
    /// A response: its status.
    Response(u16),
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it is.
    pub kind: Kind,
    /// Its sequence number, if it has one that can be read.
    pub cseq: Option<u32>,
    /// The session, if it names one.
    pub session: Option<Tag>,
    /// Its other headers, as names and values.
    pub headers: Vec<(String, String)>,
    /// Its body, byte for byte. It may be anything: a response that no attempt waits for has one, too.
    pub body: Vec<u8>,
}

impl Message {
    /// The body as text, if it is text.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.body).ok()
    }

    /// A header, whatever the case of its name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether it releases a session.
    #[must_use]
    pub fn is_release(&self) -> bool {
        matches!(&self.kind, Kind::Request(method, _) if method == "TEARDOWN")
    }

    /// The cause of a release, if it has one.
    #[must_use]
    pub fn cause(&self) -> Option<u16> {
        self.header("Reason")?
            .trim()
            .strip_prefix("cause=")?
            .trim()
            .parse()
            .ok()
    }

    /// The figures of a load report (`x0:0.4;x1:0.8`) by name; what can't be read is left out.
    #[must_use]
    pub fn state(&self) -> Vec<(&str, f64)> {
        self.header("X-State")
            .unwrap_or_default()
            .split(';')
            .filter_map(|part| {
                let (name, value) = part.split_once(':')?;
                Some((name.trim(), finite(value)?))
            })
            .collect()
    }

    /// An update on a session: its name and figure.
    #[must_use]
    pub fn note(&self) -> Option<(&str, f64)> {
        let figure = finite(self.header("Figure")?)?;
        let name = self.header("X-Note")?;
        Some((name.trim(), figure))
    }
}

/// A finite number, with or without spaces around it.
fn finite(text: &str) -> Option<f64> {
    let number: f64 = text.trim().parse().ok()?;
    number.is_finite().then_some(number)
}
