//! Pending calls of one connection, and the order of its outgoing messages. This module performs no I/O.
//!
//! The answers of a batch are sent together, so an answer that is ready waits for the others of its batch.
//!
//! Invariant: a notification about a session never overtakes the answer that announces the session. A client that
//! received the notification first would drop it, and show the wrong rung or wait for a session that has ended. The
//! notifications of a session are therefore deferred until the batch with its answer was sent. The disadvantage is that
//! such a notification is as late as the slowest member of its batch, which is bounded by the shortest wait among its
//! viewers.
use crate::jsonrpc::Id;
use serde_json::Value;
use std::collections::BTreeMap;

/// A batch whose answers are being collected.
#[derive(Clone, Debug)]
struct Batch {
    answers: Vec<Value>,
    /// Number of members that get an answer.
    expected_answers: usize,
    /// Sessions that the collected answers announce to the client.
    announced_sessions: Vec<u64>,
    /// Notifications about these sessions, to be sent after the answers.
    deferred_notifications: Vec<Value>,
}

impl Batch {
    fn new(expected_answers: usize) -> Batch {
        Batch {
            answers: Vec::new(),
            expected_answers,
            announced_sessions: Vec::new(),
            deferred_notifications: Vec::new(),
        }
    }

    fn is_complete(&self) -> bool {
        self.answers.len() >= self.expected_answers
    }

    /// The answers as one message, followed by the deferred notifications.
    fn into_messages(self) -> Vec<Value> {
        let mut messages = vec![Value::Array(self.answers)];
        messages.extend(self.deferred_notifications);
        messages
    }
}

/// A call that has no answer yet.
#[derive(Clone, Debug)]
struct PendingCall {
    number: u64,
    id: Id,
    batch: Option<u64>,
}

/// The pending calls and batches of one connection. The connection assigns their numbers and never reuses one.
#[derive(Clone, Debug, Default)]
pub struct PendingCalls {
    pending: Vec<PendingCall>,
    batches: BTreeMap<u64, Batch>,
}

impl PendingCalls {
    /// Begins a batch of which `expected_answers` members get an answer. A batch without any is not tracked.
    pub fn begin(&mut self, batch: u64, expected_answers: usize) {
        if expected_answers > 0 {
            self.batches.insert(batch, Batch::new(expected_answers));
        }
    }

    /// Adds a call that is answered later, with the number of its batch if it belongs to one.
    pub fn add_pending(&mut self, number: u64, id: Id, batch: Option<u64>) {
        self.pending.push(PendingCall { number, id, batch });
    }

    /// Answers a pending call, and returns the messages to send now, in order. A call that is not pending is ignored.
    /// `session` is the session that the answer announces, if any.
    pub fn answer(
        &mut self,
        number: u64,
        session: Option<u64>,
        make_answer: impl FnOnce(&Id) -> Value,
    ) -> Vec<Value> {
        let Some(index) = self.pending.iter().position(|call| call.number == number) else {
            return Vec::new();
        };
        let call = self.pending.swap_remove(index);
        if self.pending.is_empty() {
            self.pending = Vec::new(); // Frees the memory, so that an idle connection uses none for calls.
        }
        self.answer_directly(call.batch, session, make_answer(&call.id))
    }

    /// Answers a call that was not added as pending, and returns the messages to send now, in order.
    pub fn answer_directly(
        &mut self,
        batch: Option<u64>,
        session: Option<u64>,
        answer: Value,
    ) -> Vec<Value> {
        let Some(batch_number) = batch else {
            return vec![answer];
        };
        let Some(batch) = self.batches.get_mut(&batch_number) else {
            return vec![answer];
        };
        batch.answers.push(answer);
        batch.announced_sessions.extend(session);
        if !batch.is_complete() {
            return Vec::new();
        }
        let complete = self.batches.remove(&batch_number);
        complete.map_or_else(Vec::new, Batch::into_messages)
    }

    /// Returns a notification about a session if it may be sent now. Otherwise defers it until the batch that announces
    /// the session is sent.
    pub fn notify(&mut self, session: u64, notification: Value) -> Option<Value> {
        let announcing_batch = self
            .batches
            .values_mut()
            .find(|batch| batch.announced_sessions.contains(&session));
        let Some(batch) = announcing_batch else {
            return Some(notification);
        };
        batch.deferred_notifications.push(notification);
        None
    }
}

#[cfg(test)]
mod tests;
