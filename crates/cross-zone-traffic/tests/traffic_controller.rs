//! Tests of the traffic controller as a front uses it: from the events of sessions and servers, it derives policies, rate
//! caps and reports.
use crankpaddle_cross_zone_traffic::budget::{FrontPosition, SharedBudget};
use crankpaddle_cross_zone_traffic::cross_zone_admission::{
    CrossZoneLimit, CrossZonePolicy, PolicyChange,
};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficNames, TrafficReport};
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptEnd, StartedAttempt, TrafficClass, TrafficConfig, TrafficController,
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
    let to_strings = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    TrafficNames {
        zones: to_strings(&["north", "south"]),
        classes: to_strings(&["paid", "preview"]),
        tenants: vec![],
        groups: to_strings(&["", "sport"]),
    }
}

/// The configuration of a single front in zone 0, with a budget for the traffic from zone 1.
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
            from_zone: 1,
            class: None,
            shared,
        }],
        report_delay: SECOND / 2,
    }
}

/// A controller with servers 1 and 2 in the front's own zone, and 11 and 12 in the other zone.
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

fn attempt(id: u64, server: u32, class: u8) -> StartedAttempt {
    StartedAttempt {
        id,
        number: 0,
        server,
        class,
        tenant: 0,
        group: 0,
        rung: 1,
    }
}

fn start_session(controller: &mut TrafficController, id: u64, server: u32, class: u8, now: Time) {
    controller.attempt_started(attempt(id, server, class));
    controller.session_established(id, now);
}

fn settle(controller: &mut TrafficController, now: Time) {
    while !controller.settle_usage(now, 3) {}
}

fn report(controller: &mut TrafficController, now: Time) -> TrafficReport {
    TrafficReport::from_controller(controller, 7, 0, &names(), now)
}

#[test]
fn a_budget_limits_only_the_traffic_from_its_zone() {
    let mut controller = new_controller(100.0);
    (0..50).for_each(|id| start_session(&mut controller, id, 1, PREVIEW, START));
    assert_eq!(controller.policy_changes(START), []);
    (100..110).for_each(|id| start_session(&mut controller, id, 11, PREVIEW, START));
    assert_eq!(
        controller.policy_changes(START),
        [
            change(1, PAID, CrossZonePolicy::LastResort),
            change(1, PREVIEW, CrossZonePolicy::Forbidden)
        ]
    );
    let budget = report(&mut controller, START).budgets.remove(0);
    assert_eq!(
        (budget.paid_kb, budget.other_kb, budget.from.as_str()),
        (0.0, 800.0, "south")
    );
    (100..110).for_each(|id| controller.attempt_ended(id, AttemptEnd::Completed, START + SECOND));
    (2..200).for_each(|seconds| drop(controller.tick(START + seconds * SECOND)));
    assert_eq!(
        controller.policy_changes(START + 200 * SECOND).len(),
        2,
        "both classes must be allowed again"
    );
}

#[test]
fn overdrafts_are_reported_with_their_cause() {
    let mut controller = new_controller(1.0);
    start_session(&mut controller, 1, 11, PAID, START);
    start_session(&mut controller, 2, 11, PAID, START);
    let full = report(&mut controller, START).budgets.remove(0);
    assert!(
        full.overdraft_zone_full_bytes > 0 && full.overdraft_zone_down_bytes == 0,
        "{full:?}"
    );
    controller.server_lost(1);
    controller.server_lost(2);
    start_session(&mut controller, 3, 11, PAID, START);
    let lost = report(&mut controller, START).budgets.remove(0);
    assert!(lost.overdraft_zone_down_bytes > 0, "{lost:?}");
    assert_eq!(
        lost.overdraft_zone_full_bytes,
        full.overdraft_zone_full_bytes
    );
    // A message from a server shows that it is up again, whatever the endpoint list states in the meantime.
    controller.server_connected(1, START);
    start_session(&mut controller, 4, 11, PAID, START);
    assert!(
        report(&mut controller, START).budgets[0].overdraft_zone_full_bytes
            > full.overdraft_zone_full_bytes
    );
}

#[test]
fn every_attempt_is_counted_once_under_its_purpose() {
    let mut controller = new_controller(1e6);
    start_session(&mut controller, 1, 1, PREVIEW, START);
    controller.attempt_started(StartedAttempt {
        number: 1,
        group: 1,
        ..attempt(2, 11, PREVIEW)
    });
    controller.session_established(2, START);
    // The third attempt fails after its server has started to send.
    controller.attempt_started(attempt(3, 12, PREVIEW));
    controller.attempt_ended(3, AttemptEnd::Completed, START + SECOND);
    controller.final_bytes_counted(3, 555, START + SECOND);
    controller.final_bytes_counted(3, 555, START + SECOND); // A duplicate.
    for id in [1, 2] {
        controller.attempt_ended(id, AttemptEnd::Completed, START + 10 * SECOND);
        controller.final_bytes_counted(id, 1000 * id, START + 10 * SECOND);
    }
    settle(&mut controller, START + 60 * SECOND);
    let reported = report(&mut controller, START + 60 * SECOND);
    let bytes_by_purpose: Vec<(&str, &str, u64)> = reported
        .flows
        .iter()
        .map(|flow| (flow.purpose.as_str(), flow.group.as_str(), flow.bytes))
        .collect();
    assert_eq!(
        bytes_by_purpose,
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
fn a_session_of_a_lost_server_counts_until_the_last_message_from_the_server() {
    let mut controller = new_controller(1e6);
    start_session(&mut controller, 1, 11, PREVIEW, START);
    start_session(&mut controller, 2, 12, PREVIEW, START);
    for seconds in 1..=5 {
        let now = START + seconds * SECOND + SECOND / 2;
        controller.bytes_counted(1, 80_000 * u64::from(seconds), now);
        controller.server_connected(11, now);
    }
    // The process and the connection of server 12 end at 3 s. Server 11 sends nothing after 5.5 s.
    controller.record_server_alive(12, START + 3 * SECOND);
    controller.attempt_ended(1, AttemptEnd::ServerLost, START + 9 * SECOND);
    controller.attempt_ended(2, AttemptEnd::ServerLost, START + 9 * SECOND);
    settle(&mut controller, START + 60 * SECOND);
    let flow = report(&mut controller, START + 60 * SECOND).flows.remove(0);
    assert_eq!(
        (flow.measured_bytes, flow.estimated_bytes),
        (400_000, 40_000 + 3 * 80_000)
    );
}

#[test]
fn zones_are_observed_only_with_demand_and_quotas_grow_only_when_every_server_reports() {
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
    assert!(controller.zones_to_observe(START).is_empty());
    (100..104).for_each(|id| start_session(&mut controller, id, 11, PREVIEW, START));
    controller.session_requested(PREVIEW, START);
    assert_eq!(controller.zones_to_observe(START), BTreeSet::from([1]));
    assert!(
        controller.is_up_in_zones(12, &controller.zones_to_observe(START))
            && !controller.is_up_in_zones(1, &controller.zones_to_observe(START))
    );
    let mut quotas = Vec::new();
    for seconds in 1..=6u32 {
        let now = START + seconds * SECOND;
        controller.session_requested(PREVIEW, now);
        controller.usage_reported(11, BTreeMap::from([(PREVIEW, 320.0)]), now);
        if seconds > 2 {
            // The total is unknown until this server reports too.
            controller.usage_reported(12, BTreeMap::new(), now);
        }
        controller.tick(now);
        quotas.push(report(&mut controller, now).budgets[0].quota);
    }
    assert!(
        quotas[..2].iter().all(|quota| *quota == 0.25) && quotas[5] > 0.25,
        "{quotas:?}"
    );
    controller.server_lost(12);
    assert!(!controller.is_up_in_zones(12, &BTreeSet::from([1])));
    // A server that is missing from a complete endpoint list is no longer up, so its report is not needed.
    controller.endpoint_listed(13, 1, true);
    assert!(controller.is_up_in_zones(13, &BTreeSet::from([1])));
    controller.retain_endpoints(&BTreeSet::from([1, 11, 12]));
    assert!(
        !controller.is_up_in_zones(13, &BTreeSet::from([1]))
            && controller.is_up_in_zones(11, &BTreeSet::from([1]))
    );
}

#[test]
fn an_account_is_restored_after_a_restart_without_losing_bytes_of_removed_names() {
    let mut controller = new_controller(1e6);
    start_session(&mut controller, 1, 11, PREVIEW, START);
    start_session(&mut controller, 2, 1, PAID, START);
    settle(&mut controller, START + 60 * SECOND);
    let reported = report(&mut controller, START + 60 * SECOND);
    let text = serde_json::to_string(&reported).unwrap();
    let saved: TrafficReport = serde_json::from_str(&text).unwrap();
    assert_eq!(saved, reported);
    let mut restored = new_controller(1e6);
    assert!(restored.restore(&saved.saved_flows(&names())));
    let reported_after_restart = report(&mut restored, START + 61 * SECOND);
    let bytes_and_hours = |report: &TrafficReport| -> Vec<(String, u64, Vec<_>)> {
        report
            .flows
            .iter()
            .map(|flow| (flow.class.clone(), flow.bytes, flow.hours.clone()))
            .collect()
    };
    assert_eq!(
        bytes_and_hours(&reported_after_restart),
        bytes_and_hours(&reported)
    );
    let renamed = TrafficNames {
        classes: vec!["paid".into(), "teaser".into()],
        ..names()
    };
    let mut restored = new_controller(1e6);
    restored.restore(&saved.saved_flows(&renamed));
    let total_bytes =
        |report: &TrafficReport| report.flows.iter().map(|flow| flow.bytes).sum::<u64>();
    assert_eq!(
        total_bytes(&report(&mut restored, START)),
        total_bytes(&reported)
    );
}

#[test]
fn only_the_latest_report_of_a_front_is_merged() {
    let mut controller = new_controller(1e6);
    start_session(&mut controller, 1, 11, PREVIEW, START);
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
    // A report with the same time as an earlier one of the same front is ignored.
    assert_eq!(merge([later.clone(), later.clone()]).flows, later.flows);
}

#[test]
fn a_new_configuration_keeps_the_account_and_the_sessions() {
    let mut controller = new_controller(100.0);
    (100..110).for_each(|id| start_session(&mut controller, id, 11, PREVIEW, START));
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
        "a zone that no longer has a budget must be allowed"
    );
    assert_eq!(
        report(&mut controller, START + 20 * SECOND).flows,
        before.flows
    );
    assert_eq!(
        controller
            .usage()
            .total(|flow| flow.purpose == Purpose::FirstAttempt),
        before.flows[0].bytes
    );
}
