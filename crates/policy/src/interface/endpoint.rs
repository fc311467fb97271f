//! Endpoint lists, and how servers of other zones may be used.
use super::{ServerId, Time};

/// Lifecycle of a server, by its entry in an endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts sessions.
    Ready,
    /// It completes its sessions and accepts no new ones.
    Draining,
    /// It no longer exists.
    #[default]
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its kind, an index into [`Settings::stream_capacity`](super::Settings::stream_capacity).
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its capacity relative to other servers.
    pub weight: f64,
    /// Its last start; zero: long ago.
    pub started_at: Time,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only what changed.
    Delta,
    /// All there is.
    Full,
    /// All there was when last received; may be outdated.
    Cached,
    /// A request to discovery failed; the list is empty.
    Failed,
}

/// How sessions of a class may be served from another zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrossZonePolicy {
    /// Like from the replica's own zone.
    #[default]
    Allowed,
    /// Only if no allowed zone has capacity.
    LastResort,
    /// No session starts there or is promoted there.
    Forbidden,
}
