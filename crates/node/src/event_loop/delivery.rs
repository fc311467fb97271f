//! What becomes of messages that the kernel accepted: retained for a while, and handed out again if their connection ends first.
//!
//! A message that was written is not delivered yet. Its peer may have closed the connection a moment before, or close it with the
//! message unread. What the kernel reports at the end of the connection tells: the bytes that the peer's machine has
//! acknowledged, and whether the peer reset the connection, as a machine does where a program closes it with input unread.
use crankpaddle_front::Time;
use crankpaddle_net::{ReadEnd, WriteBuffer};
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Messages retained for one connection at most; the oldest is dropped first, and counts as delivered.
const MAX_RETAINED: usize = 256;

/// What is known of the delivery on a connection that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Delivery {
    /// Up to where the peer's machine has acknowledged what was sent, if the kernel reports it.
    acknowledged: Option<u64>,
    /// Whether the peer may have left unread what its machine acknowledged.
    may_be_unread: bool,
}

impl Delivery {
    /// On a connection whose reading has just ended, before it is closed.
    pub(crate) fn at_end(end: ReadEnd, outbox: &WriteBuffer) -> Delivery {
        Delivery {
            acknowledged: outbox.acknowledged_position(),
            may_be_unread: matches!(end, ReadEnd::Failed(_)),
        }
    }

    /// Whether the peer's machine did not get what ends at this position.
    fn is_missing(self, end_position: u64) -> bool {
        self.acknowledged
            .is_some_and(|acknowledged| acknowledged < end_position)
    }
}

/// How sure it is that a message was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Certainty {
    /// It never reached the peer's machine.
    Missing,
    /// It did, but the peer may not have read it.
    MaybeUnread,
}

/// A message that may not have been delivered.
pub(crate) struct UndeliveredMessage<M> {
    pub(crate) message: M,
    pub(crate) certainty: Certainty,
    /// Until when it may be sent again.
    pub(crate) expires_at: Time,
}

/// A message that was written to a connection.
struct RetainedMessage<M> {
    message: M,
    end_position: u64,
    expires_at: Time,
}

/// Messages that were written to connections and may have to be sent again.
pub(crate) struct RetainedMessages<C, M> {
    by_connection: HashMap<C, VecDeque<RetainedMessage<M>>>,
}

impl<C: Copy + Eq + Hash, M> RetainedMessages<C, M> {
    pub(crate) fn new() -> RetainedMessages<C, M> {
        RetainedMessages {
            by_connection: HashMap::new(),
        }
    }

    /// Retains a message that was just pushed to `outbox`, until `expires_at`.
    pub(crate) fn retain(
        &mut self,
        connection: C,
        outbox: &WriteBuffer,
        message: M,
        expires_at: Time,
    ) {
        let messages = self.by_connection.entry(connection).or_default();
        if messages.len() == MAX_RETAINED {
            messages.pop_front();
        }
        messages.push_back(RetainedMessage {
            message,
            end_position: outbox.end_position(),
            expires_at,
        });
    }

    /// Drops what has expired: whatever became of it, it is not sent again.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.by_connection.retain(|_, messages| {
            messages.retain(|message| now < message.expires_at);
            !messages.is_empty()
        });
    }

    /// The messages of a connection that has ended which may not have been delivered, in order.
    pub(crate) fn take_undelivered(
        &mut self,
        connection: C,
        delivery: Delivery,
    ) -> Vec<UndeliveredMessage<M>> {
        let messages = self.by_connection.remove(&connection).unwrap_or_default();
        messages
            .into_iter()
            .filter_map(|retained| {
                let certainty = if delivery.is_missing(retained.end_position) {
                    Certainty::Missing
                } else if delivery.may_be_unread {
                    Certainty::MaybeUnread
                } else {
                    return None;
                };
                Some(UndeliveredMessage {
                    message: retained.message,
                    certainty,
                    expires_at: retained.expires_at,
                })
            })
            .collect()
    }
}
