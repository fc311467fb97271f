//! The stream on which a server tells a front of its sessions.
use crankpaddle_front::{AttemptOutcome, SessionUpdate};
use crankpaddle_http::head;
use crankpaddle_http::sse::{self, Event};
use serde::{Deserialize, Serialize};

/// The first event of a stream: which life of the server this is and which of the front's sessions it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamStart {
    /// Differs with every start of the server.
    pub boot: String,
    /// The front's sessions that it holds.
    pub sessions: Vec<String>,
    /// How long this life of it lasts, milliseconds, where it tells: an age, so that no two clocks are compared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// A note on a session.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionUpdateMessage {
    /// The session.
    pub session: String,
    /// Share of the rate delivered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delivered: Option<f64>,
    /// What is asked of the link over what it gives.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link: Option<f64>,
    /// The same of the rack's uplink.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uplink: Option<f64>,
    /// The rung in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rung: Option<u8>,
}

/// A session that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionOver {
    /// The session.
    pub session: String,
    /// Whether it ran to its end; else it was lost.
    pub finished: bool,
    /// All media bytes that the server sent for it, where it counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_bytes: Option<u64>,
}

/// What a server sends to one zone, for sessions of all fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrossZoneRate {
    /// The viewers' zone.
    pub to: String,
    /// Class by name.
    pub class: String,
    /// Bytes a second at the rungs in force.
    pub rate: f64,
}

/// What a server counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficCounts {
    /// The front's sessions, and all media bytes that were sent for each so far.
    #[serde(default)]
    pub sent: Vec<(String, u64)>,
    /// What goes to other zones than the server's own; a zone and class without an entry gets nothing.
    #[serde(default)]
    pub crossing: Vec<CrossZoneRate>,
}

/// What a server said on its stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// The stream's first word.
    Hello(StreamStart),
    /// Notes on a session, in order.
    Notes(String, Vec<SessionUpdate>),
    /// A session is over; with all bytes that were sent for it, where they are counted.
    Over(String, AttemptOutcome, Option<u64>),
    /// What the server counted.
    Traffic(TrafficCounts),
}

/// A request for the stream of one front's sessions.
pub fn subscribe(host: &str, front: &str) -> Vec<u8> {
    let target = format!("/events?front={front}");
    head::request(
        "GET",
        &target,
        host,
        &[("accept", "text/event-stream"), ("connection", "close")],
        b"",
    )
}

/// Reads an event; `None` for a kind that is not known, as later servers may have.
///
/// # Errors
/// Its data is malformed.
pub fn read(event: &Event) -> Result<Option<ServerEvent>, String> {
    let wrong = |e: serde_json::Error| format!("event {:?}: {e}", event.name);
    match event.name.as_str() {
        "hello" => Ok(Some(ServerEvent::Hello(
            serde_json::from_str(&event.data).map_err(wrong)?,
        ))),
        "note" => {
            let told: SessionUpdateMessage = serde_json::from_str(&event.data).map_err(wrong)?;
            let notes = [
                told.link.map(SessionUpdate::LinkDemand),
                told.uplink.map(SessionUpdate::UplinkDemand),
                told.rung.map(SessionUpdate::Rung),
                told.delivered.map(SessionUpdate::DeliveryRatio),
            ];
            Ok(Some(ServerEvent::Notes(
                told.session,
                notes.into_iter().flatten().collect(),
            )))
        }
        "over" => {
            let over: SessionOver = serde_json::from_str(&event.data).map_err(wrong)?;
            let outcome = if over.finished {
                AttemptOutcome::Completed
            } else {
                AttemptOutcome::Reset
            };
            Ok(Some(ServerEvent::Over(
                over.session,
                outcome,
                over.sent_bytes,
            )))
        }
        "traffic" => Ok(Some(ServerEvent::Traffic(
            serde_json::from_str(&event.data).map_err(wrong)?,
        ))),
        _ => Ok(None),
    }
}

/// The bytes of an event.
pub fn write(name: &str, data: &impl Serialize) -> Vec<u8> {
    sse::write(name, "", &serde_json::to_string(data).unwrap_or_default())
}
