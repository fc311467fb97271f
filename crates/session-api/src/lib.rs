//! The session API without I/O: JSON-RPC 2.0 as specified, and the methods and notifications that the specification
//! leaves open.
//!
//! - [`jsonrpc`]: texts to calls and back, batches and notifications, the standard errors;
//! - [`methods`]: `session.open`, `session.resume`, `session.close`, and their parameters;
//! - [`calls`]: pending calls, batches, and the order in which answers and notifications go out;
//! - [`messages`]: results, error data and notification parameters, from which the descriptions are generated;
//! - [`answers`]: results, errors and notifications that a front sends;
//! - [`client`]: the player's side of the same messages.
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
pub enum Version {
    /// The previous one; the default for a client that offers none.
    V1,
    /// The current one: adds the zone that serves a session, and the rejection by a cross-zone budget.
    V2,
}

impl Version {
    /// All served versions, the current one first.
    pub const SERVED: [Version; 2] = [Version::V2, Version::V1];

    /// The WebSocket subprotocol that carries it.
    #[must_use]
    pub fn subprotocol(self) -> &'static str {
        match self {
            Version::V1 => "session.v1.jsonrpc",
            Version::V2 => "session.v2.jsonrpc",
        }
    }

    /// The first served version among a client's offers, which come in the client's order of preference (RFC 6455, 1.9).
    pub fn negotiate<'a>(mut offers: impl Iterator<Item = &'a str>) -> Option<Version> {
        offers.find_map(|offer| {
            Version::SERVED
                .into_iter()
                .find(|version| version.subprotocol() == offer.trim())
        })
    }
}
