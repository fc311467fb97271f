//! Bodies of the HTTP responses of `/health` and `/members`.
//!
//! The doc comments of the types, fields and variants are the descriptions in the published schemas (`api/*.json`), so they
//! keep the wording of the first release. Names in the published JSON are kept too; an ordinary comment explains those that
//! are not usual.
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
// The name of the published schema: the local health of a front.
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
    // A name of the published JSON: the front's local health.
    pub standing: OwnStanding,
    /// The others, by name.
    pub members: Vec<Peer>,
    /// Datagrams sent, heard, and dropped for any reason, since its start.
    pub sent: u64,
    /// See `sent`.
    // A name of the published JSON: datagrams received.
    pub heard: u64,
    /// See `sent`.
    pub dropped: u64,
    /// What else was counted since its start, by name.
    #[serde(default)]
    pub counted: BTreeMap<String, u64>,
    /// The latest changes, in order; at most 256.
    #[serde(default)]
    // A name of the published JSON: the recorded changes of member states.
    pub turns: Vec<PeerTurn>,
}

/// A front came to be taken for something else.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
// The name of the published schema: a change of a member's state.
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
