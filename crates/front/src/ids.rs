//! Identifiers of players, their calls and the attempts of a core.

/// Identifies a player: one connection of any protocol or, where sessions outlive their connections, one session.
/// An id is never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlayerId(pub u64);

/// Identifies a request of a player that gets exactly one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlayerCall {
    /// The player that made the call.
    pub player: PlayerId,
    /// Number of the call, assigned by its connection and unique within it.
    pub number: u64,
}

/// Identifies one attempt to set a session up at a server; unique for the lifetime of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);
