//! A server's book on one front: which of its sessions it holds, and which paid ones it ran.
use crankpaddle_http::head;
use crankpaddle_recovery::{reconciliation, Key};
use serde::{Deserialize, Serialize};

/// A session that is held.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InventorySession {
    /// Its name.
    pub session: String,
    /// What it is billed under.
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

/// A paid session that ran, held or not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletedSession {
    /// What it was billed under.
    pub bill: String,
    /// Tenant by name; empty where there are none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
}

/// The book.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionInventory {
    /// Lives of the server that it reaches over without a gap, the present one last.
    pub boots: Vec<String>,
    /// How long the present life lasts, milliseconds. Told as an age, so that no two clocks are compared.
    pub age_ms: u64,
    /// Sessions of the front that it holds.
    #[serde(default)]
    pub held: Vec<InventorySession>,
    /// Names of the front's set-ups that it works on.
    #[serde(default)]
    pub under_way: Vec<String>,
    /// Paid sessions of the front that ran.
    #[serde(default)]
    pub ran: Vec<CompletedSession>,
}

impl SessionInventory {
    /// In the terms of recovery.
    pub fn into_recovery(self) -> reconciliation::SessionInventory {
        let held = |h: InventorySession| reconciliation::InventorySession {
            name: h.session,
            key: Key {
                tenant: h.tenant,
                bill: h.bill,
            },
            class: h.class,
            title: h.title,
            rung: h.rung,
        };
        let ran = |r: CompletedSession| Key {
            tenant: r.tenant,
            bill: r.bill,
        };
        reconciliation::SessionInventory {
            incarnations: self.boots,
            sessions: self.held.into_iter().map(held).collect(),
            in_progress: self.under_way,
            completed: self.ran.into_iter().map(ran).collect(),
        }
    }
}

/// A request for a server's book on a front.
pub fn request(host: &str, front: &str) -> Vec<u8> {
    head::request(
        "GET",
        &format!("/sessions?front={front}"),
        host,
        &[("accept", "application/json")],
        b"",
    )
}

/// Reads an answer's body.
///
/// # Errors
/// It is no book.
pub fn read(body: &[u8]) -> Result<SessionInventory, serde_json::Error> {
    serde_json::from_slice(body)
}

#[cfg(test)]
mod tests;
