//! Sockets on may's coroutines, shared by the front and the laboratory's stand-ins.
//!
//! A coroutine moves between threads whenever it waits: nothing here keeps a thread-local or a lock's guard over a
//! wait. [`Socket`] can be read by one coroutine while any other writes to it without waiting, wakes it or shuts it.
#![deny(unsafe_code)]
#![warn(missing_docs)]
pub mod clock;
pub mod exchange;
mod outbox;
mod runtime;
mod socket;
mod sweep;

pub use outbox::Outbox;
pub use runtime::{catch_up, recv_until, sleep, spawn, start, take, Stack};
pub use socket::{accept_each, accept_while_room, listen, Peer, Socket};
pub use sweep::Sweeper;
