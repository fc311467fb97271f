//! The usage account against what was really sent.
use crankpaddle_cross_zone_traffic::usage_accounting::{
    Flow, Purpose, UsageAccount, UsageConfig, OTHER_FLOWS,
};
use crankpaddle_cross_zone_traffic::windows::Span;
use crankpaddle_time::Time;
use std::time::Duration;

const CONFIG: UsageConfig = UsageConfig {
    settle_delay: Duration::from_secs(8),
    delivery_report_ttl: Duration::from_secs(2),
    max_flows: 100,
};

fn flow(from: u8, class: u8) -> Flow {
    Flow {
        from,
        to: 0,
        class,
        ..Flow::default()
    }
}

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

fn near(a: u64, b: f64, part: f64) -> bool {
    (a as f64 - b).abs() <= b * part + 1.0
}

#[test]
fn bytes_follow_rung_and_time_and_fractions_are_not_lost() {
    let mut account = UsageAccount::new(CONFIG);
    account.session_started(1, flow(1, 0), 7, 100.0, at(1000));
    account.rate_changed(1, 300.0, at(1010));
    account.session_ended(1, at(1015));
    for n in 0..4000u64 {
        while !account.settle(at(1000) + Duration::from_secs(n) / 100, 1) {}
    }
    assert!(
        near(
            account.total(crankpaddle_cross_zone_traffic::usage_accounting::Flow::crosses),
            2_500_000.0,
            0.0001
        ),
        "{}",
        account.total(|_| true)
    );
    assert_eq!(
        (
            account.total(|f| !f.crosses()),
            account.unsettled_sessions()
        ),
        (0, 0)
    );
    let seconds = account.recent(Span::Second, |_| true);
    assert!(
        near(seconds[&at(1003)], 100_000.0, 0.001) && near(seconds[&at(1012)], 300_000.0, 0.001)
    );
}

/// A server short between seconds 20 and 40; its reports arrive in the order and with the delay of the case.
fn short_delivery(reports: &[(u64, f64)], order: impl Fn(usize) -> u64) -> UsageAccount {
    let mut account = UsageAccount::new(CONFIG);
    account.session_started(1, flow(1, 0), 7, 100.0, at(1010));
    account.session_started(2, flow(1, 1), 7, 50.0, at(1010));
    for second in 10..70u64 {
        for (n, (of, share)) in reports.iter().enumerate() {
            if of + order(n) == second {
                account.delivery_reported(7, *share, at(1000 + of));
            }
        }
        if second == 41 {
            account.session_ended(2, at(1041)); // Before its last reports have arrived.
        }
        if second == 50 {
            account.session_ended(1, at(1050));
        }
        while !account.settle(at(1000 + second), 1) {}
    }
    account
}

fn reported_shares() -> Vec<(u64, f64)> {
    (20..40).map(|s| (s, 0.6)).chain([(40, 1.0)]).collect()
}

#[test]
fn late_duplicated_and_unordered_reports_give_the_same_totals() {
    let (first, second) = (
        100_000.0 * (20.0 + 20.0 * 0.6),
        50_000.0 * (11.0 + 20.0 * 0.6),
    );
    let doubled: Vec<_> = reported_shares().into_iter().flat_map(|r| [r, r]).collect();
    for (what, account) in [
        ("at once", short_delivery(&reported_shares(), |_| 0)),
        ("5 s late", short_delivery(&reported_shares(), |_| 5)),
        ("doubled", short_delivery(&doubled, |n| 1 + n as u64 % 2)),
        (
            "out of order",
            short_delivery(&reported_shares(), |n| if n % 3 == 0 { 6 } else { 1 }),
        ),
    ] {
        assert!(
            near(account.total(|f| f.class == 0), first, 0.0001),
            "{what}: {}",
            account.total(|f| f.class == 0)
        );
        assert!(
            near(account.total(|f| f.class == 1), second, 0.0001),
            "{what}"
        );
        assert_eq!(
            (account.dropped_late_reports(), account.unsettled_sessions()),
            (0, 0),
            "{what}"
        );
    }
}

#[test]
fn missing_reports_are_bridged_and_too_late_ones_are_counted_as_dropped() {
    // Every second one is missing: each holds until the next.
    let some: Vec<_> = reported_shares().into_iter().step_by(2).collect();
    let account = short_delivery(&some, |_| 1);
    assert!(near(account.total(|f| f.class == 0), 3_200_000.0, 0.0001));
    // All are 20 s late: they change nothing that is settled.
    let account = short_delivery(&reported_shares(), |_| 20);
    assert_eq!(account.total(|f| f.class == 0), 4_000_000);
    assert_eq!(account.dropped_late_reports(), 21);
    // Estimated and corrected bytes are separate.
    let account = short_delivery(&reported_shares(), |_| 1);
    let totals = account.flows().find(|(f, _)| f.class == 0).unwrap().1;
    // The last report states that everything is delivered again, for as long as it holds.
    assert!(
        near(totals.corrected.total(), 100_000.0 * (12.0 + 2.0), 0.0001),
        "{}",
        totals.corrected.total()
    );
}

#[test]
fn clocks_that_step_back_and_invalid_reports_count_nothing_twice() {
    let mut account = UsageAccount::new(CONFIG);
    account.session_started(1, flow(1, 0), 7, 100.0, at(1000));
    account.session_started(1, flow(1, 1), 7, 900.0, at(1000));
    for now in [1005, 1020, 1010, 1020, 900, 1030] {
        while !account.settle(at(now), 1) {}
        account.delivery_reported(7, f64::NAN, at(now));
        account.delivery_reported(7, 0.1, Time::MAX);
    }
    account.session_ended(1, at(990));
    account.session_ended(1, at(2000));
    while !account.settle(at(1050), 1) {}
    // An end before what was settled already ends there.
    assert!(
        near(account.total(|_| true), 2_200_000.0, 0.0001),
        "{}",
        account.total(|_| true)
    );
}

#[test]
fn flows_beyond_the_bound_are_counted_as_other_flows() {
    let mut account = UsageAccount::new(UsageConfig {
        max_flows: 3,
        ..CONFIG
    });
    for n in 0..10u16 {
        account.session_started(
            u64::from(n),
            Flow {
                group: n,
                ..flow(1, 0)
            },
            7,
            10.0,
            at(1000),
        );
    }
    while !account.settle(at(1018), 1) {}
    assert_eq!(account.flows().count(), 4);
    assert!(
        near(account.total(|f| *f == OTHER_FLOWS), 700_000.0, 0.0001)
            && near(account.total(|_| true), 1_000_000.0, 0.0001)
    );
}

#[test]
fn totals_survive_a_restart_once() {
    let mut account = UsageAccount::new(CONFIG);
    account.session_started(1, flow(1, 0), 7, 100.0, at(1000));
    while !account.settle(at(1018), 1) {}
    account.add_measured_bytes(
        Flow {
            purpose: Purpose::FailedAttempt,
            ..flow(1, 1)
        },
        77,
        at(1000),
    );
    let saved = account.snapshot();
    let mut restored = UsageAccount::new(CONFIG);
    assert!(
        restored.restore(&saved) && !restored.restore(&saved),
        "counted once"
    );
    assert_eq!(restored.snapshot(), saved);
    assert_eq!(restored.total(|_| true), account.total(|_| true));
    assert_eq!(
        restored.recent(Span::Hour, |_| true),
        account.recent(Span::Hour, |_| true)
    );
}

/// A session at 100 kB/s by its rung whose server sends what `sent` says; counts are read each second as `order` has
/// it: how late the one of a second is, or that it is missing.
fn counted(
    sent: impl Fn(f64) -> f64,
    order: impl Fn(u64) -> Option<u64>,
    last: Option<u64>,
) -> UsageAccount {
    let mut account = UsageAccount::new(CONFIG);
    account.session_started(1, flow(1, 0), 7, 100.0, at(1010));
    let total = |second: u64| {
        (0..(second - 10) * 100)
            .map(|n| sent(10.0 + n as f64 / 100.0) / 100.0)
            .sum::<f64>()
    };
    for second in 11..80u64 {
        for of in
            (11..=second.min(50)).filter(|of| order(*of).is_some_and(|late| of + late == second))
        {
            account.bytes_counted(1, (total(of) * 1000.0) as u64, at(1000 + of));
        }
        if second == 50 {
            account.session_ended(1, at(1050));
        }
        if last.is_some_and(|late| 50 + late == second) {
            account.final_bytes_counted(1, (total(50) * 1000.0) as u64);
        }
        while !account.settle(at(1000 + second), 1) {}
    }
    assert_eq!(account.unsettled_sessions(), 0);
    account
}

/// Starts two seconds late, stops reading for ten, and is short for a while, which rung and time do not show.
fn irregular_rate(second: f64) -> f64 {
    match second as u64 {
        ..12 | 30..40 => 0.0,
        20..26 => 35.0,
        _ => 100.0,
    }
}

const IRREGULAR_TOTAL: f64 = 1000.0 * (28.0 * 100.0 - 6.0 * 65.0);

#[test]
fn totals_are_what_servers_counted_however_the_counts_arrive() {
    let truth = IRREGULAR_TOTAL;
    for (what, account) in [
        ("each second", counted(irregular_rate, |_| Some(0), Some(0))),
        ("5 s late", counted(irregular_rate, |_| Some(5), Some(5))),
        (
            "out of order",
            counted(irregular_rate, |of| Some(of * 7 % 5), Some(1)),
        ),
        (
            "every third is missing",
            counted(irregular_rate, |of| (of % 3 > 0).then_some(1), Some(1)),
        ),
        (
            "only the final count",
            counted(irregular_rate, |_| None, Some(2)),
        ),
    ] {
        let total = account.total(|_| true);
        assert!(near(total, truth, 0.0001), "{what}: {total} of {truth}");
        let (_, totals) = account.flows().next().unwrap();
        let by_source = [&totals.measured, &totals.corrected, &totals.estimated]
            .map(crankpaddle_cross_zone_traffic::windows::WindowedBytes::total);
        assert_eq!(
            by_source.iter().sum::<u64>() - totals.overstated_bytes,
            total
        );
        assert_eq!(
            by_source[2] == 0,
            what != "only the final count",
            "{what}: {by_source:?}"
        );
    }
}

#[test]
fn counts_twenty_seconds_late_still_give_exact_totals_while_the_session_is_retained() {
    let account = counted(irregular_rate, |of| (of < 30).then_some(20), Some(3));
    assert!(
        near(account.total(|_| true), IRREGULAR_TOTAL, 0.0001),
        "{}",
        account.total(|_| true)
    );
    let (_, totals) = account.flows().next().unwrap();
    assert!(totals.estimated.total() > 0 && totals.overstated_bytes > 0);
}

#[test]
fn a_lost_server_leaves_an_estimate_from_its_last_count_on() {
    // The last count is of second 40; the session ends at 50 without a final count.
    let account = counted(irregular_rate, |of| (of <= 40).then_some(0), None);
    let (_, totals) = account.flows().next().unwrap();
    assert!(
        near(
            totals.measured.total(),
            IRREGULAR_TOTAL - 1_000_000.0,
            0.0001
        ),
        "{}",
        totals.measured.total()
    );
    assert!(
        near(totals.estimated.total(), 1_000_000.0, 0.0001),
        "{}",
        totals.estimated.total()
    );
}

#[test]
fn measured_bytes_are_counted_in_the_seconds_that_they_were_sent_in() {
    let account = counted(irregular_rate, |_| Some(1), Some(1));
    let seconds = account.recent(Span::Second, |_| true);
    let of = |second: u64| seconds.get(&at(1000 + second)).copied().unwrap_or(0);
    assert!(near(of(22), 35_000.0, 0.001) && near(of(45), 100_000.0, 0.001));
    assert_eq!((of(35), of(11)), (0, 0));
}

#[test]
fn a_final_count_after_the_session_was_settled_is_counted_as_dropped() {
    let account = counted(irregular_rate, |_| None, Some(20));
    assert_eq!(
        (account.dropped_late_reports(), account.total(|_| true)),
        (1, 4_000_000)
    );
}

#[test]
fn a_thousand_sessions_are_settled_in_bounded_steps() {
    let mut account = UsageAccount::new(CONFIG);
    (0..1000).for_each(|n| account.session_started(n, flow(1, 0), 7, 100.0, at(1000)));
    let steps = (0..).take_while(|_| !account.settle(at(1018), 64)).count();
    assert_eq!(steps, 15, "15 full steps and a last one");
    assert_eq!(account.total(|_| true), 1000 * 1_000_000);
}
