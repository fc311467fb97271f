//! Results, error data and notification parameters of JSON-RPC messages. These types are written to and read from
//! messages, and the published API descriptions are generated from them.
//!
//! Names and doc comments of the types are part of those descriptions and use the wording of the API. Enum variants are
//! named by the terms of the core, and attributes give them their names in messages.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A session came to play: the result of `session.open` and `session.resume`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Opened {
    /// The session; it names it in later messages on this connection.
    pub session: String,
    /// Where its media is fetched from.
    pub media: String,
    /// The rung in force.
    pub rung: u8,
    /// The hall that serves it. Since `session.v2`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = 2))]
    pub hall: Option<String>,
}

/// A session was closed as asked: the result of `session.close`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Closed {
    /// Always true.
    #[schemars(extend("const" = true))]
    pub closed: bool,
}

/// Why a request was refused: nothing of it ran, it may be sent again anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum RefusedReason {
    /// No server that holds the title has room or may be used now.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// Its own hall has no room, and the budget between halls holds it there. Since `session.v2`.
    #[schemars(extend("x-since" = 2))]
    #[serde(rename = "held_at_home")]
    CrossZoneForbidden,
    /// The front itself has more to do than it can answer in time.
    Overload,
    /// Too many requests wait for an answer, in all or on this connection.
    #[serde(rename = "too_many_open")]
    TooManyPending,
    /// The front is stopping.
    #[serde(rename = "stopping")]
    ShuttingDown,
}

/// Data of error -32001: refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Refused {
    /// Why.
    pub reason: RefusedReason,
    /// When to come back, milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Why a request failed: an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FailedReason {
    /// A server was asked and did not answer in time.
    NoAnswer,
    /// A server answered with an error.
    ServerError,
    /// The connection to a server broke while an attempt was out.
    #[serde(rename = "broken")]
    ConnectionLost,
    /// The attempt was withdrawn, for instance because its player left.
    #[serde(rename = "withdrawn")]
    Cancelled,
    /// The key stands for a paid session that played and is over; a new session wants a new key.
    KeySpent,
}

/// Data of error -32002: failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Failed {
    /// Why.
    pub reason: FailedReason,
}

/// Why a session is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// It ran to its end.
    Finished,
    /// Its server was lost.
    ServerLost,
    /// Another connection took it up.
    #[serde(rename = "taken_over")]
    Superseded,
    /// The front stops.
    #[serde(rename = "stopping")]
    ShuttingDown,
}

/// `session.end`: the session is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Ended {
    /// The session.
    pub session: String,
    /// Why.
    pub reason: EndReason,
    /// When to come back, milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// `session.rung`: the rung of a session changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct RungChanged {
    /// The session.
    pub session: String,
    /// The rung in force from now on.
    pub rung: u8,
}

/// `session.move`: the session moves; open it again with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Moved {
    /// The session.
    pub session: String,
}

/// What a call named that is not known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Named {
    /// A title.
    Title,
    /// A class.
    Class,
    /// A tenant, or none where there are tenants.
    Tenant,
}

/// Data of error -32602 where a name is not known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct UnknownName {
    /// Which field names it.
    pub field: Named,
}
