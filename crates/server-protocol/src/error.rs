//! Why a message of a server or of the list service could not be parsed.

/// A message whose JSON is malformed or lacks a field.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// The data of an event on a server's event stream is malformed.
    #[error("malformed event {event:?}: {source}")]
    ServerEvent {
        /// The event's type, as on the wire.
        event: String,
        /// What the JSON parser reported.
        source: serde_json::Error,
    },
    /// An endpoint list from the list service, full or a delta, is malformed.
    #[error("malformed endpoint list: {0}")]
    EndpointList(#[source] serde_json::Error),
    /// The endpoint list that a front cached on disk is malformed.
    #[error("malformed cached endpoint list: {0}")]
    CachedEndpoints(#[source] serde_json::Error),
    /// The body of a session inventory is malformed.
    #[error("malformed session inventory: {0}")]
    SessionInventory(#[source] serde_json::Error),
}
