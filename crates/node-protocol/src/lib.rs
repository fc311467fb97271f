//! What a front node exchanges with viewers, servers and the directory, without I/O: bytes in, typed messages or a typed error
//! out, and the other way round.
//!
//! - [`viewers`]: JSON lines with viewers;
//! - [`rtsp`]: with servers;
//! - [`directory`]: DNS with the directory;
//! - [`config`]: the configuration that a node is started with.
//!
//! The two decoders are incremental: they are fed what a socket gives, buffer what is not complete yet, and never more than
//! [`MAX_MESSAGE_BYTES`] of it, whatever length a peer claims. After an error nothing more can be read from a stream, as the
//! start of the next message is unknown.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod config;
pub mod directory;
mod receive_buffer;
pub mod rtsp;
mod tag;
pub mod viewers;

pub(crate) use receive_buffer::ReceiveBuffer;
pub use tag::Tag;

/// The longest message of a viewer or server, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
