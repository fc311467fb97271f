//! The traffic controller as a front drives it: events of sessions in, policies, rate caps and reports out.
use crankpaddle_cross_zone_traffic::budget::{FrontPosition, SharedBudget};
use crankpaddle_cross_zone_traffic::cross_zone_admission::{
    CrossZoneLimit, CrossZonePolicy, PolicyChange,
};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficNames, TrafficReport};
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptEnd, AttemptUsage, TrafficClass, TrafficConfig, TrafficController,
};
use crankpaddle_cross_zone_traffic::usage_accounting::Purpose;
use crankpaddle_time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const START: Time = Time(1_000_000 * 1_000_000_000);
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

fn config(rate_kb: f64) -> TrafficConfig {
    let shared = SharedBudget {
        rate_kb,
        burst_bytes: 2e6,
        volume_bytes: f64::INFINITY,
        period: None,
        max_repayment_time: 20 * SECOND,
    };
    TrafficConfig {
        position: FrontPosition {
            index: 0,
            replica_count: 1,
        },
        zone: 0,
        classes: vec![
            TrafficClass {
                is_paid: true,
                rung_rates_kb: vec![50.0, 100.0],
            },
            TrafficClass {
                is_paid: false,
                rung_rates_kb: vec![40.0, 80.0],
            },
        ],
        limits: vec![CrossZoneLimit {
            from: 1,
            class: None,
            shared,
        }],
        report_delay: SECOND / 2,
    }
}

/// Servers 1 and 2 in the own zone, 11 and 12 in the other.
fn new_controller(rate_kb: f64) -> TrafficController {
    let mut controller = TrafficController::new(config(rate_kb));
    for server in [1, 2, 11, 12] {
        controller.endpoint_listed(server, u8::from(server > 10), true);
    }
    controller
}

fn change(zone: u8, class: u8, policy: CrossZonePolicy) -> PolicyChange {
    PolicyChange {
        zone,
        class,
        policy,
    }
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

fn play(controller: &mut TrafficController, id: u64, server: u32, class: u8, now: Time) {
    controller.attempt_started(attempt(id, server, class));
    controller.session_established(id, now);
}

fn settle(controller: &mut TrafficController, now: Time) {
    while !controller.settle_usage(now, 3) {}
}

fn report(controller: &mut TrafficController, now: Time) -> TrafficReport {
    TrafficReport::of(controller, 7, 0, &names(), now)
}

#[test]
fn only_traffic_from_another_zone_is_held_to_its_budget() {
    let mut controller = new_controller(100.0);
    (0..50).for_each(|n| play(&mut controller, n, 1, PREVIEW, START));
    assert_eq!(controller.policy_changes(START), []);
    (100..110).for_each(|n| play(&mut controller, n, 11, PREVIEW, START));
    assert_eq!(
        controller.policy_changes(START),
        [
            change(1, PAID, CrossZonePolicy::LastResort),
            change(1, PREVIEW, CrossZonePolicy::Forbidden)
        ]
    );
    let reported = report(&mut controller, START).budgets.remove(0);
    assert_eq!(
        (reported.paid_kb, reported.other_kb, reported.from.as_str()),
        (0.0, 800.0, "south")
    );
    (100..110).for_each(|n| controller.attempt_ended(n, AttemptEnd::Completed, START + SECOND));
    (2..200).for_each(|s| drop(controller.tick(START + s * SECOND)));
    assert_eq!(
        controller.policy_changes(START + 200 * SECOND).len(),
        2,
        "both are allowed again"
    );
}

#[test]
fn overdrafts_are_reported_with_their_cause() {
    let mut controller = new_controller(1.0);
    play(&mut controller, 1, 11, PAID, START);
    play(&mut controller, 2, 11, PAID, START);
    let full = report(&mut controller, START).budgets.remove(0);
    assert!(
        full.overdraft_zone_full_bytes > 0 && full.overdraft_zone_down_bytes == 0,
        "{full:?}"
    );
    controller.server_lost(1);
    controller.server_lost(2);
    play(&mut controller, 3, 11, PAID, START);
    let lost = report(&mut controller, START).budgets.remove(0);
    assert!(lost.overdraft_zone_down_bytes > 0, "{lost:?}");
    assert_eq!(
        lost.overdraft_zone_full_bytes,
        full.overdraft_zone_full_bytes
    );
    // A server that a message is received from is up again, whatever the endpoint list states meanwhile.
    controller.server_connected(1, START);
    play(&mut controller, 4, 11, PAID, START);
    assert!(
        report(&mut controller, START).budgets[0].overdraft_zone_full_bytes
            > full.overdraft_zone_full_bytes
    );
}

#[test]
fn every_attempt_is_counted_once_under_its_purpose() {
    let mut controller = new_controller(1e6);
    play(&mut controller, 1, 1, PREVIEW, START);
    controller.attempt_started(AttemptUsage {
        number: 1,
        group: 1,
        ..attempt(2, 11, PREVIEW)
    });
    controller.session_established(2, START);
    controller.attempt_started(attempt(3, 12, PREVIEW)); // Fails, but its server had started to send.
    controller.attempt_ended(3, AttemptEnd::Completed, START + SECOND);
    controller.final_bytes_counted(3, 555, START + SECOND);
    controller.final_bytes_counted(3, 555, START + SECOND); // A duplicate.
    for id in [1, 2] {
        controller.attempt_ended(id, AttemptEnd::Completed, START + 10 * SECOND);
        controller.final_bytes_counted(id, 1000 * id, START + 10 * SECOND);
    }
    settle(&mut controller, START + 60 * SECOND);
    let reported = report(&mut controller, START + 60 * SECOND);
    let all: Vec<(&str, &str, u64)> = reported
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
    assert_eq!(
        reported.dropped_late_reports, 1,
        "the duplicate final count"
    );
}

#[test]
fn a_session_of_a_lost_server_flowed_until_the_server_was_last_received_from() {
    let mut controller = new_controller(1e6);
    play(&mut controller, 1, 11, PREVIEW, START);
    play(&mut controller, 2, 12, PREVIEW, START);
    for s in 1..=5 {
        controller.bytes_counted(1, 80_000 * u64::from(s), START + s * SECOND + SECOND / 2);
        controller.server_connected(11, START + s * SECOND + SECOND / 2);
    }
    controller.server_alive(12, START + 3 * SECOND); // Its process ended then, and its connection with it.
    controller.attempt_ended(1, AttemptEnd::ServerLost, START + 9 * SECOND); // Silent since 5.5 s.
    controller.attempt_ended(2, AttemptEnd::ServerLost, START + 9 * SECOND);
    settle(&mut controller, START + 60 * SECOND);
    let flow = report(&mut controller, START + 60 * SECOND).flows.remove(0);
    assert_eq!(
        (flow.measured_bytes, flow.estimated_bytes),
        (400_000, 40_000 + 3 * 80_000)
    );
}

#[test]
fn zones_are_observed_only_while_there_is_demand_and_then_every_server_counts() {
    let mut controller = TrafficController::new(TrafficConfig {
        position: FrontPosition {
            index: 0,
            replica_count: 4,
        },
        ..config(400.0)
    });
    for server in [1, 11, 12] {
        controller.endpoint_listed(server, u8::from(server > 10), true);
    }
    assert!(controller.zones_observed(START).is_empty());
    (100..104).for_each(|n| play(&mut controller, n, 11, PREVIEW, START));
    controller.session_requested(PREVIEW, START);
    assert_eq!(controller.zones_observed(START), BTreeSet::from([1]));
    assert!(
        controller.is_in_zones(12, &controller.zones_observed(START))
            && !controller.is_in_zones(1, &controller.zones_observed(START))
    );
    let mut quotas = Vec::new();
    for s in 1..=6u32 {
        let now = START + s * SECOND;
        controller.session_requested(PREVIEW, now);
        controller.usage_reported(11, BTreeMap::from([(PREVIEW, 320.0)]), now);
        if s > 2 {
            controller.usage_reported(12, BTreeMap::new(), now); // Until it reports too, the total is unknown.
        }
        controller.tick(now);
        quotas.push(report(&mut controller, now).budgets[0].quota);
    }
    assert!(
        quotas[..2].iter().all(|p| *p == 0.25) && quotas[5] > 0.25,
        "{quotas:?}"
    );
    controller.server_lost(12);
    assert!(!controller.is_in_zones(12, &BTreeSet::from([1])));
    // A server that a complete list no longer contains is not waited for.
    controller.endpoint_listed(13, 1, true);
    assert!(controller.is_in_zones(13, &BTreeSet::from([1])));
    controller.retain_endpoints(&BTreeSet::from([1, 11, 12]));
    assert!(
        !controller.is_in_zones(13, &BTreeSet::from([1]))
            && controller.is_in_zones(11, &BTreeSet::from([1]))
    );
}

#[test]
fn an_account_survives_a_restart_and_removed_names_lose_no_byte() {
    let mut controller = new_controller(1e6);
    play(&mut controller, 1, 11, PREVIEW, START);
    play(&mut controller, 2, 1, PAID, START);
    settle(&mut controller, START + 60 * SECOND);
    let reported = report(&mut controller, START + 60 * SECOND);
    let text = serde_json::to_string(&reported).unwrap();
    let read: TrafficReport = serde_json::from_str(&text).unwrap();
    assert_eq!(read, reported);
    let mut next = new_controller(1e6);
    assert!(next.restore(&read.saved_flows(&names())));
    let after = report(&mut next, START + 61 * SECOND);
    let plain = |r: &TrafficReport| -> Vec<(String, u64, Vec<_>)> {
        r.flows
            .iter()
            .map(|f| (f.class.clone(), f.bytes, f.hours.clone()))
            .collect()
    };
    assert_eq!(plain(&after), plain(&reported));
    let renamed = TrafficNames {
        classes: vec!["paid".into(), "teaser".into()],
        ..names()
    };
    let mut next = new_controller(1e6);
    next.restore(&read.saved_flows(&renamed));
    let total = |r: &TrafficReport| r.flows.iter().map(|f| f.bytes).sum::<u64>();
    assert_eq!(total(&report(&mut next, START)), total(&reported));
}

#[test]
fn a_front_with_two_reports_counts_once() {
    let mut controller = new_controller(1e6);
    play(&mut controller, 1, 11, PREVIEW, START);
    settle(&mut controller, START + 30 * SECOND);
    let earlier = report(&mut controller, START + 30 * SECOND);
    settle(&mut controller, START + 60 * SECOND);
    let later = report(&mut controller, START + 60 * SECOND);
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
    assert_eq!(both.budgets[0].quota, 2.0);
    // A report no later than the known one adds nothing.
    assert_eq!(merge([later.clone(), later.clone()]).flows, later.flows);
}

#[test]
fn another_configuration_keeps_the_account_and_the_debt() {
    let mut controller = new_controller(100.0);
    (100..110).for_each(|n| play(&mut controller, n, 11, PREVIEW, START));
    assert_eq!(controller.policy_changes(START).len(), 2);
    settle(&mut controller, START + 20 * SECOND);
    let before = report(&mut controller, START + 20 * SECOND);
    controller.reconfigure(config(1000.0));
    let after = report(&mut controller, START + 20 * SECOND);
    assert_eq!(after.flows, before.flows);
    assert_eq!(
        (after.budgets[0].rate_kb, after.budgets[0].other_kb),
        (1000.0, 800.0)
    );
    controller.reconfigure(TrafficConfig {
        limits: vec![],
        ..config(1000.0)
    });
    assert_eq!(
        controller.policy_changes(START + 20 * SECOND).len(),
        2,
        "a zone without a budget any more is allowed"
    );
    assert_eq!(
        report(&mut controller, START + 20 * SECOND).flows,
        before.flows
    );
    assert_eq!(
        controller
            .usage()
            .total(|f| f.purpose == Purpose::FirstAttempt),
        before.flows[0].bytes
    );
}
