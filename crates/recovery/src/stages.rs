//! The staged return of service after a start.
//!
//! The stages are offline, reading, reconciling, paid classes only, all classes, normal. Each transition has its evidence and a
//! time limit.
//!
//! After a power loss all viewers return at once, to servers that are all warming up and to a front that does not know yet
//! which paid set-ups it had begun. Requests are queued until these set-ups are reconciled. Then only paid classes are served
//! while servers warm up, and other requests are asked to retry at times that are spread over the warm-up. The price is that a
//! free session waits longer than the available capacity would require.
//!
//! After a graceful shutdown none of this is needed, and the front is in the normal stage at once.
use crate::recovered_state::PreviousShutdown;
use crankpaddle_time::Time;
use std::time::Duration;

/// How far service has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryStage {
    /// The process has started and nothing is known, since the persisted state can't be read yet.
    Offline,
    /// The persisted state is being read.
    Reading,
    /// Servers are queried for the outcome of unresolved set-ups.
    Reconciling,
    /// Only paid classes are served.
    PaidOnly,
    /// All classes are served, but the fleet may still be warming up and be smaller than before.
    AllClasses,
    /// Recovery has ended, and all classes are served without restriction.
    Normal,
}

/// Time limits of the stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageTimeouts {
    /// How long servers have to answer the reconciliation once they are listed.
    pub reconciliation_timeout: Duration,
    /// Only paid classes are served until none of their requests has been rejected for this long.
    pub paid_quiet_period: Duration,
    /// The maximum time for which only paid classes are served.
    pub paid_only_timeout: Duration,
    /// How long a server takes to warm up.
    pub warm_up_duration: Duration,
}

/// Why a stage was entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageEvidence {
    /// The process started; the evidence of the first stage.
    Started,
    /// The previous incarnation ended by a graceful shutdown.
    CleanShutdown,
    /// The disk can be read.
    DiskAvailable,
    /// The persisted state has been read.
    StateRead,
    /// Each server sent its inventory or is unreachable.
    InventoriesReceived,
    /// No paid request was rejected for [`StageTimeouts::paid_quiet_period`].
    PaidDemandServed,
    /// All classes were served for [`StageTimeouts::warm_up_duration`], so servers had time to warm up.
    WarmedUp,
    /// The time limit of the previous stage was reached.
    TimedOut,
}

/// A transition to a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageTransition {
    /// When the stage was entered.
    pub at: Time,
    /// The stage that was entered.
    pub stage: RecoveryStage,
    /// Why the stage was entered.
    pub evidence: StageEvidence,
}

/// What to do with a request during recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAdmission {
    /// Serve it without delay.
    Serve,
    /// Queue it, since it can be decided soon.
    Queue,
    /// Reject it, and ask the viewer to retry later.
    RetryLater {
        /// The time before the earliest retry.
        min_delay: Duration,
        /// The duration over which retries are spread after that.
        spread: Duration,
    },
}

/// The staged return of service after a start. All points in time that are passed to it must come from one clock.
#[derive(Clone, Debug)]
pub struct StagedRecovery {
    timeouts: StageTimeouts,
    stage: RecoveryStage,
    stage_entered_at: Time,
    /// When servers were first listed.
    endpoints_known_at: Option<Time>,
    /// The latest time at which a retry of a rejected paid request is expected.
    paid_retry_expected_at: Option<Time>,
    reconciliation_completed: bool,
    transitions: Vec<StageTransition>,
}

impl StagedRecovery {
    /// The recovery of a front that starts at `now`.
    pub fn new(timeouts: StageTimeouts, now: Time) -> StagedRecovery {
        let started = StageTransition {
            at: now,
            stage: RecoveryStage::Offline,
            evidence: StageEvidence::Started,
        };
        StagedRecovery {
            timeouts,
            stage: RecoveryStage::Offline,
            stage_entered_at: now,
            endpoints_known_at: None,
            paid_retry_expected_at: None,
            reconciliation_completed: false,
            transitions: vec![started],
        }
    }

    /// The recovery of a front without a store. There is no state to recover, so it is in the normal stage at once.
    pub fn not_needed(now: Time) -> StagedRecovery {
        let timeouts = StageTimeouts {
            reconciliation_timeout: Duration::ZERO,
            paid_quiet_period: Duration::ZERO,
            paid_only_timeout: Duration::ZERO,
            warm_up_duration: Duration::ZERO,
        };
        let mut recovery = StagedRecovery::new(timeouts, now);
        recovery.enter(now, RecoveryStage::Normal, StageEvidence::CleanShutdown);
        recovery
    }

    /// The stage that was entered last.
    #[must_use]
    pub fn stage(&self) -> RecoveryStage {
        self.stage
    }

    /// The transitions made so far, in order; the first one is to [`RecoveryStage::Offline`].
    #[must_use]
    pub fn transitions(&self) -> &[StageTransition] {
        &self.transitions
    }

    /// Enters a stage if it is later than the present one.
    fn enter(&mut self, now: Time, stage: RecoveryStage, evidence: StageEvidence) {
        if stage <= self.stage {
            return;
        }
        self.stage = stage;
        self.stage_entered_at = now;
        self.transitions.push(StageTransition {
            at: now,
            stage,
            evidence,
        });
    }

    /// Records that reading the persisted state begins.
    pub fn start_reading(&mut self, now: Time) {
        self.enter(now, RecoveryStage::Reading, StageEvidence::DiskAvailable);
    }

    /// Records that the persisted state was read. `previous_shutdown` is how the previous incarnation ended.
    pub fn state_read(&mut self, now: Time, previous_shutdown: PreviousShutdown) {
        match previous_shutdown {
            PreviousShutdown::Clean => {
                self.enter(now, RecoveryStage::Normal, StageEvidence::CleanShutdown);
            }
            PreviousShutdown::Unknown | PreviousShutdown::Killed | PreviousShutdown::PowerLost => {
                self.enter(now, RecoveryStage::Reconciling, StageEvidence::StateRead);
            }
        }
    }

    /// Records that servers are listed, so that they can be queried.
    pub fn endpoints_known(&mut self, now: Time) {
        self.endpoints_known_at.get_or_insert(now);
        self.expire(now);
    }

    /// Records that each listed server sent its inventory or is unreachable.
    pub fn reconciliation_completed(&mut self, now: Time) {
        self.reconciliation_completed = true;
        self.expire(now);
    }

    /// Records that a paid request was rejected for lack of capacity, and that its viewer was asked to retry after
    /// `retry_after`.
    ///
    /// The quiet period starts at the latest expected retry, because a viewer that waits for its retry sends no requests. If
    /// the quiet period started at the last rejection, it would end while such viewers wait, and free sessions would take the
    /// admission slots at servers that are warming up, which the paid ones need.
    pub fn paid_rejected(&mut self, now: Time, retry_after: Duration) {
        let retry_expected_at = now + retry_after;
        self.paid_retry_expected_at = self.paid_retry_expected_at.max(Some(retry_expected_at));
    }

    /// When [`StagedRecovery::expire`] must be called next; `None` if the present stage does not end by time.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        match self.stage {
            RecoveryStage::Reconciling => self
                .endpoints_known_at
                .map(|known_at| self.reconciliation_deadline(known_at)),
            RecoveryStage::PaidOnly => Some(self.paid_quiet_at().min(self.paid_only_deadline())),
            RecoveryStage::AllClasses => Some(self.warmed_up_at()),
            RecoveryStage::Offline | RecoveryStage::Reading | RecoveryStage::Normal => None,
        }
    }

    fn reconciliation_deadline(&self, endpoints_known_at: Time) -> Time {
        endpoints_known_at + self.timeouts.reconciliation_timeout
    }

    /// The time at which the quiet period ends unless another paid request is rejected.
    fn paid_quiet_at(&self) -> Time {
        let last_retry_expected_at = self.paid_retry_expected_at.unwrap_or(Time::ZERO);
        last_retry_expected_at.max(self.stage_entered_at) + self.timeouts.paid_quiet_period
    }

    fn paid_only_deadline(&self) -> Time {
        self.stage_entered_at + self.timeouts.paid_only_timeout
    }

    fn warmed_up_at(&self) -> Time {
        self.stage_entered_at + self.timeouts.warm_up_duration
    }

    /// Makes the transitions that are due at `now`. Several may be due at once.
    pub fn expire(&mut self, now: Time) {
        self.finish_reconciling(now);
        self.finish_paid_only(now);
        self.finish_all_classes(now);
    }

    fn finish_reconciling(&mut self, now: Time) {
        if self.stage != RecoveryStage::Reconciling {
            return;
        }
        let Some(endpoints_known_at) = self.endpoints_known_at else {
            return;
        };
        let evidence = if self.reconciliation_completed {
            StageEvidence::InventoriesReceived
        } else if now >= self.reconciliation_deadline(endpoints_known_at) {
            StageEvidence::TimedOut
        } else {
            return;
        };
        self.enter(now, RecoveryStage::PaidOnly, evidence);
    }

    fn finish_paid_only(&mut self, now: Time) {
        if self.stage != RecoveryStage::PaidOnly {
            return;
        }
        let evidence = if now >= self.paid_only_deadline() {
            StageEvidence::TimedOut
        } else if now >= self.paid_quiet_at() {
            StageEvidence::PaidDemandServed
        } else {
            return;
        };
        self.enter(now, RecoveryStage::AllClasses, evidence);
    }

    fn finish_all_classes(&mut self, now: Time) {
        if self.stage == RecoveryStage::AllClasses && now >= self.warmed_up_at() {
            self.enter(now, RecoveryStage::Normal, StageEvidence::WarmedUp);
        }
    }

    /// What to do with a request. If no server is listed within the reconciliation timeout, requests are not queued any longer,
    /// but are asked to retry later.
    #[must_use]
    pub fn admit(&self, now: Time, paid: bool) -> RecoveryAdmission {
        match self.stage {
            RecoveryStage::Offline | RecoveryStage::Reading => RecoveryAdmission::Queue,
            RecoveryStage::Reconciling => self.admit_while_reconciling(now),
            RecoveryStage::PaidOnly if !paid => RecoveryAdmission::RetryLater {
                min_delay: self.paid_only_deadline().duration_since(now),
                spread: self.timeouts.warm_up_duration,
            },
            RecoveryStage::PaidOnly | RecoveryStage::AllClasses | RecoveryStage::Normal => {
                RecoveryAdmission::Serve
            }
        }
    }

    fn admit_while_reconciling(&self, now: Time) -> RecoveryAdmission {
        let timeout = self.timeouts.reconciliation_timeout;
        let waiting_ends_at = self.stage_entered_at + timeout;
        if self.endpoints_known_at.is_some() || now < waiting_ends_at {
            return RecoveryAdmission::Queue;
        }
        RecoveryAdmission::RetryLater {
            min_delay: timeout,
            spread: timeout,
        }
    }
}

#[cfg(test)]
mod tests;
