//! Sockets, timers and HTTP exchanges on the coroutines of the `may` library, shared by fronts, front nodes and the
//! servers of the testbed.
//!
//! A coroutine may continue on another thread after each wait, so nothing here holds a thread-local or a lock guard
//! across a wait. One coroutine reads a [`Socket`]; any other may write to it without waiting, or close it.
#![deny(unsafe_code)]
#![warn(missing_docs)]
mod acceptor;
pub mod clock;
pub mod exchange;
mod idle_sweep;
mod listener;
mod runtime;
mod socket;
mod write_buffer;
mod yield_budget;

pub use acceptor::{accept_while_capacity, AcceptHandle};
pub use idle_sweep::IdleSweeper;
pub use listener::{accept_each, listen};
pub use runtime::{
    drain_after_stall, drain_queue, recv_until, sleep, spawn, spawn_with_state, start, Stack,
};
pub use socket::{CloseReason, PeerState, Socket, WriteError};
pub use write_buffer::{ReadEnd, WriteBuffer};
pub use yield_budget::{PollingBreak, YieldBudget};
