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
mod tests {
    use super::*;
    use serde_json::json;

    fn id(n: u64) -> Id {
        Id(n.into())
    }

    #[test]
    fn single_answers_go_out_at_once_and_only_for_calls_that_wait() {
        let mut calls = Calls::default();
        calls.wait(1, id(7), None);
        assert!(calls.answer(2, None, |_| json!("x")).is_empty());
        assert_eq!(
            calls.answer(1, Some(5), |id| json!({"id": id})),
            [json!({"id": 7})]
        );
        assert!(calls.answer(1, None, |_| json!("again")).is_empty());
        assert_eq!(calls.notice(5, json!("rung")), Some(json!("rung")));
    }

    #[test]
    fn notices_of_a_session_follow_the_batch_that_makes_it_known() {
        let mut calls = Calls::default();
        calls.begin(1, 3);
        calls.wait(1, id(1), Some(1));
        calls.wait(2, id(2), Some(1));
        assert!(calls.give(Some(1), None, json!("malformed")).is_empty());
        assert!(calls.answer(1, Some(9), |_| json!("plays")).is_empty());
        assert_eq!(calls.notice(9, json!("rung")), None);
        assert_eq!(
            calls.notice(8, json!("other")),
            Some(json!("other")),
            "another session's is not held"
        );
        assert_eq!(calls.notice(9, json!("end")), None);
        let out = calls.answer(2, None, |_| json!("refused"));
        assert_eq!(
            out,
            [
                json!(["malformed", "plays", "refused"]),
                json!("rung"),
                json!("end")
            ]
        );
        assert_eq!(calls.notice(9, json!("later")), Some(json!("later")));
    }

    #[test]
    fn batches_under_way_together_are_kept_apart() {
        let mut calls = Calls::default();
        for batch in [1, 2] {
            calls.begin(batch, 2);
            calls.wait(batch * 10, id(batch), Some(batch));
            calls.wait(batch * 10 + 1, id(batch), Some(batch));
        }
        calls.answer(10, Some(1), |_| json!(1));
        calls.answer(20, Some(2), |_| json!(2));
        assert_eq!(calls.notice(1, json!("a")), None);
        assert_eq!(calls.answer(21, None, |_| json!(3)), [json!([2, 3])]);
        assert_eq!(
            calls.answer(11, None, |_| json!(4)),
            [json!([1, 4]), json!("a")]
        );
        calls.begin(3, 0);
        assert_eq!(
            calls.give(Some(3), None, json!("x")),
            [json!("x")],
            "one that owes nothing holds nothing"
        );
    }
}
