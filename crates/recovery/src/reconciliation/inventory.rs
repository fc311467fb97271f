//! What a server states about the sessions of one front.
use crate::intents::Key;

/// A session of this front that a server holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InventorySession {
    /// The name of its attempt at the server.
    pub name: String,
    /// The tenant and the billing identifier.
    pub key: Key,
    /// The name of its class.
    pub class: String,
    /// The name of its title.
    pub title: String,
    /// The rung that is in force for the session.
    pub rung: u8,
}

/// The sessions of one front at one server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionInventory {
    /// The incarnations of the server that the inventory covers without a gap, the present one last.
    pub incarnations: Vec<String>,
    /// The sessions that the server holds.
    pub sessions: Vec<InventorySession>,
    /// The names of the attempts whose set-up is in progress.
    pub in_progress: Vec<String>,
    /// The paid keys that ran in those incarnations, whether their sessions are still held or not.
    pub completed: Vec<Key>,
}
