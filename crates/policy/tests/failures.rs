//! Admission, promotion, ejection and recovery of one replica, with a regression test for each failure that was found.
mod common;
use common::*;
use crankpaddle::*;

/// A replica that knows server 1 only, which is in cell 0.
fn driver_with_one_server() -> Driver {
    let mut driver = Driver::new(settings());
    driver.send(Event::EndpointList(EndpointListKind::Full, vec![endpoint(1, Lifecycle::Ready, Time(0))]));
    driver
}

/// Requests and establishes a session of a title in cells 0 to 2; returns its rung, `None` if it was not attempted.
fn establish_session(driver: &mut Driver, index: u64) -> Option<u8> {
    let actions = driver.request(index * 6, IDEMPOTENT);
    let server = attempted_server(&actions)?;
    driver.establish(index * 6, server);
    set_rung(&actions)
}

fn tick_seconds(driver: &mut Driver, seconds: u64) -> Vec<Action> {
    (0..seconds)
        .flat_map(|_| {
            driver.advance(SECOND);
            driver.send(Event::Timer(0))
        })
        .collect()
}

fn known_servers(driver: &Driver) -> Vec<u32> {
    driver.policy.server_estimates(driver.now).into_iter().map(|estimate| estimate.server.0).collect()
}

fn rung_changes(actions: &[Action]) -> Vec<(u64, u8)> {
    let rung = |action: &Action| match action {
        Action::SetRung { request, rung } => Some((request.0, *rung)),
        _ => None,
    };
    actions.iter().filter_map(rung).collect()
}

#[test]
fn admission_offers_lower_rungs_as_the_link_fills_and_then_rejects_early() {
    let mut driver = driver_with_one_server();
    let rungs: Vec<_> = (1..60).map_while(|index| establish_session(&mut driver, index)).collect();
    assert!(rungs.len() >= 5 && rungs.len() < 59, "{rungs:?}");
    assert!(rungs[0] > *rungs.last().unwrap(), "{rungs:?}");
    let rate_kb: f64 = rungs.iter().map(|rung| settings().rung_kb[usize::from(*rung)]).sum();
    assert!(rate_kb <= 0.9 * 6000.0, "{rate_kb} kB/s on a link of 6000 kB/s");
    assert!(is_rejected(&driver.request(600, IDEMPOTENT)));
}

#[test]
fn a_freed_link_promotes_each_waiting_session_once_in_thirty_seconds() {
    let mut driver = driver_with_one_server();
    let rungs: Vec<_> = (1..60).map_while(|index| establish_session(&mut driver, index)).collect();
    let count = rungs.len() as u64;
    driver.advance(SECOND);
    let mut changes = Vec::new();
    for index in 1..=count / 2 {
        changes.extend(rung_changes(&driver.end_attempt(
            index * 6,
            ServerId(1),
            AttemptOutcome::Completed,
            true,
        )));
    }
    driver.update(count * 6, ServerId(1), SessionUpdate::LinkDemand(0.3));
    changes.extend(rung_changes(&tick_seconds(&mut driver, 20)));
    let promoted_from: std::collections::BTreeSet<_> =
        changes.iter().map(|(request, _)| rungs[(request / 6 - 1) as usize]).collect();
    assert!(promoted_from.len() >= 2, "promotions from one rung only: {changes:?} of {rungs:?}");
    let mut seen = std::collections::BTreeSet::new();
    for (request, rung) in changes {
        assert!(seen.insert(request), "session {request} was promoted twice in 21 s");
        assert!(
            rung > rungs[(request / 6 - 1) as usize],
            "session {request} was demoted without an overload"
        );
    }
}

#[test]
fn only_a_measured_overload_demotes_sessions_once_for_each_measurement() {
    let mut driver = driver_with_one_server();
    let rungs: Vec<_> = (1..60).map_while(|index| establish_session(&mut driver, index)).collect();
    tick_seconds(&mut driver, 2);
    assert!(rung_changes(&driver.update(6, ServerId(1), SessionUpdate::LinkDemand(0.85))).is_empty());
    let demotions = rung_changes(&driver.update(6, ServerId(1), SessionUpdate::LinkDemand(1.5)));
    assert!(!demotions.is_empty());
    for (request, rung) in demotions {
        assert!(rung < rungs[(request / 6 - 1) as usize]);
    }
    // The measurement has been acted on: repeating it changes nothing.
    assert!(rung_changes(&driver.update(6, ServerId(1), SessionUpdate::LinkDemand(1.5))).is_empty());
}

#[test]
fn a_stale_measurement_does_not_exclude_a_server() {
    let mut driver = driver_with_one_server();
    let server = attempted_server(&driver.request(6, IDEMPOTENT)).unwrap();
    driver.establish(6, server);
    driver.advance(SECOND);
    driver.update(6, server, SessionUpdate::LinkDemand(1.2));
    driver.end_attempt(6, server, AttemptOutcome::Completed, true);
    assert!(attempted_server(&driver.request(12, IDEMPOTENT)).is_none());
    driver.send(Event::EndpointList(EndpointListKind::Delta, fleet()[1..].to_vec()));
    for id in 2..=6 {
        let request = 1200 + u64::from(id) - 1;
        let actions = driver.send(Event::SessionRequested(SessionRequest {
            cell_count: 1,
            ..session_request(request, IDEMPOTENT, driver.now)
        }));
        driver.establish(request, attempted_server(&actions).unwrap());
        driver.update(request, ServerId(id), SessionUpdate::LinkDemand(0.1));
    }
    tick_seconds(&mut driver, 60);
    let actions = driver.send(Event::SessionRequested(SessionRequest {
        cell_count: 1,
        ..session_request(18, IDEMPOTENT, driver.now)
    }));
    assert_eq!(attempted_server(&actions), Some(server));
}

#[test]
fn a_server_with_short_delivery_and_headroom_gets_no_set_ups() {
    let mut driver = driver_with_one_server();
    let server = attempted_server(&driver.request(6, IDEMPOTENT)).unwrap();
    driver.establish(6, server);
    driver.advance(2 * SECOND);
    driver.update(6, server, SessionUpdate::DeliveryRatio(0.3));
    driver.advance(SECOND);
    driver.update(6, server, SessionUpdate::LinkDemand(0.3));
    driver.update(6, server, SessionUpdate::DeliveryRatio(0.3));
    driver.advance(500 * MS);
    assert!(is_rejected(&driver.request(12, IDEMPOTENT)));
    driver.advance(10 * SECOND);
    assert!(
        is_rejected(&driver.request(18, AT_MOST_ONCE)),
        "an at-most-once class made the first attempt after an ejection"
    );
    assert!(attempted_server(&driver.request(24, IDEMPOTENT)).is_some());
}

#[test]
fn one_overloaded_link_does_not_exclude_its_rack() {
    let mut driver = Driver::new(settings());
    let actions = driver.send(Event::SessionRequested(SessionRequest {
        cell_count: 1,
        ..session_request(6, IDEMPOTENT, driver.now)
    }));
    let server = attempted_server(&actions).unwrap();
    driver.establish(6, server);
    for _ in 0..10 {
        driver.advance(SECOND);
        driver.update(6, server, SessionUpdate::DeliveryRatio(0.5));
        driver.update(6, server, SessionUpdate::LinkDemand(2.0));
    }
    // Server 3 is in the same rack.
    let actions = driver.send(Event::SessionRequested(SessionRequest {
        cell_count: 1,
        ..session_request(8, IDEMPOTENT, driver.now)
    }));
    assert_eq!(attempted_server(&actions), Some(ServerId(3)));
}

#[test]
fn a_server_that_does_not_answer_gets_no_more_set_ups() {
    let mut driver = driver_with_one_server();
    assert!(attempted_server(&driver.request(6, AT_MOST_ONCE)).is_some());
    assert!(attempted_server(&driver.request(12, IDEMPOTENT)).is_some());
    driver.advance(SECOND);
    assert!(is_rejected(&driver.request(18, IDEMPOTENT)));
}

#[test]
fn an_ejected_server_gets_trials_by_idempotent_classes_before_others() {
    let mut driver = driver_with_one_server();
    let server = attempted_server(&driver.request(6, IDEMPOTENT)).unwrap();
    driver.end_attempt(6, server, AttemptOutcome::ServerError, false);
    assert!(is_rejected(&driver.request(12, IDEMPOTENT)));
    driver.advance(3 * SECOND);
    assert!(is_rejected(&driver.request(18, AT_MOST_ONCE)));
    for index in 4..7 {
        assert!(establish_session(&mut driver, index).is_some());
        driver.advance(100 * MS);
    }
    assert!(attempted_server(&driver.request(60, AT_MOST_ONCE)).is_some());
}

#[test]
fn a_tenant_far_over_its_quota_does_not_crowd_out_the_others() {
    let mut driver = Driver::new(Settings { tenant_quota: vec![4.0, 4.0], ..settings() });
    let request_of_tenant = |driver: &mut Driver, tenant, request| {
        let request = SessionRequest { tenant, ..session_request(request, IDEMPOTENT, driver.now) };
        driver.send(Event::SessionRequested(request))
    };
    let rungs: Vec<_> = (1..80).filter_map(|id| set_rung(&request_of_tenant(&mut driver, 0, id))).collect();
    assert!(rungs[10..].iter().all(|rung| *rung == 0), "{rungs:?}");
    assert!(set_rung(&request_of_tenant(&mut driver, 1, 100)).is_some());
}

#[test]
fn a_further_viewer_of_a_live_title_takes_little_capacity() {
    let mut shared = settings();
    shared.classes[0].live = true;
    shared.shared_stream_factor = 0.1;
    let mut driver = Driver::new(shared);
    driver.send(Event::EndpointList(EndpointListKind::Full, vec![endpoint(1, Lifecycle::Ready, Time(0))]));
    let request_same_title = |driver: &mut Driver, index: u64| {
        let request = SessionRequest { title: 9, ..session_request(index * 6, IDEMPOTENT, driver.now) };
        attempted_server(&driver.send(Event::SessionRequested(request)))
    };
    let live = (1..100).map_while(|index| request_same_title(&mut driver, index)).count();
    let mut unshared = driver_with_one_server();
    let separate = (1..100).map_while(|index| establish_session(&mut unshared, index)).count();
    assert!(live > separate, "{live} sessions of a live title, {separate} with a stream each");
}

#[test]
fn the_endpoint_list_is_requested_again_after_a_failure_and_before_it_is_too_old() {
    let mut policy =
        PlacementPolicy::new(Settings { discovery_on_request: true, ..settings() }, 1, Time(SECOND));
    let mut actions = Vec::new();
    policy.handle(Time(SECOND), Event::EndpointList(EndpointListKind::Cached, fleet()), &mut actions);
    assert!(actions.contains(&Action::SubscribeEndpoints));
    actions.clear();
    policy.handle(Time(4 * SECOND), Event::EndpointList(EndpointListKind::Failed, vec![]), &mut actions);
    assert!(actions.contains(&Action::SubscribeEndpoints));
    actions.clear();
    for second in 5..15 {
        policy.handle(Time(second * SECOND), Event::Timer(0), &mut actions);
    }
    assert!(actions.contains(&Action::FetchEndpoints));
}

#[test]
fn viewers_of_a_lost_server_are_placed_at_the_others() {
    let mut driver = Driver::new(settings());
    let server = attempted_server(&driver.request(6, IDEMPOTENT)).unwrap();
    driver.establish(6, server);
    assert!(attempted_server(&driver.end_attempt(6, server, AttemptOutcome::Reset, true)).is_none());
    for index in 2..20 {
        driver.advance(20 * MS);
        assert_ne!(attempted_server(&driver.request(index * 6, IDEMPOTENT)), Some(server));
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut driver = Driver::new(settings());
        (0..50).flat_map(|request| driver.request(request, (request % 3) as u8)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn a_replica_that_stalled_does_not_eject_servers() {
    // Without a stall, a set-up that gets no answer for long excludes the server from further set-ups.
    let mut driver = driver_with_one_server();
    tick_seconds(&mut driver, 2);
    driver.request(6, IDEMPOTENT);
    tick_seconds(&mut driver, 1);
    assert!(is_rejected(&driver.request(12, IDEMPOTENT)));
    // After a stall of two seconds, a request is handled first and then the time-out of the set-up.
    let mut driver = driver_with_one_server();
    tick_seconds(&mut driver, 2);
    let server = attempted_server(&driver.request(6, IDEMPOTENT)).unwrap();
    driver.request(18, IDEMPOTENT);
    driver.advance(3 * SECOND);
    assert_eq!(attempted_server(&driver.request(12, IDEMPOTENT)), Some(server));
    driver.end_attempt(6, server, AttemptOutcome::Timeout, true);
    driver.send(Event::Timer(0));
    assert_eq!(attempted_server(&driver.request(24, IDEMPOTENT)), Some(server));
}

#[test]
fn removed_servers_are_evicted_once_nothing_depends_on_them() {
    let mut driver = Driver::new(settings());
    let entry = |id: u32, lifecycle| Endpoint { cell: (id % 6) as u16, ..endpoint(id, lifecycle, Time(0)) };
    driver.send(Event::EndpointList(EndpointListKind::Full, vec![entry(1, Lifecycle::Ready)]));
    let first_server = attempted_server(&driver.request(6, IDEMPOTENT)).expect("the server has capacity");
    driver.establish(6, first_server);
    for id in 2..500 {
        let next = vec![entry(id, Lifecycle::Removed), entry(id + 1, Lifecycle::Ready)];
        driver.send(Event::EndpointList(EndpointListKind::Delta, next));
        tick_seconds(&mut driver, 1);
    }
    driver.send(Event::EndpointList(EndpointListKind::Delta, vec![entry(1, Lifecycle::Removed)]));
    tick_seconds(&mut driver, 1);
    let known = known_servers(&driver);
    assert_eq!(known, [1, 500], "a server with one of our sessions stays until the session ends");
    driver.end_attempt(6, first_server, AttemptOutcome::Reset, true);
    tick_seconds(&mut driver, 30);
    let known = known_servers(&driver);
    assert_eq!(known, [500], "it is evicted once its ejection and slow start are over");
}
