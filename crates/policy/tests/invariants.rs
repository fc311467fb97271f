//! The invariants of attempts, answers and rungs, one at a time; `random_sequences.rs` checks them all together.
mod common;
use common::*;
use crankpaddle::*;

#[test]
fn a_request_without_a_server_is_rejected_at_once_with_retry_after() {
    let mut driver = Driver::new(settings());
    driver.send(Event::EndpointList(EndpointListKind::Full, vec![]));
    let actions = driver.request(1, IDEMPOTENT);
    assert!(actions.contains(&Action::Reject { request: RequestId(1), retry_after: SECOND }), "{actions:?}");
    assert!(attempted_server(&driver.request(1, IDEMPOTENT)).is_none());
}

#[test]
fn an_at_most_once_attempt_with_an_unknown_outcome_fails_and_is_not_retried() {
    for outcome in [
        AttemptOutcome::ServerError,
        AttemptOutcome::Timeout,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut driver = Driver::new(settings());
        let server = attempted_server(&driver.request(1, AT_MOST_ONCE)).unwrap();
        let actions = driver.end_attempt(1, server, outcome, false);
        assert!(
            is_failed(&actions) && attempted_server(&actions).is_none() && !is_rejected(&actions),
            "{outcome:?} {actions:?}"
        );
    }
}

#[test]
fn an_attempt_that_was_not_executed_is_retried_at_another_server() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed] {
        let mut driver = Driver::new(settings());
        let server = attempted_server(&driver.request(1, AT_MOST_ONCE)).unwrap();
        let next = attempted_server(&driver.end_attempt(1, server, outcome, false)).unwrap();
        assert_ne!(server, next);
    }
}

#[test]
fn a_class_idempotent_within_its_zone_is_retried_in_its_zone_and_window_only() {
    for wait in [0, 3 * SECOND] {
        let mut driver = Driver::new(settings());
        let server = attempted_server(&driver.request(1, ZONE_IDEMPOTENT)).unwrap();
        driver.advance(wait);
        let actions = driver.end_attempt(1, server, AttemptOutcome::ServerError, false);
        assert!(!is_rejected(&actions));
        match attempted_server(&actions) {
            Some(next) => assert!(wait == 0 && (next.0 % 2 == server.0 % 2)),
            None => assert!(is_failed(&actions)),
        }
    }
}

#[test]
fn a_draining_server_gets_no_attempt_from_then_on() {
    let mut driver = Driver::new(settings());
    let drained = [1, 2].map(|id| endpoint(id, Lifecycle::Draining, Time(0))).to_vec();
    driver.send(Event::EndpointList(EndpointListKind::Delta, drained));
    for request in 0..60 {
        driver.advance(100 * MS);
        if let Some(server) = attempted_server(&driver.request(request * 6, IDEMPOTENT)) {
            assert_eq!(server, ServerId(3));
        }
    }
}

#[test]
fn a_server_missing_from_a_full_list_is_removed() {
    let mut driver = Driver::new(settings());
    driver.send(Event::EndpointList(
        EndpointListKind::Full,
        fleet().into_iter().filter(|endpoint| endpoint.server.0 != 3).collect(),
    ));
    for request in 0..30 {
        assert_ne!(attempted_server(&driver.request(request, IDEMPOTENT)), Some(ServerId(3)));
    }
}

#[test]
fn a_server_in_slow_start_gets_no_more_than_this_replicas_share_of_set_ups() {
    let mut driver = Driver::new(settings());
    let entries = vec![endpoint(1, Lifecycle::Ready, driver.now)];
    driver.send(Event::EndpointList(EndpointListKind::Full, entries));
    let mut sent = 0;
    for request in 0..300 {
        driver.advance(10 * MS);
        sent += u32::from(attempted_server(&driver.request(request * 6, IDEMPOTENT)).is_some());
    }
    // Both replicas together may send 2.5 set-ups per second: 25 streams over 10 s, times 0.4, times 2.5.
    assert!((1..=4).contains(&sent), "{sent} set-ups in 3 s");
}

/// Guards against dividing by the configured number of replicas after more replicas were added: then all of them
/// together would send too many set-ups.
#[test]
fn the_slow_start_rate_is_divided_by_the_number_of_replicas() {
    let sent_by = |known: Option<u32>| {
        let mut driver = Driver::new(settings());
        driver.send(Event::EndpointList(
            EndpointListKind::Full,
            vec![endpoint(1, Lifecycle::Ready, driver.now)],
        ));
        known.into_iter().for_each(|count| drop(driver.send(Event::ReplicaCountChanged(count))));
        let mut sent = 0;
        for request in 0..900 {
            driver.advance(10 * MS);
            sent += u32::from(attempted_server(&driver.request(request * 6, IDEMPOTENT)).is_some());
        }
        sent
    };
    // With two replicas, each sends half of 1.25 set-ups per second for 9 s; with twenty, a tenth of that.
    let (two, twenty) = (sent_by(None), sent_by(Some(20)));
    assert!((4..=6).contains(&two), "{two} set-ups by one of two replicas");
    assert!((1..=2).contains(&twenty), "{twenty} set-ups by one of twenty replicas");
}

#[test]
fn a_server_that_reset_its_connections_returns_in_slow_start() {
    let mut driver = Driver::new(settings());
    driver.send(Event::EndpointList(EndpointListKind::Full, vec![endpoint(1, Lifecycle::Ready, Time(0))]));
    let server = attempted_server(&driver.request(6, IDEMPOTENT)).unwrap();
    driver.end_attempt(6, server, AttemptOutcome::Reset, false);
    driver.advance(20 * SECOND);
    let mut sent = 0;
    for request in 2..300 {
        driver.advance(10 * MS);
        if let Some(server) = attempted_server(&driver.request(request * 6, IDEMPOTENT)) {
            sent += 1;
            driver.establish(request * 6, server);
        }
    }
    assert!((1..=4).contains(&sent), "{sent} set-ups in 3 s");
}

#[test]
fn sessions_count_for_the_title_limit_from_the_attempt_to_the_end() {
    let mut driver = Driver::new(settings());
    let request_same_title = |driver: &mut Driver, request| {
        let request = SessionRequest { title: 9, ..session_request(request, AT_MOST_ONCE, driver.now) };
        driver.send(Event::SessionRequested(request))
    };
    let first = attempted_server(&request_same_title(&mut driver, 1)).unwrap();
    for request in 2..=3 {
        assert!(attempted_server(&request_same_title(&mut driver, request)).is_some());
    }
    assert!(is_rejected(&request_same_title(&mut driver, 4)));
    driver.establish(1, first);
    assert!(is_rejected(&request_same_title(&mut driver, 5)));
    driver.end_attempt(1, first, AttemptOutcome::Completed, true);
    assert!(attempted_server(&request_same_title(&mut driver, 6)).is_some());
}

#[test]
fn adopted_sessions_count_for_the_title_limit_until_they_end() {
    let mut driver = Driver::new(settings());
    for id in 1..=3 {
        let request = SessionRequest { title: 9, ..session_request(id, AT_MOST_ONCE, driver.now) };
        driver.send(Event::SessionAdopted(request, ServerId(2)));
    }
    let request_same_title = |driver: &mut Driver, id| {
        let request = SessionRequest { title: 9, ..session_request(id, AT_MOST_ONCE, driver.now) };
        driver.send(Event::SessionRequested(request))
    };
    assert!(is_rejected(&request_same_title(&mut driver, 4)));
    driver.end_attempt(2, ServerId(2), AttemptOutcome::Completed, true);
    assert!(attempted_server(&request_same_title(&mut driver, 5)).is_some());
}

#[test]
fn no_retry_follows_after_the_viewer_left() {
    let mut driver = Driver::new(settings());
    let server = attempted_server(&driver.request(1, IDEMPOTENT)).unwrap();
    assert!(driver.send(Event::ClientLeft(RequestId(1))).is_empty());
    let actions = driver.end_attempt(1, server, AttemptOutcome::Rejected, true);
    assert!(
        attempted_server(&actions).is_none() && !is_rejected(&actions) && !is_failed(&actions),
        "{actions:?}"
    );
}

#[test]
fn rungs_stay_between_the_class_minimum_and_the_lower_maximum() {
    let mut driver = Driver::new(settings());
    for request in 0..40 {
        let class = [IDEMPOTENT, AT_MOST_ONCE, ZONE_IDEMPOTENT][(request % 3) as usize];
        let max_rung = 1 + (request % 4) as u8;
        let actions = driver.send(Event::SessionRequested(SessionRequest {
            max_rung,
            ..session_request(request, class, driver.now)
        }));
        if let Some(rung) = set_rung(&actions) {
            assert!(
                rung <= max_rung
                    && (class != AT_MOST_ONCE || rung >= 1)
                    && (class != ZONE_IDEMPOTENT || rung <= 3)
            );
        }
    }
    let below_minimum = driver.send(Event::SessionRequested(SessionRequest {
        max_rung: 0,
        ..session_request(99, AT_MOST_ONCE, driver.now)
    }));
    assert!(is_rejected(&below_minimum));
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut driver =
        Driver::new(Settings { retry_budget_min: Some(2.0), retry_budget_ratio: 0.1, ..settings() });
    let mut retries = 0;
    for request in 0..20 {
        let mut actions = driver.request(request, IDEMPOTENT);
        let mut first = true;
        while let Some(server) = attempted_server(&actions) {
            retries += u32::from(!first);
            first = false;
            actions = driver.end_attempt(request, server, AttemptOutcome::Rejected, false);
        }
    }
    assert!((1..=4).contains(&retries), "{retries} retries");
}
