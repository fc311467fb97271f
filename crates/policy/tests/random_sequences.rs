//! Checks all invariants over long random sequences of events, against a model of the allowed actions.
mod common;
use common::*;
use crankpaddle::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// One step of a sequence. Indices select among the attempts in progress and the established sessions.
#[derive(Clone, Debug)]
enum Step {
    /// Lets so many milliseconds pass.
    Wait(u64),
    /// Sends a request of a class, with its highest rung.
    Request {
        class: u8,
        max_rung: u8,
    },
    /// Sends a request a second time.
    Duplicate,
    Establish(usize),
    End {
        index: usize,
        outcome: u8,
    },
    ClientLeaves(usize),
    Update {
        index: usize,
        kind: u8,
        value: f64,
    },
    Delta {
        server: u32,
        change: u8,
    },
    FullList,
    FailedList,
    /// Sends events about an unknown request and an unknown server.
    Unknown(u64),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    let value = prop_oneof![Just(f64::NAN), Just(-1.0), 0.0..3.0f64];
    prop_oneof![
        4 => (0u64..1500).prop_map(Step::Wait),
        8 => (0u8..3, 0u8..6).prop_map(|(class, max_rung)| Step::Request { class, max_rung }),
        1 => Just(Step::Duplicate),
        5 => (0usize..50).prop_map(Step::Establish),
        6 => (0usize..50, 0u8..8).prop_map(|(index, outcome)| Step::End { index, outcome }),
        1 => (0usize..50).prop_map(Step::ClientLeaves),
        4 => (0usize..50, 0u8..4, value).prop_map(|(index, kind, value)| Step::Update { index, kind, value }),
        2 => (1u32..8, 0u8..4).prop_map(|(server, change)| Step::Delta { server, change }),
        1 => Just(Step::FullList),
        1 => Just(Step::FailedList),
        1 => (0u64..99).prop_map(Step::Unknown),
        3 => Just(Step::Tick),
    ]
}

const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Completed,
    AttemptOutcome::ServerError,
    AttemptOutcome::Rejected,
    AttemptOutcome::Timeout,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// A request without a final answer.
struct OpenRequest {
    request: SessionRequest,
    may_have_executed: bool,
    attempts: u32,
}

/// What the latest endpoint list states of a server.
#[derive(Clone, Copy)]
struct Listed {
    lifecycle: Lifecycle,
    started_at: u64,
}

/// The policy under test, and what follows from the events and actions so far.
struct Model {
    settings: Settings,
    driver: Driver,
    open: BTreeMap<u64, OpenRequest>,
    /// Servers of the attempts in progress and of the established sessions.
    active: BTreeMap<u64, ServerId>,
    rungs: BTreeMap<u64, u8>,
    servers: BTreeMap<u32, Listed>,
    request_times: Vec<u64>,
    retry_times: Vec<u64>,
    slow_start_setups: BTreeMap<u32, Vec<u64>>,
    /// Class and title of the attempts in progress and of the established sessions.
    titles: BTreeMap<u64, (u8, u64)>,
    last_request: u64,
}

impl Model {
    fn new() -> Model {
        let settings = Settings { retry_budget_min: Some(2.0), retry_budget_ratio: 0.2, ..settings() };
        let listed = |endpoint: &Endpoint| Listed { lifecycle: endpoint.lifecycle, started_at: 0 };
        let mut model = Model {
            driver: Driver::new(settings.clone()),
            settings,
            open: BTreeMap::new(),
            active: BTreeMap::new(),
            rungs: BTreeMap::new(),
            servers: fleet().iter().map(|endpoint| (endpoint.server.0, listed(endpoint))).collect(),
            request_times: Vec::new(),
            retry_times: Vec::new(),
            slow_start_setups: BTreeMap::new(),
            titles: BTreeMap::new(),
            last_request: 0,
        };
        model.adopt_sessions();
        model
    }

    /// Adopts sessions at the start: they count for the title limit and end like others.
    fn adopt_sessions(&mut self) {
        for id in 500..503 {
            let now = self.driver.now;
            let request = SessionRequest { title: 2, ..session_request(id, AT_MOST_ONCE, now) };
            self.active.insert(id, ServerId(3));
            self.titles.insert(id, (AT_MOST_ONCE, 2));
            let actions = self.driver.send(Event::SessionAdopted(request, ServerId(3)));
            self.check(&actions);
            self.driver.update(id, ServerId(3), SessionUpdate::Rung(2));
        }
    }

    /// Selects an attempt in progress or an established session.
    fn pick(&self, index: usize) -> Option<(u64, ServerId)> {
        let count = self.active.len().max(1);
        self.active.iter().nth(index % count).map(|(request, server)| (*request, *server))
    }

    fn apply(&mut self, step: Step) -> Vec<Action> {
        match step {
            Step::Wait(milliseconds) => {
                self.driver.advance(milliseconds * MS);
                vec![]
            }
            Step::Request { class, max_rung } => self.request(class, max_rung),
            Step::Duplicate => {
                self.request_times.push(self.driver.now.0);
                let again = self.active.keys().next().copied();
                again.map_or(vec![], |request| self.driver.request(request, IDEMPOTENT))
            }
            Step::Establish(index) => match self.pick(index) {
                Some((request, server)) if self.open.contains_key(&request) => {
                    self.open.remove(&request);
                    self.driver.establish(request, server)
                }
                _ => vec![],
            },
            Step::End { index, outcome } => {
                let picked = self.pick(index);
                picked.map_or(vec![], |(request, server)| self.end(request, server, outcome))
            }
            Step::ClientLeaves(index) => match self.pick(index) {
                Some((request, _)) => {
                    self.open.remove(&request);
                    self.driver.send(Event::ClientLeft(RequestId(request)))
                }
                None => vec![],
            },
            Step::Update { index, kind, value } => {
                let picked = self.pick(index);
                picked.map_or(vec![], |(request, server)| self.update(request, server, kind, value))
            }
            Step::Delta { server, change } => self.send_delta(server, change),
            Step::FullList => self.send_full_list(),
            Step::FailedList => self.driver.send(Event::EndpointList(EndpointListKind::Failed, vec![])),
            Step::Unknown(number) => self.send_unknown(number),
            Step::Tick => self.driver.send(Event::Timer(0)),
        }
    }

    fn request(&mut self, class: u8, max_rung: u8) -> Vec<Action> {
        self.last_request += 1;
        let now = self.driver.now;
        let request = SessionRequest { max_rung, ..session_request(self.last_request, class, now) };
        let open = OpenRequest { request: request.clone(), may_have_executed: false, attempts: 0 };
        self.open.insert(self.last_request, open);
        self.request_times.push(now.0);
        self.driver.send(Event::SessionRequested(request))
    }

    fn end(&mut self, request: u64, server: ServerId, outcome: u8) -> Vec<Action> {
        let outcome = OUTCOMES[usize::from(outcome)];
        let is_final = !self.open.contains_key(&request) || outcome == AttemptOutcome::Completed;
        self.active.remove(&request);
        self.titles.remove(&request);
        let not_executed = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        if let Some(open) = self.open.get_mut(&request) {
            open.may_have_executed |= !not_executed;
        }
        if is_final {
            self.open.remove(&request);
        }
        self.driver.end_attempt(request, server, outcome, is_final)
    }

    fn update(&mut self, request: u64, server: ServerId, kind: u8, value: f64) -> Vec<Action> {
        let updates = [
            SessionUpdate::DeliveryRatio(value),
            SessionUpdate::LinkDemand(value),
            SessionUpdate::UplinkDemand(value),
            SessionUpdate::DeliveryRatio(value),
        ];
        self.driver.update(request, server, updates[usize::from(kind)])
    }

    fn send_delta(&mut self, server: u32, change: u8) -> Vec<Action> {
        let lifecycles = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed, Lifecycle::Ready];
        let lifecycle = lifecycles[usize::from(change)];
        let restarts = change == 3;
        let known = self.servers.get(&server).map_or(0, |listed| listed.started_at);
        let started_at = if restarts { self.driver.now } else { Time(known) };
        self.servers.insert(server, Listed { lifecycle, started_at: started_at.0 });
        let entry = endpoint(server, lifecycle, started_at);
        self.driver.send(Event::EndpointList(EndpointListKind::Delta, vec![entry]))
    }

    fn send_full_list(&mut self) -> Vec<Action> {
        for listed in self.servers.values_mut() {
            listed.lifecycle = Lifecycle::Removed;
        }
        let entry = |id| endpoint(id, Lifecycle::Ready, Time(self.servers[&id].started_at));
        let list: Vec<_> = (1..=6).map(entry).collect();
        for entry in &list {
            let listed = Listed { lifecycle: Lifecycle::Ready, started_at: entry.started_at.0 };
            self.servers.insert(entry.server.0, listed);
        }
        self.driver.send(Event::EndpointList(EndpointListKind::Full, list))
    }

    fn send_unknown(&mut self, number: u64) -> Vec<Action> {
        let (request, server) = (RequestId(1_000_000 + number), ServerId(900));
        let mut actions = self.driver.send(Event::ClientLeft(request));
        actions.extend(self.driver.end_attempt(request.0, server, AttemptOutcome::Completed, true));
        actions.extend(self.driver.establish(request.0, server));
        actions.extend(self.driver.update(request.0, server, SessionUpdate::Rung(200)));
        actions
    }

    /// Checks actions against the model, and updates the model by them.
    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::StartAttempt { request, server, .. } => self.check_attempt(request.0, *server),
                Action::SetRung { request, rung } => self.check_rung(request.0, *rung),
                Action::Reject { request, .. } => {
                    let open = self.open.remove(&request.0).expect("a second final answer");
                    assert!(!self.active.contains_key(&request.0));
                    assert!(
                        open.request.class == IDEMPOTENT || !open.may_have_executed,
                        "rejected although an attempt may have been executed"
                    );
                }
                Action::Fail(request) => {
                    self.open.remove(&request.0).expect("a second final answer");
                }
                Action::SetTimer { .. } | Action::Log(_) => {}
                other => panic!("action not allowed by the settings: {other:?}"),
            }
        }
        for request in self.open.keys() {
            assert!(self.active.contains_key(request), "request {request} is neither answered nor attempted");
        }
    }

    fn check_attempt(&mut self, id: u64, server: ServerId) {
        let open = self.open.get_mut(&id).expect("attempt for a closed request");
        let request = open.request.clone();
        assert!(!self.active.contains_key(&id), "two attempts of a request at once");
        assert!(!(request.class == AT_MOST_ONCE && open.may_have_executed), "a repeated at-most-once set-up");
        assert_eq!(self.servers[&server.0].lifecycle, Lifecycle::Ready);
        assert!((server.0 - 1 + 6 - request.first_cell % 6) % 6 < request.cell_count, "title not held");
        assert!(self.rungs.get(&id).is_some_and(|rung| *rung <= request.max_rung));
        open.attempts += 1;
        assert!(open.attempts <= self.settings.max_attempts);
        if open.attempts > 1 {
            self.check_retry_budget();
        }
        self.active.insert(id, server);
        self.check_title_limit(id, &request);
        self.check_slow_start(server);
    }

    fn check_retry_budget(&mut self) {
        let now = self.driver.now.0;
        self.retry_times.push(now);
        let window_start = now.saturating_sub(self.settings.retry_budget_window);
        let count = |times: &[u64]| times.iter().filter(|at| **at >= window_start).count() as f64;
        let by_ratio = self.settings.retry_budget_ratio * count(&self.request_times);
        let allowed = self.settings.retry_budget_min.unwrap() + by_ratio;
        assert!(count(&self.retry_times) <= allowed, "more retries than the retry budget allows");
    }

    fn check_title_limit(&mut self, id: u64, request: &SessionRequest) {
        let title = (request.class, request.title);
        self.titles.insert(id, title);
        let limit = self.settings.classes[usize::from(request.class)].max_sessions_per_title as usize;
        let sessions = self.titles.values().filter(|other| **other == title).count();
        assert!(limit == 0 || sessions <= limit, "more sessions of a title than allowed");
    }

    fn check_slow_start(&mut self, server: ServerId) {
        let (now, settings) = (self.driver.now.0, &self.settings);
        if now >= self.servers[&server.0].started_at + settings.slow_start_duration {
            return;
        }
        let sent = self.slow_start_setups.entry(server.0).or_default();
        sent.push(now);
        let in_window = sent.iter().filter(|at| **at + settings.overload_window > now).count() as f64;
        let allowed = 25.0 / settings.slow_start_duration as f64
            * settings.slow_start_min_factor
            * settings.overload_multiple
            * settings.overload_window as f64;
        assert!(
            in_window <= (allowed / f64::from(settings.replica_count)).max(1.0),
            "too many set-ups at a server in slow start"
        );
    }

    fn check_rung(&mut self, id: u64, rung: u8) {
        if let Some(open) = self.open.get(&id) {
            let class = &self.settings.classes[usize::from(open.request.class)];
            assert!(rung >= class.min_rung && rung <= open.request.max_rung.min(class.max_rung));
        }
        self.rungs.insert(id, rung);
    }
}

fn assert_invariants_hold(steps: Vec<Step>) {
    let mut model = Model::new();
    for step in steps {
        let actions = model.apply(step);
        model.check(&actions);
    }
}

#[test]
fn the_invariants_hold_over_long_random_sequences() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&proptest::collection::vec(step(), 50..400), |steps| {
        assert_invariants_hold(steps);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
