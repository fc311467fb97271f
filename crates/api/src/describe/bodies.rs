//! Bodies of the HTTP answers.
//!
//! Field, variant and type names here are names of the published JSON and its schemas (`api/*.json`), so they keep the
//! words of the first release.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// `GET /health`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Health {
    /// Whether it takes players.
    pub state: State,
    /// Requests without an answer.
    pub waiting: u64,
    /// Sessions that play.
    pub playing: u64,
    /// Connections.
    pub connections: u64,
}

/// A front as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Peer {
    /// Its name among the fronts.
    pub name: String,
    /// Where it says that it is reached.
    pub address: String,
    /// What it is taken for.
    pub state: PeerState,
    /// Since how many milliseconds.
    pub since_ms: u64,
    /// Who found it so.
    pub by: String,
    /// How long its last answer took, microseconds; absent: it was not asked yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rtt_us: Option<u64>,
}

/// What a front is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// It answers.
    Alive,
    /// It did not answer somebody, and may refute that.
    Suspect,
    /// It did not refute in time.
    Gone,
    /// It said that it leaves.
    Left,
}

/// How a front stands with the others, as it sees itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OwnStanding {
    /// There is nobody to hear.
    Alone,
    /// It hears whom it asks.
    Connected,
    /// Its timers were late, or half of those it asked did not answer.
    Doubtful,
    /// It hears nobody.
    CutOff,
    /// Another process has its name.
    Replaced,
}

/// How far service is back after a start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ServiceStage {
    /// Nothing is known.
    #[default]
    Dark,
    /// What was kept is being read.
    Reading,
    /// Servers are asked what became of what was begun.
    Settling,
    /// Paid classes are served.
    Paid,
    /// All are served; servers may still be cold.
    All,
    /// As ever.
    Normal,
}

/// Why a step back was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum StepReason {
    /// The process started.
    Started,
    /// The former life had ended in order.
    EndedInOrder,
    /// The disk began to be read.
    DiskThere,
    /// All that was kept is read.
    Read,
    /// Each server told, or can't be reached.
    ServersTold,
    /// No paid request was turned away for a while.
    PaidServed,
    /// Servers had time to warm.
    Warm,
    /// The step's time was over.
    Time,
}

/// A step of returning service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct ReturnStep {
    /// To where.
    pub stage: ServiceStage,
    /// Why.
    pub why: StepReason,
    /// How long ago, milliseconds.
    pub ago_ms: u64,
}

/// How the former life of a front ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Former {
    /// Nothing was kept of one: it was the first, or the disk was lost.
    #[default]
    Unknown,
    /// In order.
    EndedInOrder,
    /// The process ended without a word.
    Killed,
    /// Its host was booted since.
    PowerLost,
}

/// Whether what must outlive a power loss is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// It is.
    #[default]
    Written,
    /// The last write failed; nothing paid is set up until one succeeds.
    Failing,
    /// The disk failed at the start; nothing paid is set up.
    Unusable,
}

/// What a front knows of its past and the fleet's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Fleet {
    /// Its own name, the same in all its lives.
    pub name: String,
    /// How often it started.
    pub epoch: u64,
    /// How its former life ended.
    pub former: Former,
    /// How far service is back.
    pub stage: ServiceStage,
    /// How it came there, in order.
    pub steps: Vec<ReturnStep>,
    /// Requests that wait until it is known what was begun.
    pub held: u64,
    /// Paid set-ups of former lives of which no server has told what became.
    pub unsettled: u64,
    /// Servers that told.
    pub servers_told: u64,
    /// Servers that can't be reached; they are asked again.
    pub servers_out_of_reach: u64,
    /// Servers that are being asked.
    pub servers_asked: u64,
    /// Paid keys that are kept.
    pub kept: u64,
    /// So many fronts are reckoned with in all that is cut into parts.
    pub reckoned_fronts: u32,
    /// Whether it can be written.
    pub store: StoreState,
}

/// What a front knows of the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Members {
    /// Its own name.
    pub name: String,
    /// Where it says to the others that it is reached.
    #[serde(default)]
    pub address: String,
    /// Its own standing.
    pub standing: OwnStanding,
    /// The others, by name.
    pub members: Vec<Peer>,
    /// Datagrams sent, heard, and dropped for any reason, since its start.
    pub sent: u64,
    /// See `sent`.
    pub heard: u64,
    /// See `sent`.
    pub dropped: u64,
    /// What else was counted since its start, by name.
    #[serde(default)]
    pub counted: BTreeMap<String, u64>,
    /// The latest changes, in order; at most 256.
    #[serde(default)]
    pub turns: Vec<PeerTurn>,
}

/// A front came to be taken for something else.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct PeerTurn {
    /// How many there were since the start, with this one; a gap tells of some that are no longer told.
    pub number: u64,
    /// Before how many milliseconds.
    pub ago_ms: u64,
    /// Which front.
    pub name: String,
    /// What for.
    pub state: PeerState,
    /// Who found it so.
    pub by: String,
    /// Whether it is another process than before.
    pub restarted: bool,
}

/// Whether a front takes players.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// It takes nothing new.
    Draining,
}
