//! Requests that wait, before anything is decided on them, until it is known what a former life had begun.
use crate::input::{Call, OpenRequest, PlayerId};
use crankpaddle::Time;
use std::collections::VecDeque;

/// One of them.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub call: Call,
    pub open: OpenRequest,
    pub received: Time,
    /// When it must be answered.
    pub deadline: Time,
}

/// All of them, in the order in which they came.
#[derive(Debug, Default)]
pub(crate) struct Queue(VecDeque<Held>);

impl Queue {
    pub(crate) fn push(&mut self, held: Held) {
        self.0.push_back(held);
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn of(&self, player: PlayerId) -> usize {
        self.0.iter().filter(|h| h.call.player == player).count()
    }

    pub(crate) fn take_all(&mut self) -> impl Iterator<Item = Held> {
        std::mem::take(&mut self.0).into_iter()
    }

    pub(crate) fn take_due(&mut self, now: Time) -> Vec<Held> {
        let (due, rest) = std::mem::take(&mut self.0)
            .into_iter()
            .partition(|h| h.deadline <= now);
        self.0 = rest;
        Vec::from(due as VecDeque<Held>)
    }

    /// Its connection is gone, and no answer is owed on it.
    pub(crate) fn drop_of(&mut self, player: PlayerId) {
        self.0.retain(|h| h.call.player != player);
    }
}
