//! Sockets on may's coroutines, shared by the front and the testbed's servers.
//!
//! A coroutine moves between threads whenever it waits: nothing here keeps a thread-local or a lock's guard over a
//! wait. [`Socket`] can be read by one coroutine while any other writes to it without waiting, wakes it or closes it.
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
pub use runtime::{drain_after_stall, drain_queue, recv_until, sleep, spawn, start, Stack};
pub use socket::{CloseReason, Peer, Socket, WriteError};
pub use write_buffer::{ReadEnd, WriteBuffer};
