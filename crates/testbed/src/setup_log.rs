//! What a stand-in server wrote down of paid sessions; it outlives its process, unless it is made to lose it.
use crankpaddle_server_protocol::session_inventory::{
    CompletedSession, InventorySession, SessionInventory,
};
use crankpaddle_server_protocol::sessions::SetUpBody;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
pub(crate) struct Ledger {
    boots: Vec<String>,
    ran: BTreeMap<String, Vec<CompletedSession>>, // By front.
    names: BTreeSet<String>, // Of all that ran, to judge by; no server needs them.
}

impl Ledger {
    pub(crate) fn new(boot: u64) -> Ledger {
        Ledger {
            boots: vec![boot.to_string()],
            ran: BTreeMap::new(),
            names: BTreeSet::new(),
        }
    }

    pub(crate) fn started(&mut self, boot: u64) {
        self.boots.push(boot.to_string());
    }

    /// All is lost but the present life.
    pub(crate) fn lose(&mut self) {
        self.ran.clear();
        self.boots.drain(..self.boots.len() - 1);
    }

    pub(crate) fn has(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    pub(crate) fn ran(&mut self, name: &str, order: &SetUpBody) {
        self.names.insert(name.to_owned());
        let ran = CompletedSession {
            bill: order.bill.clone(),
            tenant: order.tenant.clone(),
        };
        self.ran.entry(order.front.clone()).or_default().push(ran);
    }

    pub(crate) fn inventory(
        &self,
        front: &str,
        age_ms: u64,
        active: Vec<InventorySession>,
        under_way: Vec<String>,
    ) -> SessionInventory {
        SessionInventory {
            boots: self.boots.clone(),
            age_ms,
            sessions: active,
            in_progress: under_way,
            completed: self.ran.get(front).cloned().unwrap_or_default(),
        }
    }
}
