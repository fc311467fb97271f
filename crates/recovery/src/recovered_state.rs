//! What a front starts from.
use crate::intents::{Intent, Key};
use crate::power_loss_policy::{ConservativeBound, StillValid};

/// How the former life ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousShutdown {
    /// There is nothing of a former life: this is the first, or its disk was lost.
    Unknown,
    /// In order: nothing was left open.
    Clean,
    /// The process ended without a word; its host went on.
    Killed,
    /// Its host was booted since.
    PowerLost,
}

/// What a front starts from.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredState {
    /// How often it started, this time with it.
    pub epoch: StillValid<u64>,
    /// Paid keys of former lives.
    pub intents: StillValid<Vec<(Key, Intent)>>,
    /// So many fronts the fleet had at the most that was known.
    pub fleet_size: ConservativeBound<u32>,
    /// How the former life ended.
    pub shutdown: PreviousShutdown,
    /// Milliseconds that all lives ran together, as far as they were kept.
    pub uptime_ms: StillValid<u64>,
}
