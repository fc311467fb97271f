//! The invariants of attempts, answers and rungs, each alone; `random_sequences.rs` has all together.
mod common;
use common::*;
use crankpaddle::*;

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
    // 25 streams over 10 s, 0.4 at least, times 2.5: 2.5 a second by both replicas together.
    assert!((1..=4).contains(&sent), "{sent} in 3 s");
}

/// A fleet that grew beyond its configuration: each replica divides by all that are known.
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
    // Two replicas: half of 1.25 a second each, for 9 s. Twenty: a tenth of that.
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
