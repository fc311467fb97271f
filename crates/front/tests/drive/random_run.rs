//! Runs with random inputs of players and servers over about a minute of virtual time. Only inputs and outputs are
//! checked.
use crate::common::{FREE, MILLISECOND, PAID, SECOND};
use crate::harness::Harness;
use crankpaddle_front::*;
use std::collections::{BTreeMap, BTreeSet};

const STEPS: u32 = 3000;

/// A call that has no answer yet.
#[derive(Debug)]
struct PendingCall {
    key: String,
    opened_at: Time,
}

/// The request and class of an attempt.
#[derive(Clone, Copy)]
struct StartedAttempt {
    request: RequestId,
    class: u8,
}

struct RandomRun {
    seed: u64,
    rng: oorandom::Rand32,
    harness: Harness,
    pending_calls: BTreeMap<PlayerCall, PendingCall>,
    outstanding: BTreeMap<RequestId, AttemptId>,
    attempts: BTreeMap<AttemptId, StartedAttempt>,
    playing: BTreeSet<AttemptId>,
    /// Paid requests with an attempt that may have run.
    paid_that_may_have_run: BTreeSet<RequestId>,
    keys: BTreeMap<RequestId, String>,
}

impl RandomRun {
    fn new(seed: u64, in_batches: bool) -> RandomRun {
        let mut harness = Harness::new();
        if in_batches {
            harness.decide_in_batches(seed + 1);
        }
        RandomRun {
            seed,
            rng: oorandom::Rand32::new(seed),
            harness,
            pending_calls: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            attempts: BTreeMap::new(),
            playing: BTreeSet::new(),
            paid_that_may_have_run: BTreeSet::new(),
            keys: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: u32) {
        let player = u64::from(self.rng.rand_range(0..12));
        let class = if self.rng.rand_float() < 0.4 {
            PAID
        } else {
            FREE
        };
        let outputs = match self.rng.rand_range(0..12) {
            0..=3 => self.open(player, class, step),
            4 | 5 => self.start_some_attempt(),
            6 | 7 => self.fail_some_attempt(),
            8 => self.end_some_session(),
            9 => self.disconnect(player),
            _ => {
                let nanoseconds = u64::from(self.rng.rand_range(1..60)) * MILLISECOND;
                self.harness.advance(nanoseconds)
            }
        };
        for output in outputs {
            self.check_output(output);
        }
    }

    fn pick(&mut self, attempts: &[AttemptId]) -> Option<AttemptId> {
        if attempts.is_empty() {
            return None;
        }
        let index = self.rng.rand_range(0..attempts.len() as u32);
        Some(attempts[index as usize])
    }

    fn pick_outstanding(&mut self) -> Option<AttemptId> {
        let outstanding: Vec<AttemptId> = self.outstanding.values().copied().collect();
        self.pick(&outstanding)
    }

    fn open(&mut self, player: u64, class: u8, step: u32) -> Vec<Output> {
        let key = format!("{class}-{}", self.rng.rand_range(0..40 + step / 20));
        let (call, outputs) = self.harness.open(player, &key, class);
        let opened_at = self.harness.now;
        self.pending_calls
            .insert(call, PendingCall { key, opened_at });
        outputs
    }

    fn start_some_attempt(&mut self) -> Vec<Output> {
        let Some(attempt) = self.pick_outstanding() else {
            return vec![];
        };
        self.playing.insert(attempt);
        let outputs = self.harness.establish(attempt);
        self.record_result(attempt, AttemptOutcome::Completed);
        outputs
    }

    fn fail_some_attempt(&mut self) -> Vec<Output> {
        let Some(attempt) = self.pick_outstanding() else {
            return vec![];
        };
        let outcomes = [
            AttemptOutcome::ServerError,
            AttemptOutcome::Rejected,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::Reset,
        ];
        let outcome = outcomes[self.rng.rand_range(0..4) as usize];
        let outputs = self.harness.fail_set_up(attempt, outcome);
        self.record_result(attempt, outcome);
        outputs
    }

    fn record_result(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let StartedAttempt { request, class } = self.attempts[&attempt];
        self.outstanding.remove(&request);
        let never_ran = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed
        );
        if class == PAID && !never_ran {
            self.paid_that_may_have_run.insert(request);
        }
    }

    fn end_some_session(&mut self) -> Vec<Output> {
        let playing: Vec<AttemptId> = self.playing.iter().copied().collect();
        let Some(attempt) = self.pick(&playing) else {
            return vec![];
        };
        self.playing.remove(&attempt);
        let outcome = if self.rng.rand_float() < 0.5 {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::Reset
        };
        self.harness
            .handle(Input::SessionEnded(attempt, outcome, vec![]))
    }

    fn disconnect(&mut self, player: u64) -> Vec<Output> {
        let player = PlayerId(player);
        self.pending_calls.retain(|call, _| call.player != player);
        self.harness.handle(Input::PlayerDisconnected(player))
    }

    fn check_output(&mut self, output: Output) {
        match output {
            Output::StartSetUp {
                attempt,
                request,
                order,
                ..
            } => self.check_started(attempt, request, order),
            Output::AbandonAttempt(attempt, _) => self.record_abandoned(attempt),
            Output::TearDown(attempt, _) => {
                self.playing.remove(&attempt);
            }
            Output::Answer(call, answer) => self.check_answer(call, &answer),
            _ => {}
        }
    }

    fn check_started(&mut self, attempt: AttemptId, request: RequestId, order: SetUpOrder) {
        let seed = self.seed;
        assert!(
            self.outstanding.insert(request, attempt).is_none(),
            "seed {seed}: two outstanding attempts of one request"
        );
        assert!(
            !self.paid_that_may_have_run.contains(&request),
            "seed {seed}: a paid set-up that may have run is sent again"
        );
        let class = order.class;
        self.attempts
            .insert(attempt, StartedAttempt { request, class });
        self.keys.insert(request, order.key);
    }

    fn record_abandoned(&mut self, attempt: AttemptId) {
        let StartedAttempt { request, class } = self.attempts[&attempt];
        self.outstanding.remove(&request);
        self.playing.remove(&attempt);
        if class == PAID {
            self.paid_that_may_have_run.insert(request);
        }
    }

    fn check_answer(&mut self, call: PlayerCall, answer: &Answer) {
        let seed = self.seed;
        let PendingCall { key, opened_at } = self
            .pending_calls
            .remove(&call)
            .unwrap_or_else(|| panic!("seed {seed}: an answer to {call:?}, which is not pending"));
        assert!(
            self.harness.now.0 - opened_at.0 <= 5 * SECOND,
            "seed {seed}: late answer"
        );
        // A rejection states that nothing ran, so no paid request with this key may have run.
        let is_rejected = matches!(answer, Answer::Rejected { .. });
        let may_have_run = self
            .paid_that_may_have_run
            .iter()
            .any(|request| self.keys.get(request) == Some(&key));
        assert!(
            !is_rejected || !may_have_run,
            "seed {seed}: request with key {key} is rejected though it may have run"
        );
    }

    /// Waits until each viewer has given up, and checks that each call was answered.
    fn check_all_answered(mut self) {
        let seed = self.seed;
        for output in self.harness.advance(10 * SECOND) {
            if let Output::Answer(call, _) = output {
                self.pending_calls.remove(&call);
            }
        }
        assert!(
            self.pending_calls.is_empty(),
            "seed {seed}: calls without an answer: {:?}",
            self.pending_calls
        );
        assert_eq!(self.harness.core.waiting_requests(), 0);
    }
}

fn random_run(seed: u64, in_batches: bool) {
    let mut run = RandomRun::new(seed, in_batches);
    for step in 0..STEPS {
        run.step(step);
    }
    run.check_all_answered();
}

#[test]
fn each_call_gets_one_answer_in_time_under_random_faults() {
    for seed in 0..40 {
        random_run(seed, false);
        random_run(seed, true);
    }
}
