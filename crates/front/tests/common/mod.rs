//! Settings, classes and units of time that the tests of the core share.
use crankpaddle::{Idempotency, SessionClass};
use crankpaddle_front::Settings;

/// In nanoseconds.
pub(crate) const MILLISECOND: u64 = 1_000_000;
/// In nanoseconds.
pub(crate) const SECOND: u64 = 1000 * MILLISECOND;
/// The class whose set-ups are idempotent.
pub(crate) const FREE: u8 = 0;
/// The class whose set-ups are billed and must run at most once.
pub(crate) const PAID: u8 = 1;

pub(crate) fn settings() -> Settings {
    let class = |idempotency, priority_weight| SessionClass {
        latency_objective: 800 * MILLISECOND,
        idempotency,
        retry_window: 0,
        priority_weight,
        min_rung: 0,
        max_rung: 2,
        rate_factor: 1.0,
        max_sessions_per_title: 0,
        live: false,
    };
    Settings {
        replica_count: 2,
        classes: vec![
            class(Idempotency::Idempotent, 1.0),
            class(Idempotency::AtMostOnce, 2.0),
        ],
        rung_kb: vec![200.0, 500.0, 1500.0],
        rung_utility: vec![0.2, 0.6, 1.0],
        cells: 6,
        racks: 2,
        stream_capacity: vec![25],
        fleet_link_kb: 54_000.0,
        link_kb: 9000.0,
        uplink_kb: 27_000.0,
        shared_stream_factor: 1.0,
        max_attempts: 4,
        max_retry_after: SECOND,
        slow_start_duration: 10 * SECOND,
        slow_start_min_factor: 0.5,
        overload_multiple: 2.0,
        overload_window: SECOND,
        ..Settings::default()
    }
}
