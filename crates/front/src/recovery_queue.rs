//! The queue of requests on which the core does not decide until it is known which set-ups a previous incarnation had
//! started.
use crate::ids::{PlayerCall, PlayerId};
use crate::input::OpenRequest;
use crankpaddle::Time;
use std::collections::VecDeque;

/// A player's request for a session, with the call that gets the answer.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedOpen {
    pub call: PlayerCall,
    pub open: OpenRequest,
    /// When the message was read off the socket.
    pub received_at: Time,
}

/// A request that waits, at most until its deadline, for the core to decide on it.
#[derive(Clone, Debug)]
pub(crate) struct QueuedOpen {
    pub received_open: ReceivedOpen,
    /// When the request must be answered.
    pub deadline: Time,
}

/// The queued requests in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct RecoveryQueue(VecDeque<QueuedOpen>);

impl RecoveryQueue {
    pub(crate) fn push(&mut self, queued: QueuedOpen) {
        self.0.push_back(queued);
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Number of queued requests of one player.
    pub(crate) fn count_of(&self, player: PlayerId) -> usize {
        self.0
            .iter()
            .filter(|queued| queued.received_open.call.player == player)
            .count()
    }

    /// Removes and returns all queued requests, oldest first.
    pub(crate) fn take_all(&mut self) -> VecDeque<QueuedOpen> {
        std::mem::take(&mut self.0)
    }

    /// Removes and returns the requests whose deadline has come at `now`.
    pub(crate) fn take_due(&mut self, now: Time) -> VecDeque<QueuedOpen> {
        let (due, remaining) = self
            .take_all()
            .into_iter()
            .partition(|queued| queued.deadline <= now);
        self.0 = remaining;
        due
    }

    /// Removes the requests of a player that left or disconnected; they get no answer.
    pub(crate) fn remove_player(&mut self, player: PlayerId) {
        self.0
            .retain(|queued| queued.received_open.call.player != player);
    }
}
