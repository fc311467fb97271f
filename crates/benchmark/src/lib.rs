//! What a front costs: CPU and time of a set-up, memory of a connection and of a session, each beside a floor from the
//! same run: [`relay`], which passes the same messages over the same sockets and decides nothing.
//!
//! Machines are noisy: what counts is the ratio of the two, taken in turns.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod account;
pub mod bench;
pub mod failures;
pub mod process;
pub mod relay;
