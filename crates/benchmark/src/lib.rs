//! Benchmarks of a front: processor time and latency of a set-up, memory use of a connection and of a session.
//!
//! Each value is measured in the same run for the front and for a baseline: [`relay`], which forwards the same messages over
//! the same kind of sockets without any decisions. Absolute values are noisy, because they depend on the machine and on what
//! else it runs, so the result to compare is the ratio of front to relay, from alternating rounds.
//!
//! - [`mod@bench`]: the comparison of the front with the relay;
//! - [`account`]: the cost of usage accounting for traffic;
//! - [`failures`]: counts of failed set-ups by cause;
//! - [`process`]: processor time and memory use of a process.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod account;
pub mod bench;
pub mod failures;
pub mod process;
pub mod relay;
