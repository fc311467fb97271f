//! The session API between players and a front, without I/O: the message format of JSON-RPC 2.0, and the methods and
//! notifications that the API defines on top of it.
//!
//! - [`jsonrpc`] parses and writes JSON-RPC messages, batches and notifications, and defines the standard errors.
//! - [`methods`] defines `session.open`, `session.resume` and `session.close` with their parameters.
//! - [`calls`] tracks pending calls and batches, and the order in which answers and notifications are sent.
//! - [`messages`] defines the results, error data and notification parameters. The published API descriptions are
//!   generated from these types.
//! - [`answers`] builds the results, errors and notifications that a front sends.
//! - [`client`] is the player's side of the same messages.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod answers;
pub mod calls;
pub mod client;
pub mod jsonrpc;
pub mod messages;
pub mod methods;

/// A version of the session API; a front serves the current and the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionApiVersion {
    /// The previous version, which is the default for a client that offers none.
    V1,
    /// The current version. It adds the zone that serves a session, and the rejection by a cross-zone budget.
    V2,
}

impl SessionApiVersion {
    /// All served versions, the current one first.
    pub const SERVED: [SessionApiVersion; 2] = [SessionApiVersion::V2, SessionApiVersion::V1];

    /// The name of the WebSocket subprotocol for this version.
    #[must_use]
    pub fn subprotocol(self) -> &'static str {
        match self {
            SessionApiVersion::V1 => "session.v1.jsonrpc",
            SessionApiVersion::V2 => "session.v2.jsonrpc",
        }
    }

    /// The first served version among the subprotocols that a client offers, which are in the client's order of
    /// preference (RFC 6455, section 1.9). `None` if none of them is served.
    pub fn negotiate<'a>(mut offers: impl Iterator<Item = &'a str>) -> Option<SessionApiVersion> {
        offers.find_map(|offer| {
            SessionApiVersion::SERVED
                .into_iter()
                .find(|version| version.subprotocol() == offer.trim())
        })
    }
}
