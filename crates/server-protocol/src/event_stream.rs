//! The event stream on which a server reports on a front's sessions.
use crate::ProtocolError;
use crankpaddle_front::{AttemptOutcome, SessionUpdate};
use crankpaddle_http::head;
use crankpaddle_http::sse::{self, Event};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Event types, as on the wire.
mod event_type {
    pub(super) const STREAM_START: &str = "hello";
    pub(super) const SESSION_UPDATE: &str = "note";
    pub(super) const SESSION_OVER: &str = "over";
    pub(super) const TRAFFIC: &str = "traffic";
}

/// The first event of a stream, with the server's incarnation and the front's sessions that it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamStart {
    /// The server's incarnation, which changes with every start of the server.
    pub boot: String,
    /// The names of the front's sessions that the server holds.
    pub sessions: Vec<String>,
    /// The age of this incarnation in milliseconds, if the server states it. It is an age instead of a start time so that no
    /// clocks of two machines are compared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// An update on a session. A figure that the server does not report is `None`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionUpdateMessage {
    /// The name that the front gave the session in its set-up request.
    pub session: String,
    /// The delivered rate divided by the wanted rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delivered: Option<f64>,
    /// The demand on the server's link divided by the link's capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<f64>,
    /// The demand on the rack's uplink divided by the uplink's capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uplink: Option<f64>,
    /// The current rung of the session.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rung: Option<u8>,
}

impl SessionUpdateMessage {
    /// The reported figures, in the order in which they apply.
    fn updates(&self) -> Vec<SessionUpdate> {
        let updates = [
            self.link.map(SessionUpdate::LinkDemand),
            self.uplink.map(SessionUpdate::UplinkDemand),
            self.rung.map(SessionUpdate::Rung),
            self.delivered.map(SessionUpdate::DeliveryRatio),
        ];
        updates.into_iter().flatten().collect()
    }
}

/// Reports that a session has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionOver {
    /// The name that the front gave the session in its set-up request.
    pub session: String,
    /// Whether the session played to its end; if false, it was reset.
    pub finished: bool,
    /// The total number of media bytes that the server sent for the session, if the server counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_bytes: Option<u64>,
}

impl SessionOver {
    /// The outcome of the attempt that the event stands for.
    fn outcome(&self) -> AttemptOutcome {
        if self.finished {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::Reset
        }
    }
}

/// The rate that a server sends to viewers of one zone and class, for the sessions of all fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrossZoneRate {
    /// The name of the viewers' zone.
    pub to: String,
    /// The name of the class.
    pub class: String,
    /// The rate in bytes per second at the current rungs.
    pub rate: f64,
}

/// A server's traffic counters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficCounts {
    /// The names of the front's sessions, each with the number of media bytes sent for it so far.
    #[serde(default)]
    pub sent: Vec<(String, u64)>,
    /// The rates to zones other than the server's own. The rate of a zone and class without an entry is zero.
    #[serde(default)]
    pub crossing: Vec<CrossZoneRate>,
}

/// A parsed event of a server's event stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// The first event of the stream.
    StreamStart(StreamStart),
    /// Updates on a session.
    SessionUpdates {
        /// The name that the front gave the session in its set-up request.
        session: String,
        /// The updates, in the order in which they apply.
        updates: Vec<SessionUpdate>,
    },
    /// A session has ended.
    SessionOver {
        /// The name that the front gave the session in its set-up request.
        session: String,
        /// How the session ended.
        outcome: AttemptOutcome,
        /// The total number of media bytes sent for the session, if the server counts them.
        sent_bytes: Option<u64>,
    },
    /// The bytes sent for the front's sessions, and the rates to other zones.
    Traffic(TrafficCounts),
}

impl From<SessionUpdateMessage> for ServerEvent {
    fn from(message: SessionUpdateMessage) -> ServerEvent {
        ServerEvent::SessionUpdates {
            updates: message.updates(),
            session: message.session,
        }
    }
}

impl From<SessionOver> for ServerEvent {
    fn from(message: SessionOver) -> ServerEvent {
        ServerEvent::SessionOver {
            outcome: message.outcome(),
            session: message.session,
            sent_bytes: message.sent_bytes,
        }
    }
}

/// The request for the event stream on one front's sessions.
#[must_use]
pub fn subscribe(host: &str, front: &str) -> Vec<u8> {
    let target = format!("/events?front={front}");
    let fields = [("accept", "text/event-stream"), ("connection", "close")];
    head::request("GET", &target, host, &fields, b"")
}

/// Parses an event; `None` if its type is unknown, because later versions of servers may send other types.
///
/// # Errors
/// [`ProtocolError::ServerEvent`]: the data of the event is malformed.
pub fn read(event: &Event) -> Result<Option<ServerEvent>, ProtocolError> {
    let server_event = match event.name.as_str() {
        event_type::STREAM_START => ServerEvent::StreamStart(read_data(event)?),
        event_type::SESSION_UPDATE => read_data::<SessionUpdateMessage>(event)?.into(),
        event_type::SESSION_OVER => read_data::<SessionOver>(event)?.into(),
        event_type::TRAFFIC => ServerEvent::Traffic(read_data(event)?),
        _ => return Ok(None),
    };
    Ok(Some(server_event))
}

/// Parses the JSON data of an event.
fn read_data<T: DeserializeOwned>(event: &Event) -> Result<T, ProtocolError> {
    serde_json::from_str(&event.data).map_err(|source| ProtocolError::ServerEvent {
        event: event.name.clone(),
        source,
    })
}

/// Encodes an event; `name` is its type.
#[must_use]
pub fn write(name: &str, data: &impl Serialize) -> Vec<u8> {
    sse::write(name, "", &serde_json::to_string(data).unwrap_or_default())
}
