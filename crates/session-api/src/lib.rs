//! The session API without I/O: JSON-RPC 2.0 as its specification has it, and the methods and notifications that it
//! leaves open.
//!
//! - [`jsonrpc`]: texts to calls and back, batches and notifications, the standard errors;
//! - [`methods`]: `session.open`, `session.resume`, `session.close`, and what they take;
//! - [`calls`]: calls that wait, batches, and the order in which answers and notices go out;
//! - [`messages`]: what results, error data and notifications hold, from which the descriptions are made;
//! - [`answers`]: results, errors and notifications that a front sends;
//! - [`client`]: the player's side of the same messages.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod answers;
pub mod calls;
pub mod client;
pub mod jsonrpc;
pub mod messages;
pub mod methods;

/// A version of the session API; a front serves the present and the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// The previous one; what a client speaks that names none.
    V1,
    /// The present one: names the hall that serves a session, and says when a budget holds a request at home.
    V2,
}

impl Version {
    /// All that are served, the present one first.
    pub const SERVED: [Version; 2] = [Version::V2, Version::V1];

    /// The WebSocket subprotocol that carries it.
    pub fn subprotocol(self) -> &'static str {
        match self {
            Version::V1 => "session.v1.jsonrpc",
            Version::V2 => "session.v2.jsonrpc",
        }
    }

    /// The first version that a client offers and that is served: the client's order is its wish (RFC 6455, 1.9).
    pub fn of_offers<'a>(mut offers: impl Iterator<Item = &'a str>) -> Option<Version> {
        offers.find_map(|offer| {
            Version::SERVED
                .into_iter()
                .find(|v| v.subprotocol() == offer.trim())
        })
    }
}
