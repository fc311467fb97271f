//! Why a message of a server or of the list service could not be read.

/// A message whose JSON is malformed or lacks a field.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The data of an event on a server's stream.
    #[error("event {event:?}: {source}")]
    ServerEvent {
        /// The event's type, as on the wire.
        event: String,
        /// What the JSON parser reported.
        source: serde_json::Error,
    },
    /// An endpoint list, full or delta, from the list service.
    #[error("list: {0}")]
    EndpointList(#[source] serde_json::Error),
    /// The endpoint list that was cached on disk.
    #[error("cached list: {0}")]
    CachedEndpoints(#[source] serde_json::Error),
    /// The body of a session inventory.
    #[error("{0}")]
    SessionInventory(#[source] serde_json::Error),
}
