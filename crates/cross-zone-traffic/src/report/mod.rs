//! The report of a front's traffic: published, saved over its restarts, and merged with those of other fronts.
mod build;
mod merge;
mod names;
mod saved;
mod types;

pub use merge::merge;
pub use names::TrafficNames;
pub use types::{BudgetReport, ByteTotals, FlowReport, TrafficReport};

/// Nanoseconds in a millisecond, the unit of times in reports.
const MILLISECOND: u64 = crate::SECOND / 1000;
