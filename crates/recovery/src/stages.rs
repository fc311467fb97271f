//! The order in which service returns.
//!
//! Dark, reading, settling, paid, all, normal: each step has its evidence and an end by time. Danger: a crowd that lost its sessions
//! comes back in one instant to servers that are all cold, and to a front that does not know yet which paid set-ups it had begun.
//! Covered: until these are settled requests are held, then paid classes go alone while servers warm, and the rest is told when to
//! come, spread over the time that warming takes. Harm: who asks for a free session waits longer than room alone would need.
//! After a life that ended in order nothing of this is needed, and a front is normal at once.
use crate::recovered_state::PreviousShutdown;

/// How far service is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryStage {
    /// Nothing is known.
    Offline,
    /// What was kept is being read.
    Reading,
    /// Servers are asked what became of what was begun.
    Reconciling,
    /// Paid classes are served.
    PaidOnly,
    /// All are served; the fleet may still be cold and smaller than it was.
    AllClasses,
    /// As ever.
    Normal,
}

/// Bounds of the steps, nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageTimeouts {
    /// Servers that are listed have so long to tell.
    pub reconciliation_timeout: u64,
    /// Paid classes go alone until none of theirs was turned away for so long ...
    pub paid_quiet_period: u64,
    /// ... and no longer than this.
    pub paid_only_timeout: u64,
    /// A server is warm after this time.
    pub warm_up_duration: u64,
}

/// Why a step was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageEvidence {
    /// The process started.
    Started,
    /// The former life had ended in order.
    CleanShutdown,
    /// The disk began to be read.
    DiskAvailable,
    /// All that was kept is read.
    StateRead,
    /// Each server told, or can't be reached.
    InventoriesReceived,
    /// No paid request was turned away for a while.
    PaidDemandServed,
    /// Servers had time to warm.
    WarmedUp,
    /// The step's time was over.
    TimedOut,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryAdmission {
    /// Serve it.
    Serve,
    /// Let it wait: it will be known soon.
    Queue,
    /// It is to come back after `after` nanoseconds, spread over further `over`.
    RetryLater {
        /// Nanoseconds.
        after: u64,
        /// Nanoseconds.
        over: u64,
    },
}

/// How service returns after a start.
#[derive(Clone, Debug)]
pub struct StagedRecovery {
    terms: StageTimeouts,
    stage: RecoveryStage,
    since: u64,
    listed: Option<u64>,
    turned_away: Option<u64>, // When the last paid request that was may be back.
    settled: bool,
    steps: Vec<(u64, RecoveryStage, StageEvidence)>,
}

impl StagedRecovery {
    /// A front that starts.
    pub fn new(terms: StageTimeouts, now: u64) -> StagedRecovery {
        StagedRecovery {
            terms,
            stage: RecoveryStage::Offline,
            since: now,
            listed: None,
            turned_away: None,
            settled: false,
            steps: vec![(now, RecoveryStage::Offline, StageEvidence::Started)],
        }
    }

    /// A front without a store: there is no past to return from.
    pub fn not_needed(now: u64) -> StagedRecovery {
        let terms = StageTimeouts {
            reconciliation_timeout: 0,
            paid_quiet_period: 0,
            paid_only_timeout: 0,
            warm_up_duration: 0,
        };
        let mut returning = StagedRecovery::new(terms, now);
        returning.go(now, RecoveryStage::Normal, StageEvidence::CleanShutdown);
        returning
    }

    /// How far it is.
    pub fn stage(&self) -> RecoveryStage {
        self.stage
    }

    /// Each step with its time and its reason, in order.
    pub fn steps(&self) -> &[(u64, RecoveryStage, StageEvidence)] {
        &self.steps
    }

    fn go(&mut self, now: u64, stage: RecoveryStage, why: StageEvidence) {
        if stage > self.stage {
            (self.stage, self.since) = (stage, now);
            self.steps.push((now, stage, why));
        }
    }

    /// What was kept begins to be read.
    pub fn start_reading(&mut self, now: u64) {
        self.go(now, RecoveryStage::Reading, StageEvidence::DiskAvailable);
    }

    /// What was kept is read.
    pub fn state_read(&mut self, now: u64, ended: PreviousShutdown) {
        match ended {
            PreviousShutdown::Clean => {
                self.go(now, RecoveryStage::Normal, StageEvidence::CleanShutdown);
            }
            PreviousShutdown::Unknown | PreviousShutdown::Killed | PreviousShutdown::PowerLost => {
                self.go(now, RecoveryStage::Reconciling, StageEvidence::StateRead);
            }
        }
    }

    /// Servers are known, so that they can be asked.
    pub fn endpoints_known(&mut self, now: u64) {
        self.listed.get_or_insert(now);
        self.expire(now);
    }

    /// Each server that is listed told, or can't be reached.
    pub fn reconciliation_completed(&mut self, now: u64) {
        self.settled = true;
        self.expire(now);
    }

    /// A paid request found no room, and was told to come back after so long. Danger: who was told to stay away asks for nothing
    /// meanwhile, and a calm that only looks at who asks ends while they are away; free sessions then take the turns at cold servers
    /// that theirs need. So the calm counts from when the last of them may be back.
    pub fn paid_rejected(&mut self, now: u64, stays_away: u64) {
        self.turned_away = self.turned_away.max(Some(now.saturating_add(stays_away)));
    }

    /// When [`StagedRecovery::expire`] is to be called next.
    pub fn next_expiry(&self) -> Option<u64> {
        match self.stage {
            RecoveryStage::Reconciling => self
                .listed
                .map(|t| t.saturating_add(self.terms.reconciliation_timeout)),
            RecoveryStage::PaidOnly => Some(
                self.calm_at()
                    .min(self.since.saturating_add(self.terms.paid_only_timeout)),
            ),
            RecoveryStage::AllClasses => {
                Some(self.since.saturating_add(self.terms.warm_up_duration))
            }
            RecoveryStage::Offline | RecoveryStage::Reading | RecoveryStage::Normal => None,
        }
    }

    fn calm_at(&self) -> u64 {
        self.turned_away
            .unwrap_or(0)
            .max(self.since)
            .saturating_add(self.terms.paid_quiet_period)
    }

    /// Takes the steps that are due.
    pub fn expire(&mut self, now: u64) {
        if let (RecoveryStage::Reconciling, Some(listed)) = (self.stage, self.listed) {
            if self.settled {
                self.go(
                    now,
                    RecoveryStage::PaidOnly,
                    StageEvidence::InventoriesReceived,
                );
            } else if now >= listed.saturating_add(self.terms.reconciliation_timeout) {
                self.go(now, RecoveryStage::PaidOnly, StageEvidence::TimedOut);
            }
        }
        if self.stage == RecoveryStage::PaidOnly {
            if now >= self.since.saturating_add(self.terms.paid_only_timeout) {
                self.go(now, RecoveryStage::AllClasses, StageEvidence::TimedOut);
            } else if now >= self.calm_at() {
                self.go(
                    now,
                    RecoveryStage::AllClasses,
                    StageEvidence::PaidDemandServed,
                );
            }
        }
        if self.stage == RecoveryStage::AllClasses
            && now >= self.since.saturating_add(self.terms.warm_up_duration)
        {
            self.go(now, RecoveryStage::Normal, StageEvidence::WarmedUp);
        }
    }

    /// What to do with a request. Where no server is known there is nothing to wait for: it is told to come back.
    pub fn admit(&self, now: u64, paid: bool) -> RecoveryAdmission {
        let left = |time: u64| self.since.saturating_add(time).saturating_sub(now);
        match self.stage {
            RecoveryStage::Offline | RecoveryStage::Reading => RecoveryAdmission::Queue,
            RecoveryStage::Reconciling
                if self.listed.is_some() || left(self.terms.reconciliation_timeout) > 0 =>
            {
                RecoveryAdmission::Queue
            }
            RecoveryStage::Reconciling => RecoveryAdmission::RetryLater {
                after: self.terms.reconciliation_timeout,
                over: self.terms.reconciliation_timeout,
            },
            RecoveryStage::PaidOnly if !paid => RecoveryAdmission::RetryLater {
                after: left(self.terms.paid_only_timeout),
                over: self.terms.warm_up_duration,
            },
            RecoveryStage::PaidOnly | RecoveryStage::AllClasses | RecoveryStage::Normal => {
                RecoveryAdmission::Serve
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const TERMS: StageTimeouts = StageTimeouts {
        reconciliation_timeout: 100,
        paid_quiet_period: 20,
        paid_only_timeout: 300,
        warm_up_duration: 1000,
    };

    fn at(stage: RecoveryStage) -> StagedRecovery {
        let mut r = StagedRecovery::new(TERMS, 0);
        r.start_reading(1);
        r.state_read(2, PreviousShutdown::PowerLost);
        if stage > RecoveryStage::Reconciling {
            r.endpoints_known(3);
            r.reconciliation_completed(4);
        }
        r
    }

    #[test]
    fn a_life_that_ended_in_order_has_nothing_to_settle() {
        let mut r = StagedRecovery::new(TERMS, 0);
        r.state_read(1, PreviousShutdown::Clean);
        assert_eq!(
            (r.stage(), r.next_expiry(), r.admit(1, false)),
            (RecoveryStage::Normal, None, RecoveryAdmission::Serve)
        );
        assert_eq!(StagedRecovery::not_needed(5).stage(), RecoveryStage::Normal);
    }

    #[test]
    fn all_wait_until_servers_told_and_then_paid_go_first() {
        let mut r = at(RecoveryStage::Reconciling);
        assert_eq!(
            (r.admit(3, true), r.admit(3, false)),
            (RecoveryAdmission::Queue, RecoveryAdmission::Queue)
        );
        r.reconciliation_completed(3);
        assert_eq!(
            r.stage(),
            RecoveryStage::Reconciling,
            "nobody is listed yet: nobody told anything"
        );
        r.endpoints_known(5);
        assert_eq!(
            (r.stage(), r.admit(5, true)),
            (RecoveryStage::PaidOnly, RecoveryAdmission::Serve)
        );
        assert_eq!(
            r.admit(5, false),
            RecoveryAdmission::RetryLater {
                after: 300,
                over: 1000
            }
        );
        r.paid_rejected(10, 7);
        r.expire(36);
        assert_eq!(
            r.stage(),
            RecoveryStage::PaidOnly,
            "one may be back since 19"
        );
        r.expire(37);
        assert_eq!(
            r.steps().last(),
            Some(&(
                37,
                RecoveryStage::AllClasses,
                StageEvidence::PaidDemandServed
            ))
        );
        r.expire(1037);
        assert_eq!(
            r.steps().last(),
            Some(&(1037, RecoveryStage::Normal, StageEvidence::WarmedUp))
        );
    }

    #[test]
    fn each_step_ends_by_time_whatever_is_silent() {
        let mut r = at(RecoveryStage::Reconciling);
        r.endpoints_known(50);
        assert_eq!(r.next_expiry(), Some(150));
        r.expire(149);
        assert_eq!(r.stage(), RecoveryStage::Reconciling);
        r.expire(150);
        assert_eq!(r.stage(), RecoveryStage::PaidOnly);
        for now in 150..450 {
            r.paid_rejected(now, 0);
            r.expire(now);
            assert_eq!(r.stage(), RecoveryStage::PaidOnly);
        }
        r.expire(450);
        assert_eq!(
            r.steps().last(),
            Some(&(450, RecoveryStage::AllClasses, StageEvidence::TimedOut))
        );
    }

    #[test]
    fn without_a_list_nobody_is_kept_waiting_for_long() {
        let r = at(RecoveryStage::Reconciling);
        assert_eq!(r.admit(101, true), RecoveryAdmission::Queue);
        assert!(matches!(
            r.admit(102, true),
            RecoveryAdmission::RetryLater { .. }
        ));
    }

    proptest! {
        /// Service never goes back, each step is dated in order, and with a list it is normal in the end.
        #[test]
        fn service_only_returns(events in proptest::collection::vec((0u8..5, 0u64..60), 0..80)) {
            let mut r = at(RecoveryStage::Reconciling);
            let mut now = 2;
            for (kind, later) in events {
                now += later;
                let before = r.stage();
                match kind {
                    0 => r.endpoints_known(now),
                    1 => r.reconciliation_completed(now),
                    2 => r.paid_rejected(now, later),
                    3 => r.state_read(now, PreviousShutdown::PowerLost),
                    _ => r.expire(now),
                }
                prop_assert!(r.stage() >= before);
                prop_assert!(r.next_expiry().is_none_or(|t| t > now) || kind == 2 || kind == 3);
            }
            r.endpoints_known(now);
            for _ in 0..3 {
                now += 2000;
                r.expire(now);
            }
            prop_assert_eq!(r.stage(), RecoveryStage::Normal);
            prop_assert!(r.steps().windows(2).all(|w| w[0].0 <= w[1].0 && w[0].1 < w[1].1));
        }
    }
}
