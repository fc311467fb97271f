//! A core with six servers and a virtual clock.
use crate::common::{settings, SECOND};
use crankpaddle_front::*;
use std::time::Duration;

/// Probability that the policy decides right after an input, in runs that draw this at random.
const DECISION_PROBABILITY: f32 = 0.3;

pub(crate) struct Harness {
    pub(crate) core: Core,
    pub(crate) now: Time,
    outputs: Vec<Output>,
    calls: u64,
    /// Draws whether the policy decides after an input. Without it the policy always decides.
    decision_draws: Option<oorandom::Rand32>,
}

impl Harness {
    /// Creates a core that knows its servers and whose policy decides after each input.
    pub(crate) fn new() -> Harness {
        let now = Time(1000 * SECOND);
        let mut harness = Harness {
            core: Core::new(settings(), config(), 7, now),
            now,
            outputs: vec![],
            calls: 0,
            decision_draws: None,
        };
        harness.handle(Input::EndpointList(
            EndpointListKind::Full,
            (0..6).map(endpoint).collect(),
        ));
        harness
    }

    /// Lets the policy decide only after some of the inputs, which are drawn at random with `seed`.
    pub(crate) fn decide_in_batches(&mut self, seed: u64) {
        self.decision_draws = Some(oorandom::Rand32::new(seed));
    }

    /// Handles an input, then lets the policy decide, and returns the outputs. After [`Harness::decide_in_batches`] the
    /// policy decides only if the draw says so.
    pub(crate) fn handle(&mut self, input: Input) -> Vec<Output> {
        self.core.handle_input(self.now, input, &mut self.outputs);
        let decides = self
            .decision_draws
            .as_mut()
            .is_none_or(|draws| draws.rand_float() < DECISION_PROBABILITY);
        if decides {
            self.core.decide(self.now, &mut self.outputs);
            self.core.check_invariants().unwrap();
        }
        std::mem::take(&mut self.outputs)
    }

    /// Handles an input, and returns the outputs before the policy decides.
    pub(crate) fn handle_input(&mut self, input: Input) -> Vec<Output> {
        self.core.handle_input(self.now, input, &mut self.outputs);
        std::mem::take(&mut self.outputs)
    }

    /// Lets the policy decide, and returns the outputs.
    pub(crate) fn decide(&mut self) -> Vec<Output> {
        self.core.decide(self.now, &mut self.outputs);
        self.core.check_invariants().unwrap();
        std::mem::take(&mut self.outputs)
    }

    /// Creates a new call of a player.
    pub(crate) fn call(&mut self, player: u64) -> PlayerCall {
        self.calls += 1;
        PlayerCall {
            player: PlayerId(player),
            number: self.calls,
        }
    }

    /// Sends an open request for a session, and returns its call and the outputs.
    pub(crate) fn open(&mut self, player: u64, key: &str, class: u8) -> (PlayerCall, Vec<Output>) {
        let call = self.call(player);
        let open = OpenRequest {
            key: key.into(),
            viewer: player,
            class,
            cell_count: 6,
            max_rung: 2,
            max_wait: Duration::from_secs(9),
            ..OpenRequest::default()
        };
        let received = self.now;
        let outputs = self.handle(Input::Open {
            call,
            request: open,
            received_at: received,
        });
        (call, outputs)
    }

    /// Completes the set-up with a session that plays.
    pub(crate) fn establish(&mut self, attempt: AttemptId) -> Vec<Output> {
        self.handle(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])))
    }

    /// Ends the set-up without a session.
    pub(crate) fn fail_set_up(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Vec<Output> {
        self.handle(Input::SetUpCompleted(
            attempt,
            SetUpResult::Ended(outcome, vec![]),
        ))
    }

    /// Advances the clock, and handles each timer when it expires.
    pub(crate) fn advance(&mut self, nanoseconds: u64) -> Vec<Output> {
        let until = Time(self.now.0 + nanoseconds);
        while let Some(at) = self.core.next_expiry().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.core.expire(self.now, &mut self.outputs);
            self.core.check_invariants().unwrap();
        }
        self.now = until;
        std::mem::take(&mut self.outputs)
    }
}

/// The first attempt that the outputs start, with its server.
pub(crate) fn first_set_up(outputs: &[Output]) -> Option<(AttemptId, ServerId)> {
    outputs.iter().find_map(|output| match output {
        Output::StartSetUp {
            attempt, server, ..
        } => Some((*attempt, *server)),
        _ => None,
    })
}

/// The answers among the outputs.
pub(crate) fn answers(outputs: &[Output]) -> Vec<(PlayerCall, Answer)> {
    let answer_of = |output: &Output| match output {
        Output::Answer(call, answer) => Some((*call, answer.clone())),
        _ => None,
    };
    outputs.iter().filter_map(answer_of).collect()
}

fn config() -> CoreConfig {
    CoreConfig {
        max_wait: vec![Duration::from_secs(5), Duration::from_secs(4)],
        answer_margin: Duration::from_millis(100),
        resume_window: Duration::from_secs(3),
        recovered_resume_window: Duration::from_secs(10),
        max_pending: 1000,
        max_pending_per_player: 50,
        key_retention: Duration::from_secs(60),
        max_retained_keys: 100,
    }
}

fn endpoint(number: u32) -> Endpoint {
    Endpoint {
        server: ServerId(number),
        zone: 0,
        kind: 0,
        cell: number as u16,
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
        started_at: Time(0),
    }
}
