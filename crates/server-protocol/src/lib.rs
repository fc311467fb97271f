//! What a front says to media servers and to the list service, over HTTP/1.1, without I/O.
//!
//! - [`sessions`]: set-up, rung and teardown of a session, and which outcome each answer proves;
//! - [`session_inventory`]: which sessions a server holds for a front, and which it ran;
//! - [`event_stream`]: the event stream on which a server tells of a front's sessions;
//! - [`list`]: the list of servers, whole and in changes, and its form on disk.
//!
//! `docs/server-protocol.md` describes it for those who build servers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod event_stream;
pub mod list;
pub mod session_inventory;
pub mod sessions;
