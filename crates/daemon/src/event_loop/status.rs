//! What is told of this front's past at `GET /fleet`.
use super::{EventLoop, MILLISECOND};
use crankpaddle_api::describe::{Fleet, ReturnStep, ServiceStage, StepReason, StoreState};
use crankpaddle_front::{RecoveryStage, StageEvidence};
use crankpaddle_net::clock;
use crankpaddle_recovery::StageTransition;

impl EventLoop {
    /// What this front knows of its past; `None`: it keeps none.
    pub(super) fn fleet(&self) -> Option<Fleet> {
        let kept = self.paid.as_ref()?;
        let now = clock::now();
        let step = |transition: &StageTransition| ReturnStep {
            stage: stage_told(transition.stage),
            why: reason_told(transition.evidence),
            ago_ms: now.saturating_sub(transition.at) / MILLISECOND,
        };
        let servers = kept.settling.server_counts();
        Some(Fleet {
            stage: stage_told(self.core.stage()),
            steps: self
                .core
                .recovery()
                .transitions()
                .iter()
                .map(step)
                .collect(),
            held: self.core.queued_for_recovery() as u64,
            unsettled: kept.settling.unresolved_count() as u64,
            servers_told: servers.reconciled as u64,
            servers_out_of_reach: servers.unreachable as u64,
            servers_asked: servers.pending as u64,
            kept: kept.ledger.len() as u64,
            reckoned_fronts: self.core.replica_count(),
            store: match (&kept.writer, kept.failing) {
                (None, _) => StoreState::Unusable,
                (_, true) => StoreState::Failing,
                _ => StoreState::Written,
            },
            ..kept.told.clone()
        })
    }
}

fn stage_told(stage: RecoveryStage) -> ServiceStage {
    match stage {
        RecoveryStage::Offline => ServiceStage::Dark,
        RecoveryStage::Reading => ServiceStage::Reading,
        RecoveryStage::Reconciling => ServiceStage::Settling,
        RecoveryStage::PaidOnly => ServiceStage::Paid,
        RecoveryStage::AllClasses => ServiceStage::All,
        RecoveryStage::Normal => ServiceStage::Normal,
    }
}

fn reason_told(why: StageEvidence) -> StepReason {
    match why {
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
