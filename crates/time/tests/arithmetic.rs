//! Arithmetic on points in time, also at the limits of their range.
use crankpaddle_time::{nanoseconds, AtomicTime, Time};
use std::sync::atomic::Ordering;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_duration_is_the_distance_between_two_points() {
    let start = Time(5);
    let end = start + SECOND;
    assert_eq!(end, Time(1_000_000_005));
    assert_eq!(end.duration_since(start), SECOND);
    assert_eq!(start.duration_since(end), Duration::ZERO);
    assert_eq!(end - SECOND, start);
}

#[test]
fn arithmetic_saturates_at_the_limits() {
    assert_eq!(Time::MAX + SECOND, Time::MAX);
    assert_eq!(Time(1) + Duration::MAX, Time::MAX);
    assert_eq!(Time(1) - SECOND, Time::ZERO);
    assert_eq!(nanoseconds(Duration::MAX), u64::MAX);
}

#[test]
fn fetch_max_only_moves_an_atomic_time_forward() {
    let deadline = AtomicTime::new(Time(5));
    deadline.fetch_max(Time(3), Ordering::Relaxed);
    assert_eq!(deadline.load(Ordering::Relaxed), Time(5));
    deadline.fetch_max(Time(7), Ordering::Relaxed);
    assert_eq!(deadline.load(Ordering::Relaxed), Time(7));
    deadline.store(Time(1), Ordering::Relaxed);
    assert_eq!(deadline.load(Ordering::Relaxed), Time(1));
}
