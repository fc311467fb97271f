//! The start from a store: restores the state that previous incarnations wrote, and starts the staged recovery.
use super::durable_state::{DeferredInputs, DurableState, RecoveryPhase};
use super::EventLoop;
use crate::config_lookup::{index_of, tenant_index};
use crate::message::EventLoopMessage;
use crate::recovered_state::OpenedState;
use crankpaddle_api::describe::Fleet;
use crankpaddle_front::{
    keys::RequestOutcome, AttemptId, Input, PreviousShutdown, StagedRecovery, Time,
};
use crankpaddle_net::clock;
use crankpaddle_recovery::{
    Intent, IntentLedger, IntentOutcome, Key, Reconciliation, RecoveredState,
};
use crankpaddle_store::{Store, StoreWriter};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Stands for a class that is no longer configured; the core treats it as paid.
const UNKNOWN_CLASS: u8 = u8::MAX;

impl EventLoop {
    /// Starts the staged recovery in the core and passes each paid key of previous incarnations to it.
    pub(super) fn resume_previous_incarnation(&mut self, opened: OpenedState) {
        let Some(store_config) = &self.shared.config.store else {
            return;
        };
        let now = clock::now();
        let recovered = &opened.recovered;
        let mut recovery = StagedRecovery::new(store_config.stage_timeouts, now);
        recovery.start_reading(now);
        recovery.state_read(now, recovered.shutdown);
        let is_state_known = recovered.shutdown != PreviousShutdown::Unknown;
        self.core
            .begin_recovery(recovery, is_state_known, recovered.fleet_size);
        let front_name = store_config.name.clone();
        self.durable = Some(self.durable_state(now, front_name, recovered, opened.store));
        for (key, intent) in &recovered.intents.0 {
            self.restore_key(key, intent);
        }
        if recovered.shutdown == PreviousShutdown::Clean {
            self.expire_unresolved_keys();
        }
    }

    fn durable_state(
        &self,
        now: Time,
        front_name: String,
        recovered: &RecoveredState,
        store: Option<Store>,
    ) -> DurableState {
        let core_config = &self.shared.config.terms;
        let intents = &recovered.intents.0;
        DurableState {
            ledger: IntentLedger::new(
                core_config.key_retention,
                core_config.max_retained_keys,
                intents,
            ),
            writer: store.map(|store| self.start_writer(store)),
            reconciliation: Reconciliation::new(intents),
            started_at: now,
            previous_uptime: recovered.uptime.0,
            pending_sends: HashMap::new(),
            phase: first_phase(recovered.shutdown),
            sessions_in_adoption: HashMap::new(),
            last_token: 0,
            server_starts: BTreeMap::new(),
            maintenance_rounds: 0,
            stored_fleet_size: 0,
            base_status: Fleet {
                name: front_name,
                epoch: recovered.epoch.0,
                previous_shutdown: recovered.shutdown.into(),
                ..Fleet::default()
            },
            is_write_failing: false,
        }
    }

    /// Starts the thread that writes to the store. The token of a write is the id of the attempt that waits for it.
    fn start_writer(&self, store: Store) -> StoreWriter {
        let shared = Arc::clone(&self.shared);
        StoreWriter::start(
            store,
            move |token, result: Result<(), &crankpaddle_store::StoreError>| {
                shared.send(EventLoopMessage::IntentWritten {
                    attempt: AttemptId(token),
                    is_durable: result.is_ok(),
                });
            },
        )
    }

    fn restore_key(&mut self, key: &Key, intent: &Intent) {
        match intent.outcome {
            IntentOutcome::InFlight | IntentOutcome::Established => self.key_unresolved(key),
            IntentOutcome::Completed => {
                self.key_resolved(key, &intent.class, Some(RequestOutcome::Played));
            }
            IntentOutcome::Failed => {
                self.key_resolved(key, &intent.class, Some(RequestOutcome::Failed));
            }
        }
    }

    fn key_unresolved(&mut self, key: &Key) {
        let Some(tenant) = tenant_index(&self.shared.config, &key.tenant) else {
            return;
        };
        self.handle_core_input(Input::KeyUnresolved {
            tenant,
            key: key.bill.clone(),
        });
    }

    /// Passes the outcome of a paid key to the core; `None` if its set-up never ran. Keys of tenants that are no
    /// longer configured are dropped.
    pub(super) fn key_resolved(&mut self, key: &Key, class: &str, outcome: Option<RequestOutcome>) {
        let config = &self.shared.config;
        let Some(tenant) = tenant_index(config, &key.tenant) else {
            return;
        };
        let class = index_of(&config.classes, class).map_or(UNKNOWN_CLASS, |index| index as u8);
        self.handle_core_input(Input::KeyResolved {
            tenant,
            key: key.bill.clone(),
            class,
            outcome,
        });
    }

    /// Ends the wait for unresolved paid keys. They count as run from now on: a second set-up under the same key
    /// could bill the viewer twice.
    pub(super) fn expire_unresolved_keys(&mut self) {
        for key in self.reconcile(Reconciliation::time_out) {
            tracing::warn!(bill = key.bill, "paid set-up unresolved, counted as run");
            self.key_resolved(&key, "", Some(RequestOutcome::Failed));
        }
    }
}

/// The phase in which a front starts. After a clean shutdown servers hold no session of the previous incarnation, so
/// there is nothing to reconcile.
fn first_phase(shutdown: PreviousShutdown) -> RecoveryPhase {
    match shutdown {
        PreviousShutdown::Clean => RecoveryPhase::Resumed,
        PreviousShutdown::Unknown | PreviousShutdown::Killed | PreviousShutdown::PowerLost => {
            RecoveryPhase::Reconciling(DeferredInputs::default())
        }
    }
}
