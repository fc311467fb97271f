//! The HTTP/1.1 protocol of a front with the media servers and the list service. Nothing here does I/O.
//!
//! - [`sessions`]: set-up, rung change and teardown of a session, and the outcome that each response stands for;
//! - [`session_inventory`]: which sessions a server holds for a front, and which paid sessions it has run;
//! - [`event_stream`]: the event stream on which a server reports on a front's sessions;
//! - [`list`]: the endpoint list, in full and as deltas, and the copy of it that a front keeps on disk;
//! - [`error`]: why a message could not be parsed.
//!
//! `docs/server-protocol.md` describes the protocol for implementers of servers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod error;
pub mod event_stream;
pub mod list;
pub mod session_inventory;
pub mod sessions;

pub use error::ProtocolError;
