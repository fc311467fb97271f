//! Accounts for the traffic between zones and limits it. Each zone pair may have budgets that all fronts share; sessions of
//! paid classes have priority over them. The crate does no I/O.
//!
//! - [`usage_accounting`]: bytes by flow, as counted by servers, or estimated from the rung, the elapsed time and reports of
//!   the share delivered;
//! - [`windows`]: byte totals of recent seconds, minutes and hours in bounded memory;
//! - [`budget`]: each front's quota of a shared rate, enforced by the generic cell rate algorithm (GCRA);
//! - `quota_share`: how large that quota is, computed from the reports of servers;
//! - [`cross_zone_admission`]: which sessions may cross between zones, which are capped at their lowest rung, and in which
//!   order caps are lifted;
//! - [`traffic_controller`]: a front's usage account and budgets, driven by the events of its sessions;
//! - [`report`]: the report that a front publishes and saves, and how the reports of several fronts are merged.
//!
//! The caller supplies the time. Rates are in kB per second, where 1 kB is 1,000 bytes.
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

/// Nanoseconds per second.
pub(crate) const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Bytes per kB.
pub(crate) const BYTES_PER_KB: f64 = 1000.0;

/// Nanoseconds between two points in time; 0 if `to` is not later than `from`.
pub(crate) fn nanoseconds_between(from: Time, to: Time) -> f64 {
    nanoseconds(to.duration_since(from)) as f64
}
