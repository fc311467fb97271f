//! Endpoint lists, and the use of servers in other zones.
use super::{ServerId, Time};

/// Lifecycle of a server, as stated by its entry in an endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It accepts sessions.
    Ready,
    /// It finishes its sessions and accepts no new ones.
    Draining,
    /// It no longer exists, or was never in a list.
    #[default]
    Removed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Identifier of the server.
    pub server: ServerId,
    /// Number of its zone.
    pub zone: u8,
    /// Kind of server, an index into [`Settings::stream_capacity`](super::Settings::stream_capacity).
    pub kind: u16,
    /// Number of its cell. Titles are stored by cell.
    pub cell: u16,
    /// Whether it accepts sessions.
    pub lifecycle: Lifecycle,
    /// Capacity of its link, in units of [`Settings::link_kb`](super::Settings::link_kb). A value that is not positive
    /// and finite counts as 1.
    pub weight: f64,
    /// When it last started; zero means long ago.
    pub started_at: Time,
}

/// How an endpoint list is to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the entries that changed.
    Delta,
    /// All servers; those that are missing no longer exist.
    Full,
    /// The last full list that was received; it may be outdated.
    Cached,
    /// A request to discovery failed; the list is empty.
    Failed,
}

/// How sessions of a class may be served from another zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrossZonePolicy {
    /// Served as in the own zone of the replica.
    #[default]
    Allowed,
    /// Served only if no allowed zone has capacity.
    LastResort,
    /// No session is started or promoted there.
    Forbidden,
}
