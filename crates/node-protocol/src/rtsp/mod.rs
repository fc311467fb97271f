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
    /// Of requests that need no response.
    pub const ONE_WAY: u32 = 4;
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

    /// The load report in it, on the wire `X-State: x0:0.4;x1:0.8`; what can't be read is left out.
    #[must_use]
    pub fn load_report(&self) -> Vec<Figure<'_>> {
        let report = self.header("X-State").unwrap_or_default();
        report.split(';').filter_map(Figure::parse).collect()
    }

    /// The update on a session in it, on the wire `X-Note` and `Figure`.
    #[must_use]
    pub fn session_update(&self) -> Option<Figure<'_>> {
        let value = finite(self.header("Figure")?)?;
        let name = self.header("X-Note")?.trim();
        Some(Figure { name, value })
    }
}

/// A figure that a server reports, under the protocol's name for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its value; finite.
    pub value: f64,
}

impl<'a> Figure<'a> {
    /// Reads `name:value`.
    fn parse(text: &'a str) -> Option<Figure<'a>> {
        let (name, value) = text.split_once(':')?;
        Some(Figure {
            name: name.trim(),
            value: finite(value)?,
        })
    }
}

/// A finite number, with or without spaces around it.
fn finite(text: &str) -> Option<f64> {
    let number: f64 = text.trim().parse().ok()?;
    number.is_finite().then_some(number)
}
