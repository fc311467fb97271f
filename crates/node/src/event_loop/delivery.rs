//! What becomes of messages that the kernel accepted: kept for a while, and handed out again if their connection ends first.
//!
//! A message that was written is not delivered yet. Its peer may have closed the connection a moment before, or close it with the
//! message unread. What the kernel reports at the end of the connection tells: the bytes that the peer's machine has
//! acknowledged, and whether the peer reset the connection, as a machine does where a program closes it with input unread.
use crankpaddle_front::Time;
use crankpaddle_net::{ReadEnd, WriteBuffer};
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Messages kept for one connection at most; the oldest is dropped first, and counts as delivered.
const MAX_KEPT: usize = 256;

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

/// A message that was written to a connection.
struct KeptMessage<M> {
    message: M,
    end_position: u64,
    expires_at: Time,
}

/// Messages that were written to connections and may have to be sent again.
pub(crate) struct KeptMessages<C, M> {
    by_connection: HashMap<C, VecDeque<KeptMessage<M>>>,
}

impl<C: Copy + Eq + Hash, M> KeptMessages<C, M> {
    pub(crate) fn new() -> KeptMessages<C, M> {
        KeptMessages {
            by_connection: HashMap::new(),
        }
    }

    /// Keeps a message that was just pushed to `outbox`, until `expires_at`.
    pub(crate) fn keep(
        &mut self,
        connection: C,
        outbox: &WriteBuffer,
        message: M,
        expires_at: Time,
    ) {
        let kept = self.by_connection.entry(connection).or_default();
        if kept.len() == MAX_KEPT {
            kept.pop_front();
        }
        kept.push_back(KeptMessage {
            message,
            end_position: outbox.end_position(),
            expires_at,
        });
    }

    /// Drops what has expired: whatever became of it, it is not sent again.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.by_connection.retain(|_, kept| {
            kept.retain(|message| now < message.expires_at);
            !kept.is_empty()
        });
    }

    /// The messages of a connection that has ended which may not have been delivered, in order, each until when it may be sent.
    pub(crate) fn take_undelivered(
        &mut self,
        connection: C,
        delivery: Delivery,
    ) -> Vec<(M, Certainty, Time)> {
        let kept = self.by_connection.remove(&connection).unwrap_or_default();
        kept.into_iter()
            .filter_map(|kept| {
                let certainty = if delivery.is_missing(kept.end_position) {
                    Certainty::Missing
                } else if delivery.may_be_unread {
                    Certainty::MaybeUnread
                } else {
                    return None;
                };
                Some((kept.message, certainty, kept.expires_at))
            })
            .collect()
    }
}
