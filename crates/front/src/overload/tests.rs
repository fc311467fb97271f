//! Load shedding by how long messages waited and by the number of pending requests.
use super::*;
const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1000 * MILLISECOND;

fn detector() -> OverloadDetector {
    OverloadDetector::new(OverloadLimits {
        max_pending: 10,
        max_pending_per_player: 3,
        latency_objective: Duration::from_nanos(800 * MILLISECOND),
        max_retry_after: Duration::from_nanos(SECOND),
    })
}

/// Requests `count` admissions, one per millisecond, each after the same wait. Returns how many were admitted.
fn count_admitted(
    detector: &mut OverloadDetector,
    from_ns: u64,
    count: u64,
    wait_ns: u64,
) -> usize {
    let is_admitted = |index: &u64| {
        let now_ns = from_ns + index * MILLISECOND;
        let received_at = Time(now_ns.saturating_sub(wait_ns));
        detector.admit(Time(now_ns), received_at, 0, 0) == AdmissionDecision::Admit
    };
    (0..count).filter(is_admitted).count()
}

#[test]
fn a_burst_that_drains_is_admitted_and_a_standing_queue_is_shed() {
    let mut detector = detector();
    assert_eq!(
        count_admitted(&mut detector, SECOND, 80, 60 * MILLISECOND),
        80,
        "a burst shorter than the interval is admitted"
    );
    assert_eq!(
        count_admitted(&mut detector, SECOND + 80 * MILLISECOND, 1, MILLISECOND),
        1
    );
    let admitted = count_admitted(&mut detector, 2 * SECOND, 1000, 60 * MILLISECOND);
    assert!(
        (100..300).contains(&admitted),
        "load is shed after about two intervals of a standing queue: {admitted}"
    );
    assert_eq!(
        count_admitted(&mut detector, 3 * SECOND, 50, MILLISECOND),
        50,
        "one short wait ends the overload"
    );
}

#[test]
fn pending_requests_are_bounded_in_total_and_for_each_player() {
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
    count_admitted(&mut detector, SECOND, 2000, 60 * MILLISECOND);
    assert!(
        detector.retry_after(1.0).unwrap() > without_load
            && detector.retry_after(1.0).unwrap() <= Duration::from_nanos(SECOND)
            && detector.retry_after(7.0).unwrap() <= Duration::from_nanos(SECOND)
    );
}
