//! Cross-zone policies and changes of the highest rung.
mod common;
use common::*;
use crankpaddle::*;

/// Zone 0 is our own: servers 1, 3 and 5. Titles lie in three cells in a row, so in both zones.
fn placement_zones(d: &mut Driver, requests: std::ops::Range<u64>, class: u8) -> Vec<u32> {
    requests
        .filter_map(|n| {
            let server = attempted_server(&d.request(n, class))?;
            d.establish(n, server);
            Some((server.0 + 1) % 2)
        })
        .collect()
}

fn policy_changed(zone: u8, class: u8, leave: CrossZonePolicy) -> Event {
    Event::CrossZonePolicyChanged { zone, class, policy: leave }
}

#[test]
fn a_class_forbidden_in_another_zone_is_served_in_its_own_or_rejected() {
    let mut d = Driver::new(settings());
    d.send(policy_changed(1, IDEMPOTENT, CrossZonePolicy::Forbidden));
    let placed = placement_zones(&mut d, 0..400, IDEMPOTENT);
    assert!(!placed.is_empty() && placed.iter().all(|zone| *zone == 0));
    assert!(is_rejected(&d.request(900, IDEMPOTENT)), "its own zone is full: it is rejected, not deferred");
    assert!(placement_zones(&mut d, 1000..1005, AT_MOST_ONCE).contains(&1), "another class goes as before");
    d.send(policy_changed(1, IDEMPOTENT, CrossZonePolicy::Allowed));
    assert!(placement_zones(&mut d, 2000..2005, IDEMPOTENT).contains(&1));
}

#[test]
fn a_zone_of_last_resort_is_used_only_when_the_own_zone_is_full() {
    let mut d = Driver::new(settings());
    d.send(policy_changed(1, AT_MOST_ONCE, CrossZonePolicy::LastResort));
    // Seats bound how often a title is held, so each request is for a title of its own.
    let mut placed = Vec::new();
    for n in 0..400 {
        let out = d.send(Event::SessionRequested(SessionRequest {
            title: n,
            ..session_request(n, AT_MOST_ONCE, d.now)
        }));
        let Some(server) = attempted_server(&out) else { break };
        d.establish(n, server);
        placed.push((server.0 + 1) % 2);
    }
    let first_away = placed.iter().position(|zone| *zone == 1).expect("it leaves in the end");
    assert!(first_away >= 10, "after {first_away}");
    assert!(placed[..first_away].iter().all(|zone| *zone == 0));
}

#[test]
fn an_at_most_once_attempt_not_executed_in_its_own_zone_is_retried_in_the_last_resort() {
    let mut d = Driver::new(settings());
    d.send(policy_changed(1, AT_MOST_ONCE, CrossZonePolicy::LastResort));
    let mut server = attempted_server(&d.request(1, AT_MOST_ONCE)).unwrap();
    for _ in 0..2 {
        if server.0.is_multiple_of(2) {
            break;
        }
        let Some(next) = attempted_server(&d.end_attempt(1, server, AttemptOutcome::Rejected, false)) else {
            break;
        };
        server = next;
    }
    assert_eq!(server.0 % 2, 0, "the last holder is abroad");
}

#[test]
fn no_session_is_promoted_in_a_zone_forbidden_to_its_class() {
    let raised = |leave| {
        let mut d = Driver::new(settings());
        d.send(Event::EndpointList(
            EndpointListKind::Full,
            fleet().into_iter().filter(|l| l.zone == 1).collect(),
        ));
        let server = attempted_server(&d.request(1, IDEMPOTENT)).unwrap();
        d.establish(1, server);
        d.send(Event::MaxRungChanged { request: RequestId(1), max_rung: 0 });
        d.send(policy_changed(1, IDEMPOTENT, leave));
        d.send(Event::MaxRungChanged { request: RequestId(1), max_rung: 4 });
        (0..60).any(|_| {
            d.advance(SECOND);
            d.update(1, server, SessionUpdate::LinkDemand(0.1));
            set_rung(&d.send(Event::Timer(0))).is_some_and(|rung| rung > 0)
        })
    };
    assert!(
        raised(CrossZonePolicy::Allowed)
            && raised(CrossZonePolicy::LastResort)
            && !raised(CrossZonePolicy::Forbidden)
    );
}

#[test]
fn a_lower_max_rung_demotes_established_sessions_down_to_the_class_minimum() {
    let mut d = Driver::new(settings());
    for (request, class, least) in [(1, IDEMPOTENT, 0), (2, AT_MOST_ONCE, 1)] {
        let out = d.request(request, class);
        let server = attempted_server(&out).unwrap();
        assert!(set_rung(&out).unwrap() > least);
        d.establish(request, server);
        let lowered = d.send(Event::MaxRungChanged { request: RequestId(request), max_rung: 0 });
        assert_eq!(lowered, [Action::SetRung { request: RequestId(request), rung: least }]);
        assert_eq!(
            d.send(Event::MaxRungChanged { request: RequestId(request), max_rung: 0 }),
            [],
            "a repeated event changes nothing"
        );
    }
    assert_eq!(
        d.send(Event::MaxRungChanged { request: RequestId(9), max_rung: 0 }),
        [],
        "the session has ended"
    );
}
