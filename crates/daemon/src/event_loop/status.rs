//! What is told of this front's past at `GET /fleet`.
use super::{EventLoop, MILLISECOND};
use crankpaddle_api::describe::{Fleet, ReturnStep, ServiceStage, StepReason, StoreState};
use crankpaddle_front::{RecoveryStage, StageEvidence};
use crankpaddle_net::clock;

impl EventLoop {
    /// What this front knows of its past; `None`: it keeps none.
    pub(super) fn fleet(&self) -> Option<Fleet> {
        let kept = self.paid.as_ref()?;
        let now = clock::now();
        let step = |(at, stage, why): &(u64, RecoveryStage, StageEvidence)| ReturnStep {
            stage: stage_told(*stage),
            why: reason_told(*why),
            ago_ms: now.saturating_sub(*at) / MILLISECOND,
        };
        let (told, out_of_reach, asked) = kept.settling.counts();
        Some(Fleet {
            stage: stage_told(self.core.stage()),
            steps: self.core.recovery().steps().iter().map(step).collect(),
            held: self.core.queued_for_recovery() as u64,
            unsettled: kept.settling.unresolved_count() as u64,
            servers_told: told as u64,
            servers_out_of_reach: out_of_reach as u64,
            servers_asked: asked as u64,
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
