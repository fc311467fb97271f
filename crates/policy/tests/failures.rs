//! Admission, promotion, ejection and recovery of one replica, and each failure that was found, without the bench.
mod common;
use common::*;
use crankpaddle::*;

/// A replica that knows server 1 only; requests are for cell 0.
fn driver_with_one_server() -> Driver {
    let mut d = Driver::new(settings());
    d.send(Event::EndpointList(EndpointListKind::Full, vec![endpoint(1, Lifecycle::Ready, Time(0))]));
    d
}

fn establish_session(d: &mut Driver, n: u64) -> Option<u8> {
    let out = d.request(n * 6, IDEMPOTENT);
    let server = attempted_server(&out)?;
    d.establish(n * 6, server);
    set_rung(&out)
}

fn tick_seconds(d: &mut Driver, seconds: u64) -> Vec<Action> {
    (0..seconds)
        .flat_map(|_| {
            d.advance(SECOND);
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
    let mut d = driver_with_one_server();
    let rungs: Vec<_> = (1..60).map_while(|n| establish_session(&mut d, n)).collect();
    assert!(rungs.len() >= 5 && rungs.len() < 59, "{rungs:?}");
    assert!(rungs[0] > *rungs.last().unwrap(), "{rungs:?}");
    let kb: f64 = rungs.iter().map(|r| settings().rung_kb[usize::from(*r)]).sum();
    assert!(kb <= 0.9 * 6000.0, "{kb} kB on a link of 6000");
    assert!(is_rejected(&d.request(600, IDEMPOTENT)));
}

#[test]
fn a_freed_link_promotes_each_waiting_session_once_in_thirty_seconds() {
    let mut d = driver_with_one_server();
    let rungs: Vec<_> = (1..60).map_while(|n| establish_session(&mut d, n)).collect();
    let n = rungs.len() as u64;
    d.advance(SECOND);
    let mut changes = Vec::new();
    for request in 1..=n / 2 {
        changes.extend(rung_changes(&d.end_attempt(
            request * 6,
            ServerId(1),
            AttemptOutcome::Completed,
            true,
        )));
    }
    d.update(n * 6, ServerId(1), SessionUpdate::LinkDemand(0.3));
    changes.extend(rung_changes(&tick_seconds(&mut d, 20)));
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
fn only_a_measured_overrun_demotes_sessions_and_only_our_part_of_it() {
    let mut d = driver_with_one_server();
    let rungs: Vec<_> = (1..60).map_while(|n| establish_session(&mut d, n)).collect();
    tick_seconds(&mut d, 2);
    assert!(rung_changes(&d.update(6, ServerId(1), SessionUpdate::LinkDemand(0.85))).is_empty());
    let out = rung_changes(&d.update(6, ServerId(1), SessionUpdate::LinkDemand(1.5)));
    assert!(!out.is_empty());
    for (request, rung) in out {
        assert!(rung < rungs[(request / 6 - 1) as usize]);
    }
    // Once for each measurement: the same late update again changes nothing.
    assert!(rung_changes(&d.update(6, ServerId(1), SessionUpdate::LinkDemand(1.5))).is_empty());
}

#[test]
fn a_stale_measurement_does_not_keep_a_server_out() {
    let mut d = driver_with_one_server();
    let server = attempted_server(&d.request(6, IDEMPOTENT)).unwrap();
    d.establish(6, server);
    d.advance(SECOND);
    d.update(6, server, SessionUpdate::LinkDemand(1.2));
    d.end_attempt(6, server, AttemptOutcome::Completed, true);
    assert!(attempted_server(&d.request(12, IDEMPOTENT)).is_none());
    d.send(Event::EndpointList(EndpointListKind::Delta, fleet()[1..].to_vec()));
    for id in 2..=6 {
        let request = 1200 + u64::from(id) - 1;
        let out = d.send(Event::SessionRequested(SessionRequest {
            cell_count: 1,
            ..session_request(request, IDEMPOTENT, d.now)
        }));
        d.establish(request, attempted_server(&out).unwrap());
        d.update(request, ServerId(id), SessionUpdate::LinkDemand(0.1));
    }
    tick_seconds(&mut d, 60);
    let out = d.send(Event::SessionRequested(SessionRequest {
        cell_count: 1,
        ..session_request(18, IDEMPOTENT, d.now)
    }));
    assert_eq!(attempted_server(&out), Some(server));
}

#[test]
fn a_server_with_short_delivery_and_headroom_gets_no_set_ups() {
    let mut d = driver_with_one_server();
    let server = attempted_server(&d.request(6, IDEMPOTENT)).unwrap();
    d.establish(6, server);
    d.advance(2 * SECOND);
    d.update(6, server, SessionUpdate::DeliveryRatio(0.3));
    d.advance(SECOND);
    d.update(6, server, SessionUpdate::LinkDemand(0.3));
    d.update(6, server, SessionUpdate::DeliveryRatio(0.3));
    d.advance(500 * MS);
    assert!(is_rejected(&d.request(12, IDEMPOTENT)));
    d.advance(10 * SECOND);
    assert!(is_rejected(&d.request(18, AT_MOST_ONCE)), "a paid class tried it first");
    assert!(attempted_server(&d.request(24, IDEMPOTENT)).is_some());
}

#[test]
fn one_overloaded_link_does_not_exclude_its_rack() {
    let mut d = Driver::new(settings());
    let out = d.send(Event::SessionRequested(SessionRequest {
        cell_count: 1,
        ..session_request(6, IDEMPOTENT, d.now)
    }));
    let server = attempted_server(&out).unwrap();
    d.establish(6, server);
    for _ in 0..10 {
        d.advance(SECOND);
        d.update(6, server, SessionUpdate::DeliveryRatio(0.5));
        d.update(6, server, SessionUpdate::LinkDemand(2.0));
    }
    // Server 3 is in the same rack.
    let out = d.send(Event::SessionRequested(SessionRequest {
        cell_count: 1,
        ..session_request(8, IDEMPOTENT, d.now)
    }));
    assert_eq!(attempted_server(&out), Some(ServerId(3)));
}

#[test]
fn a_server_that_does_not_answer_gets_no_more_set_ups() {
    let mut d = driver_with_one_server();
    assert!(attempted_server(&d.request(6, AT_MOST_ONCE)).is_some());
    assert!(attempted_server(&d.request(12, IDEMPOTENT)).is_some());
    d.advance(SECOND);
    assert!(is_rejected(&d.request(18, IDEMPOTENT)));
}

#[test]
fn an_ejected_server_gets_trials_by_idempotent_classes_before_others() {
    let mut d = driver_with_one_server();
    let server = attempted_server(&d.request(6, IDEMPOTENT)).unwrap();
    d.end_attempt(6, server, AttemptOutcome::ServerError, false);
    assert!(is_rejected(&d.request(12, IDEMPOTENT)));
    d.advance(3 * SECOND);
    assert!(is_rejected(&d.request(18, AT_MOST_ONCE)));
    for n in 4..7 {
        assert!(establish_session(&mut d, n).is_some());
        d.advance(100 * MS);
    }
    assert!(attempted_server(&d.request(60, AT_MOST_ONCE)).is_some());
}

#[test]
fn a_tenant_far_over_its_quota_does_not_crowd_out_the_others() {
    let mut d = Driver::new(Settings { tenant_quota: vec![4.0, 4.0], ..settings() });
    let of = |d: &mut Driver, tenant, request| {
        let request = SessionRequest { tenant, ..session_request(request, IDEMPOTENT, d.now) };
        d.send(Event::SessionRequested(request))
    };
    let rungs: Vec<_> = (1..80).filter_map(|n| set_rung(&of(&mut d, 0, n))).collect();
    assert!(rungs[10..].iter().all(|r| *r == 0), "{rungs:?}");
    assert!(set_rung(&of(&mut d, 1, 100)).is_some());
}

#[test]
fn a_further_viewer_of_a_live_title_takes_little_capacity() {
    let mut s = settings();
    s.classes[0].live = true;
    s.shared_stream_factor = 0.1;
    let mut d = Driver::new(s);
    d.send(Event::EndpointList(EndpointListKind::Full, vec![endpoint(1, Lifecycle::Ready, Time(0))]));
    let one_title = |d: &mut Driver, n: u64| {
        let request = SessionRequest { title: 9, ..session_request(n * 6, IDEMPOTENT, d.now) };
        attempted_server(&d.send(Event::SessionRequested(request)))
    };
    let live = (1..100).map_while(|n| one_title(&mut d, n)).count();
    let mut plain = driver_with_one_server();
    let apart = (1..100).map_while(|n| establish_session(&mut plain, n)).count();
    assert!(live > apart, "{live} {apart}");
}

#[test]
fn discovery_on_request_is_requested_again() {
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
fn viewers_of_a_lost_server_are_placed_at_the_others() {
    let mut d = Driver::new(settings());
    let server = attempted_server(&d.request(6, IDEMPOTENT)).unwrap();
    d.establish(6, server);
    assert!(attempted_server(&d.end_attempt(6, server, AttemptOutcome::Reset, true)).is_none());
    for n in 2..20 {
        d.advance(20 * MS);
        assert_ne!(attempted_server(&d.request(n * 6, IDEMPOTENT)), Some(server));
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut d = Driver::new(settings());
        (0..50).flat_map(|n| d.request(n, (n % 3) as u8)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn a_replica_that_stalled_does_not_eject_servers() {
    // With its timers on time, a set-up that is out for long keeps others away.
    let mut d = driver_with_one_server();
    tick_seconds(&mut d, 2);
    d.request(6, IDEMPOTENT);
    tick_seconds(&mut d, 1);
    assert!(is_rejected(&d.request(12, IDEMPOTENT)));
    // Two seconds without running, and then a request and a time-out at once.
    let mut d = driver_with_one_server();
    tick_seconds(&mut d, 2);
    let server = attempted_server(&d.request(6, IDEMPOTENT)).unwrap();
    d.request(18, IDEMPOTENT);
    d.advance(3 * SECOND);
    assert_eq!(attempted_server(&d.request(12, IDEMPOTENT)), Some(server));
    d.end_attempt(6, server, AttemptOutcome::Timeout, true);
    d.send(Event::Timer(0));
    assert_eq!(attempted_server(&d.request(24, IDEMPOTENT)), Some(server));
}

#[test]
fn removed_servers_are_evicted_once_nothing_depends_on_them() {
    let mut d = Driver::new(settings());
    let start = |id: u32, phase| Endpoint { cell: (id % 6) as u16, ..endpoint(id, phase, Time(0)) };
    d.send(Event::EndpointList(EndpointListKind::Full, vec![start(1, Lifecycle::Ready)]));
    let held = attempted_server(&d.request(6, IDEMPOTENT)).expect("there is room");
    d.establish(6, held);
    for id in 2..500 {
        let next = vec![start(id, Lifecycle::Removed), start(id + 1, Lifecycle::Ready)];
        d.send(Event::EndpointList(EndpointListKind::Delta, next));
        tick_seconds(&mut d, 1);
    }
    d.send(Event::EndpointList(EndpointListKind::Delta, vec![start(1, Lifecycle::Removed)]));
    tick_seconds(&mut d, 1);
    let known: Vec<_> = d.policy.server_estimates(d.now).into_iter().map(|e| e.server.0).collect();
    assert_eq!(known, [1, 500], "one with a session of ours stays until that ends");
    d.end_attempt(6, held, AttemptOutcome::Reset, true);
    tick_seconds(&mut d, 30);
    let known: Vec<_> = d.policy.server_estimates(d.now).into_iter().map(|e| e.server.0).collect();
    assert_eq!(known, [500], "it is forgotten when it could not be cold any more");
}
