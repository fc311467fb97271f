//! The protocol between a front and the media servers and list service, over HTTP/1.1, without I/O.
//!
//! - [`sessions`]: set-up, rung change and teardown of a session, and which outcome each response proves;
//! - [`session_inventory`]: which sessions a server holds for a front, and which it has run;
//! - [`event_stream`]: the event stream on which a server reports on a front's sessions;
//! - [`list`]: the endpoint list, in full and as deltas, and its form on disk;
//! - [`error`]: why a message could not be read.
//!
//! `docs/server-protocol.md` describes it for those who build servers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod error;
pub mod event_stream;
pub mod list;
pub mod session_inventory;
pub mod sessions;

pub use error::ProtocolError;
