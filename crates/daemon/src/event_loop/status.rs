//! The reply to `GET /fleet`: the state of the store and of recovery.
use super::durable_state::DurableState;
use super::EventLoop;
use crankpaddle_api::describe::{Fleet, ReturnStep, ServiceStage, StepReason, StoreState};
use crankpaddle_front::{RecoveryStage, StageEvidence};
use crankpaddle_net::clock;
use crankpaddle_recovery::intents::milliseconds;

impl EventLoop {
    /// The status; `None` where no store is configured.
    pub(super) fn fleet_status(&self) -> Option<Fleet> {
        let durable = self.durable.as_ref()?;
        let servers = durable.reconciliation.server_counts();
        // The fields are named as in the JSON of `GET /fleet`.
        Some(Fleet {
            stage: service_stage(self.core.stage()),
            steps: self.recovery_steps(),
            held: self.core.queued_for_recovery() as u64,
            unsettled: durable.reconciliation.unresolved_count() as u64,
            servers_told: servers.reconciled as u64,
            servers_out_of_reach: servers.unreachable as u64,
            servers_asked: servers.pending as u64,
            kept: durable.ledger.len() as u64,
            reckoned_fronts: self.core.replica_count(),
            store: store_state(durable),
            ..durable.base_status.clone()
        })
    }

    fn recovery_steps(&self) -> Vec<ReturnStep> {
        let now = clock::now();
        let transitions = self.core.recovery().transitions().iter();
        let step = transitions.map(|transition| ReturnStep {
            stage: service_stage(transition.stage),
            why: step_reason(transition.evidence),
            ago_ms: milliseconds(now.duration_since(transition.at)),
        });
        step.collect()
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

fn service_stage(stage: RecoveryStage) -> ServiceStage {
    match stage {
        RecoveryStage::Offline => ServiceStage::Dark,
        RecoveryStage::Reading => ServiceStage::Reading,
        RecoveryStage::Reconciling => ServiceStage::Settling,
        RecoveryStage::PaidOnly => ServiceStage::Paid,
        RecoveryStage::AllClasses => ServiceStage::All,
        RecoveryStage::Normal => ServiceStage::Normal,
    }
}

fn step_reason(evidence: StageEvidence) -> StepReason {
    match evidence {
        StageEvidence::Started => StepReason::Started,
        StageEvidence::CleanShutdown => StepReason::EndedInOrder,
        StageEvidence::DiskAvailable => StepReason::DiskThere,
        StageEvidence::StateRead => StepReason::Read,
        StageEvidence::InventoriesReceived => StepReason::ServersTold,
        StageEvidence::PaidDemandServed => StepReason::PaidServed,
        StageEvidence::WarmedUp => StepReason::Warm,
        StageEvidence::TimedOut => StepReason::Time,
    }
}
