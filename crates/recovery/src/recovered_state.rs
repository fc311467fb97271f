//! The state that a front starts from.
use crate::intents::{Intent, Key};
use crate::power_loss_policy::{ConservativeBound, StillValid};
use std::time::Duration;

/// How the previous incarnation of the front ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousShutdown {
    /// There is no state of a previous incarnation: this is the first one, or its disk was lost.
    Unknown,
    /// By a graceful shutdown; nothing was left unresolved.
    Clean,
    /// The process ended without a shutdown, and its host kept running.
    Killed,
    /// The host was booted since.
    PowerLost,
}

/// The state that a front starts from.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredState {
    /// The number of starts of this front, including this one.
    pub epoch: StillValid<u64>,
    /// Paid keys of previous incarnations.
    pub intents: StillValid<Vec<(Key, Intent)>>,
    /// The largest fleet size known, in fronts.
    pub fleet_size: ConservativeBound<u32>,
    /// How the previous incarnation ended.
    pub shutdown: PreviousShutdown,
    /// The accumulated uptime of all incarnations, as far as it was persisted.
    pub uptime: StillValid<Duration>,
}
