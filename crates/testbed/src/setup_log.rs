//! A stand-in server's log of paid set-ups. It survives the process, unless a fault erases it.
use crankpaddle_server_protocol::session_inventory::{
    CompletedSession, InventorySession, SessionInventory,
};
use crankpaddle_server_protocol::sessions::SetUpBody;
use std::collections::{BTreeMap, BTreeSet};

/// The log of one server.
#[derive(Debug)]
pub(crate) struct SetUpLog {
    /// Incarnations that the log covers, the present one last.
    incarnations: Vec<String>,
    /// Sessions that ran, by the name of their front.
    ran: BTreeMap<String, Vec<CompletedSession>>,
    /// Names of all sessions that ran. Only for the invariant checker; a server would not need them.
    names: BTreeSet<String>,
}

impl SetUpLog {
    pub(crate) fn new(incarnation: u64) -> SetUpLog {
        SetUpLog {
            incarnations: vec![incarnation.to_string()],
            ran: BTreeMap::new(),
            names: BTreeSet::new(),
        }
    }

    /// Logs the start of an incarnation.
    pub(crate) fn started(&mut self, incarnation: u64) {
        self.incarnations.push(incarnation.to_string());
    }

    /// Erases everything but the present incarnation's number.
    pub(crate) fn lose(&mut self) {
        self.ran.clear();
        self.incarnations.drain(..self.incarnations.len() - 1);
    }

    /// Whether the session of this name was billed.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Logs a session that is billed.
    pub(crate) fn ran(&mut self, name: &str, order: &SetUpBody) {
        self.names.insert(name.to_owned());
        let ran = CompletedSession {
            bill: order.bill.clone(),
            tenant: order.tenant.clone(),
        };
        self.ran.entry(order.front.clone()).or_default().push(ran);
    }

    /// The inventory for one front.
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
            completed: self.ran.get(front).cloned().unwrap_or_default(),
        }
    }
}
