//! The desk as a front drives it: events of sessions in, gates, orders and reports out.
use crankpaddle_cross_zone_traffic::budget::{FrontPosition, SharedBudget};
use crankpaddle_cross_zone_traffic::cross_zone_admission::{CrossZoneLimit, CrossZonePolicy};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficNames, TrafficReport};
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptUsage, TrafficClass, TrafficConfig, TrafficController,
};
use crankpaddle_cross_zone_traffic::usage_accounting::Purpose;
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000_000;
const START: u64 = 1_000_000 * SECOND;
const PAID: u8 = 0;
const PREVIEW: u8 = 1;

fn names() -> TrafficNames {
    let of = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    TrafficNames {
        zones: of(&["north", "south"]),
        classes: of(&["paid", "preview"]),
        tenants: vec![],
        groups: of(&["", "sport"]),
    }
}

fn terms(rate_kb: f64) -> TrafficConfig {
    let shared = SharedBudget {
        rate_kb,
        burst: 2e6,
        volume: f64::INFINITY,
        period: 0,
        repay: 20 * SECOND,
    };
    TrafficConfig {
        place: FrontPosition {
            index: 0,
            siblings: 1,
        },
        zone: 0,
        classes: vec![
            TrafficClass {
                paid: true,
                kb: vec![50.0, 100.0],
            },
            TrafficClass {
                paid: false,
                kb: vec![40.0, 80.0],
            },
        ],
        limits: vec![CrossZoneLimit {
            from: 1,
            class: None,
            shared,
        }],
        note_delay: SECOND / 2,
    }
}

/// Servers 1 and 2 at home, 11 and 12 in the other hall.
fn desk(rate_kb: f64) -> TrafficController {
    let mut desk = TrafficController::new(terms(rate_kb));
    for server in [1, 2, 11, 12] {
        desk.endpoint_listed(server, u8::from(server > 10), true);
    }
    desk
}

fn attempt(id: u64, server: u32, class: u8) -> AttemptUsage {
    AttemptUsage {
        id,
        number: 0,
        server,
        class,
        tenant: 0,
        group: 0,
        rung: 1,
    }
}

fn play(desk: &mut TrafficController, id: u64, server: u32, class: u8, now: u64) {
    desk.attempt_started(attempt(id, server, class));
    desk.session_established(id, now);
}

fn settle(desk: &mut TrafficController, now: u64) {
    while !desk.settle_usage(now, 3) {}
}

fn report(desk: &mut TrafficController, now: u64) -> TrafficReport {
    TrafficReport::of(desk, 7, 0, &names(), now)
}

#[test]
fn only_what_comes_from_another_zone_is_held_to_its_budget() {
    let mut d = desk(100.0);
    (0..50).for_each(|n| play(&mut d, n, 1, PREVIEW, START));
    assert_eq!(d.policy_changes(START), []);
    (100..110).for_each(|n| play(&mut d, n, 11, PREVIEW, START));
    assert_eq!(
        d.policy_changes(START),
        [
            (1, PAID, CrossZonePolicy::LastResort),
            (1, PREVIEW, CrossZonePolicy::Forbidden)
        ]
    );
    let told = report(&mut d, START).budgets.remove(0);
    assert_eq!(
        (told.paid_kb, told.other_kb, told.from.as_str()),
        (0.0, 800.0, "south")
    );
    (100..110).for_each(|n| d.attempt_ended(n, false, START + SECOND));
    (2..200).for_each(|s| drop(d.tick(START + s * SECOND)));
    assert_eq!(
        d.policy_changes(START + 200 * SECOND).len(),
        2,
        "both are free again"
    );
}

#[test]
fn overdrafts_are_told_with_their_cause() {
    let mut d = desk(1.0);
    play(&mut d, 1, 11, PAID, START);
    play(&mut d, 2, 11, PAID, START);
    let full = report(&mut d, START).budgets.remove(0);
    assert!(
        full.overdraft_hall_full_bytes > 0 && full.overdraft_hall_lost_bytes == 0,
        "{full:?}"
    );
    d.server_lost(1);
    d.server_lost(2);
    play(&mut d, 3, 11, PAID, START);
    let lost = report(&mut d, START).budgets.remove(0);
    assert!(lost.overdraft_hall_lost_bytes > 0, "{lost:?}");
    assert_eq!(
        lost.overdraft_hall_full_bytes,
        full.overdraft_hall_full_bytes
    );
    // A server that speaks again is up again, whatever the list says meanwhile.
    d.server_connected(1, START);
    play(&mut d, 4, 11, PAID, START);
    assert!(
        report(&mut d, START).budgets[0].overdraft_hall_full_bytes > full.overdraft_hall_full_bytes
    );
}

#[test]
fn every_attempt_is_counted_once_under_what_it_came_to() {
    let mut d = desk(1e6);
    play(&mut d, 1, 1, PREVIEW, START);
    d.attempt_started(AttemptUsage {
        number: 1,
        group: 1,
        ..attempt(2, 11, PREVIEW)
    });
    d.session_established(2, START);
    d.attempt_started(attempt(3, 12, PREVIEW)); // Comes to nothing, but its server had begun to send.
    d.attempt_ended(3, false, START + SECOND);
    d.final_bytes_counted(3, 555, START + SECOND);
    d.final_bytes_counted(3, 555, START + SECOND); // Said twice.
    for id in [1, 2] {
        d.attempt_ended(id, false, START + 10 * SECOND);
        d.final_bytes_counted(id, 1000 * id, START + 10 * SECOND);
    }
    settle(&mut d, START + 60 * SECOND);
    let told = report(&mut d, START + 60 * SECOND);
    let all: Vec<(&str, &str, u64)> = told
        .flows
        .iter()
        .map(|f| (f.purpose.as_str(), f.group.as_str(), f.bytes))
        .collect();
    assert_eq!(
        all,
        [
            ("playing", "", 1000),
            ("nothing", "", 555),
            ("again", "sport", 2000)
        ]
    );
    assert_eq!(told.too_late, 1, "the second last word");
}

#[test]
fn a_session_of_a_lost_server_flowed_until_that_was_last_heard() {
    let mut d = desk(1e6);
    play(&mut d, 1, 11, PREVIEW, START);
    play(&mut d, 2, 12, PREVIEW, START);
    for s in 1..=5 {
        d.bytes_counted(1, 80_000 * s, START + s * SECOND + SECOND / 2);
        d.server_connected(11, START + s * SECOND + SECOND / 2);
    }
    d.server_alive(12, START + 3 * SECOND); // Its process ended then, and its connection with it.
    d.attempt_ended(1, true, START + 9 * SECOND); // Silent since 5.5 s.
    d.attempt_ended(2, true, START + 9 * SECOND);
    settle(&mut d, START + 60 * SECOND);
    let flow = report(&mut d, START + 60 * SECOND).flows.remove(0);
    assert_eq!(
        (flow.measured_bytes, flow.estimated_bytes),
        (400_000, 40_000 + 3 * 80_000)
    );
}

#[test]
fn reports_are_asked_for_only_while_more_is_wanted_and_then_of_every_server_there() {
    let mut d = TrafficController::new(TrafficConfig {
        place: FrontPosition {
            index: 0,
            siblings: 4,
        },
        ..terms(400.0)
    });
    for server in [1, 11, 12] {
        d.endpoint_listed(server, u8::from(server > 10), true);
    }
    assert!(d.zones_observed(START).is_empty());
    (100..104).for_each(|n| play(&mut d, n, 11, PREVIEW, START));
    d.session_requested(PREVIEW, START);
    assert_eq!(d.zones_observed(START), BTreeSet::from([1]));
    assert!(
        d.is_in_zones(12, &d.zones_observed(START)) && !d.is_in_zones(1, &d.zones_observed(START))
    );
    let mut parts = Vec::new();
    for s in 1..=6u64 {
        let now = START + s * SECOND;
        d.session_requested(PREVIEW, now);
        d.usage_reported(11, BTreeMap::from([(PREVIEW, 320.0)]), now);
        if s > 2 {
            d.usage_reported(12, BTreeMap::new(), now); // Until it reports too, nothing is known of all.
        }
        d.tick(now);
        parts.push(report(&mut d, now).budgets[0].part);
    }
    assert!(
        parts[..2].iter().all(|p| *p == 0.25) && parts[5] > 0.25,
        "{parts:?}"
    );
    d.server_lost(12);
    assert!(!d.is_in_zones(12, &BTreeSet::from([1])));
    // A server that a whole list no longer names is not waited for.
    d.endpoint_listed(13, 1, true);
    assert!(d.is_in_zones(13, &BTreeSet::from([1])));
    d.retain_endpoints(&BTreeSet::from([1, 11, 12]));
    assert!(!d.is_in_zones(13, &BTreeSet::from([1])) && d.is_in_zones(11, &BTreeSet::from([1])));
}

#[test]
fn an_account_survives_a_restart_and_names_that_are_gone_lose_no_byte() {
    let mut d = desk(1e6);
    play(&mut d, 1, 11, PREVIEW, START);
    play(&mut d, 2, 1, PAID, START);
    settle(&mut d, START + 60 * SECOND);
    let told = report(&mut d, START + 60 * SECOND);
    let text = serde_json::to_string(&told).unwrap();
    let read: TrafficReport = serde_json::from_str(&text).unwrap();
    assert_eq!(read, told);
    let mut next = desk(1e6);
    assert!(next.restore(&read.saved_flows(&names())));
    let after = report(&mut next, START + 61 * SECOND);
    let plain = |r: &TrafficReport| -> Vec<(String, u64, Vec<_>)> {
        r.flows
            .iter()
            .map(|f| (f.class.clone(), f.bytes, f.hours.clone()))
            .collect()
    };
    assert_eq!(plain(&after), plain(&told));
    let renamed = TrafficNames {
        classes: vec!["paid".into(), "teaser".into()],
        ..names()
    };
    let mut next = desk(1e6);
    next.restore(&read.saved_flows(&renamed));
    let total = |r: &TrafficReport| r.flows.iter().map(|f| f.bytes).sum::<u64>();
    assert_eq!(total(&report(&mut next, START)), total(&told));
}

#[test]
fn a_front_that_is_told_of_twice_counts_once() {
    let mut d = desk(1e6);
    play(&mut d, 1, 11, PREVIEW, START);
    settle(&mut d, START + 30 * SECOND);
    let earlier = report(&mut d, START + 30 * SECOND);
    settle(&mut d, START + 60 * SECOND);
    let later = report(&mut d, START + 60 * SECOND);
    let other = TrafficReport {
        front: 8,
        ..later.clone()
    };
    let both = merge([later.clone(), earlier.clone(), other]);
    assert_eq!(both.flows[0].bytes, 2 * later.flows[0].bytes);
    assert_eq!(merge([earlier, later.clone()]).flows, later.flows);
    assert_eq!(
        both.flows[0].hours[0].bytes,
        2 * later.flows[0].hours[0].bytes
    );
    assert_eq!(both.budgets[0].part, 2.0);
    // A front whose clock is no later than what is known adds nothing.
    assert_eq!(merge([later.clone(), later.clone()]).flows, later.flows);
}

#[test]
fn other_terms_keep_the_account_and_the_debt() {
    let mut d = desk(100.0);
    (100..110).for_each(|n| play(&mut d, n, 11, PREVIEW, START));
    assert_eq!(d.policy_changes(START).len(), 2);
    settle(&mut d, START + 20 * SECOND);
    let before = report(&mut d, START + 20 * SECOND);
    d.change(terms(1000.0));
    let after = report(&mut d, START + 20 * SECOND);
    assert_eq!(after.flows, before.flows);
    assert_eq!(
        (after.budgets[0].rate_kb, after.budgets[0].other_kb),
        (1000.0, 800.0)
    );
    d.change(TrafficConfig {
        limits: vec![],
        ..terms(1000.0)
    });
    assert_eq!(
        d.policy_changes(START + 20 * SECOND).len(),
        2,
        "what had no budget any more is free"
    );
    assert_eq!(report(&mut d, START + 20 * SECOND).flows, before.flows);
    assert_eq!(
        d.usage().total(|f| f.purpose == Purpose::Playing),
        before.flows[0].bytes
    );
}
