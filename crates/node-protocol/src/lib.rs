//! The protocols that a front node speaks with viewers, servers and the directory, and its configuration. Nothing here does
//! I/O: bytes are decoded to typed messages or a typed error, and messages are encoded to bytes.
//!
//! - [`viewers`]: the protocol with viewers, one JSON object per line;
//! - [`rtsp`]: the protocol with servers, which uses RTSP messages;
//! - [`directory`]: the DNS query for the list of servers;
//! - [`config`]: the configuration with which a front node is started.
//!
//! The decoders of viewers and servers are incremental: they take the bytes of a stream as they arrive and buffer an
//! incomplete message, but never more than [`MAX_MESSAGE_BYTES`] of it, whatever length the peer claims. After an error
//! nothing more can be decoded from the stream, because the start of the next message is unknown.
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

/// The longest message that is accepted from a viewer or server, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
