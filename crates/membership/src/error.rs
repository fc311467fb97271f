//! Errors of this package.
use thiserror::Error;

/// Why a value could not be published in the gossip state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The value does not fit in a datagram together with the sender's header.
    #[error("the value of an entry is longer than {limit} bytes")]
    ValueTooLong {
        /// The longest accepted value, in bytes.
        limit: usize,
    },
}

/// Why a received datagram could not be decoded and was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum DecodeError {
    /// It is not a datagram of this protocol, is truncated, or is too long.
    #[error("the datagram is malformed")]
    Malformed,
    /// Its protocol version is not supported by this release.
    #[error("the protocol version of the datagram is not supported")]
    UnsupportedVersion,
    /// Its checksum does not match: the sender uses another fleet's key, or the datagram was corrupted in transit.
    #[error("the datagram's checksum does not match")]
    ChecksumMismatch,
}
