//! What a front node speaks, without I/O: bytes in, typed messages or a typed fault out, and the other way round.
//!
//! - [`viewers`]: JSON lines with viewers;
//! - [`rtsp`]: with servers;
//! - [`directory`]: DNS with the directory;
//! - [`config`]: the configuration that a node is started with.
//!
//! The two decoders are incremental: they are fed what a socket gives, hold what is not whole yet, and never more than
//! [`MOST`] bytes of it, whatever length a peer claims. After a fault a stream is of no use: nothing behind it can be
//! trusted to begin where it seems to.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod config;
pub mod directory;
mod receive_buffer;
pub mod rtsp;
mod tag;
pub mod viewers;

pub use receive_buffer::ReceiveBuffer;
pub use tag::Tag;

/// No message is longer, in bytes.
pub const MOST: usize = 16 * 1024;
