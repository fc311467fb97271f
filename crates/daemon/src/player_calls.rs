//! Calls of a player: from a text to requests for the event loop, or to errors at once.
use crate::message::Message;
use crate::names;
use crate::player::Player;
use crate::shared::Shared;
use crankpaddle_front::{Call, Input, RequestId, Time};
use crankpaddle_net::clock;
use crankpaddle_server_protocol::sessions;
use crankpaddle_session_api::jsonrpc::{self, Error, Id, Member};
use crankpaddle_session_api::methods::{session_number, Method};
use std::time::Duration;

/// Reads the calls of one connection and numbers them.
pub(crate) struct CallReader<'a> {
    shared: &'a Shared,
    player: &'a Player,
    last_number: u64,
}

impl CallReader<'_> {
    pub(crate) fn new<'a>(shared: &'a Shared, player: &'a Player) -> CallReader<'a> {
        CallReader {
            shared,
            player,
            last_number: 0,
        }
    }

    /// Handles one text: a call, or a batch of calls whose answers go back together.
    pub(crate) fn handle_text(&mut self, text: &str) {
        let (members, is_batch) = match jsonrpc::read(text) {
            jsonrpc::Message::One(member) => (vec![member], false),
            jsonrpc::Message::Batch(members) => (members, true),
        };
        let batch = is_batch.then_some(self.last_number + 1); // Named by its first call.
        if let Some(batch) = batch {
            self.player.calls().begin(batch, answer_count(&members));
        }
        let mut inputs = Vec::new();
        for member in members {
            self.last_number += 1;
            inputs.extend(self.read_member(member, batch));
        }
        if is_batch {
            self.limit_batch_wait(&mut inputs);
        }
        for input in inputs {
            self.shared.send(Message::PlayerRequest { input });
        }
    }

    /// The input that a call becomes; `None` where it is answered with an error, or not at all.
    fn read_member(&self, member: Member, batch: Option<u64>) -> Option<Input> {
        let call = match member {
            Ok(call) => call,
            Err((id, error)) => {
                self.answer_error(batch, &id, &error);
                return None;
            }
        };
        let number = self.last_number;
        let method = Method::of(&call.method, call.params);
        let input = method.and_then(|method| self.input(number, method));
        match (input, call.id) {
            // A set-up without an answer would play for nobody.
            (Ok(Input::Open { .. } | Input::Resume { .. }), None) => None,
            (Ok(input), None) => Some(input),
            (Ok(input), Some(id)) => {
                self.player.calls().wait(number, id, batch);
                Some(input)
            }
            (Err(error), Some(id)) => {
                self.answer_error(batch, &id, &error);
                None
            }
            (Err(_), None) => None, // A notification gets no answer, not even an error.
        }
    }

    /// A call in the core's terms.
    fn input(&self, number: u64, method: Method) -> Result<Input, Error> {
        let config = &self.shared.config;
        let call = Call {
            player: self.player.id,
            number,
        };
        Ok(match method {
            Method::Open(open) => Input::Open {
                call,
                open: names::open_request(config, open)?,
                received: Time(clock::now().as_nanos()),
            },
            Method::Resume(resume) => Input::Resume {
                call,
                tenant: names::tenant(config, resume.tenant.as_deref())?,
                key: sessions::bill(&resume.key),
            },
            Method::Close(close) => Input::Close {
                call,
                // A name that this front never gave becomes a session that nobody has.
                session: RequestId(session_number(&close.session).unwrap_or(0)),
            },
        })
    }

    fn answer_error(&self, batch: Option<u64>, id: &Id, error: &Error) {
        let mut calls = self.player.calls(); // Held while sending, which never waits; see `Player::answer`.
        for value in calls.answer_directly(batch, None, jsonrpc::error(id, error)) {
            self.player.send(&value);
        }
    }

    /// The answers of a batch go back together, so none may wait longer than the most impatient viewer in it.
    fn limit_batch_wait(&self, inputs: &mut [Input]) {
        let waits = inputs.iter().map(|input| self.wait_limit(input));
        let shortest = waits.min().unwrap_or(Duration::MAX);
        for input in inputs {
            if let Input::Open { open, .. } = input {
                open.max_wait = open.max_wait.min(shortest);
            }
        }
    }

    /// How long a request may wait, by its viewer and its class.
    fn wait_limit(&self, input: &Input) -> Duration {
        let Input::Open { open, .. } = input else {
            return Duration::MAX;
        };
        let class_limits = &self.shared.config.terms.max_wait;
        let class_limit = class_limits.get(usize::from(open.class)).copied();
        open.max_wait.min(class_limit.unwrap_or(Duration::MAX))
    }
}

/// How many members of a batch get an answer: all but well-formed notifications.
fn answer_count(members: &[Member]) -> usize {
    let is_answered = |member: &&Member| match member {
        Ok(call) => call.id.is_some(),
        Err(_) => true,
    };
    members.iter().filter(is_answered).count()
}
