//! Retains messages that the kernel accepted for a while, and returns those that may not have been delivered when their
//! connection ends.
//!
//! A message that was written is not necessarily delivered: the peer may have closed the connection a moment before, or may
//! close it with the message unread. Two facts that the kernel reports at the end of the connection tell whether it was
//! delivered: how many bytes the peer's machine has acknowledged, and whether the peer reset the connection. A machine resets a
//! connection that a program closes with input unread.
use crankpaddle_front::Time;
use crankpaddle_net::{ReadEnd, WriteBuffer};
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Maximum number of messages retained for one connection. Beyond it the oldest is dropped, and counts as delivered.
const MAX_RETAINED: usize = 256;

/// What the kernel reported on the delivery of messages when a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeliveryStatus {
    /// Number of bytes sent on the connection that the peer's machine has acknowledged; `None` if the kernel does not report
    /// it.
    acknowledged: Option<u64>,
    /// Whether reading failed, as it does after a reset, so that the peer may not have read all that its machine acknowledged.
    may_be_unread: bool,
}

impl DeliveryStatus {
    /// The status of a connection whose reading has just ended. It must be taken before this side closes the connection.
    pub(crate) fn at_end(end: ReadEnd, outbox: &WriteBuffer) -> DeliveryStatus {
        DeliveryStatus {
            acknowledged: outbox.acknowledged_position(),
            may_be_unread: matches!(end, ReadEnd::Failed(_)),
        }
    }

    /// Whether the peer's machine did not receive all bytes up to `end_position`.
    fn is_unacknowledged(self, end_position: u64) -> bool {
        self.acknowledged
            .is_some_and(|acknowledged| acknowledged < end_position)
    }
}

/// How certain it is that a message was not delivered. Log lines show the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Certainty {
    /// It never reached the peer's machine.
    Missing,
    /// It reached the peer's machine, but the peer may not have read it.
    MaybeUnread,
}

/// A message that may not have been delivered.
pub(crate) struct UndeliveredMessage<M> {
    pub(crate) message: M,
    pub(crate) certainty: Certainty,
    /// The time after which it is not sent again.
    pub(crate) expires_at: Time,
}

/// A message that was written to a connection.
struct RetainedMessage<M> {
    message: M,
    /// Where it ends, in bytes from the start of the connection.
    end_position: u64,
    expires_at: Time,
}

/// Messages of type `M` that were written to connections with ids of type `C` and may have to be sent again.
pub(crate) struct RetainedMessages<C, M> {
    by_connection: HashMap<C, VecDeque<RetainedMessage<M>>>,
}

impl<C: Copy + Eq + Hash, M> RetainedMessages<C, M> {
    pub(crate) fn new() -> RetainedMessages<C, M> {
        RetainedMessages {
            by_connection: HashMap::new(),
        }
    }

    /// Retains a message until `expires_at`. It must be the last one that was pushed to `outbox`.
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

    /// Drops messages that have expired, delivered or not, as they are not sent again.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.by_connection.retain(|_, messages| {
            messages.retain(|message| now < message.expires_at);
            !messages.is_empty()
        });
    }

    /// Removes all messages of a connection that has ended, and returns those that may not have been delivered, in order.
    pub(crate) fn take_undelivered(
        &mut self,
        connection: C,
        delivery: DeliveryStatus,
    ) -> Vec<UndeliveredMessage<M>> {
        let messages = self.by_connection.remove(&connection).unwrap_or_default();
        messages
            .into_iter()
            .filter_map(|retained| {
                let certainty = if delivery.is_unacknowledged(retained.end_position) {
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
