//! The calls of one connection that wait for their answers, and the order of what goes out. Pure.
//!
//! Answers of a batch go back together, so one that is ready waits for the others. Danger: a notice of a session that
//! overtakes its own answer in a batch speaks of a session that the player does not know yet; a client that drops it
//! shows the wrong rung, or waits for a session that has ended. So notices of a session are held until the batch that
//! answers it has gone out. Harm: such a notice is as late as the slowest member of its batch, which is bounded by the
//! most impatient viewer in it.
use crate::jsonrpc::Id;
use serde_json::Value;
use std::collections::BTreeMap;

/// A batch whose answers are collected.
#[derive(Clone, Debug)]
struct Batch {
    answers: Vec<Value>,
    owed: usize,
    sessions: Vec<u64>, // That its answers so far tell of.
    held: Vec<Value>,   // Notices that wait behind it.
}

/// A call that waits.
#[derive(Clone, Debug)]
struct Waiting {
    number: u64,
    id: Id,
    batch: Option<u64>,
}

/// The calls of one connection. Numbers of calls and batches are the connection's own and never used twice.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    waiting: Vec<Waiting>,
    batches: BTreeMap<u64, Batch>,
}

impl Calls {
    /// A batch begins; `owed` of its members want an answer. One that owes none is no batch to wait for.
    pub fn begin(&mut self, batch: u64, owed: usize) {
        if owed > 0 {
            let empty = Batch {
                answers: Vec::new(),
                owed,
                sessions: Vec::new(),
                held: Vec::new(),
            };
            self.batches.insert(batch, empty);
        }
    }

    /// A call waits for its answer from now on.
    pub fn wait(&mut self, number: u64, id: Id, batch: Option<u64>) {
        self.waiting.push(Waiting { number, id, batch });
    }

    /// The answer to a call that waits; gives what goes out now, in order. A call that does not wait is ignored.
    /// `session` is what the answer tells of, if it makes one known.
    pub fn answer(
        &mut self,
        number: u64,
        session: Option<u64>,
        with: impl FnOnce(&Id) -> Value,
    ) -> Vec<Value> {
        let Some(at) = self.waiting.iter().position(|w| w.number == number) else {
            return Vec::new();
        };
        let waiting = self.waiting.swap_remove(at);
        if self.waiting.is_empty() {
            self.waiting = Vec::new(); // An idle connection keeps nothing.
        }
        self.give(waiting.batch, session, with(&waiting.id))
    }

    /// An answer to a member that never came to wait; gives what goes out now.
    pub fn give(&mut self, batch: Option<u64>, session: Option<u64>, answer: Value) -> Vec<Value> {
        let Some((number, of)) = batch.and_then(|n| Some((n, self.batches.get_mut(&n)?))) else {
            return vec![answer];
        };
        of.answers.push(answer);
        of.sessions.extend(session);
        if of.answers.len() < of.owed {
            return Vec::new();
        }
        let done = self.batches.remove(&number);
        done.map_or_else(Vec::new, |b| {
            std::iter::once(Value::Array(b.answers))
                .chain(b.held)
                .collect::<Vec<_>>()
        })
    }

    /// A notice of a session; given back where it may go out now, else it follows the answer that it waits for.
    pub fn notice(&mut self, session: u64, notice: Value) -> Option<Value> {
        match self
            .batches
            .values_mut()
            .find(|b| b.sessions.contains(&session))
        {
            Some(batch) => {
                batch.held.push(notice);
                None
            }
            None => Some(notice),
        }
    }
}

#[cfg(test)]
mod tests;
