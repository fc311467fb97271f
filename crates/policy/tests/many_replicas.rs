//! Many replicas that decide independently of each other: slow start, promotion, relief, and replicas with few
//! sessions.
mod common;
use common::*;
use crankpaddle::*;
use std::collections::BTreeSet;

const START: Time = Time(1000 * SECOND);

/// `count` replicas that know server 1 only, with settings adapted by `change`.
fn replicas(count: u32, change: impl Fn(&mut Settings)) -> Vec<Driver> {
    let new_replica = |index| {
        let mut settings = Settings { replica_index: index, replica_count: count, ..settings() };
        change(&mut settings);
        let policy = PlacementPolicy::new(settings, u64::from(index) + 1, START);
        let mut driver = Driver { policy, now: START };
        driver
            .send(Event::EndpointList(EndpointListKind::Full, vec![endpoint(1, Lifecycle::Ready, Time(0))]));
        driver
    };
    (0..count).map(new_replica).collect()
}

/// Highest number of set-ups within any second; `sent` are their times in ascending order, nanoseconds.
fn max_in_a_second(sent: &[u64]) -> usize {
    (0..sent.len())
        .map(|first| sent[first..].iter().take_while(|at| **at < sent[first] + SECOND).count())
        .max()
        .unwrap_or(0)
}

/// Sends each replica a request for server 1 every 50 ms; returns the times of the set-ups there.
fn request_repeatedly(replicas: &mut [Driver], seconds: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    let mut request = 0;
    for step in 0..seconds * 20 {
        for driver in replicas.iter_mut() {
            driver.advance(50 * MS);
            request += 6;
            if let Some(server) = attempted_server(&driver.request(request, IDEMPOTENT)) {
                sent.push(driver.now.0);
                driver.establish(request, server);
                driver.end_attempt(request, server, AttemptOutcome::Completed, true);
            }
            if step % 20 == 19 {
                driver.send(Event::Timer(0));
            }
        }
    }
    sent.sort();
    sent
}

/// More than 2.5 set-ups per second overload the server: 25 streams over 10 s, of which 0.4 at the beginning of the
/// slow start, times the overload multiple of 2.5.
const OVERLOADING_SETUPS: usize = 3;

#[test]
fn a_restarted_server_is_not_overloaded_by_250_replicas_that_are_notified_at_different_times() {
    for delay_ms in [0, 400, 3000] {
        let mut all = replicas(250, |_| ());
        let start = Time(START.0 + SECOND);
        for (i, driver) in all.iter_mut().enumerate() {
            driver.now = Time(start.0 + delay_ms * MS * (i as u64 % 7) / 6);
            driver.send(Event::EndpointList(
                EndpointListKind::Delta,
                vec![endpoint(1, Lifecycle::Ready, start)],
            ));
            driver.now = Time(start.0 + delay_ms * MS);
        }
        let sent = request_repeatedly(&mut all, 6);
        assert!(!sent.is_empty(), "no replica ever uses an admission slot");
        assert!(
            max_in_a_second(&sent) < OVERLOADING_SETUPS,
            "notified up to {delay_ms} ms late: {} set-ups in a second",
            max_in_a_second(&sent)
        );
    }
}

#[test]
fn a_server_that_reset_its_connections_is_not_overloaded_by_250_replicas() {
    // All replicas see the reset. None, every second one or all of them are notified of the restart.
    for notified_one_in in [0, 2, 1] {
        let mut all = replicas(250, |_| ());
        for (i, driver) in all.iter_mut().enumerate() {
            let request = 1_000_000 + 6 * i as u64;
            driver.request(request, IDEMPOTENT);
            driver.end_attempt(request, ServerId(1), AttemptOutcome::Reset, true);
            driver.advance(10 * SECOND);
            driver.send(Event::Timer(0));
            if notified_one_in > 0 && i % notified_one_in == 0 {
                let start = Time(START.0 + 9 * SECOND);
                driver.send(Event::EndpointList(
                    EndpointListKind::Delta,
                    vec![endpoint(1, Lifecycle::Ready, start)],
                ));
            }
        }
        let sent = request_repeatedly(&mut all, 8);
        assert!(
            max_in_a_second(&sent) <= OVERLOADING_SETUPS,
            "one in {notified_one_in} notified (0: none): {} set-ups in a second",
            max_in_a_second(&sent)
        );
    }
}

/// Replicas with one adopted session each at server 1, at `rung`, which may be promoted.
fn replicas_with_session(count: u32, rung: u8) -> Vec<Driver> {
    let mut all = replicas(count, |settings| settings.uplink_kb = 1e9);
    for driver in &mut all {
        driver.send(Event::SessionAdopted(session_request(6, IDEMPOTENT, driver.now), ServerId(1)));
        driver.update(6, ServerId(1), SessionUpdate::Rung(rung));
    }
    all
}

/// Sets the link capacity of server 1 that all replicas know, kB per second.
fn set_link_capacity(replicas: &mut [Driver], link_kb: f64) {
    for driver in replicas {
        let mut entry = endpoint(1, Lifecycle::Ready, Time(0));
        entry.weight = link_kb / 6000.0;
        driver.send(Event::EndpointList(EndpointListKind::Delta, vec![entry]));
    }
}

/// Sends all replicas the same measurement of the link; returns the change of its load by their rung changes, kB per
/// second.
fn demand_change(all: &mut [Driver], rung: u8, fill: f64) -> f64 {
    let rate_kb = |rung: u8| settings().rung_kb[usize::from(rung)];
    let mut sum = 0.0;
    for driver in all.iter_mut() {
        driver.advance(2 * SECOND);
        let mut actions = driver.update(6, ServerId(1), SessionUpdate::LinkDemand(fill));
        actions.extend(driver.send(Event::Timer(0)));
        let last = actions.iter().rev().find_map(|action| match action {
            Action::SetRung { rung, .. } => Some(*rung),
            _ => None,
        });
        sum += last.map_or(0.0, |to| rate_kb(to) - rate_kb(rung));
    }
    sum
}

#[test]
fn replicas_with_the_same_headroom_measurement_promote_into_it_and_not_beyond() {
    for count in [2u32, 20, 200] {
        // The sessions of the replicas fill 0.4 of the link.
        let link_kb = f64::from(count) * 350.0 / 0.4;
        let mut all = replicas_with_session(count, 1);
        set_link_capacity(&mut all, link_kb);
        let free_kb = 0.5 * link_kb;
        let raised_kb: f64 = (0..3).map(|_| demand_change(&mut all, 1, 0.4).max(0.0)).sum::<f64>() / 3.0;
        assert!(
            raised_kb <= 1.2 * free_kb,
            "{count} replicas added {raised_kb:.0} kB/s to {free_kb:.0} free"
        );
        assert!(raised_kb > 0.1 * free_kb, "{count} replicas used {raised_kb:.0} of {free_kb:.0} kB/s");
    }
}

#[test]
fn replicas_with_the_same_overload_measurement_demote_about_the_excess() {
    for count in [2u32, 20, 200] {
        let link_kb = f64::from(count) * 1000.0 / 1.2;
        let mut all = replicas_with_session(count, 3);
        set_link_capacity(&mut all, link_kb);
        let excess = 0.25 * link_kb;
        let lowered = -demand_change(&mut all, 3, 1.2);
        let tolerance = 1.5 * (f64::from(count)).sqrt() * 400.0;
        let message = format!("{count} replicas removed {lowered:.0} of {excess:.0} kB/s");
        assert!((lowered - excess).abs() <= tolerance, "{message}");
        if count > 2 {
            assert!(lowered > 0.6 * excess && lowered < 1.4 * excess, "{message}");
        }
    }
}

/// Guards against an estimate that counts only the measurement and our own sessions: it misses the load that other
/// replicas add while sessions grow.
#[test]
fn load_added_by_other_replicas_since_a_measurement_is_estimated_only_while_sessions_grow() {
    let estimated_fill = |sessions_end: bool| {
        let mut driver = replicas(100, |settings| {
            (settings.fleet_link_kb, settings.link_kb, settings.uplink_kb) =
                (1_000_000.0, 600_000.0, 6_000_000.0);
            settings.stream_capacity = vec![1000];
        })
        .remove(0);
        let server = attempted_server(&driver.request(6, IDEMPOTENT)).expect("the server has capacity");
        driver.establish(6, server);
        driver.send(Event::SessionUpdated {
            request: RequestId(6),
            server,
            update: SessionUpdate::LinkDemand(0.2),
        });
        for index in 2..14 {
            driver.advance(200 * MS);
            let server =
                attempted_server(&driver.request(6 * index, IDEMPOTENT)).expect("the server has capacity");
            driver.establish(6 * index, server);
            if sessions_end {
                driver.end_attempt(6 * index, server, AttemptOutcome::Completed, true);
            }
            if index % 5 == 0 {
                driver.send(Event::Timer(0));
            }
        }
        driver
            .policy
            .server_estimates(driver.now)
            .into_iter()
            .find(|estimate| estimate.server == server)
            .expect("the server is known")
            .link_fill
    };
    let (growing, steady) = (estimated_fill(false), estimated_fill(true));
    assert!(steady < 0.3, "as many sessions end as start: {steady}");
    assert!(growing > steady + 0.1, "no session ends: {growing}; as many end as start: {steady}");
}

#[test]
fn a_second_request_of_a_tenant_is_within_its_quota_at_one_of_many_replicas() {
    let settings = Settings { replica_count: 200, tenant_quota: vec![20.0], ..settings() };
    let mut driver = Driver::new(settings);
    let rungs: Vec<_> = (0..4).filter_map(|n| set_rung(&driver.request(n, IDEMPOTENT))).collect();
    assert_eq!(rungs.len(), 4);
    assert!(rungs.iter().all(|rung| *rung > 0), "{rungs:?}");
}

#[test]
fn one_session_at_a_low_rung_does_not_make_a_server_seem_full() {
    let mut driver = Driver::new(Settings { replica_count: 200, ..settings() });
    driver.send(Event::EndpointList(EndpointListKind::Full, vec![endpoint(1, Lifecycle::Ready, Time(0))]));
    driver.send(Event::SessionAdopted(
        SessionRequest { max_rung: 0, ..session_request(6, IDEMPOTENT, driver.now) },
        ServerId(1),
    ));
    driver.update(6, ServerId(1), SessionUpdate::LinkDemand(0.75));
    assert!(attempted_server(&driver.request(12, IDEMPOTENT)).is_some());
}

#[test]
fn one_stale_measurement_of_an_uplink_does_not_exclude_a_rack() {
    let mut driver = Driver::new(settings());
    let request_in_one_cell = |driver: &mut Driver, request| {
        let request = SessionRequest { cell_count: 1, ..session_request(request, IDEMPOTENT, driver.now) };
        driver.send(Event::SessionRequested(request))
    };
    let server = attempted_server(&request_in_one_cell(&mut driver, 6)).unwrap();
    driver.establish(6, server);
    driver.advance(SECOND);
    driver.update(6, server, SessionUpdate::UplinkDemand(1.02));
    driver.send(Event::Timer(0));
    driver.end_attempt(6, server, AttemptOutcome::Completed, true);
    assert!(attempted_server(&request_in_one_cell(&mut driver, 12)).is_none());
    for _ in 0..60 {
        driver.advance(SECOND);
        driver.send(Event::Timer(0));
    }
    assert_eq!(attempted_server(&request_in_one_cell(&mut driver, 18)), Some(server));
}

#[test]
fn unusual_settings_and_late_timers_cause_no_panic_and_leave_no_request_unanswered() {
    let no_rungs = Settings { rung_kb: vec![], rung_utility: vec![], racks: 0, cells: 0, ..settings() };
    let many_replicas = Settings { replica_count: 10_000, replica_index: 9_999, ..settings() };
    let many_racks = Settings { racks: 500, update_interval: 0, update_delay: 0, ..settings() };
    let no_replicas = Settings {
        replica_count: 0,
        stream_capacity: vec![],
        slow_start_duration: 0,
        overload_window: 0,
        ..settings()
    };
    for settings in [no_rungs, many_replicas, many_racks, no_replicas, Settings::default()] {
        for list in [vec![], vec![endpoint(1, Lifecycle::Ready, START)], fleet()] {
            let mut driver = Driver { policy: PlacementPolicy::new(settings.clone(), 3, START), now: START };
            driver.send(Event::EndpointList(EndpointListKind::Full, list));
            let mut answered = BTreeSet::new();
            for request in 0..30 {
                let actions = driver.request(request, (request % 3) as u8);
                let server = attempted_server(&actions);
                assert!(
                    server.is_some() || is_rejected(&actions) || is_failed(&actions),
                    "{request}: {actions:?}"
                );
                answered.insert(request);
                if let Some(server) = server {
                    driver.establish(request, server);
                    driver.update(request, server, SessionUpdate::LinkDemand(1.4));
                    driver.update(request, server, SessionUpdate::DeliveryRatio(0.2));
                    driver.update(request, server, SessionUpdate::Rung(200));
                }
                if request % 10 == 9 {
                    driver.now = Time(driver.now.0 + 5 * 3600 * SECOND);
                    driver.send(Event::Timer(0));
                    driver.now = Time(driver.now.0 - 3600 * SECOND);
                }
            }
            assert_eq!(answered.len(), 30);
        }
    }
}
