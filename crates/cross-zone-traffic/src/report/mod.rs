//! The report of a front's traffic, which is published, saved across restarts, and merged with the reports of other fronts.
mod build;
mod merge;
mod names;
mod saved;
mod types;

use crankpaddle_time::Time;

pub use merge::merge;
pub use names::TrafficNames;
pub use types::{BudgetReport, ByteTotals, FlowReport, TrafficReport};

/// Nanoseconds per millisecond. Reports state points in time in milliseconds since 1970.
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

fn to_milliseconds(time: Time) -> u64 {
    time.as_nanos() / NANOSECONDS_PER_MILLISECOND
}

fn from_milliseconds(milliseconds: u64) -> Time {
    Time(milliseconds.saturating_mul(NANOSECONDS_PER_MILLISECOND))
}
