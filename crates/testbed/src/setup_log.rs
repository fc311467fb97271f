//! A simulated server's log of the set-ups that were billed. It survives restarts of the server, unless a fault erases it.
use crankpaddle_server_protocol::session_inventory::{
    CompletedSession, InventorySession, SessionInventory,
};
use crankpaddle_server_protocol::sessions::SetUpBody;
use std::collections::{BTreeMap, BTreeSet};

/// The log of one server.
#[derive(Debug)]
pub(crate) struct SetUpLog {
    /// Incarnations that the log covers, the current one last.
    incarnations: Vec<String>,
    /// Sessions that were billed, by the name of their front.
    billed: BTreeMap<String, Vec<CompletedSession>>,
    /// Names of all sessions that were billed. They serve the evidence of the invariant checker; a real server would not need
    /// them.
    billed_names: BTreeSet<String>,
}

impl SetUpLog {
    pub(crate) fn new(incarnation: u64) -> SetUpLog {
        SetUpLog {
            incarnations: vec![incarnation.to_string()],
            billed: BTreeMap::new(),
            billed_names: BTreeSet::new(),
        }
    }

    /// Logs the start of an incarnation.
    pub(crate) fn log_start(&mut self, incarnation: u64) {
        self.incarnations.push(incarnation.to_string());
    }

    /// Erases the billed sessions and all incarnations but the current one. The names for the invariant checker stay.
    pub(crate) fn erase(&mut self) {
        self.billed.clear();
        self.incarnations.drain(..self.incarnations.len() - 1);
    }

    /// Whether the session of this name was billed.
    pub(crate) fn was_billed(&self, name: &str) -> bool {
        self.billed_names.contains(name)
    }

    /// Logs that a session is billed.
    pub(crate) fn log_billed(&mut self, name: &str, request: &SetUpBody) {
        self.billed_names.insert(name.to_owned());
        let completed = CompletedSession {
            bill: request.bill.clone(),
            tenant: request.tenant.clone(),
        };
        self.billed
            .entry(request.front.clone())
            .or_default()
            .push(completed);
    }

    /// The inventory for one front, with its billed sessions from the log.
    pub(crate) fn inventory(
        &self,
        front: &str,
        age_ms: u64,
        active: Vec<InventorySession>,
        in_progress: Vec<String>,
    ) -> SessionInventory {
        SessionInventory {
            boots: self.incarnations.clone(),
            age_ms,
            sessions: active,
            in_progress,
            completed: self.billed.get(front).cloned().unwrap_or_default(),
        }
    }
}
