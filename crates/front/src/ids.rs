//! Identifiers of players, their calls and the attempts of a core.

/// A player's connection, whichever protocol it uses; where sessions outlive connections, the session's own player.
/// Never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlayerId(pub u64);

/// A request of a player that expects one answer; `number` is counted by the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call {
    /// The player that made the call.
    pub player: PlayerId,
    /// The number of the call within its connection.
    pub number: u64,
}

/// One attempt to set a session up at a server; unique for the lifetime of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);
