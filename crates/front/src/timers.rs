//! What falls due when. Timers are never withdrawn: who is called looks whether it still matters.
use crate::input::AttemptId;
use crankpaddle::{RequestId, Time};
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A timer of the decision module.
    Wake(u32),
    /// The time allowed for an attempt is over.
    Attempt(AttemptId),
    /// The request must be answered now.
    Answer(RequestId),
    /// The player of this session has been away for too long; counts only if it has not been back since.
    Away(RequestId, u32),
    /// What a finished key stood for may be forgotten.
    Forget(RequestId),
    /// Who waits for service to return may have to be answered.
    Held,
    /// Returning service may take a step.
    Stage,
}

#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Time, Due)>);

impl Timers {
    pub(crate) fn set(&mut self, at: Time, due: Due) {
        self.0.insert((at, due));
    }

    pub(crate) fn next(&self) -> Option<Time> {
        self.0.first().map(|(at, _)| *at)
    }

    /// The first that is due at `now`.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Due> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, due)| due)
    }
}
