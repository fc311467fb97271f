//! The front in the model. The ledger and the reconciliation are the real code, and the rest is a model of the daemon.
use crankpaddle_recovery::{
    Intent, IntentLedger, IntentOutcome, Key, Reconciliation, ReconciliationRequest, Resolution,
    SessionInventory, StoreWrite,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// The number of the only server.
pub(crate) const SERVER: u32 = 7;
/// The only incarnation of the server.
pub(crate) const SERVER_INCARNATION: &str = "1";
const RETENTION: Duration = Duration::from_millis(1000);
const MAX_ENDED_KEYS: usize = 10;

/// A guard of the front against selling a session twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// A set-up is not sent before its intent is on disk.
    PersistBeforeSend,
    /// No request is served before reconciliation is complete.
    ReconcileBeforeServe,
    /// An attempt that is missing in an inventory is fenced, and the inventory is requested once more.
    Fence,
    /// A key that a server completed counts as run even if the ledger does not have it.
    CompletedKeysOfServers,
}

/// The configuration of the model: which guards the front has, and whether the disk may be lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Guards {
    /// The guard that the front does not have.
    pub(crate) removed: Option<Guard>,
    /// Whether the disk may be found empty after a power loss.
    pub(crate) disk_may_be_lost: bool,
}

impl Guards {
    pub(crate) fn has(self, guard: Guard) -> bool {
        self.removed != Some(guard)
    }
}

/// The present incarnation of the front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Front {
    pub(crate) ledger: IntentLedger,
    pub(crate) reconciliation: Reconciliation,
    /// The name of the attempt that waits until its intent is on disk.
    pub(crate) waiting_for_sync: Option<String>,
    /// The names of the attempts that this incarnation began.
    pub(crate) own_attempts: BTreeSet<String>,
    pub(crate) inventory_requested: bool,
    /// The server's inventory while it is in transit to the front.
    pub(crate) inventory_response: Option<SessionInventory>,
    /// The names of the attempts whose fence is in transit to the server.
    pub(crate) fence_requests: BTreeSet<String>,
    /// The names of the attempts whose confirmation of the fence is in transit to the front.
    pub(crate) fence_responses: BTreeSet<String>,
    pub(crate) is_serving: bool,
}

impl Front {
    pub(crate) fn start(recovered: &[(Key, Intent)], guards: Guards) -> Front {
        let mut ledger = IntentLedger::new(RETENTION, MAX_ENDED_KEYS, recovered);
        if !guards.has(Guard::ReconcileBeforeServe) {
            // Without this guard the front assumes that attempts in flight never ran.
            for (key, intent) in recovered {
                if intent.outcome == IntentOutcome::InFlight {
                    ledger.remove_never_ran(key);
                }
            }
        }
        Front {
            ledger,
            reconciliation: Reconciliation::new(recovered),
            waiting_for_sync: None,
            own_attempts: BTreeSet::new(),
            inventory_requested: false,
            inventory_response: None,
            fence_requests: BTreeSet::new(),
            fence_responses: BTreeSet::new(),
            is_serving: !guards.has(Guard::ReconcileBeforeServe),
        }
    }

    pub(crate) fn outcome(&self) -> Option<IntentOutcome> {
        self.ledger.get(&key()).map(|intent| intent.outcome)
    }

    pub(crate) fn can_begin_attempt(&self) -> bool {
        self.is_serving && self.outcome().is_none() && self.waiting_for_sync.is_none()
    }

    pub(crate) fn apply_requests(&mut self, requests: Vec<ReconciliationRequest>, guards: Guards) {
        for request in requests {
            match request {
                ReconciliationRequest::RequestInventory(_) => self.inventory_requested = true,
                ReconciliationRequest::Fence { attempt_name, .. } if guards.has(Guard::Fence) => {
                    self.fence_requests.insert(attempt_name);
                }
                // Without this guard the fence is confirmed although the server was not asked for it.
                ReconciliationRequest::Fence { attempt_name, .. } => {
                    self.fence_responses.insert(attempt_name);
                }
            }
        }
        self.is_serving |= self.reconciliation.is_complete();
    }

    /// Applies a resolution to the ledger. Returns the write that persists it.
    pub(crate) fn apply_resolution(
        &mut self,
        resolution: Resolution,
        guards: Guards,
    ) -> Option<StoreWrite> {
        match resolution {
            Resolution::Adopt { session, .. } => {
                let intent = intent(session.class, session.name, IntentOutcome::Established);
                Some(self.ledger.insert_recovered(session.key, intent))
            }
            Resolution::NeverRan(key) => self.ledger.remove_never_ran(&key),
            Resolution::Completed(key) | Resolution::Unprovable(key) => {
                self.count_as_run(key, guards)
            }
            Resolution::TearDown { .. } => None,
        }
    }

    fn count_as_run(&mut self, key: Key, guards: Guards) -> Option<StoreWrite> {
        if self.ledger.get(&key).is_some() {
            return self
                .ledger
                .set_outcome(&key, IntentOutcome::Failed, Duration::ZERO);
        }
        if !guards.has(Guard::CompletedKeysOfServers) {
            return None;
        }
        let intent = intent(String::new(), String::new(), IntentOutcome::Completed);
        Some(self.ledger.insert_recovered(key, intent))
    }
}

/// The only paid key.
pub(crate) fn key() -> Key {
    Key {
        tenant: "t".into(),
        bill: "b".into(),
    }
}

fn intent(class: String, attempt_name: String, outcome: IntentOutcome) -> Intent {
    Intent {
        class,
        server: SERVER,
        attempt_name,
        server_incarnation: SERVER_INCARNATION.into(),
        outcome,
        retained_until: 0,
    }
}
