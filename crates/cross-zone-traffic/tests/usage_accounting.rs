//! The account against a world that knows what was really sent.
use crankpaddle_cross_zone_traffic::usage_accounting::{
    Flow, Purpose, UsageAccount, UsageConfig, REST,
};
use crankpaddle_cross_zone_traffic::windows::Span;

const SECOND: u64 = 1_000_000_000;
const TERMS: UsageConfig = UsageConfig {
    settle: 8 * SECOND,
    hold: 2 * SECOND,
    flows: 100,
};

fn flow(from: u8, class: u8) -> Flow {
    Flow {
        from,
        to: 0,
        class,
        ..Flow::default()
    }
}

fn near(a: u64, b: f64, part: f64) -> bool {
    (a as f64 - b).abs() <= b * part + 1.0
}

#[test]
fn rungs_and_time_make_bytes_and_fractions_are_not_lost() {
    let mut a = UsageAccount::new(TERMS);
    a.start(1, flow(1, 0), 7, 100.0, 1000 * SECOND);
    a.rate(1, 300.0, 1010 * SECOND);
    a.end(1, 1015 * SECOND);
    for n in 0..4000u64 {
        while !a.settle_until(1000 * SECOND + n * SECOND / 100, 1) {}
    }
    assert!(
        near(
            a.total(crankpaddle_cross_zone_traffic::usage_accounting::Flow::crosses),
            2_500_000.0,
            0.0001
        ),
        "{}",
        a.total(|_| true)
    );
    assert_eq!((a.total(|f| !f.crosses()), a.sessions()), (0, 0));
    let seconds = a.late(Span::Second, |_| true);
    assert!(
        near(seconds[&(1003 * SECOND)], 100_000.0, 0.001)
            && near(seconds[&(1012 * SECOND)], 300_000.0, 0.001)
    );
}

/// A server short between seconds 20 and 40; its reports come as the case has it.
fn short_delivery(reports: &[(u64, f64)], order: impl Fn(usize) -> u64) -> UsageAccount {
    let mut a = UsageAccount::new(TERMS);
    a.start(1, flow(1, 0), 7, 100.0, 1010 * SECOND);
    a.start(2, flow(1, 1), 7, 50.0, 1010 * SECOND);
    for second in 10..70u64 {
        for (n, (of, share)) in reports.iter().enumerate() {
            if of + order(n) == second {
                a.share(7, *share, (1000 + of) * SECOND);
            }
        }
        if second == 41 {
            a.end(2, 1041 * SECOND); // Before its last reports have come.
        }
        if second == 50 {
            a.end(1, 1050 * SECOND);
        }
        while !a.settle_until((1000 + second) * SECOND, 1) {}
    }
    a
}

fn told() -> Vec<(u64, f64)> {
    (20..40).map(|s| (s, 0.6)).chain([(40, 1.0)]).collect()
}

#[test]
fn late_doubled_and_unordered_reports_come_to_the_same() {
    let (first, second) = (
        100_000.0 * (20.0 + 20.0 * 0.6),
        50_000.0 * (11.0 + 20.0 * 0.6),
    );
    let doubled: Vec<_> = told().into_iter().flat_map(|r| [r, r]).collect();
    for (what, account) in [
        ("at once", short_delivery(&told(), |_| 0)),
        ("5 s late", short_delivery(&told(), |_| 5)),
        ("doubled", short_delivery(&doubled, |n| 1 + n as u64 % 2)),
        (
            "out of order",
            short_delivery(&told(), |n| if n % 3 == 0 { 6 } else { 1 }),
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
            (account.dropped_late_reports(), account.sessions()),
            (0, 0),
            "{what}"
        );
    }
}

#[test]
fn missing_reports_hold_for_a_time_and_too_late_ones_are_told() {
    // Every second one is missing: each holds until the next.
    let some: Vec<_> = told().into_iter().step_by(2).collect();
    let a = short_delivery(&some, |_| 1);
    assert!(near(a.total(|f| f.class == 0), 3_200_000.0, 0.0001));
    // All are 20 s late: they change nothing that is settled.
    let a = short_delivery(&told(), |_| 20);
    assert_eq!(a.total(|f| f.class == 0), 4_000_000);
    assert_eq!(a.dropped_late_reports(), 21);
    // What is estimated and what is corrected stand apart.
    let a = short_delivery(&told(), |_| 1);
    let sums = a.flows().find(|(f, _)| f.class == 0).unwrap().1;
    // The last report says that all is delivered again, for as long as it holds.
    assert!(
        near(sums.corrected.total(), 100_000.0 * (12.0 + 2.0), 0.0001),
        "{}",
        sums.corrected.total()
    );
}

#[test]
fn clocks_that_step_back_and_strange_reports_count_nothing_twice() {
    let mut a = UsageAccount::new(TERMS);
    a.start(1, flow(1, 0), 7, 100.0, 1000 * SECOND);
    a.start(1, flow(1, 1), 7, 900.0, 1000 * SECOND);
    for now in [1005, 1020, 1010, 1020, 900, 1030] {
        while !a.settle_until(now * SECOND, 1) {}
        a.share(7, f64::NAN, now * SECOND);
        a.share(7, 0.1, u64::MAX);
    }
    a.end(1, 990 * SECOND);
    a.end(1, 2000 * SECOND);
    while !a.settle_until(1050 * SECOND, 1) {}
    // An end before what was settled already ends there.
    assert!(
        near(a.total(|_| true), 2_200_000.0, 0.0001),
        "{}",
        a.total(|_| true)
    );
}

#[test]
fn flows_beyond_the_bound_are_counted_as_the_rest() {
    let mut a = UsageAccount::new(UsageConfig { flows: 3, ..TERMS });
    for n in 0..10u16 {
        a.start(
            u64::from(n),
            Flow {
                group: n,
                ..flow(1, 0)
            },
            7,
            10.0,
            1000 * SECOND,
        );
    }
    while !a.settle_until(1018 * SECOND, 1) {}
    assert_eq!(a.flows().count(), 4);
    assert!(
        near(a.total(|f| *f == REST), 700_000.0, 0.0001)
            && near(a.total(|_| true), 1_000_000.0, 0.0001)
    );
}

#[test]
fn totals_survive_a_restart_once() {
    let mut a = UsageAccount::new(TERMS);
    a.start(1, flow(1, 0), 7, 100.0, 1000 * SECOND);
    while !a.settle_until(1018 * SECOND, 1) {}
    a.once(
        Flow {
            purpose: Purpose::Nothing,
            ..flow(1, 1)
        },
        77,
        1000 * SECOND,
    );
    let kept = a.snapshot();
    let mut b = UsageAccount::new(TERMS);
    assert!(b.restore(&kept) && !b.restore(&kept), "counted once");
    assert_eq!(b.snapshot(), kept);
    assert_eq!(b.total(|_| true), a.total(|_| true));
    assert_eq!(b.late(Span::Hour, |_| true), a.late(Span::Hour, |_| true));
}

/// A session at 100 kB/s by its rung whose server sends what `sent` says; counts are read each second as `order` has
/// it: how late the one of a second is, or that it is missing.
fn counted(
    sent: impl Fn(f64) -> f64,
    order: impl Fn(u64) -> Option<u64>,
    last: Option<u64>,
) -> UsageAccount {
    let mut a = UsageAccount::new(TERMS);
    let at = |second: u64| (1000 + second) * SECOND;
    a.start(1, flow(1, 0), 7, 100.0, at(10));
    let total = |second: u64| {
        (0..(second - 10) * 100)
            .map(|n| sent(10.0 + n as f64 / 100.0) / 100.0)
            .sum::<f64>()
    };
    for second in 11..80u64 {
        for of in
            (11..=second.min(50)).filter(|of| order(*of).is_some_and(|late| of + late == second))
        {
            a.count(1, (total(of) * 1000.0) as u64, at(of));
        }
        if second == 50 {
            a.end(1, at(50));
        }
        if last.is_some_and(|late| 50 + late == second) {
            a.final_count(1, (total(50) * 1000.0) as u64);
        }
        while !a.settle_until(at(second), 1) {}
    }
    assert_eq!(a.sessions(), 0);
    a
}

/// Starts two seconds late, stops reading for ten, and is short for a while: nothing that rung and time could tell.
fn odd(second: f64) -> f64 {
    match second as u64 {
        ..12 | 30..40 => 0.0,
        20..26 => 35.0,
        _ => 100.0,
    }
}

const ODD: f64 = 1000.0 * (28.0 * 100.0 - 6.0 * 65.0);

#[test]
fn what_servers_count_is_what_is_told_however_it_comes() {
    let truth = ODD;
    for (what, account) in [
        ("each second", counted(odd, |_| Some(0), Some(0))),
        ("5 s late", counted(odd, |_| Some(5), Some(5))),
        ("out of order", counted(odd, |of| Some(of * 7 % 5), Some(1))),
        (
            "every third is missing",
            counted(odd, |of| (of % 3 > 0).then_some(1), Some(1)),
        ),
        ("only the last word", counted(odd, |_| None, Some(2))),
    ] {
        let total = account.total(|_| true);
        assert!(near(total, truth, 0.0001), "{what}: {total} of {truth}");
        let (_, sums) = account.flows().next().unwrap();
        let told = [&sums.measured, &sums.corrected, &sums.estimated]
            .map(crankpaddle_cross_zone_traffic::windows::Windows::total);
        assert_eq!(told.iter().sum::<u64>() - sums.overstated, total);
        assert_eq!(
            told[2] == 0,
            what != "only the last word",
            "{what}: {told:?}"
        );
    }
}

#[test]
fn counts_twenty_seconds_late_still_come_to_the_truth_while_the_session_is_there() {
    let a = counted(odd, |of| (of < 30).then_some(20), Some(3));
    assert!(
        near(a.total(|_| true), ODD, 0.0001),
        "{}",
        a.total(|_| true)
    );
    let (_, sums) = a.flows().next().unwrap();
    assert!(sums.estimated.total() > 0 && sums.overstated > 0);
}

#[test]
fn a_server_that_is_gone_leaves_the_estimate_from_its_last_count_on() {
    // The last count is of second 40; the session ends at 50 without a word.
    let a = counted(odd, |of| (of <= 40).then_some(0), None);
    let (_, sums) = a.flows().next().unwrap();
    assert!(
        near(sums.measured.total(), ODD - 1_000_000.0, 0.0001),
        "{}",
        sums.measured.total()
    );
    assert!(
        near(sums.estimated.total(), 1_000_000.0, 0.0001),
        "{}",
        sums.estimated.total()
    );
}

#[test]
fn measured_bytes_fall_into_the_seconds_that_they_were_sent_in() {
    let a = counted(odd, |_| Some(1), Some(1));
    let seconds = a.late(Span::Second, |_| true);
    let of = |second: u64| {
        seconds
            .get(&((1000 + second) * SECOND))
            .copied()
            .unwrap_or(0)
    };
    assert!(near(of(22), 35_000.0, 0.001) && near(of(45), 100_000.0, 0.001));
    assert_eq!((of(35), of(11)), (0, 0));
}

#[test]
fn a_last_word_after_the_session_was_settled_is_told_as_too_late() {
    let a = counted(odd, |_| None, Some(20));
    assert_eq!(
        (a.dropped_late_reports(), a.total(|_| true)),
        (1, 4_000_000)
    );
}

#[test]
fn a_thousand_sessions_are_settled_in_bounded_steps() {
    let mut a = UsageAccount::new(TERMS);
    (0..1000).for_each(|n| a.start(n, flow(1, 0), 7, 100.0, 1000 * SECOND));
    let steps = (0..)
        .take_while(|_| !a.settle_until(1018 * SECOND, 64))
        .count();
    assert_eq!(steps, 15, "15 whole steps and a last one");
    assert_eq!(a.total(|_| true), 1000 * 1_000_000);
}
