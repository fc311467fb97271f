//! Each failure that was found, and what the ordinary path and its departures do, without the bench.
mod common;
use common::*;
use crankpaddle::*;

/// A front that knows server 1 only; asks are for cell 0.
fn one_server() -> Drive {
    let mut d = Drive::new(settings());
    d.send(Event::EndpointList(EndpointListKind::Full, vec![listing(1, Lifecycle::Ready, Time(0))]));
    d
}

fn play(d: &mut Drive, n: u64) -> Option<u8> {
    let out = d.ask(n * 6, FREE);
    let server = attempt(&out)?;
    d.plays(n * 6, server);
    rung(&out)
}

fn tick(d: &mut Drive, seconds: u64) -> Vec<Action> {
    (0..seconds)
        .flat_map(|_| {
            d.wait(SECOND);
            d.send(Event::Timer(0))
        })
        .collect()
}

fn rung_changes(actions: &[Action]) -> Vec<(u64, u8)> {
    let rung = |a: &Action| match a {
        Action::SetRung { request, rung } => Some((request.0, *rung)),
        _ => None,
    };
    actions.iter().filter_map(rung).collect()
}

#[test]
fn admission_goes_from_the_top_down_and_ends_in_early_rejection() {
    let mut d = one_server();
    let rungs: Vec<_> = (1..60).map_while(|n| play(&mut d, n)).collect();
    assert!(rungs.len() >= 5 && rungs.len() < 59, "{rungs:?}");
    assert!(rungs[0] > *rungs.last().unwrap(), "{rungs:?}");
    let kb: f64 = rungs.iter().map(|r| settings().rung_kb[usize::from(*r)]).sum();
    assert!(kb <= 0.9 * 6000.0, "{kb} kB on a link of 6000");
    assert!(rejected(&d.ask(600, FREE)));
}

#[test]
fn a_freed_link_raises_who_waits_below_once_in_thirty_seconds() {
    let mut d = one_server();
    let rungs: Vec<_> = (1..60).map_while(|n| play(&mut d, n)).collect();
    let n = rungs.len() as u64;
    d.wait(SECOND);
    let mut changes = Vec::new();
    for request in 1..=n / 2 {
        changes.extend(rung_changes(&d.end(request * 6, ServerId(1), AttemptOutcome::Completed, true)));
    }
    d.note(n * 6, ServerId(1), SessionUpdate::LinkDemand(0.3));
    changes.extend(rung_changes(&tick(&mut d, 20)));
    let from: std::collections::BTreeSet<_> =
        changes.iter().map(|(r, _)| rungs[(r / 6 - 1) as usize]).collect();
    assert!(from.len() >= 2, "no ripple over several rungs: {changes:?} of {rungs:?}");
    let mut seen = std::collections::BTreeSet::new();
    for (request, rung) in changes {
        assert!(seen.insert(request), "{request} raised twice in 21 s");
        assert!(rung > rungs[(request / 6 - 1) as usize], "{request} lowered on the ordinary path");
    }
}

#[test]
fn a_measured_overrun_lowers_our_part_and_nothing_else_does() {
    let mut d = one_server();
    let rungs: Vec<_> = (1..60).map_while(|n| play(&mut d, n)).collect();
    tick(&mut d, 2);
    assert!(rung_changes(&d.note(6, ServerId(1), SessionUpdate::LinkDemand(0.85))).is_empty());
    let out = rung_changes(&d.note(6, ServerId(1), SessionUpdate::LinkDemand(1.5)));
    assert!(!out.is_empty());
    for (request, rung) in out {
        assert!(rung < rungs[(request / 6 - 1) as usize]);
    }
    // Once for each news: the same late note again changes nothing.
    assert!(rung_changes(&d.note(6, ServerId(1), SessionUpdate::LinkDemand(1.5))).is_empty());
}

#[test]
fn old_news_does_not_keep_a_server_out() {
    let mut d = one_server();
    let server = attempt(&d.ask(6, FREE)).unwrap();
    d.plays(6, server);
    d.wait(SECOND);
    d.note(6, server, SessionUpdate::LinkDemand(1.2));
    d.end(6, server, AttemptOutcome::Completed, true);
    assert!(attempt(&d.ask(12, FREE)).is_none());
    d.send(Event::EndpointList(EndpointListKind::Delta, fleet()[1..].to_vec()));
    for id in 2..=6 {
        let request = 1200 + u64::from(id) - 1;
        let out =
            d.send(Event::SessionRequested(SessionRequest { cell_count: 1, ..ask(request, FREE, d.now) }));
        d.plays(request, attempt(&out).unwrap());
        d.note(request, ServerId(id), SessionUpdate::LinkDemand(0.1));
    }
    tick(&mut d, 60);
    let out = d.send(Event::SessionRequested(SessionRequest { cell_count: 1, ..ask(18, FREE, d.now) }));
    assert_eq!(attempt(&out), Some(server));
}

#[test]
fn a_server_short_for_its_own_cause_gets_no_set_ups() {
    let mut d = one_server();
    let server = attempt(&d.ask(6, FREE)).unwrap();
    d.plays(6, server);
    d.wait(2 * SECOND);
    d.note(6, server, SessionUpdate::DeliveryRatio(0.3));
    d.wait(SECOND);
    d.note(6, server, SessionUpdate::LinkDemand(0.3));
    d.note(6, server, SessionUpdate::DeliveryRatio(0.3));
    d.wait(500 * MS);
    assert!(rejected(&d.ask(12, FREE)));
    d.wait(10 * SECOND);
    assert!(rejected(&d.ask(18, PAID)), "a paid class tried it first");
    assert!(attempt(&d.ask(24, FREE)).is_some());
}

#[test]
fn one_short_link_does_not_shut_its_rack() {
    let mut d = Drive::new(settings());
    let out = d.send(Event::SessionRequested(SessionRequest { cell_count: 1, ..ask(6, FREE, d.now) }));
    let server = attempt(&out).unwrap();
    d.plays(6, server);
    for _ in 0..10 {
        d.wait(SECOND);
        d.note(6, server, SessionUpdate::DeliveryRatio(0.5));
        d.note(6, server, SessionUpdate::LinkDemand(2.0));
    }
    // Server 3 stands in the same rack.
    let out = d.send(Event::SessionRequested(SessionRequest { cell_count: 1, ..ask(8, FREE, d.now) }));
    assert_eq!(attempt(&out), Some(ServerId(3)));
}

#[test]
fn a_server_that_does_not_answer_gets_no_more_set_ups() {
    let mut d = one_server();
    assert!(attempt(&d.ask(6, PAID)).is_some());
    assert!(attempt(&d.ask(12, FREE)).is_some());
    d.wait(SECOND);
    assert!(rejected(&d.ask(18, FREE)));
}

#[test]
fn a_failing_server_is_tried_by_free_classes_first_and_comes_back() {
    let mut d = one_server();
    let server = attempt(&d.ask(6, FREE)).unwrap();
    d.end(6, server, AttemptOutcome::ServerError, false);
    assert!(rejected(&d.ask(12, FREE)));
    d.wait(3 * SECOND);
    assert!(rejected(&d.ask(18, PAID)));
    for n in 4..7 {
        assert!(play(&mut d, n).is_some());
        d.wait(100 * MS);
    }
    assert!(attempt(&d.ask(60, PAID)).is_some());
}

#[test]
fn a_tenant_far_over_its_share_does_not_crowd_out_the_others() {
    let mut d = Drive::new(Settings { tenant_quota: vec![4.0, 4.0], ..settings() });
    let of = |d: &mut Drive, tenant, request| {
        let ask = SessionRequest { tenant, ..ask(request, FREE, d.now) };
        d.send(Event::SessionRequested(ask))
    };
    let rungs: Vec<_> = (1..80).filter_map(|n| rung(&of(&mut d, 0, n))).collect();
    assert!(rungs[10..].iter().all(|r| *r == 0), "{rungs:?}");
    assert!(rung(&of(&mut d, 1, 100)).is_some());
}

#[test]
fn a_live_title_takes_little_for_a_further_viewer() {
    let mut s = settings();
    s.classes[0].live = true;
    s.shared_stream_factor = 0.1;
    let mut d = Drive::new(s);
    d.send(Event::EndpointList(EndpointListKind::Full, vec![listing(1, Lifecycle::Ready, Time(0))]));
    let one_title = |d: &mut Drive, n: u64| {
        let ask = SessionRequest { title: 9, ..ask(n * 6, FREE, d.now) };
        attempt(&d.send(Event::SessionRequested(ask)))
    };
    let live = (1..100).map_while(|n| one_title(&mut d, n)).count();
    let mut plain = one_server();
    let apart = (1..100).map_while(|n| play(&mut plain, n)).count();
    assert!(live > apart, "{live} {apart}");
}

#[test]
fn discovery_that_must_be_asked_is_asked_again() {
    let mut front =
        PlacementPolicy::new(Settings { discovery_on_request: true, ..settings() }, 1, Time(SECOND));
    let mut out = Vec::new();
    front.handle(Time(SECOND), Event::EndpointList(EndpointListKind::Cached, fleet()), &mut out);
    assert!(out.contains(&Action::SubscribeEndpoints));
    out.clear();
    front.handle(Time(4 * SECOND), Event::EndpointList(EndpointListKind::Failed, vec![]), &mut out);
    assert!(out.contains(&Action::SubscribeEndpoints));
    out.clear();
    for t in 5..15 {
        front.handle(Time(t * SECOND), Event::Timer(0), &mut out);
    }
    assert!(out.contains(&Action::FetchEndpoints));
}

#[test]
fn a_lost_server_hands_its_viewers_to_the_others() {
    let mut d = Drive::new(settings());
    let server = attempt(&d.ask(6, FREE)).unwrap();
    d.plays(6, server);
    assert!(attempt(&d.end(6, server, AttemptOutcome::Reset, true)).is_none());
    for n in 2..20 {
        d.wait(20 * MS);
        assert_ne!(attempt(&d.ask(n * 6, FREE)), Some(server));
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut d = Drive::new(settings());
        (0..50).flat_map(|n| d.ask(n, (n % 3) as u8)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn a_front_that_stood_still_does_not_blame_the_servers() {
    // With its timers on time, a set-up that is out for long keeps others away.
    let mut d = one_server();
    tick(&mut d, 2);
    d.ask(6, FREE);
    tick(&mut d, 1);
    assert!(rejected(&d.ask(12, FREE)));
    // Two seconds without a turn, and then a request and a time-out at once.
    let mut d = one_server();
    tick(&mut d, 2);
    let server = attempt(&d.ask(6, FREE)).unwrap();
    d.ask(18, FREE);
    d.wait(3 * SECOND);
    assert_eq!(attempt(&d.ask(12, FREE)), Some(server));
    d.end(6, server, AttemptOutcome::Timeout, true);
    d.send(Event::Timer(0));
    assert_eq!(attempt(&d.ask(24, FREE)), Some(server));
}

#[test]
fn servers_that_are_gone_are_forgotten_and_what_may_matter_of_them_is_not() {
    let mut d = Drive::new(settings());
    let start = |id: u32, phase| Endpoint { cell: (id % 6) as u16, ..listing(id, phase, Time(0)) };
    d.send(Event::EndpointList(EndpointListKind::Full, vec![start(1, Lifecycle::Ready)]));
    let held = attempt(&d.ask(6, FREE)).expect("there is room");
    d.plays(6, held);
    for id in 2..500 {
        let next = vec![start(id, Lifecycle::Removed), start(id + 1, Lifecycle::Ready)];
        d.send(Event::EndpointList(EndpointListKind::Delta, next));
        tick(&mut d, 1);
    }
    d.send(Event::EndpointList(EndpointListKind::Delta, vec![start(1, Lifecycle::Removed)]));
    tick(&mut d, 1);
    let known: Vec<_> = d.front.server_estimates(d.now).into_iter().map(|e| e.server.0).collect();
    assert_eq!(known, [1, 500], "one with a session of ours stays until that ends");
    d.end(6, held, AttemptOutcome::Reset, true);
    tick(&mut d, 30);
    let known: Vec<_> = d.front.server_estimates(d.now).into_iter().map(|e| e.server.0).collect();
    assert_eq!(known, [500], "it is forgotten when it could not be cold any more");
}
