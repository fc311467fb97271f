//! Pending calls of one connection, and the order of outgoing messages. Pure.
//!
//! The answers of a batch go out together, so an answer that is ready waits for the others of its batch.
//!
//! Invariant: a notification about a session never overtakes the answer that makes the session known. A client that
//! received it first would drop it, and show the wrong rung or wait for a session that has ended. So notifications of
//! a session are deferred until the batch with its answer has gone out. The cost: such a notification is as late as
//! the slowest member of its batch, which is bounded by the shortest wait among its viewers.
use crate::jsonrpc::Id;
use serde_json::Value;
use std::collections::BTreeMap;

/// A batch whose answers are being collected.
#[derive(Clone, Debug)]
struct Batch {
    answers: Vec<Value>,
    /// How many members get an answer.
    expected_answers: usize,
    /// Sessions that its answers so far make known.
    sessions: Vec<u64>,
    /// Notifications that go out behind its answers.
    deferred: Vec<Value>,
}

impl Batch {
    fn new(expected_answers: usize) -> Batch {
        Batch {
            answers: Vec::new(),
            expected_answers,
            sessions: Vec::new(),
            deferred: Vec::new(),
        }
    }

    fn is_complete(&self) -> bool {
        self.answers.len() >= self.expected_answers
    }

    /// Its answers as one message, then the deferred notifications.
    fn into_messages(self) -> Vec<Value> {
        let mut messages = vec![Value::Array(self.answers)];
        messages.extend(self.deferred);
        messages
    }
}

/// A call without an answer yet.
#[derive(Clone, Debug)]
struct PendingCall {
    number: u64,
    id: Id,
    batch: Option<u64>,
}

/// The pending calls of one connection. Numbers of calls and batches are the connection's own and never used twice.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    pending: Vec<PendingCall>,
    batches: BTreeMap<u64, Batch>,
}

impl Calls {
    /// Begins a batch of which `expected_answers` members get an answer. One without any is not tracked.
    pub fn begin(&mut self, batch: u64, expected_answers: usize) {
        if expected_answers > 0 {
            self.batches.insert(batch, Batch::new(expected_answers));
        }
    }

    /// Adds a call that is answered later.
    pub fn add_pending(&mut self, number: u64, id: Id, batch: Option<u64>) {
        self.pending.push(PendingCall { number, id, batch });
    }

    /// Answers a pending call; returns the messages that go out now, in order. Ignores a call that is not pending.
    /// `session` is the session that the answer makes known, if any.
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
            self.pending = Vec::new(); // An idle connection holds no memory for calls.
        }
        self.answer_directly(call.batch, session, make_answer(&call.id))
    }

    /// Answers a call that was never pending; returns the messages that go out now, in order.
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
        batch.sessions.extend(session);
        if !batch.is_complete() {
            return Vec::new();
        }
        let complete = self.batches.remove(&batch_number);
        complete.map_or_else(Vec::new, Batch::into_messages)
    }

    /// Returns a session's notification if it may go out now, else defers it behind the batch that makes the session
    /// known.
    pub fn notify(&mut self, session: u64, notification: Value) -> Option<Value> {
        let announcing_batch = self
            .batches
            .values_mut()
            .find(|batch| batch.sessions.contains(&session));
        let Some(batch) = announcing_batch else {
            return Some(notification);
        };
        batch.deferred.push(notification);
        None
    }
}

#[cfg(test)]
mod tests;
