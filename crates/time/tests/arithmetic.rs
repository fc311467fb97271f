//! Arithmetic on points in time, at the ends of the range too.
use crankpaddle_time::{nanoseconds, AtomicTime, Time};
use std::sync::atomic::Ordering;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_duration_is_the_distance_between_two_points() {
    let start = Time(5);
    let later = start + SECOND;
    assert_eq!(later, Time(1_000_000_005));
    assert_eq!(later.duration_since(start), SECOND);
    assert_eq!(start.duration_since(later), Duration::ZERO);
    assert_eq!(later - SECOND, start);
}

#[test]
fn nothing_overflows() {
    assert_eq!(Time::MAX + SECOND, Time::MAX);
    assert_eq!(Time(1) + Duration::MAX, Time::MAX);
    assert_eq!(Time(1) - SECOND, Time::ZERO);
    assert_eq!(nanoseconds(Duration::MAX), u64::MAX);
}

#[test]
fn a_shared_point_moves_forward_only_by_fetch_max() {
    let deadline = AtomicTime::new(Time(5));
    deadline.fetch_max(Time(3), Ordering::Relaxed);
    assert_eq!(deadline.load(Ordering::Relaxed), Time(5));
    deadline.fetch_max(Time(7), Ordering::Relaxed);
    assert_eq!(deadline.load(Ordering::Relaxed), Time(7));
    deadline.store(Time(1), Ordering::Relaxed);
    assert_eq!(deadline.load(Ordering::Relaxed), Time(1));
}
