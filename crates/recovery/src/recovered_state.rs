//! The state that a front starts from.
use crate::intents::{Intent, Key};
use crate::power_loss_policy::{ConservativeBound, StillValid};
use std::time::Duration;

/// How the previous incarnation of the front ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousShutdown {
    /// There is no state of a previous incarnation: this is the first one, or its disk was lost.
    Unknown,
    /// It ended by a graceful shutdown and left nothing unresolved.
    Clean,
    /// The process ended without a graceful shutdown, and its host has not been booted since.
    Killed,
    /// The process ended without a graceful shutdown, and its host has been booted since.
    PowerLost,
}

/// The state that a front starts from.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredState {
    /// The number of starts of this front, including this one.
    pub epoch: StillValid<u64>,
    /// The paid keys of previous incarnations, with the last persisted outcome of each.
    pub intents: StillValid<Vec<(Key, Intent)>>,
    /// The largest fleet size known, in fronts; zero if none was persisted.
    pub fleet_size: ConservativeBound<u32>,
    /// How the previous incarnation ended.
    pub shutdown: PreviousShutdown,
    /// The accumulated uptime of all incarnations, as it was last persisted.
    pub uptime: StillValid<Duration>,
}
