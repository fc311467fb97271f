//! Errors of this package.
use thiserror::Error;

/// Why a value could not be published in the gossip state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The value does not fit a datagram together with the sender's header.
    #[error("an entry has {limit} bytes at most")]
    ValueTooLong {
        /// The longest value that is accepted, bytes.
        limit: usize,
    },
}

/// Why a received datagram was dropped before it was interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum DecodeError {
    /// It is not a datagram of this protocol, or it is truncated.
    #[error("the datagram is malformed")]
    Malformed,
    /// It has a protocol version that this build can't read.
    #[error("the datagram has another protocol version")]
    UnsupportedVersion,
    /// Its checksum does not match: another fleet's key, or bytes damaged on the way.
    #[error("the datagram's checksum does not match")]
    ChecksumMismatch,
}
