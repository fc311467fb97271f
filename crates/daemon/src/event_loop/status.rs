//! The reply to `GET /fleet`: the state of the store and of recovery.
use super::durable_state::DurableState;
use super::EventLoop;
use crankpaddle_api::describe::{Fleet, ReturnStep, StoreState};
use crankpaddle_net::clock;
use crankpaddle_recovery::intents::whole_milliseconds;

impl EventLoop {
    /// The status; `None` if no store is configured.
    pub(super) fn fleet_status(&self) -> Option<Fleet> {
        let durable = self.durable.as_ref()?;
        let servers = durable.reconciliation.server_counts();
        Some(Fleet {
            stage: self.core.recovery_stage().into(),
            steps: self.recovery_steps(),
            queued_requests: self.core.queued_for_recovery() as u64,
            unresolved_attempts: durable.reconciliation.unresolved_count() as u64,
            servers_reconciled: servers.reconciled as u64,
            servers_unreachable: servers.unreachable as u64,
            servers_pending: servers.pending as u64,
            retained_keys: durable.ledger.len() as u64,
            replica_count: self.core.replica_count(),
            store: store_state(durable),
            ..durable.base_status.clone()
        })
    }

    fn recovery_steps(&self) -> Vec<ReturnStep> {
        let now = clock::now();
        let transitions = self.core.staged_recovery().transitions().iter();
        let steps = transitions.map(|transition| ReturnStep {
            stage: transition.stage.into(),
            why: transition.evidence.into(),
            ago_ms: whole_milliseconds(now.duration_since(transition.at)),
        });
        steps.collect()
    }
}

fn store_state(durable: &DurableState) -> StoreState {
    if durable.writer.is_none() {
        StoreState::Unusable
    } else if durable.is_write_failing {
        StoreState::Failing
    } else {
        StoreState::Written
    }
}
