//! Why this side closed a connection; logged with the connection's end.

/// Why this side closed a connection. The first reason counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Its reader stopped: the peer has ended it, or what was received can't be used.
    ReadEnded,
    /// Nothing was received in time.
    Expired,
    /// The peer does not read: more waited for it than the bound.
    BufferFull,
    /// A write failed.
    WriteFailed,
    /// This side had sent its last message.
    Finished,
    /// The process shuts down.
    Shutdown,
    /// Its descriptor was needed for another connection.
    DescriptorNeeded,
    /// The peer sent a request under the id of another one.
    DuplicateId,
    /// A request on it timed out, and nothing was received since.
    Unresponsive,
    /// The peer is gone, or another one has its address.
    PeerReplaced,
    /// Nothing needs it any more.
    NotNeeded,
}
