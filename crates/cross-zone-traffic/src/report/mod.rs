//! The report of a front's traffic: published, saved over its restarts, and merged with those of other fronts.
mod build;
mod merge;
mod names;
mod saved;
mod types;

use crankpaddle_time::Time;

pub use merge::merge;
pub use names::TrafficNames;
pub use types::{BudgetReport, ByteTotals, FlowReport, TrafficReport};

/// Nanoseconds in a millisecond, the unit of points in time in reports.
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

fn to_milliseconds(time: Time) -> u64 {
    time.as_nanos() / NANOSECONDS_PER_MILLISECOND
}

fn from_milliseconds(milliseconds: u64) -> Time {
    Time(milliseconds.saturating_mul(NANOSECONDS_PER_MILLISECOND))
}
