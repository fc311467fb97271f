//! Benchmarks of a front: processor time and latency of a set-up, memory of a connection and of a session.
//!
//! Each figure is measured for the front and for a baseline in the same run: [`relay`], which forwards the same messages
//! over the same sockets and decides nothing. Machines are noisy, so the ratio of the two counts, from alternating rounds.
//!
//! - [`mod@bench`]: the comparison of front and relay;
//! - [`account`]: the cost of the accounting of traffic;
//! - [`failures`]: set-ups that failed, counted by cause;
//! - [`process`]: processor time and memory of a process.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod account;
pub mod bench;
pub mod failures;
pub mod process;
pub mod relay;
