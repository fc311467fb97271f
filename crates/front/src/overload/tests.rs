//! The front sheds load by its own queue.
use super::*;
const MS: u64 = 1_000_000;

fn overload() -> OverloadDetector {
    OverloadDetector::new(OverloadLimits {
        max_pending: 10,
        max_pending_per_player: 3,
        latency_objective: 800 * MS,
        max_retry_after: SECOND,
    })
}

/// Feeds a message a millisecond with the given wait; says how many were taken.
fn feed(o: &mut OverloadDetector, from: u64, count: u64, wait: u64) -> usize {
    let verdict = |i: u64| {
        o.admit(
            Time(from + i * MS),
            Time((from + i * MS).saturating_sub(wait)),
            0,
            0,
        ) == AdmissionDecision::Admit
    };
    (0..count).map(verdict).filter(|t| *t).count()
}

#[test]
fn a_burst_that_drains_is_taken_and_a_standing_queue_is_refused() {
    let mut o = overload();
    assert_eq!(
        feed(&mut o, SECOND, 80, 60 * MS),
        80,
        "a burst shorter than the interval"
    );
    assert_eq!(feed(&mut o, SECOND + 80 * MS, 1, MS), 1);
    let taken = feed(&mut o, 2 * SECOND, 1000, 60 * MS);
    assert!(
        (100..300).contains(&taken),
        "refuses after two intervals of standing queue: {taken}"
    );
    assert_eq!(
        feed(&mut o, 3 * SECOND, 50, MS),
        50,
        "one quick passage ends it"
    );
}

#[test]
fn counts_are_bounded_in_all_and_for_each_player() {
    let mut o = overload();
    let t = Time(SECOND);
    assert_eq!(o.admit(t, t, 9, 2), AdmissionDecision::Admit);
    assert_eq!(o.admit(t, t, 10, 0), AdmissionDecision::TooManyPending);
    assert_eq!(o.admit(t, t, 0, 3), AdmissionDecision::TooManyPending);
}

#[test]
fn advice_is_spread_grows_and_stays_under_what_players_follow() {
    let mut o = overload();
    let calm = o.retry_after(1.0);
    assert!(o.retry_after(0.0) < calm);
    feed(&mut o, SECOND, 2000, 60 * MS);
    assert!(
        o.retry_after(1.0) > calm && o.retry_after(1.0) <= SECOND && o.retry_after(7.0) <= SECOND
    );
}
