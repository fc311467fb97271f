//! Traffic between zones, without I/O: usage accounting, shared budgets, and admission with priority for paid classes.
//!
//! - [`usage_accounting`]: bytes by flow, from the rungs in force, elapsed time, and delivery reports that arrive late;
//! - [`windows`]: byte totals of recent seconds, minutes and hours in bounded memory;
//! - [`budget`]: each front's quota of a shared rate, held by the generic cell rate algorithm (GCRA);
//! - `quota_share`: how large that quota is, derived from what servers report;
//! - [`cross_zone_admission`]: which sessions may cross, which are capped, and in which order caps are lifted;
//! - [`traffic_controller`]: a front's usage account and budgets, driven by the events of its sessions;
//! - [`report`]: the report that is published and saved, and how reports of many fronts are merged.
//!
//! Points in time are those of a clock that the caller supplies; rates are kB a second (1 kB is 1,000 bytes).
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod budget;
pub mod cross_zone_admission;
pub(crate) mod quota_share;
pub mod report;
pub mod traffic_controller;
pub mod usage_accounting;
pub mod windows;

use crankpaddle_time::{nanoseconds, Time};

/// Nanoseconds in a second, for computations with rates.
pub(crate) const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Bytes in a kB.
pub(crate) const BYTES_PER_KB: f64 = 1000.0;

/// Nanoseconds from a point in time to a later one, for computations with rates; 0 if it is not later.
pub(crate) fn nanoseconds_between(from: Time, to: Time) -> f64 {
    nanoseconds(to.duration_since(from)) as f64
}
