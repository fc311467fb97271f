//! Traffic between halls, without I/O: what crosses is counted, held to a budget, and paid service goes before it.
//!
//! - [`usage_accounting`]: bytes by flow, from rungs in force, time, and reports of short delivery that come late;
//! - [`windows`]: sums over seconds, minutes and hours in bounded memory;
//! - [`budget`]: each front's part of a shared rate, by the generic cell rate algorithm (GCRA);
//! - [`quota_share`]: which part that is, found from what servers report;
//! - [`cross_zone_admission`]: what may start crossing, what is lowered, and in which order it comes back;
//! - [`traffic_controller`]: a front's account and budgets, fed by the events of its sessions;
//! - [`report`]: what is told and kept, and how reports of many fronts become one.
//!
//! Times are nanoseconds of a clock that is given; rates kB a second (1 kB is 1,000 bytes).
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod budget;
pub mod cross_zone_admission;
pub mod quota_share;
pub mod report;
pub mod traffic_controller;
pub mod usage_accounting;
pub mod windows;

pub(crate) const SECOND: u64 = 1_000_000_000;
