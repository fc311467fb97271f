//! The expiries of a core, ordered by time. Entries are never cancelled: the handler of an expired entry checks whether
//! it still applies.
use crate::ids::AttemptId;
use crankpaddle::{RequestId, Time};
use std::collections::BTreeSet;

/// What happens when a timer expires. Entries of the same time expire in the order of the variants and their fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEntry {
    /// A timer that the placement policy set, with its token.
    PolicyTimer(u32),
    /// The time allowed for an attempt is over.
    AttemptTimeout(AttemptId),
    /// The request must be answered now.
    AnswerDeadline(RequestId),
    /// The player of this session has been disconnected for too long.
    ResumeWindow {
        request: RequestId,
        /// The request's count of disconnects when the timer was set; the entry applies only if it is still the same.
        disconnects: u32,
    },
    /// The retention of the ended request's key is over.
    KeyRetention(RequestId),
    /// A request in the recovery queue may have to be answered.
    RecoveryQueue,
    /// The staged recovery may reach its next stage.
    RecoveryStage,
}

/// The pending timer entries.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Time, TimerEntry)>);

impl Timers {
    pub(crate) fn set(&mut self, at: Time, entry: TimerEntry) {
        self.0.insert((at, entry));
    }

    /// When the first entry expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first entry that has expired at `now`.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<TimerEntry> {
        let expires_at = self.next_expiry()?;
        if expires_at > now {
            return None;
        }
        self.0.pop_first().map(|(_, entry)| entry)
    }
}
