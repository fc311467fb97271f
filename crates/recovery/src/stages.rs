//! The order in which service returns.
//!
//! Dark, reading, settling, paid, all, normal: each step has its evidence and an end by time. Danger: a crowd that lost its sessions
//! comes back in one instant to servers that are all cold, and to a front that does not know yet which paid set-ups it had begun.
//! Covered: until these are settled requests are held, then paid classes go alone while servers warm, and the rest is told when to
//! come, spread over the time that warming takes. Harm: who asks for a free session waits longer than room alone would need.
//! After a life that ended in order nothing of this is needed, and a front is normal at once.
use crate::past::Ended;

/// How far service is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing is known.
    Dark,
    /// What was kept is being read.
    Reading,
    /// Servers are asked what became of what was begun.
    Settling,
    /// Paid classes are served.
    Paid,
    /// All are served; the fleet may still be cold and smaller than it was.
    All,
    /// As ever.
    Normal,
}

/// Bounds of the steps, nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Servers that are listed have so long to tell.
    pub settle: u64,
    /// Paid classes go alone until none of theirs was turned away for so long ...
    pub calm: u64,
    /// ... and no longer than this.
    pub paid_first: u64,
    /// A server is warm after this time.
    pub warm: u64,
}

/// Why a step was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The process started.
    Started,
    /// The former life had ended in order.
    EndedInOrder,
    /// The disk began to be read.
    DiskThere,
    /// All that was kept is read.
    Read,
    /// Each server told, or can't be reached.
    ServersTold,
    /// No paid request was turned away for a while.
    PaidServed,
    /// Servers had time to warm.
    Warm,
    /// The step's time was over.
    Time,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Serve it.
    Serve,
    /// Let it wait: it will be known soon.
    Hold,
    /// It is to come back after `after` nanoseconds, spread over further `over`.
    ComeBack {
        /// Nanoseconds.
        after: u64,
        /// Nanoseconds.
        over: u64,
    },
}

/// How service returns after a start.
#[derive(Clone, Debug)]
pub struct Returning {
    terms: Terms,
    stage: Stage,
    since: u64,
    listed: Option<u64>,
    turned_away: Option<u64>, // When the last paid request that was may be back.
    settled: bool,
    steps: Vec<(u64, Stage, Evidence)>,
}

impl Returning {
    /// A front that starts.
    pub fn new(terms: Terms, now: u64) -> Returning {
        Returning {
            terms,
            stage: Stage::Dark,
            since: now,
            listed: None,
            turned_away: None,
            settled: false,
            steps: vec![(now, Stage::Dark, Evidence::Started)],
        }
    }

    /// A front without a store: there is no past to return from.
    pub fn none(now: u64) -> Returning {
        let terms = Terms {
            settle: 0,
            calm: 0,
            paid_first: 0,
            warm: 0,
        };
        let mut returning = Returning::new(terms, now);
        returning.go(now, Stage::Normal, Evidence::EndedInOrder);
        returning
    }

    /// How far it is.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Each step with its time and its reason, in order.
    pub fn steps(&self) -> &[(u64, Stage, Evidence)] {
        &self.steps
    }

    fn go(&mut self, now: u64, stage: Stage, why: Evidence) {
        if stage > self.stage {
            (self.stage, self.since) = (stage, now);
            self.steps.push((now, stage, why));
        }
    }

    /// What was kept begins to be read.
    pub fn reading(&mut self, now: u64) {
        self.go(now, Stage::Reading, Evidence::DiskThere);
    }

    /// What was kept is read.
    pub fn read(&mut self, now: u64, ended: Ended) {
        match ended {
            Ended::InOrder => self.go(now, Stage::Normal, Evidence::EndedInOrder),
            Ended::Unknown | Ended::Killed | Ended::PowerLost => {
                self.go(now, Stage::Settling, Evidence::Read);
            }
        }
    }

    /// Servers are known, so that they can be asked.
    pub fn listed(&mut self, now: u64) {
        self.listed.get_or_insert(now);
        self.expire(now);
    }

    /// Each server that is listed told, or can't be reached.
    pub fn settled(&mut self, now: u64) {
        self.settled = true;
        self.expire(now);
    }

    /// A paid request found no room, and was told to come back after so long. Danger: who was told to stay away asks for nothing
    /// meanwhile, and a calm that only looks at who asks ends while they are away; free sessions then take the turns at cold servers
    /// that theirs need. So the calm counts from when the last of them may be back.
    pub fn turned_away(&mut self, now: u64, stays_away: u64) {
        self.turned_away = self.turned_away.max(Some(now.saturating_add(stays_away)));
    }

    /// When [`Returning::expire`] is to be called next.
    pub fn next(&self) -> Option<u64> {
        match self.stage {
            Stage::Settling => self.listed.map(|t| t.saturating_add(self.terms.settle)),
            Stage::Paid => Some(
                self.calm_at()
                    .min(self.since.saturating_add(self.terms.paid_first)),
            ),
            Stage::All => Some(self.since.saturating_add(self.terms.warm)),
            Stage::Dark | Stage::Reading | Stage::Normal => None,
        }
    }

    fn calm_at(&self) -> u64 {
        self.turned_away
            .unwrap_or(0)
            .max(self.since)
            .saturating_add(self.terms.calm)
    }

    /// Takes the steps that are due.
    pub fn expire(&mut self, now: u64) {
        if let (Stage::Settling, Some(listed)) = (self.stage, self.listed) {
            if self.settled {
                self.go(now, Stage::Paid, Evidence::ServersTold);
            } else if now >= listed.saturating_add(self.terms.settle) {
                self.go(now, Stage::Paid, Evidence::Time);
            }
        }
        if self.stage == Stage::Paid {
            if now >= self.since.saturating_add(self.terms.paid_first) {
                self.go(now, Stage::All, Evidence::Time);
            } else if now >= self.calm_at() {
                self.go(now, Stage::All, Evidence::PaidServed);
            }
        }
        if self.stage == Stage::All && now >= self.since.saturating_add(self.terms.warm) {
            self.go(now, Stage::Normal, Evidence::Warm);
        }
    }

    /// What to do with a request. Where no server is known there is nothing to wait for: it is told to come back.
    pub fn admit(&self, now: u64, paid: bool) -> Verdict {
        let left = |time: u64| self.since.saturating_add(time).saturating_sub(now);
        match self.stage {
            Stage::Dark | Stage::Reading => Verdict::Hold,
            Stage::Settling if self.listed.is_some() || left(self.terms.settle) > 0 => {
                Verdict::Hold
            }
            Stage::Settling => Verdict::ComeBack {
                after: self.terms.settle,
                over: self.terms.settle,
            },
            Stage::Paid if !paid => Verdict::ComeBack {
                after: left(self.terms.paid_first),
                over: self.terms.warm,
            },
            Stage::Paid | Stage::All | Stage::Normal => Verdict::Serve,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const TERMS: Terms = Terms {
        settle: 100,
        calm: 20,
        paid_first: 300,
        warm: 1000,
    };

    fn at(stage: Stage) -> Returning {
        let mut r = Returning::new(TERMS, 0);
        r.reading(1);
        r.read(2, Ended::PowerLost);
        if stage > Stage::Settling {
            r.listed(3);
            r.settled(4);
        }
        r
    }

    #[test]
    fn a_life_that_ended_in_order_has_nothing_to_settle() {
        let mut r = Returning::new(TERMS, 0);
        r.read(1, Ended::InOrder);
        assert_eq!(
            (r.stage(), r.next(), r.admit(1, false)),
            (Stage::Normal, None, Verdict::Serve)
        );
        assert_eq!(Returning::none(5).stage(), Stage::Normal);
    }

    #[test]
    fn all_wait_until_servers_told_and_then_paid_go_first() {
        let mut r = at(Stage::Settling);
        assert_eq!(
            (r.admit(3, true), r.admit(3, false)),
            (Verdict::Hold, Verdict::Hold)
        );
        r.settled(3);
        assert_eq!(
            r.stage(),
            Stage::Settling,
            "nobody is listed yet: nobody told anything"
        );
        r.listed(5);
        assert_eq!((r.stage(), r.admit(5, true)), (Stage::Paid, Verdict::Serve));
        assert_eq!(
            r.admit(5, false),
            Verdict::ComeBack {
                after: 300,
                over: 1000
            }
        );
        r.turned_away(10, 7);
        r.expire(36);
        assert_eq!(r.stage(), Stage::Paid, "one may be back since 19");
        r.expire(37);
        assert_eq!(
            r.steps().last(),
            Some(&(37, Stage::All, Evidence::PaidServed))
        );
        r.expire(1037);
        assert_eq!(
            r.steps().last(),
            Some(&(1037, Stage::Normal, Evidence::Warm))
        );
    }

    #[test]
    fn each_step_ends_by_time_whatever_is_silent() {
        let mut r = at(Stage::Settling);
        r.listed(50);
        assert_eq!(r.next(), Some(150));
        r.expire(149);
        assert_eq!(r.stage(), Stage::Settling);
        r.expire(150);
        assert_eq!(r.stage(), Stage::Paid);
        for now in 150..450 {
            r.turned_away(now, 0);
            r.expire(now);
            assert_eq!(r.stage(), Stage::Paid);
        }
        r.expire(450);
        assert_eq!(r.steps().last(), Some(&(450, Stage::All, Evidence::Time)));
    }

    #[test]
    fn without_a_list_nobody_is_kept_waiting_for_long() {
        let r = at(Stage::Settling);
        assert_eq!(r.admit(101, true), Verdict::Hold);
        assert!(matches!(r.admit(102, true), Verdict::ComeBack { .. }));
    }

    proptest! {
        /// Service never goes back, each step is dated in order, and with a list it is normal in the end.
        #[test]
        fn service_only_returns(events in proptest::collection::vec((0u8..5, 0u64..60), 0..80)) {
            let mut r = at(Stage::Settling);
            let mut now = 2;
            for (kind, later) in events {
                now += later;
                let before = r.stage();
                match kind {
                    0 => r.listed(now),
                    1 => r.settled(now),
                    2 => r.turned_away(now, later),
                    3 => r.read(now, Ended::PowerLost),
                    _ => r.expire(now),
                }
                prop_assert!(r.stage() >= before);
                prop_assert!(r.next().is_none_or(|t| t > now) || kind == 2 || kind == 3);
            }
            r.listed(now);
            for _ in 0..3 {
                now += 2000;
                r.expire(now);
            }
            prop_assert_eq!(r.stage(), Stage::Normal);
            prop_assert!(r.steps().windows(2).all(|w| w[0].0 <= w[1].0 && w[0].1 < w[1].1));
        }
    }
}
