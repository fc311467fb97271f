//! Load shedding by the wait and the number of pending requests.
use super::*;
const MS: u64 = 1_000_000;

fn detector() -> OverloadDetector {
    OverloadDetector::new(OverloadLimits {
        max_pending: 10,
        max_pending_per_player: 3,
        latency_objective: 800 * MS,
        max_retry_after: SECOND,
    })
}

/// Requests one admission a millisecond with the given wait; how many were admitted.
fn count_admitted(detector: &mut OverloadDetector, from: u64, count: u64, wait: u64) -> usize {
    let is_admitted = |index: &u64| {
        let now = from + index * MS;
        let received_at = Time(now.saturating_sub(wait));
        detector.admit(Time(now), received_at, 0, 0) == AdmissionDecision::Admit
    };
    (0..count).filter(is_admitted).count()
}

#[test]
fn a_burst_that_drains_is_admitted_and_a_standing_queue_is_shed() {
    let mut detector = detector();
    assert_eq!(
        count_admitted(&mut detector, SECOND, 80, 60 * MS),
        80,
        "a burst shorter than the interval"
    );
    assert_eq!(count_admitted(&mut detector, SECOND + 80 * MS, 1, MS), 1);
    let admitted = count_admitted(&mut detector, 2 * SECOND, 1000, 60 * MS);
    assert!(
        (100..300).contains(&admitted),
        "sheds load after two intervals of standing queue: {admitted}"
    );
    assert_eq!(
        count_admitted(&mut detector, 3 * SECOND, 50, MS),
        50,
        "one quick passage ends it"
    );
}

#[test]
fn pending_requests_are_bounded_in_all_and_for_each_player() {
    let mut detector = detector();
    let now = Time(SECOND);
    assert_eq!(detector.admit(now, now, 9, 2), AdmissionDecision::Admit);
    assert_eq!(
        detector.admit(now, now, 10, 0),
        AdmissionDecision::TooManyPending
    );
    assert_eq!(
        detector.admit(now, now, 0, 3),
        AdmissionDecision::TooManyPending
    );
}

#[test]
fn retry_after_is_spread_and_grows_up_to_the_configured_maximum() {
    let mut detector = detector();
    let without_load = detector.retry_after(1.0).unwrap();
    assert!(detector.retry_after(0.0).unwrap() < without_load);
    count_admitted(&mut detector, SECOND, 2000, 60 * MS);
    assert!(
        detector.retry_after(1.0).unwrap() > without_load
            && detector.retry_after(1.0).unwrap() <= Duration::from_nanos(SECOND)
            && detector.retry_after(7.0).unwrap() <= Duration::from_nanos(SECOND)
    );
}
