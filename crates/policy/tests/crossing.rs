//! What the module does with what it is told of leaving a zone and of highest rungs.
mod common;
use common::*;
use crankpaddle::*;

/// Zone 0 is our own: servers 1, 3 and 5. Titles lie in three cells in a row, so in both zones.
fn zones(d: &mut Drive, requests: std::ops::Range<u64>, class: u8) -> Vec<u32> {
    requests
        .filter_map(|n| {
            let server = attempt(&d.ask(n, class))?;
            d.plays(n, server);
            Some((server.0 + 1) % 2)
        })
        .collect()
}

fn told(zone: u8, class: u8, leave: CrossZonePolicy) -> Event {
    Event::CrossZonePolicyChanged { zone, class, policy: leave }
}

#[test]
fn a_class_that_may_not_leave_is_served_at_home_or_rejected() {
    let mut d = Drive::new(settings());
    d.send(told(1, FREE, CrossZonePolicy::Forbidden));
    let placed = zones(&mut d, 0..400, FREE);
    assert!(!placed.is_empty() && placed.iter().all(|zone| *zone == 0));
    assert!(rejected(&d.ask(900, FREE)), "its own zone is full: it is not held back, it is told");
    assert!(zones(&mut d, 1000..1005, PAID).contains(&1), "another class goes as before");
    d.send(told(1, FREE, CrossZonePolicy::Allowed));
    assert!(zones(&mut d, 2000..2005, FREE).contains(&1));
}

#[test]
fn the_last_resort_is_taken_only_when_home_is_full() {
    let mut d = Drive::new(settings());
    d.send(told(1, PAID, CrossZonePolicy::LastResort));
    // Seats bound how often a title is held, so each request is for a title of its own.
    let mut placed = Vec::new();
    for n in 0..400 {
        let out = d.send(Event::SessionRequested(SessionRequest { title: n, ..ask(n, PAID, d.now) }));
        let Some(server) = attempt(&out) else { break };
        d.plays(n, server);
        placed.push((server.0 + 1) % 2);
    }
    let first_away = placed.iter().position(|zone| *zone == 1).expect("it leaves in the end");
    assert!(first_away >= 10, "after {first_away}");
    assert!(placed[..first_away].iter().all(|zone| *zone == 0));
}

#[test]
fn a_paid_set_up_that_never_ran_at_home_still_finds_its_way_out() {
    let mut d = Drive::new(settings());
    d.send(told(1, PAID, CrossZonePolicy::LastResort));
    let mut server = attempt(&d.ask(1, PAID)).unwrap();
    for _ in 0..2 {
        if server.0.is_multiple_of(2) {
            break;
        }
        let Some(next) = attempt(&d.end(1, server, AttemptOutcome::Rejected, false)) else { break };
        server = next;
    }
    assert_eq!(server.0 % 2, 0, "the last holder is abroad");
}

#[test]
fn nothing_is_raised_where_its_class_may_not_start() {
    let raised = |leave| {
        let mut d = Drive::new(settings());
        d.send(Event::EndpointList(
            EndpointListKind::Full,
            fleet().into_iter().filter(|l| l.zone == 1).collect(),
        ));
        let server = attempt(&d.ask(1, FREE)).unwrap();
        d.plays(1, server);
        d.send(Event::MaxRungChanged { request: RequestId(1), max_rung: 0 });
        d.send(told(1, FREE, leave));
        d.send(Event::MaxRungChanged { request: RequestId(1), max_rung: 4 });
        (0..60).any(|_| {
            d.wait(SECOND);
            d.note(1, server, SessionUpdate::LinkDemand(0.1));
            rung(&d.send(Event::Timer(0))).is_some_and(|rung| rung > 0)
        })
    };
    assert!(
        raised(CrossZonePolicy::Allowed)
            && raised(CrossZonePolicy::LastResort)
            && !raised(CrossZonePolicy::Forbidden)
    );
}

#[test]
fn a_lowered_top_lowers_what_plays_and_keeps_the_floor() {
    let mut d = Drive::new(settings());
    for (request, class, least) in [(1, FREE, 0), (2, PAID, 1)] {
        let out = d.ask(request, class);
        let server = attempt(&out).unwrap();
        assert!(rung(&out).unwrap() > least);
        d.plays(request, server);
        let lowered = d.send(Event::MaxRungChanged { request: RequestId(request), max_rung: 0 });
        assert_eq!(lowered, [Action::SetRung { request: RequestId(request), rung: least }]);
        assert_eq!(
            d.send(Event::MaxRungChanged { request: RequestId(request), max_rung: 0 }),
            [],
            "told twice, done once"
        );
    }
    assert_eq!(
        d.send(Event::MaxRungChanged { request: RequestId(9), max_rung: 0 }),
        [],
        "of a session that is over"
    );
}
