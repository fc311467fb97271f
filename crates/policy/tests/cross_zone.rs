//! Cross-zone policies and changes of the highest rung.
mod common;
use common::*;
use crankpaddle::*;

/// Establishes sessions and returns the zone of each. The replica is in zone 0, with servers 1, 3 and 5. Each title is in
/// three consecutive cells, so in both zones.
fn placement_zones(driver: &mut Driver, requests: std::ops::Range<u64>, class: u8) -> Vec<u32> {
    requests
        .filter_map(|request| {
            let server = attempted_server(&driver.request(request, class))?;
            driver.establish(request, server);
            Some((server.0 + 1) % 2)
        })
        .collect()
}

fn policy_changed(zone: u8, class: u8, policy: CrossZonePolicy) -> Event {
    Event::CrossZonePolicyChanged { zone, class, policy }
}

#[test]
fn a_class_forbidden_in_another_zone_is_served_in_its_own_or_rejected() {
    let mut driver = Driver::new(settings());
    driver.send(policy_changed(1, IDEMPOTENT, CrossZonePolicy::Forbidden));
    let placed = placement_zones(&mut driver, 0..400, IDEMPOTENT);
    assert!(!placed.is_empty() && placed.iter().all(|zone| *zone == 0));
    assert!(is_rejected(&driver.request(900, IDEMPOTENT)), "not rejected although its own zone is full");
    assert!(
        placement_zones(&mut driver, 1000..1005, AT_MOST_ONCE).contains(&1),
        "another class is not affected"
    );
    driver.send(policy_changed(1, IDEMPOTENT, CrossZonePolicy::Allowed));
    assert!(placement_zones(&mut driver, 2000..2005, IDEMPOTENT).contains(&1));
}

#[test]
fn a_zone_of_last_resort_is_used_only_when_the_own_zone_is_full() {
    let mut driver = Driver::new(settings());
    driver.send(policy_changed(1, AT_MOST_ONCE, CrossZonePolicy::LastResort));
    // Each request is for another title, because the class limits the sessions of a title.
    let mut placed = Vec::new();
    for request in 0..400 {
        let actions = driver.send(Event::SessionRequested(SessionRequest {
            title: request,
            ..session_request(request, AT_MOST_ONCE, driver.now)
        }));
        let Some(server) = attempted_server(&actions) else { break };
        driver.establish(request, server);
        placed.push((server.0 + 1) % 2);
    }
    let first_other_zone =
        placed.iter().position(|zone| *zone == 1).expect("the other zone is used in the end");
    assert!(first_other_zone >= 10, "already after {first_other_zone} sessions");
    assert!(placed[..first_other_zone].iter().all(|zone| *zone == 0));
}

#[test]
fn an_at_most_once_attempt_not_executed_in_its_own_zone_is_retried_in_the_last_resort() {
    let mut driver = Driver::new(settings());
    driver.send(policy_changed(1, AT_MOST_ONCE, CrossZonePolicy::LastResort));
    let mut server = attempted_server(&driver.request(1, AT_MOST_ONCE)).unwrap();
    for _ in 0..2 {
        if server.0.is_multiple_of(2) {
            break;
        }
        let Some(next) = attempted_server(&driver.end_attempt(1, server, AttemptOutcome::Rejected, false))
        else {
            break;
        };
        server = next;
    }
    assert_eq!(server.0 % 2, 0, "the last holder is in the other zone");
}

#[test]
fn no_session_is_promoted_in_a_zone_forbidden_to_its_class() {
    let is_promoted = |policy| {
        let mut driver = Driver::new(settings());
        driver.send(Event::EndpointList(
            EndpointListKind::Full,
            fleet().into_iter().filter(|endpoint| endpoint.zone == 1).collect(),
        ));
        let server = attempted_server(&driver.request(1, IDEMPOTENT)).unwrap();
        driver.establish(1, server);
        driver.send(Event::MaxRungChanged { request: RequestId(1), max_rung: 0 });
        driver.send(policy_changed(1, IDEMPOTENT, policy));
        driver.send(Event::MaxRungChanged { request: RequestId(1), max_rung: 4 });
        (0..60).any(|_| {
            driver.advance(SECOND);
            driver.update(1, server, SessionUpdate::LinkDemand(0.1));
            set_rung(&driver.send(Event::Timer(0))).is_some_and(|rung| rung > 0)
        })
    };
    assert!(
        is_promoted(CrossZonePolicy::Allowed)
            && is_promoted(CrossZonePolicy::LastResort)
            && !is_promoted(CrossZonePolicy::Forbidden)
    );
}

#[test]
fn a_lower_max_rung_demotes_established_sessions_down_to_the_class_minimum() {
    let mut driver = Driver::new(settings());
    for (request, class, min_rung) in [(1, IDEMPOTENT, 0), (2, AT_MOST_ONCE, 1)] {
        let actions = driver.request(request, class);
        let server = attempted_server(&actions).unwrap();
        assert!(set_rung(&actions).unwrap() > min_rung);
        driver.establish(request, server);
        let demotions = driver.send(Event::MaxRungChanged { request: RequestId(request), max_rung: 0 });
        assert_eq!(demotions, [Action::SetRung { request: RequestId(request), rung: min_rung }]);
        assert_eq!(
            driver.send(Event::MaxRungChanged { request: RequestId(request), max_rung: 0 }),
            [],
            "a repeated event changes nothing"
        );
    }
    assert_eq!(
        driver.send(Event::MaxRungChanged { request: RequestId(9), max_rung: 0 }),
        [],
        "the session has ended"
    );
}
