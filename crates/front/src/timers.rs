//! The timers of a core, ordered by time. Entries are never cancelled. Instead the handler of an expired entry checks
//! whether the entry still applies.
use crate::ids::AttemptId;
use crankpaddle::{RequestId, Time};
use std::collections::BTreeSet;

/// What a timer is for. Entries of the same time expire in the order of the variants and their fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEntry {
    /// A timer that the placement policy set, with its token.
    PolicyTimer(u32),
    /// The time-out of an attempt.
    AttemptTimeout(AttemptId),
    /// The latest time at which the request must be answered.
    AnswerDeadline(RequestId),
    /// The end of the time within which a disconnected player may reattach to its request.
    ResumeWindow {
        request: RequestId,
        /// Number of the request's disconnects when the timer was set. If it has changed since, the player has
        /// reattached and disconnected again, and only the entry of the latest disconnect applies.
        disconnects: u32,
    },
    /// The end of the retention of an ended request's key.
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
