//! What a server states about the sessions of one front.
use crate::intents::Key;

/// A session of this front that a server holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InventorySession {
    /// The name of its attempt at the server.
    pub name: String,
    /// The tenant and the billing identifier.
    pub key: Key,
    /// Class by name.
    pub class: String,
    /// Title by name.
    pub title: String,
    /// The rung in force.
    pub rung: u8,
}

/// The sessions of one front at one server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionInventory {
    /// Incarnations of the server that the inventory covers without a gap, the present one last.
    pub incarnations: Vec<String>,
    /// Sessions that the server holds.
    pub sessions: Vec<InventorySession>,
    /// Names of set-ups in progress.
    pub in_progress: Vec<String>,
    /// Paid keys that ran in those incarnations, whether still held or not.
    pub completed: Vec<Key>,
}
