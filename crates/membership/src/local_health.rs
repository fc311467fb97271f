//! A member's own health. A member that gets no answers uses it to tell whether the others are failing, or whether it is slow
//! or disconnected itself.
use crankpaddle_time::Time;
use std::collections::VecDeque;

/// How well a member is connected to the others, as far as it can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LocalHealth {
    /// It knows no other member.
    Alone,
    /// The members that it probes answer.
    Connected,
    /// Its process was stalled recently, or at least two of its last four probes were not answered.
    Degraded,
    /// None of its recent probes was answered, or it knows dead members only. It declares no member suspect or dead.
    Isolated,
    /// Another process took over its name. It does not send datagrams any more.
    Replaced,
}

/// The number of latest probes whose outcome is remembered.
const PROBE_HISTORY_LENGTH: usize = 4;
/// The worst score: the maximum of Lifeguard's local health multiplier.
const MAX_SCORE: u32 = 8;
/// The lowest score that a process has after it was stalled.
const MIN_SCORE_AFTER_STALL: u32 = 2;

/// Tracks this member's own health as a score from 0 (healthy) to [`MAX_SCORE`].
///
/// The score is Lifeguard's local health multiplier: the worse a member's own health is, the longer it waits for an answer
/// before it suspects another member.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalHealthMonitor {
    score: u32,
    recent_probes: VecDeque<bool>, // Whether each probe was acknowledged, the latest last.
    degraded_until: Time,
}

impl LocalHealthMonitor {
    /// The factor by which timeouts of probes are multiplied.
    pub(crate) fn multiplier(&self) -> u32 {
        1 + self.score
    }

    /// Records the outcome of a probe.
    pub(crate) fn record_probe(&mut self, acknowledged: bool) {
        self.recent_probes.push_back(acknowledged);
        while self.recent_probes.len() > PROBE_HISTORY_LENGTH {
            self.recent_probes.pop_front();
        }
        if acknowledged {
            self.score = self.score.saturating_sub(1);
        }
    }

    /// Records evidence that this member itself is slow or disconnected: a helper of an indirect probe did not even send a
    /// nack, or this member had to refute a suspicion.
    pub(crate) fn worsen(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Records that this process was stalled. Its health is degraded until `until`. The outcomes of earlier probes are dropped,
    /// since answers may be missing only because of the stall.
    pub(crate) fn record_stall(&mut self, until: Time) {
        self.degraded_until = until;
        self.recent_probes.clear();
        self.score = self.score.max(MIN_SCORE_AFTER_STALL);
    }

    /// The health at `now` if `active_members` other members are active.
    pub(crate) fn assess(&self, now: Time, active_members: usize) -> LocalHealth {
        if active_members == 0 {
            return LocalHealth::Alone;
        }
        let unanswered = self.unanswered_probes();
        if self.recent_probes.len() == PROBE_HISTORY_LENGTH && unanswered == PROBE_HISTORY_LENGTH {
            return LocalHealth::Isolated;
        }
        if now < self.degraded_until || unanswered * 2 >= PROBE_HISTORY_LENGTH {
            return LocalHealth::Degraded;
        }
        LocalHealth::Connected
    }

    /// Whether none of the recent probes was answered, regardless of the number of active members.
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
