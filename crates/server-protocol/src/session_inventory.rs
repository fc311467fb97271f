//! A server's inventory of one front's sessions: those that it holds, and the paid ones that it has run.
use crate::ProtocolError;
use crankpaddle_http::head;
use crankpaddle_recovery::{reconciliation, Key};
use serde::{Deserialize, Serialize};

/// A session that the server holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InventorySession {
    /// The name that the front gave the session in its set-up request.
    pub session: String,
    /// The billing key of the session.
    pub bill: String,
    /// The name of the tenant; empty if the fleet has no tenants.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// The name of the class.
    pub class: String,
    /// The name of the title.
    pub title: String,
    /// The rung at which the session plays now.
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

/// A paid session that the server has run, whether it still holds the session or not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletedSession {
    /// The billing key of the session.
    pub bill: String,
    /// The name of the tenant; empty if the fleet has no tenants.
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

/// A server's inventory of one front's sessions. `docs/server-protocol.md` describes its fields under their names on the wire.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionInventory {
    /// The incarnations of the server that the inventory covers without a gap; the current one is the last.
    pub boots: Vec<String>,
    /// The age of the current incarnation in milliseconds. It is an age instead of a start time so that no clocks of two
    /// machines are compared.
    pub age_ms: u64,
    /// The front's sessions that the server holds (`held` on the wire).
    #[serde(default, rename = "held")]
    pub sessions: Vec<InventorySession>,
    /// The session names of the front's set-ups in progress (`under_way` on the wire).
    #[serde(default, rename = "under_way")]
    pub in_progress: Vec<String>,
    /// The front's paid sessions that the server has run (`ran` on the wire).
    #[serde(default, rename = "ran")]
    pub completed: Vec<CompletedSession>,
}

impl SessionInventory {
    /// Converts the inventory to the type that recovery uses.
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

/// The request for a server's inventory of one front's sessions.
#[must_use]
pub fn request(host: &str, front: &str) -> Vec<u8> {
    let target = format!("/sessions?front={front}");
    head::request("GET", &target, host, &[("accept", "application/json")], b"")
}

/// Parses the body of the response.
///
/// # Errors
/// [`ProtocolError::SessionInventory`]: the body is malformed.
pub fn read(body: &[u8]) -> Result<SessionInventory, ProtocolError> {
    serde_json::from_slice(body).map_err(ProtocolError::SessionInventory)
}

#[cfg(test)]
mod tests;
