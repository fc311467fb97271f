//! Why this side closed a connection; logged when the connection ends.

/// Why this side closed a connection. If it is closed more than once, the first reason is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The reader stopped, because the peer closed the connection or sent something that can't be used.
    ReadEnded,
    /// The connection reached its expiry time, because what was waited for did not arrive in time.
    Expired,
    /// The peer does not read, or reads too slowly: more bytes waited for it than the write buffer may hold.
    BufferFull,
    /// A write to the connection failed.
    WriteFailed,
    /// This side has sent its last message.
    Finished,
    /// The process is shutting down.
    Shutdown,
    /// The file descriptor was needed for another connection.
    DescriptorNeeded,
    /// The peer sent a request with the id of another request.
    DuplicateId,
    /// A request on the connection timed out, and nothing was received since.
    Unresponsive,
    /// The peer is gone, or another peer now has its address.
    PeerReplaced,
    /// The connection is no longer needed.
    NotNeeded,
}
