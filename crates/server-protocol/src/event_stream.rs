//! The event stream on which a server reports on a front's sessions.
use crate::ProtocolError;
use crankpaddle_front::{AttemptOutcome, SessionUpdate};
use crankpaddle_http::head;
use crankpaddle_http::sse::{self, Event};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Event types on the wire.
mod event_type {
    pub(super) const STREAM_START: &str = "hello";
    pub(super) const SESSION_UPDATE: &str = "note";
    pub(super) const SESSION_OVER: &str = "over";
    pub(super) const TRAFFIC: &str = "traffic";
}

/// The first event of a stream: the server's incarnation and which of the front's sessions it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamStart {
    /// The server's incarnation: differs with every start of the server.
    pub boot: String,
    /// The front's sessions that it holds.
    pub sessions: Vec<String>,
    /// Age of this incarnation in milliseconds, if the server states it: an age, so that no two clocks are compared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// An update on a session; each figure is present only if the server reports it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionUpdateMessage {
    /// The session's name.
    pub session: String,
    /// Delivered rate over the wanted rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delivered: Option<f64>,
    /// Demand on the server's link over its capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<f64>,
    /// Demand on the rack's uplink over its capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uplink: Option<f64>,
    /// The rung in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rung: Option<u8>,
}

impl SessionUpdateMessage {
    /// The reported figures, in the order in which the front handles them.
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

/// A session that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionOver {
    /// The session's name.
    pub session: String,
    /// Whether it ran to its end; otherwise it was reset.
    pub finished: bool,
    /// Media bytes that the server sent for it in total, if the server counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_bytes: Option<u64>,
}

impl SessionOver {
    fn outcome(&self) -> AttemptOutcome {
        if self.finished {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::Reset
        }
    }
}

/// A server's rate to one zone, for sessions of all fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrossZoneRate {
    /// The viewers' zone.
    pub to: String,
    /// Class by name.
    pub class: String,
    /// Bytes a second at the rungs in force.
    pub rate: f64,
}

/// A server's traffic counters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficCounts {
    /// The front's sessions, and the media bytes sent for each so far.
    #[serde(default)]
    pub sent: Vec<(String, u64)>,
    /// Rates to zones other than the server's own; a zone and class without an entry has none.
    #[serde(default)]
    pub crossing: Vec<CrossZoneRate>,
}

/// An event on a server's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// The first event of the stream.
    StreamStart(StreamStart),
    /// Updates on a session.
    SessionUpdates {
        /// The session's name.
        session: String,
        /// The updates, in the order in which they apply.
        updates: Vec<SessionUpdate>,
    },
    /// A session has ended.
    SessionOver {
        /// The session's name.
        session: String,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Media bytes sent for it in total, if the server counts them.
        sent_bytes: Option<u64>,
    },
    /// Traffic counters.
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

/// A request for the event stream of one front's sessions.
#[must_use]
pub fn subscribe(host: &str, front: &str) -> Vec<u8> {
    let target = format!("/events?front={front}");
    let fields = [("accept", "text/event-stream"), ("connection", "close")];
    head::request("GET", &target, host, &fields, b"")
}

/// Reads an event; `None` for an unknown type, as later servers may send.
///
/// # Errors
/// [`ProtocolError::ServerEvent`]: its data is malformed.
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

fn read_data<T: DeserializeOwned>(event: &Event) -> Result<T, ProtocolError> {
    serde_json::from_str(&event.data).map_err(|source| ProtocolError::ServerEvent {
        event: event.name.clone(),
        source,
    })
}

/// The bytes of an event of the given type.
#[must_use]
pub fn write(name: &str, data: &impl Serialize) -> Vec<u8> {
    sse::write(name, "", &serde_json::to_string(data).unwrap_or_default())
}
