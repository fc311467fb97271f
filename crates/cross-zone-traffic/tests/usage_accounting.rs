//! Compares the totals of a usage account with the bytes that servers really sent.
use crankpaddle_cross_zone_traffic::usage_accounting::{
    Flow, Purpose, UsageAccount, UsageConfig, OTHER_FLOWS,
};
use crankpaddle_cross_zone_traffic::windows::{Span, WindowedBytes};
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

/// Whether a byte count differs from the expected one by at most a fraction of it, plus one byte for rounding.
fn is_near(bytes: u64, expected: f64, tolerance: f64) -> bool {
    (bytes as f64 - expected).abs() <= expected * tolerance + 1.0
}

#[test]
fn bytes_follow_rung_and_time_and_fractions_are_not_lost() {
    let mut account = UsageAccount::new(CONFIG);
    account.session_started(1, flow(1, 0), 7, 100.0, at(1000));
    account.rate_changed(1, 300.0, at(1010));
    account.session_ended(1, at(1015));
    for hundredths in 0..4000u64 {
        while !account.settle(at(1000) + Duration::from_secs(hundredths) / 100, 1) {}
    }
    assert!(
        is_near(account.total(Flow::crosses), 2_500_000.0, 0.0001),
        "{}",
        account.total(|_| true)
    );
    assert_eq!(
        (
            account.total(|flow| !flow.crosses()),
            account.unsettled_sessions()
        ),
        (0, 0)
    );
    let seconds = account.recent(Span::Second, |_| true);
    assert!(
        is_near(seconds[&at(1003)], 100_000.0, 0.001)
            && is_near(seconds[&at(1012)], 300_000.0, 0.001)
    );
}

/// Two sessions of a server that reports the shares that it delivers. `reports` are the seconds to which the reports refer,
/// and the shares; `delay` is the delay in seconds with which a report arrives, by its index.
fn account_with_delivery_reports(
    reports: &[(u64, f64)],
    delay: impl Fn(usize) -> u64,
) -> UsageAccount {
    let mut account = UsageAccount::new(CONFIG);
    account.session_started(1, flow(1, 0), 7, 100.0, at(1010));
    account.session_started(2, flow(1, 1), 7, 50.0, at(1010));
    for second in 10..70u64 {
        for (index, (report_second, share)) in reports.iter().enumerate() {
            if report_second + delay(index) == second {
                account.delivery_reported(7, *share, at(1000 + report_second));
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

/// The server delivers 60% from second 20 to 40, and all bytes from then on.
fn reported_shares() -> Vec<(u64, f64)> {
    (20..40)
        .map(|second| (second, 0.6))
        .chain([(40, 1.0)])
        .collect()
}

#[test]
fn late_duplicated_and_reordered_delivery_reports_give_the_same_totals() {
    let (bytes_of_class_0, bytes_of_class_1) = (
        100_000.0 * (20.0 + 20.0 * 0.6),
        50_000.0 * (11.0 + 20.0 * 0.6),
    );
    let duplicated: Vec<_> = reported_shares()
        .into_iter()
        .flat_map(|report| [report, report])
        .collect();
    for (case, account) in [
        (
            "at once",
            account_with_delivery_reports(&reported_shares(), |_| 0),
        ),
        (
            "5 s late",
            account_with_delivery_reports(&reported_shares(), |_| 5),
        ),
        (
            "duplicated",
            account_with_delivery_reports(&duplicated, |index| 1 + index as u64 % 2),
        ),
        (
            "out of order",
            account_with_delivery_reports(
                &reported_shares(),
                |index| if index % 3 == 0 { 6 } else { 1 },
            ),
        ),
    ] {
        assert!(
            is_near(
                account.total(|flow| flow.class == 0),
                bytes_of_class_0,
                0.0001
            ),
            "{case}: {}",
            account.total(|flow| flow.class == 0)
        );
        assert!(
            is_near(
                account.total(|flow| flow.class == 1),
                bytes_of_class_1,
                0.0001
            ),
            "{case}"
        );
        assert_eq!(
            (account.dropped_late_reports(), account.unsettled_sessions()),
            (0, 0),
            "{case}"
        );
    }
}

#[test]
fn missing_delivery_reports_leave_no_gap_and_too_late_ones_are_counted_as_dropped() {
    // Every second report is missing. Each report applies until the next one arrives.
    let every_second_report: Vec<_> = reported_shares().into_iter().step_by(2).collect();
    let account = account_with_delivery_reports(&every_second_report, |_| 1);
    assert!(is_near(
        account.total(|flow| flow.class == 0),
        3_200_000.0,
        0.0001
    ));
    // All reports arrive 20 s late, when the bytes of their time are settled, so they have no effect.
    let account = account_with_delivery_reports(&reported_shares(), |_| 20);
    assert_eq!(account.total(|flow| flow.class == 0), 4_000_000);
    assert_eq!(account.dropped_late_reports(), 21);
    // Estimated and corrected bytes are counted separately.
    let account = account_with_delivery_reports(&reported_shares(), |_| 1);
    let totals = account.flows().find(|(flow, _)| flow.class == 0).unwrap().1;
    // Corrected bytes include those of the last report, which applies for 2 s and states that all bytes are delivered again.
    assert!(
        is_near(totals.corrected.total(), 100_000.0 * (12.0 + 2.0), 0.0001),
        "{}",
        totals.corrected.total()
    );
}

#[test]
fn clock_steps_and_invalid_reports_have_no_effect_on_totals() {
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
    // The reported end is before the settled time, so the session ends at the settled time.
    assert!(
        is_near(account.total(|_| true), 2_200_000.0, 0.0001),
        "{}",
        account.total(|_| true)
    );
}

#[test]
fn flows_beyond_the_maximum_are_counted_as_other_flows() {
    let mut account = UsageAccount::new(UsageConfig {
        max_flows: 3,
        ..CONFIG
    });
    for group in 0..10u16 {
        account.session_started(
            u64::from(group),
            Flow {
                group,
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
        is_near(
            account.total(|flow| *flow == OTHER_FLOWS),
            700_000.0,
            0.0001
        ) && is_near(account.total(|_| true), 1_000_000.0, 0.0001)
    );
}

#[test]
fn totals_are_restored_only_once_after_a_restart() {
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
        "a second restore must be refused"
    );
    assert_eq!(restored.snapshot(), saved);
    assert_eq!(restored.total(|_| true), account.total(|_| true));
    assert_eq!(
        restored.recent(Span::Hour, |_| true),
        account.recent(Span::Hour, |_| true)
    );
}

/// The account of a session from second 10 to 50 whose rung has a rate of 100 kB/s, and whose server counts its bytes once a
/// second. `rate_kb` is the rate at which the server really sends, by second; `count_delay` is the delay in seconds with
/// which the count of a second arrives, `None` if it is lost; `final_count_delay` is the delay of the final count.
fn account_with_counts(
    rate_kb: impl Fn(f64) -> f64,
    count_delay: impl Fn(u64) -> Option<u64>,
    final_count_delay: Option<u64>,
) -> UsageAccount {
    let mut account = UsageAccount::new(CONFIG);
    account.session_started(1, flow(1, 0), 7, 100.0, at(1010));
    let sent_kb_by = |second: u64| {
        (0..(second - 10) * 100)
            .map(|hundredths| rate_kb(10.0 + hundredths as f64 / 100.0) / 100.0)
            .sum::<f64>()
    };
    for second in 11..80u64 {
        let counts_that_arrive = (11..=second.min(50)).filter(|counted_second| {
            count_delay(*counted_second).is_some_and(|delay| counted_second + delay == second)
        });
        for counted_second in counts_that_arrive {
            let bytes = (sent_kb_by(counted_second) * 1000.0) as u64;
            account.bytes_counted(1, bytes, at(1000 + counted_second));
        }
        if second == 50 {
            account.session_ended(1, at(1050));
        }
        if final_count_delay.is_some_and(|delay| 50 + delay == second) {
            account.final_bytes_counted(1, (sent_kb_by(50) * 1000.0) as u64);
        }
        while !account.settle(at(1000 + second), 1) {}
    }
    assert_eq!(account.unsettled_sessions(), 0);
    account
}

/// The real rate, in kB per second, of a session that starts 2 s late, gets 35% of its rate for 6 s, and later nothing for
/// 10 s. An estimate from the rung alone would miss all of this.
fn irregular_rate_kb(second: f64) -> f64 {
    match second as u64 {
        ..12 | 30..40 => 0.0,
        20..26 => 35.0,
        _ => 100.0,
    }
}

/// Bytes that are sent at the irregular rate from second 10 to 50.
const IRREGULAR_BYTES: f64 = 1000.0 * (28.0 * 100.0 - 6.0 * 65.0);

#[test]
fn totals_equal_the_servers_counts_however_the_counts_arrive() {
    for (case, account) in [
        (
            "each second",
            account_with_counts(irregular_rate_kb, |_| Some(0), Some(0)),
        ),
        (
            "5 s late",
            account_with_counts(irregular_rate_kb, |_| Some(5), Some(5)),
        ),
        (
            "out of order",
            account_with_counts(irregular_rate_kb, |second| Some(second * 7 % 5), Some(1)),
        ),
        (
            "every third is missing",
            account_with_counts(
                irregular_rate_kb,
                |second| (second % 3 > 0).then_some(1),
                Some(1),
            ),
        ),
        (
            "only the final count",
            account_with_counts(irregular_rate_kb, |_| None, Some(2)),
        ),
    ] {
        let total = account.total(|_| true);
        assert!(
            is_near(total, IRREGULAR_BYTES, 0.0001),
            "{case}: {total} of {IRREGULAR_BYTES}"
        );
        let (_, totals) = account.flows().next().unwrap();
        let by_source =
            [&totals.measured, &totals.corrected, &totals.estimated].map(WindowedBytes::total);
        assert_eq!(
            by_source.iter().sum::<u64>() - totals.overstated_bytes,
            total
        );
        assert_eq!(
            by_source[2] == 0,
            case != "only the final count",
            "{case}: {by_source:?}"
        );
    }
}

#[test]
fn counts_that_arrive_20_s_late_still_give_exact_totals_while_the_session_is_retained() {
    let account = account_with_counts(
        irregular_rate_kb,
        |second| (second < 30).then_some(20),
        Some(3),
    );
    assert!(
        is_near(account.total(|_| true), IRREGULAR_BYTES, 0.0001),
        "{}",
        account.total(|_| true)
    );
    let (_, totals) = account.flows().next().unwrap();
    assert!(totals.estimated.total() > 0 && totals.overstated_bytes > 0);
}

#[test]
fn bytes_of_a_lost_server_are_estimated_after_its_last_count() {
    // The last count is that of second 40. The session ends at second 50 without a final count.
    let account = account_with_counts(
        irregular_rate_kb,
        |second| (second <= 40).then_some(0),
        None,
    );
    let (_, totals) = account.flows().next().unwrap();
    assert!(
        is_near(
            totals.measured.total(),
            IRREGULAR_BYTES - 1_000_000.0,
            0.0001
        ),
        "{}",
        totals.measured.total()
    );
    assert!(
        is_near(totals.estimated.total(), 1_000_000.0, 0.0001),
        "{}",
        totals.estimated.total()
    );
}

#[test]
fn measured_bytes_are_counted_in_the_seconds_that_they_were_sent_in() {
    let account = account_with_counts(irregular_rate_kb, |_| Some(1), Some(1));
    let seconds = account.recent(Span::Second, |_| true);
    let bytes_in = |second: u64| seconds.get(&at(1000 + second)).copied().unwrap_or(0);
    assert!(is_near(bytes_in(22), 35_000.0, 0.001) && is_near(bytes_in(45), 100_000.0, 0.001));
    assert_eq!((bytes_in(35), bytes_in(11)), (0, 0));
}

#[test]
fn a_final_count_after_the_session_was_settled_is_counted_as_dropped() {
    let account = account_with_counts(irregular_rate_kb, |_| None, Some(20));
    assert_eq!(
        (account.dropped_late_reports(), account.total(|_| true)),
        (1, 4_000_000)
    );
}

#[test]
fn each_call_settles_a_bounded_number_of_sessions() {
    let mut account = UsageAccount::new(CONFIG);
    (0..1000).for_each(|id| account.session_started(id, flow(1, 0), 7, 100.0, at(1000)));
    let incomplete_calls = (0..).take_while(|_| !account.settle(at(1018), 64)).count();
    assert_eq!(incomplete_calls, 15, "15 calls before the last one");
    assert_eq!(account.total(|_| true), 1000 * 1_000_000);
}
