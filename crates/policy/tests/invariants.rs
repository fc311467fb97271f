//! The six rules, each alone and all together over long odd sequences.
#![allow(clippy::many_single_char_names, clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
mod common;
use common::*;
use crankpaddle::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn a_request_without_a_server_is_rejected_at_once_with_retry_after() {
    let mut d = Driver::new(settings());
    d.send(Event::EndpointList(EndpointListKind::Full, vec![]));
    let out = d.request(1, IDEMPOTENT);
    assert!(out.contains(&Action::Reject { request: RequestId(1), retry_after: SECOND }), "{out:?}");
    assert!(attempted_server(&d.request(1, IDEMPOTENT)).is_none());
}

#[test]
fn an_at_most_once_attempt_with_an_unknown_outcome_fails_and_is_not_retried() {
    for outcome in [
        AttemptOutcome::ServerError,
        AttemptOutcome::Timeout,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut d = Driver::new(settings());
        let server = attempted_server(&d.request(1, AT_MOST_ONCE)).unwrap();
        let out = d.end_attempt(1, server, outcome, false);
        assert!(
            is_failed(&out) && attempted_server(&out).is_none() && !is_rejected(&out),
            "{outcome:?} {out:?}"
        );
    }
}

#[test]
fn an_attempt_that_was_not_executed_is_retried_at_another_server() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed] {
        let mut d = Driver::new(settings());
        let server = attempted_server(&d.request(1, AT_MOST_ONCE)).unwrap();
        let next = attempted_server(&d.end_attempt(1, server, outcome, false)).unwrap();
        assert_ne!(server, next);
    }
}

#[test]
fn a_class_idempotent_within_its_zone_is_retried_in_its_zone_and_window_only() {
    for wait in [0, 3 * SECOND] {
        let mut d = Driver::new(settings());
        let server = attempted_server(&d.request(1, ZONE_IDEMPOTENT)).unwrap();
        d.advance(wait);
        let out = d.end_attempt(1, server, AttemptOutcome::ServerError, false);
        assert!(!is_rejected(&out));
        match attempted_server(&out) {
            Some(next) => assert!(wait == 0 && (next.0 % 2 == server.0 % 2)),
            None => assert!(is_failed(&out)),
        }
    }
}

#[test]
fn a_draining_server_gets_no_attempt_from_then_on() {
    let mut d = Driver::new(settings());
    let drained = [1, 2].map(|id| endpoint(id, Lifecycle::Draining, Time(0))).to_vec();
    d.send(Event::EndpointList(EndpointListKind::Delta, drained));
    for request in 0..60 {
        d.advance(100 * MS);
        if let Some(server) = attempted_server(&d.request(request * 6, IDEMPOTENT)) {
            assert_eq!(server, ServerId(3));
        }
    }
}

#[test]
fn a_server_missing_from_a_full_list_is_removed() {
    let mut d = Driver::new(settings());
    d.send(Event::EndpointList(
        EndpointListKind::Full,
        fleet().into_iter().filter(|l| l.server.0 != 3).collect(),
    ));
    for request in 0..30 {
        assert_ne!(attempted_server(&d.request(request, IDEMPOTENT)), Some(ServerId(3)));
    }
}

#[test]
fn a_server_in_slow_start_gets_no_more_than_this_replicas_part() {
    let mut d = Driver::new(settings());
    let entries = vec![endpoint(1, Lifecycle::Ready, d.now)];
    d.send(Event::EndpointList(EndpointListKind::Full, entries));
    let mut sent = 0;
    for request in 0..300 {
        d.advance(10 * MS);
        sent += u32::from(attempted_server(&d.request(request * 6, IDEMPOTENT)).is_some());
    }
    // 25 places over 10 s, 0.4 warm, times 2.5: 2.5 a second by both fronts together.
    assert!((1..=4).contains(&sent), "{sent} in 3 s");
}

/// A fleet that grew beyond its configuration: each front reckons with all that are known.
#[test]
fn the_slow_start_rate_is_divided_by_the_number_of_replicas() {
    let sent_by = |known: Option<u32>| {
        let mut d = Driver::new(settings());
        d.send(Event::EndpointList(EndpointListKind::Full, vec![endpoint(1, Lifecycle::Ready, d.now)]));
        known.into_iter().for_each(|n| drop(d.send(Event::ReplicaCountChanged(n))));
        let mut sent = 0;
        for request in 0..900 {
            d.advance(10 * MS);
            sent += u32::from(attempted_server(&d.request(request * 6, IDEMPOTENT)).is_some());
        }
        sent
    };
    // Two fronts: half of 1.25 a second each, for 9 s. Twenty: a tenth of that.
    let (two, twenty) = (sent_by(None), sent_by(Some(20)));
    assert!((4..=6).contains(&two), "{two} by one of two");
    assert!((1..=2).contains(&twenty), "{twenty} by one of twenty");
}

#[test]
fn a_server_that_reset_its_connections_returns_in_slow_start() {
    let mut d = Driver::new(settings());
    d.send(Event::EndpointList(EndpointListKind::Full, vec![endpoint(1, Lifecycle::Ready, Time(0))]));
    let server = attempted_server(&d.request(6, IDEMPOTENT)).unwrap();
    d.end_attempt(6, server, AttemptOutcome::Reset, false);
    d.advance(20 * SECOND);
    let mut sent = 0;
    for request in 2..300 {
        d.advance(10 * MS);
        if let Some(server) = attempted_server(&d.request(request * 6, IDEMPOTENT)) {
            sent += 1;
            d.establish(request * 6, server);
        }
    }
    assert!((1..=4).contains(&sent), "{sent} in 3 s");
}

#[test]
fn sessions_count_for_the_title_limit_from_the_attempt_to_the_end() {
    let mut d = Driver::new(settings());
    let one_title = |d: &mut Driver, request| {
        let request = SessionRequest { title: 9, ..session_request(request, AT_MOST_ONCE, d.now) };
        d.send(Event::SessionRequested(request))
    };
    let first = attempted_server(&one_title(&mut d, 1)).unwrap();
    for request in 2..=3 {
        assert!(attempted_server(&one_title(&mut d, request)).is_some());
    }
    assert!(is_rejected(&one_title(&mut d, 4)));
    d.establish(1, first);
    assert!(is_rejected(&one_title(&mut d, 5)));
    d.end_attempt(1, first, AttemptOutcome::Completed, true);
    assert!(attempted_server(&one_title(&mut d, 6)).is_some());
}

#[test]
fn adopted_sessions_count_for_the_title_limit_until_they_end() {
    let mut d = Driver::new(settings());
    for n in 1..=3 {
        let request = SessionRequest { title: 9, ..session_request(n, AT_MOST_ONCE, d.now) };
        d.send(Event::SessionAdopted(request, ServerId(2)));
    }
    let one_more = |d: &mut Driver, n| {
        let request = SessionRequest { title: 9, ..session_request(n, AT_MOST_ONCE, d.now) };
        d.send(Event::SessionRequested(request))
    };
    assert!(is_rejected(&one_more(&mut d, 4)));
    d.end_attempt(2, ServerId(2), AttemptOutcome::Completed, true);
    assert!(attempted_server(&one_more(&mut d, 5)).is_some());
}

#[test]
fn no_retry_follows_after_the_viewer_left() {
    let mut d = Driver::new(settings());
    let server = attempted_server(&d.request(1, IDEMPOTENT)).unwrap();
    assert!(d.send(Event::ClientLeft(RequestId(1))).is_empty());
    let out = d.end_attempt(1, server, AttemptOutcome::Rejected, true);
    assert!(attempted_server(&out).is_none() && !is_rejected(&out) && !is_failed(&out), "{out:?}");
}

#[test]
fn rungs_stay_between_the_class_minimum_and_the_lower_maximum() {
    let mut d = Driver::new(settings());
    for request in 0..40 {
        let class = [IDEMPOTENT, AT_MOST_ONCE, ZONE_IDEMPOTENT][(request % 3) as usize];
        let top = 1 + (request % 4) as u8;
        let out = d.send(Event::SessionRequested(SessionRequest {
            max_rung: top,
            ..session_request(request, class, d.now)
        }));
        if let Some(rung) = set_rung(&out) {
            assert!(
                rung <= top
                    && (class != AT_MOST_ONCE || rung >= 1)
                    && (class != ZONE_IDEMPOTENT || rung <= 3)
            );
        }
    }
    let cannot = d.send(Event::SessionRequested(SessionRequest {
        max_rung: 0,
        ..session_request(99, AT_MOST_ONCE, d.now)
    }));
    assert!(is_rejected(&cannot));
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut d = Driver::new(Settings { retry_budget_min: Some(2.0), retry_budget_ratio: 0.1, ..settings() });
    let mut extras = 0;
    for request in 0..20 {
        let mut out = d.request(request, IDEMPOTENT);
        let mut first = true;
        while let Some(server) = attempted_server(&out) {
            extras += u32::from(!first);
            first = false;
            out = d.end_attempt(request, server, AttemptOutcome::Rejected, false);
        }
    }
    assert!((1..=4).contains(&extras), "{extras}");
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Ask(u8, u8),
    Twice,
    Plays(usize),
    End(usize, u8),
    Left(usize),
    Note(usize, u8, f64),
    List(u32, u8),
    Full,
    Failed,
    Odd(u64),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..1500).prop_map(Step::Wait),
        8 => (0u8..3, 0u8..6).prop_map(|(class, top)| Step::Ask(class, top)),
        1 => Just(Step::Twice),
        5 => (0usize..50).prop_map(Step::Plays),
        6 => (0usize..50, 0u8..8).prop_map(|(i, o)| Step::End(i, o)),
        1 => (0usize..50).prop_map(Step::Left),
        4 => (0usize..50, 0u8..4, prop_oneof![Just(f64::NAN), Just(-1.0), 0.0..3.0f64])
            .prop_map(|(i, k, v)| Step::Note(i, k, v)),
        2 => (1u32..8, 0u8..4).prop_map(|(id, p)| Step::List(id, p)),
        1 => Just(Step::Full),
        1 => Just(Step::Failed),
        1 => (0u64..99).prop_map(Step::Odd),
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

#[derive(Default)]
struct Expected {
    open: BTreeMap<u64, (SessionRequest, bool, u32)>, // request: ask, may have run, attempts
    out: BTreeMap<u64, ServerId>,
    playing: BTreeSet<u64>,
    rungs: BTreeMap<u64, u8>,
    phases: BTreeMap<u32, (Lifecycle, u64)>,
    asks: Vec<u64>,
    extras: Vec<u64>,
    cold: BTreeMap<u32, Vec<u64>>,
    seats: BTreeMap<u64, (u8, u64)>,
}

impl Expected {
    fn check(&mut self, now: Time, s: &Settings, actions: &[Action]) {
        for action in actions {
            match action {
                Action::StartAttempt { request, server, .. } => {
                    let id = request.0;
                    let (ask, ran, attempts) = self.open.get_mut(&id).expect("attempt for a closed request");
                    assert!(!self.out.contains_key(&id), "two attempts at once");
                    assert!(!(ask.class == AT_MOST_ONCE && *ran), "a paid set-up twice");
                    let (phase, since) = self.phases[&server.0];
                    assert_eq!(phase, Lifecycle::Ready);
                    assert!((server.0 - 1 + 6 - ask.first_cell % 6) % 6 < ask.cell_count, "not a holder");
                    assert!(self.rungs.get(&id).is_some_and(|r| *r <= ask.max_rung));
                    *attempts += 1;
                    assert!(*attempts <= s.max_attempts);
                    if *attempts > 1 {
                        self.extras.push(now.0);
                        let from = now.0.saturating_sub(s.retry_budget_window);
                        let count = |v: &[u64]| v.iter().filter(|t| **t >= from).count() as f64;
                        let allowed = s.retry_budget_min.unwrap() + s.retry_budget_ratio * count(&self.asks);
                        assert!(count(&self.extras) <= allowed, "beyond the allowance");
                    }
                    self.out.insert(id, *server);
                    self.seats.insert(id, (ask.class, ask.title));
                    let mine = (ask.class, ask.title);
                    let cap = s.classes[usize::from(ask.class)].max_sessions_per_title as usize;
                    assert!(cap == 0 || self.seats.values().filter(|v| **v == mine).count() <= cap, "seats");
                    if now.0 < since + s.slow_start_duration {
                        let sent = self.cold.entry(server.0).or_default();
                        sent.push(now.0);
                        let span = sent.iter().filter(|t| **t + s.overload_window > now.0).count() as f64;
                        let pace = 25.0 / s.slow_start_duration as f64
                            * s.slow_start_min_factor
                            * s.overload_multiple
                            * s.overload_window as f64;
                        assert!(
                            span <= (pace / f64::from(s.replica_count)).max(1.0),
                            "a cold server is pushed"
                        );
                    }
                }
                Action::SetRung { request, rung } => {
                    if let Some((ask, _, _)) = self.open.get(&request.0) {
                        let class = &s.classes[usize::from(ask.class)];
                        assert!(*rung >= class.min_rung && *rung <= ask.max_rung.min(class.max_rung));
                    }
                    self.rungs.insert(request.0, *rung);
                }
                Action::Reject { request, .. } => {
                    let (ask, ran, _) = self.open.remove(&request.0).expect("a second answer");
                    assert!(!self.out.contains_key(&request.0));
                    assert!(ask.class == IDEMPOTENT || !ran, "rejected though it may have run");
                }
                Action::Fail(request) => {
                    self.open.remove(&request.0).expect("a second answer");
                }
                Action::SetTimer { .. } | Action::Log(_) => {}
                other => panic!("not allowed by the settings: {other:?}"),
            }
        }
        for request in self.open.keys() {
            assert!(self.out.contains_key(request), "request {request} is neither answered nor tried");
        }
    }
}

fn assert_invariants_hold(steps: Vec<Step>) {
    let s = Settings { retry_budget_min: Some(2.0), retry_budget_ratio: 0.2, ..settings() };
    let mut d = Driver::new(s.clone());
    let phases = fleet().iter().map(|l| (l.server.0, (l.lifecycle, 0))).collect();
    let mut w = Expected { phases, ..Expected::default() };
    let mut next = 0;
    for n in 500..503 {
        // Sessions under way at the start hold their seats and end like others.
        let request = SessionRequest { title: 2, ..session_request(n, AT_MOST_ONCE, d.now) };
        w.out.insert(n, ServerId(3));
        w.playing.insert(n);
        w.seats.insert(n, (AT_MOST_ONCE, 2));
        let actions = d.send(Event::SessionAdopted(request, ServerId(3)));
        w.check(d.now, &s, &actions);
        d.update(n, ServerId(3), SessionUpdate::Rung(2));
    }
    for step in steps {
        let pick = |i: usize, w: &Expected| {
            let n = w.out.len().max(1);
            w.out.iter().nth(i % n).map(|(r, s)| (*r, *s))
        };
        let actions = match step {
            Step::Wait(ms) => {
                d.advance(ms * MS);
                vec![]
            }
            Step::Ask(class, top) => {
                next += 1;
                let request = SessionRequest { max_rung: top, ..session_request(next, class, d.now) };
                w.open.insert(next, (request.clone(), false, 0));
                w.asks.push(d.now.0);
                d.send(Event::SessionRequested(request))
            }
            Step::Twice => {
                w.asks.push(d.now.0);
                let again = w.out.keys().next().copied();
                again.map_or(vec![], |request| d.request(request, IDEMPOTENT))
            }
            Step::Plays(i) => match pick(i, &w) {
                Some((request, server)) if w.open.contains_key(&request) => {
                    w.open.remove(&request);
                    w.playing.insert(request);
                    d.establish(request, server)
                }
                _ => vec![],
            },
            Step::End(i, o) => match pick(i, &w) {
                Some((request, server)) => {
                    let outcome = OUTCOMES[usize::from(o)];
                    let closed = !w.open.contains_key(&request) || outcome == AttemptOutcome::Completed;
                    w.out.remove(&request);
                    w.seats.remove(&request);
                    w.playing.remove(&request);
                    let never = matches!(
                        outcome,
                        AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
                    );
                    if let Some(open) = w.open.get_mut(&request) {
                        open.1 |= !never;
                    }
                    if closed {
                        w.open.remove(&request);
                    }
                    d.end_attempt(request, server, outcome, closed)
                }
                None => vec![],
            },
            Step::Left(i) => match pick(i, &w) {
                Some((request, _)) => {
                    w.open.remove(&request);
                    d.send(Event::ClientLeft(RequestId(request)))
                }
                None => vec![],
            },
            Step::Note(i, kind, v) => match pick(i, &w) {
                Some((request, server)) => {
                    let note = [
                        SessionUpdate::DeliveryRatio(v),
                        SessionUpdate::LinkDemand(v),
                        SessionUpdate::UplinkDemand(v),
                        SessionUpdate::DeliveryRatio(v),
                    ];
                    d.update(request, server, note[usize::from(kind)])
                }
                None => vec![],
            },
            Step::List(id, p) => {
                let phase = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed, Lifecycle::Ready]
                    [usize::from(p)];
                let since = if p == 3 { d.now } else { Time(w.phases.get(&id).map_or(0, |v| v.1)) };
                w.phases.insert(id, (phase, since.0));
                d.send(Event::EndpointList(EndpointListKind::Delta, vec![endpoint(id, phase, since)]))
            }
            Step::Full => {
                for phase in w.phases.values_mut() {
                    phase.0 = Lifecycle::Removed;
                }
                let list: Vec<_> =
                    (1..=6).map(|id| endpoint(id, Lifecycle::Ready, Time(w.phases[&id].1))).collect();
                for l in &list {
                    w.phases.insert(l.server.0, (Lifecycle::Ready, l.started_at.0));
                }
                d.send(Event::EndpointList(EndpointListKind::Full, list))
            }
            Step::Failed => d.send(Event::EndpointList(EndpointListKind::Failed, vec![])),
            Step::Odd(n) => {
                let (request, server) = (RequestId(1_000_000 + n), ServerId(900));
                let mut all = d.send(Event::ClientLeft(request));
                all.extend(d.end_attempt(request.0, server, AttemptOutcome::Completed, true));
                all.extend(d.establish(request.0, server));
                all.extend(d.update(request.0, server, SessionUpdate::Rung(200)));
                all
            }
            Step::Tick => d.send(Event::Timer(0)),
        };
        w.check(d.now, &s, &actions);
    }
}

#[test]
fn the_invariants_hold_over_long_random_sequences() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let done = runner.run(&proptest::collection::vec(step(), 50..400), |steps| {
        assert_invariants_hold(steps);
        Ok(())
    });
    if let Err(error) = done {
        panic!("{error}");
    }
}
