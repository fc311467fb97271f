//! The six rules, each alone and all together over long odd sequences.
#![allow(clippy::many_single_char_names, clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
mod common;
use common::*;
use crankpaddle::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn what_is_given_up_is_answered_at_once_with_advice() {
    let mut d = Drive::new(settings());
    d.send(Event::EndpointList(EndpointListKind::Full, vec![]));
    let out = d.ask(1, FREE);
    assert!(out.contains(&Action::Reject { request: RequestId(1), retry_after: SECOND }), "{out:?}");
    assert!(attempt(&d.ask(1, FREE)).is_none());
}

#[test]
fn an_unknown_outcome_of_a_paid_set_up_fails_and_is_not_sent_again() {
    for outcome in [
        AttemptOutcome::ServerError,
        AttemptOutcome::Timeout,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut d = Drive::new(settings());
        let server = attempt(&d.ask(1, PAID)).unwrap();
        let out = d.end(1, server, outcome, false);
        assert!(failed(&out) && attempt(&out).is_none() && !rejected(&out), "{outcome:?} {out:?}");
    }
}

#[test]
fn an_attempt_that_never_ran_is_sent_elsewhere() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed] {
        let mut d = Drive::new(settings());
        let server = attempt(&d.ask(1, PAID)).unwrap();
        let next = attempt(&d.end(1, server, outcome, false)).unwrap();
        assert_ne!(server, next);
    }
}

#[test]
fn a_guarded_class_is_repeated_in_its_zone_and_time_only() {
    for wait in [0, 3 * SECOND] {
        let mut d = Drive::new(settings());
        let server = attempt(&d.ask(1, GUARDED)).unwrap();
        d.wait(wait);
        let out = d.end(1, server, AttemptOutcome::ServerError, false);
        assert!(!rejected(&out));
        match attempt(&out) {
            Some(next) => assert!(wait == 0 && (next.0 % 2 == server.0 % 2)),
            None => assert!(failed(&out)),
        }
    }
}

#[test]
fn drains_bind_at_once() {
    let mut d = Drive::new(settings());
    let drained = [1, 2].map(|id| listing(id, Lifecycle::Draining, Time(0))).to_vec();
    d.send(Event::EndpointList(EndpointListKind::Delta, drained));
    for request in 0..60 {
        d.wait(100 * MS);
        if let Some(server) = attempt(&d.ask(request * 6, FREE)) {
            assert_eq!(server, ServerId(3));
        }
    }
}

#[test]
fn a_server_missing_from_a_full_list_is_gone() {
    let mut d = Drive::new(settings());
    d.send(Event::EndpointList(
        EndpointListKind::Full,
        fleet().into_iter().filter(|l| l.server.0 != 3).collect(),
    ));
    for request in 0..30 {
        assert_ne!(attempt(&d.ask(request, FREE)), Some(ServerId(3)));
    }
}

#[test]
fn a_cold_server_is_sent_no_more_than_this_fronts_part() {
    let mut d = Drive::new(settings());
    let entries = vec![listing(1, Lifecycle::Ready, d.now)];
    d.send(Event::EndpointList(EndpointListKind::Full, entries));
    let mut sent = 0;
    for request in 0..300 {
        d.wait(10 * MS);
        sent += u32::from(attempt(&d.ask(request * 6, FREE)).is_some());
    }
    // 25 places over 10 s, 0.4 warm, times 2.5: 2.5 a second by both fronts together.
    assert!((1..=4).contains(&sent), "{sent} in 3 s");
}

/// A fleet that grew beyond its configuration: each front reckons with all that are known.
#[test]
fn a_cold_servers_pace_is_cut_into_as_many_parts_as_there_are_fronts() {
    let sent_by = |known: Option<u32>| {
        let mut d = Drive::new(settings());
        d.send(Event::EndpointList(EndpointListKind::Full, vec![listing(1, Lifecycle::Ready, d.now)]));
        known.into_iter().for_each(|n| drop(d.send(Event::ReplicaCountChanged(n))));
        let mut sent = 0;
        for request in 0..900 {
            d.wait(10 * MS);
            sent += u32::from(attempt(&d.ask(request * 6, FREE)).is_some());
        }
        sent
    };
    // Two fronts: half of 1.25 a second each, for 9 s. Twenty: a tenth of that.
    let (two, twenty) = (sent_by(None), sent_by(Some(20)));
    assert!((4..=6).contains(&two), "{two} by one of two");
    assert!((1..=2).contains(&twenty), "{twenty} by one of twenty");
}

#[test]
fn a_server_that_broke_under_us_is_cold_when_back() {
    let mut d = Drive::new(settings());
    d.send(Event::EndpointList(EndpointListKind::Full, vec![listing(1, Lifecycle::Ready, Time(0))]));
    let server = attempt(&d.ask(6, FREE)).unwrap();
    d.end(6, server, AttemptOutcome::Reset, false);
    d.wait(20 * SECOND);
    let mut sent = 0;
    for request in 2..300 {
        d.wait(10 * MS);
        if let Some(server) = attempt(&d.ask(request * 6, FREE)) {
            sent += 1;
            d.plays(request * 6, server);
        }
    }
    assert!((1..=4).contains(&sent), "{sent} in 3 s");
}

#[test]
fn seats_count_from_issue_to_the_end() {
    let mut d = Drive::new(settings());
    let one_title = |d: &mut Drive, request| {
        let ask = SessionRequest { title: 9, ..ask(request, PAID, d.now) };
        d.send(Event::SessionRequested(ask))
    };
    let first = attempt(&one_title(&mut d, 1)).unwrap();
    for request in 2..=3 {
        assert!(attempt(&one_title(&mut d, request)).is_some());
    }
    assert!(rejected(&one_title(&mut d, 4)));
    d.plays(1, first);
    assert!(rejected(&one_title(&mut d, 5)));
    d.end(1, first, AttemptOutcome::Completed, true);
    assert!(attempt(&one_title(&mut d, 6)).is_some());
}

#[test]
fn adopted_sessions_hold_seats_until_they_end() {
    let mut d = Drive::new(settings());
    for n in 1..=3 {
        let ask = SessionRequest { title: 9, ..ask(n, PAID, d.now) };
        d.send(Event::SessionAdopted(ask, ServerId(2)));
    }
    let one_more = |d: &mut Drive, n| {
        let ask = SessionRequest { title: 9, ..ask(n, PAID, d.now) };
        d.send(Event::SessionRequested(ask))
    };
    assert!(rejected(&one_more(&mut d, 4)));
    d.end(2, ServerId(2), AttemptOutcome::Completed, true);
    assert!(attempt(&one_more(&mut d, 5)).is_some());
}

#[test]
fn a_viewer_who_left_is_not_tried_again() {
    let mut d = Drive::new(settings());
    let server = attempt(&d.ask(1, FREE)).unwrap();
    assert!(d.send(Event::ClientLeft(RequestId(1))).is_empty());
    let out = d.end(1, server, AttemptOutcome::Rejected, true);
    assert!(attempt(&out).is_none() && !rejected(&out) && !failed(&out), "{out:?}");
}

#[test]
fn rungs_stay_between_floor_and_the_lower_top() {
    let mut d = Drive::new(settings());
    for request in 0..40 {
        let class = [FREE, PAID, GUARDED][(request % 3) as usize];
        let top = 1 + (request % 4) as u8;
        let out =
            d.send(Event::SessionRequested(SessionRequest { max_rung: top, ..ask(request, class, d.now) }));
        if let Some(rung) = rung(&out) {
            assert!(rung <= top && (class != PAID || rung >= 1) && (class != GUARDED || rung <= 3));
        }
    }
    let cannot = d.send(Event::SessionRequested(SessionRequest { max_rung: 0, ..ask(99, PAID, d.now) }));
    assert!(rejected(&cannot));
}

#[test]
fn further_attempts_stay_within_the_allowance() {
    let mut d = Drive::new(Settings { retry_budget_min: Some(2.0), retry_budget_ratio: 0.1, ..settings() });
    let mut extras = 0;
    for request in 0..20 {
        let mut out = d.ask(request, FREE);
        let mut first = true;
        while let Some(server) = attempt(&out) {
            extras += u32::from(!first);
            first = false;
            out = d.end(request, server, AttemptOutcome::Rejected, false);
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
struct Watch {
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

impl Watch {
    fn check(&mut self, now: Time, s: &Settings, actions: &[Action]) {
        for action in actions {
            match action {
                Action::StartAttempt { request, server, .. } => {
                    let id = request.0;
                    let (ask, ran, attempts) = self.open.get_mut(&id).expect("attempt for a closed request");
                    assert!(!self.out.contains_key(&id), "two attempts at once");
                    assert!(!(ask.class == PAID && *ran), "a paid set-up twice");
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
                    assert!(ask.class == FREE || !ran, "rejected though it may have run");
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

fn obey(steps: Vec<Step>) {
    let s = Settings { retry_budget_min: Some(2.0), retry_budget_ratio: 0.2, ..settings() };
    let mut d = Drive::new(s.clone());
    let phases = fleet().iter().map(|l| (l.server.0, (l.lifecycle, 0))).collect();
    let mut w = Watch { phases, ..Watch::default() };
    let mut next = 0;
    for n in 500..503 {
        // Sessions under way at the start hold their seats and end like others.
        let ask = SessionRequest { title: 2, ..ask(n, PAID, d.now) };
        w.out.insert(n, ServerId(3));
        w.playing.insert(n);
        w.seats.insert(n, (PAID, 2));
        let actions = d.send(Event::SessionAdopted(ask, ServerId(3)));
        w.check(d.now, &s, &actions);
        d.note(n, ServerId(3), SessionUpdate::Rung(2));
    }
    for step in steps {
        let pick = |i: usize, w: &Watch| {
            let n = w.out.len().max(1);
            w.out.iter().nth(i % n).map(|(r, s)| (*r, *s))
        };
        let actions = match step {
            Step::Wait(ms) => {
                d.wait(ms * MS);
                vec![]
            }
            Step::Ask(class, top) => {
                next += 1;
                let ask = SessionRequest { max_rung: top, ..ask(next, class, d.now) };
                w.open.insert(next, (ask.clone(), false, 0));
                w.asks.push(d.now.0);
                d.send(Event::SessionRequested(ask))
            }
            Step::Twice => {
                w.asks.push(d.now.0);
                let again = w.out.keys().next().copied();
                again.map_or(vec![], |request| d.ask(request, FREE))
            }
            Step::Plays(i) => match pick(i, &w) {
                Some((request, server)) if w.open.contains_key(&request) => {
                    w.open.remove(&request);
                    w.playing.insert(request);
                    d.plays(request, server)
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
                    d.end(request, server, outcome, closed)
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
                    d.note(request, server, note[usize::from(kind)])
                }
                None => vec![],
            },
            Step::List(id, p) => {
                let phase = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed, Lifecycle::Ready]
                    [usize::from(p)];
                let since = if p == 3 { d.now } else { Time(w.phases.get(&id).map_or(0, |v| v.1)) };
                w.phases.insert(id, (phase, since.0));
                d.send(Event::EndpointList(EndpointListKind::Delta, vec![listing(id, phase, since)]))
            }
            Step::Full => {
                for phase in w.phases.values_mut() {
                    phase.0 = Lifecycle::Removed;
                }
                let list: Vec<_> =
                    (1..=6).map(|id| listing(id, Lifecycle::Ready, Time(w.phases[&id].1))).collect();
                for l in &list {
                    w.phases.insert(l.server.0, (Lifecycle::Ready, l.started_at.0));
                }
                d.send(Event::EndpointList(EndpointListKind::Full, list))
            }
            Step::Failed => d.send(Event::EndpointList(EndpointListKind::Failed, vec![])),
            Step::Odd(n) => {
                let (request, server) = (RequestId(1_000_000 + n), ServerId(900));
                let mut all = d.send(Event::ClientLeft(request));
                all.extend(d.end(request.0, server, AttemptOutcome::Completed, true));
                all.extend(d.plays(request.0, server));
                all.extend(d.note(request.0, server, SessionUpdate::Rung(200)));
                all
            }
            Step::Tick => d.send(Event::Timer(0)),
        };
        w.check(d.now, &s, &actions);
    }
}

#[test]
fn the_rules_hold_over_long_odd_sequences() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let done = runner.run(&proptest::collection::vec(step(), 50..400), |steps| {
        obey(steps);
        Ok(())
    });
    if let Err(error) = done {
        panic!("{error}");
    }
}
