//! The decisions of reconciliation, and its requests to servers.
use super::InventorySession;
use crate::intents::Key;

/// What an inventory proves about a paid key or a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The session is established at the server: it is adopted and waits for its viewer.
    Adopt {
        /// The server that holds it.
        server: u32,
        /// The session as the inventory lists it.
        session: InventorySession,
    },
    /// The session is established at the server, but a failure was already reported to its viewer: it is torn down.
    TearDown {
        /// The server that holds it.
        server: u32,
        /// The name of its attempt there.
        attempt_name: String,
    },
    /// The key's session ran and has ended.
    Completed(Key),
    /// The key's session may have run, and it can't be proven any more that it did not.
    Unprovable(Key),
    /// The key's session never ran and never will.
    NeverRan(Key),
}

/// A request to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconciliationRequest {
    /// Request the inventory of this server.
    RequestInventory(u32),
    /// Fence the attempt: end it by its name, so that it cannot run any more. Then request the inventory again.
    Fence {
        /// The server to which the attempt was sent.
        server: u32,
        /// The name of the attempt there.
        attempt_name: String,
    },
}

/// The result of an inventory, in the order in which it is to be applied: resolutions first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InventoryOutcome {
    /// What the inventory proves about keys and sessions.
    pub resolutions: Vec<Resolution>,
    /// What to request next; if empty, the server is reconciled.
    pub requests: Vec<ReconciliationRequest>,
}

/// The number of listed servers in each state of their reconciliation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers whose last inventory left nothing to be requested.
    pub reconciled: usize,
    /// Servers that are unreachable or did not answer.
    pub unreachable: usize,
    /// Servers whose inventory or confirmation of a fence is awaited.
    pub pending: usize,
}
