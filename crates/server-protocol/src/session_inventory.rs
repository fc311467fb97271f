//! A server's inventory of one front's sessions: which it holds, and which paid ones it has run.
use crate::ProtocolError;
use crankpaddle_http::head;
use crankpaddle_recovery::{reconciliation, Key};
use serde::{Deserialize, Serialize};

/// A session that the server holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InventorySession {
    /// The session's name.
    pub session: String,
    /// Its billing key.
    pub bill: String,
    /// Tenant by name; empty where there are none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// Class by name.
    pub class: String,
    /// Title by name.
    pub title: String,
    /// The rung in force.
    pub rung: u8,
}

impl From<InventorySession> for reconciliation::InventorySession {
    fn from(session: InventorySession) -> reconciliation::InventorySession {
        reconciliation::InventorySession {
            name: session.session,
            key: Key {
                tenant: session.tenant,
                bill: session.bill,
            },
            class: session.class,
            title: session.title,
            rung: session.rung,
        }
    }
}

/// A paid session that has run, whether the server still holds it or not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletedSession {
    /// Its billing key.
    pub bill: String,
    /// Tenant by name; empty where there are none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
}

impl From<CompletedSession> for Key {
    fn from(session: CompletedSession) -> Key {
        Key {
            tenant: session.tenant,
            bill: session.bill,
        }
    }
}

/// The inventory.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionInventory {
    /// Incarnations of the server that the inventory covers without a gap, the current one last.
    pub boots: Vec<String>,
    /// Age of the current incarnation in milliseconds: an age, so that no two clocks are compared.
    pub age_ms: u64,
    /// The front's sessions that it holds. (`held` in docs/server-protocol.md.)
    #[serde(default, rename = "held")]
    pub sessions: Vec<InventorySession>,
    /// Names of the front's set-ups in progress. (`under_way` in docs/server-protocol.md.)
    #[serde(default, rename = "under_way")]
    pub in_progress: Vec<String>,
    /// The front's paid sessions that have run. (`ran` in docs/server-protocol.md.)
    #[serde(default, rename = "ran")]
    pub completed: Vec<CompletedSession>,
}

impl SessionInventory {
    /// The inventory in the terms of recovery.
    #[must_use]
    pub fn into_recovery(self) -> reconciliation::SessionInventory {
        reconciliation::SessionInventory {
            incarnations: self.boots,
            sessions: self.sessions.into_iter().map(Into::into).collect(),
            in_progress: self.in_progress,
            completed: self.completed.into_iter().map(Key::from).collect(),
        }
    }
}

/// A request for a server's inventory of a front.
#[must_use]
pub fn request(host: &str, front: &str) -> Vec<u8> {
    let target = format!("/sessions?front={front}");
    head::request("GET", &target, host, &[("accept", "application/json")], b"")
}

/// Reads the body of the response.
///
/// # Errors
/// [`ProtocolError::SessionInventory`]: it is malformed.
pub fn read(body: &[u8]) -> Result<SessionInventory, ProtocolError> {
    serde_json::from_slice(body).map_err(ProtocolError::SessionInventory)
}

#[cfg(test)]
mod tests;
