//! Parses a player's calls. Valid ones become requests to the event loop; others are answered with errors at once.
use crate::message::EventLoopMessage;
use crate::names;
use crate::player::PlayerConnection;
use crate::shared::Shared;
use crankpaddle_front::{Input, PlayerCall, RequestId};
use crankpaddle_net::clock;
use crankpaddle_server_protocol::sessions;
use crankpaddle_session_api::jsonrpc::{self, Error, Id, Member};
use crankpaddle_session_api::methods::{session_number, Method};
use std::time::Duration;

/// Parses the calls of one connection and numbers them.
pub(crate) struct CallReader<'a> {
    shared: &'a Shared,
    player: &'a PlayerConnection,
    /// The number of the last call; the first call gets 1.
    last_number: u64,
}

impl CallReader<'_> {
    pub(crate) fn new<'a>(shared: &'a Shared, player: &'a PlayerConnection) -> CallReader<'a> {
        CallReader {
            shared,
            player,
            last_number: 0,
        }
    }

    /// Handles one text message: a call, or a batch of calls, whose answers are sent together.
    pub(crate) fn handle_text(&mut self, text: &str) {
        let (members, is_batch) = match jsonrpc::read(text) {
            jsonrpc::Message::Single(member) => (vec![member], false),
            jsonrpc::Message::Batch(members) => (members, true),
        };
        let batch = is_batch.then_some(self.last_number + 1); // A batch is identified by its first call's number.
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
            self.shared.send(EventLoopMessage::PlayerRequest { input });
        }
    }

    /// Converts a call to an input for the core; `None` if it is ignored or was answered with an error.
    fn read_member(&self, member: Member, batch: Option<u64>) -> Option<Input> {
        let call = match member {
            Ok(call) => call,
            Err((id, error)) => {
                self.answer_error(batch, &id, &error);
                return None;
            }
        };
        let number = self.last_number;
        let method = Method::parse(&call.method, call.params);
        let input = method.and_then(|method| self.input(number, method));
        match (input, call.id) {
            // Ignored: without an answer the player would never get to know its session.
            (Ok(Input::Open { .. } | Input::Resume { .. }), None) => None,
            (Ok(input), None) => Some(input),
            (Ok(input), Some(id)) => {
                self.player.calls().add_pending(number, id, batch);
                Some(input)
            }
            (Err(error), Some(id)) => {
                self.answer_error(batch, &id, &error);
                None
            }
            (Err(_), None) => None, // A notification gets no answer, not even an error.
        }
    }

    /// Converts a method call to the core's input.
    fn input(&self, number: u64, method: Method) -> Result<Input, Error> {
        let config = &self.shared.config;
        let call = PlayerCall {
            player: self.player.id,
            number,
        };
        Ok(match method {
            Method::Open(open) => Input::Open {
                call,
                request: names::open_request(config, open)?,
                received_at: clock::now(),
            },
            Method::Resume(resume) => Input::Resume {
                call,
                tenant: names::tenant(config, resume.tenant.as_deref())?,
                key: sessions::billing_key(&resume.key),
            },
            Method::Close(close) => Input::Close {
                call,
                // Zero stands for a malformed name; no session has this number.
                session: RequestId(session_number(&close.session).unwrap_or(0)),
            },
        })
    }

    fn answer_error(&self, batch: Option<u64>, id: &Id, error: &Error) {
        // Locked while sending, for the reason given in `PlayerConnection::answer`.
        let mut calls = self.player.calls();
        for value in calls.answer_directly(batch, None, jsonrpc::error(id, error)) {
            self.player.send(&value);
        }
    }

    /// Limits the wait of all requests in a batch to the shortest of them, because the answers are sent together.
    fn limit_batch_wait(&self, inputs: &mut [Input]) {
        let waits = inputs.iter().map(|input| self.wait_limit(input));
        let shortest = waits.min().unwrap_or(Duration::MAX);
        for input in inputs {
            if let Input::Open { request, .. } = input {
                request.max_wait = request.max_wait.min(shortest);
            }
        }
    }

    /// Longest time that a request may wait: the lower of the viewer's limit and the class's limit.
    fn wait_limit(&self, input: &Input) -> Duration {
        let Input::Open { request, .. } = input else {
            return Duration::MAX;
        };
        let class_limits = &self.shared.config.terms.max_wait;
        let class_limit = class_limits.get(usize::from(request.class)).copied();
        request.max_wait.min(class_limit.unwrap_or(Duration::MAX))
    }
}

/// The number of batch members that get an answer: all except well-formed notifications.
fn answer_count(members: &[Member]) -> usize {
    let is_answered = |member: &&Member| match member {
        Ok(call) => call.id.is_some(),
        Err(_) => true,
    };
    members.iter().filter(is_answered).count()
}
