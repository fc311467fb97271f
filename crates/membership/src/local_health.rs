//! A member's own health: whether it is the one that is slow or cut off.
use crankpaddle_time::Time;
use std::collections::VecDeque;

/// How well a member is connected to the others, by its own estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LocalHealth {
    /// It knows no other member.
    Alone,
    /// The members that it probes answer.
    Connected,
    /// Its timers were late, or a part of its recent probes was not answered.
    Degraded,
    /// None of its recent probes was answered: it declares no member suspect or dead.
    Isolated,
    /// Another process took over its name: it sends nothing any more.
    Replaced,
}

/// How many of the latest probes are considered.
const PROBE_HISTORY: usize = 4;
/// The worst score (Lifeguard's maximum of the local health multiplier).
const MAX_SCORE: u32 = 8;
/// The score that a process has at least after it was stalled.
const STALLED_SCORE: u32 = 2;

/// The local health multiplier (Lifeguard): the worse this member's own health is, the longer it waits for answers before it
/// suspects another.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalHealthMonitor {
    score: u32,
    recent_probes: VecDeque<bool>, // Whether each was acknowledged.
    degraded_until: Time,
}

impl LocalHealthMonitor {
    /// What timeouts are multiplied by.
    pub(crate) fn multiplier(&self) -> u32 {
        1 + self.score
    }

    /// Records the outcome of a probe.
    pub(crate) fn record_probe(&mut self, acknowledged: bool) {
        self.recent_probes.push_back(acknowledged);
        while self.recent_probes.len() > PROBE_HISTORY {
            self.recent_probes.pop_front();
        }
        if acknowledged {
            self.score = self.score.saturating_sub(1);
        }
    }

    /// Records a sign that this member is the slow one: a helper did not even send a nack, or this member had to refute.
    pub(crate) fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Records that this process was stalled. Until `until`, missing answers are no evidence against other members.
    pub(crate) fn record_stall(&mut self, until: Time) {
        self.degraded_until = until;
        self.recent_probes.clear();
        self.score = self.score.max(STALLED_SCORE);
    }

    /// The health at `now`, given how many other members are active.
    pub(crate) fn assess(&self, now: Time, active_members: usize) -> LocalHealth {
        if active_members == 0 {
            return LocalHealth::Alone;
        }
        let unanswered = self.unanswered_probes();
        if self.recent_probes.len() == PROBE_HISTORY && unanswered == PROBE_HISTORY {
            return LocalHealth::Isolated;
        }
        if now < self.degraded_until || unanswered * 2 >= PROBE_HISTORY {
            return LocalHealth::Degraded;
        }
        LocalHealth::Connected
    }

    /// Whether none of the recent probes was answered, whatever the number of members.
    pub(crate) fn is_isolated(&self, now: Time) -> bool {
        self.assess(now, 1) == LocalHealth::Isolated
    }

    fn unanswered_probes(&self) -> usize {
        self.recent_probes
            .iter()
            .filter(|acknowledged| !**acknowledged)
            .count()
    }
}
