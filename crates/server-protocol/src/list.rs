//! The endpoint list: the servers that the list service knows, as a stream of a full list and deltas.
use crate::ProtocolError;
use crankpaddle_front::{Endpoint, EndpointListKind, Lifecycle, ServerId, Time};
use crankpaddle_http::head;
use crankpaddle_http::sse::{self, Event};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Event type of a full list.
const FULL_EVENT: &str = "full";
/// Event type of a delta, which holds only the entries that changed.
const DELTA_EVENT: &str = "delta";

/// The state of a server, as on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The server accepts new sessions.
    Ready,
    /// The server completes its sessions and accepts no new ones.
    Draining,
    /// The server was removed. Occurs in deltas only.
    Gone,
}

/// A server in an endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The server's id, which is the same at every front and over restarts of the server.
    pub id: u32,
    /// The name of the server's zone.
    pub zone: String,
    /// The name of the server's kind.
    pub kind: String,
    /// The number of the server's cell.
    pub cell: u16,
    /// Whether the server is ready, draining or removed.
    pub state: EndpointState,
    /// The server's capacity relative to other servers.
    pub weight: f64,
    /// When the server last started, in milliseconds of Unix time; 0 if it started long ago.
    #[serde(default)]
    pub started_ms: u64,
    /// The address for set-ups and media.
    pub address: SocketAddr,
}

impl EndpointEntry {
    /// Converts the entry to the type of the decision core, with zone and kind as indices into the given names. `None` if its
    /// zone or kind is not among these names.
    #[must_use]
    pub fn to_endpoint(&self, zones: &[String], kinds: &[String]) -> Option<Endpoint> {
        let index = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let started_at = Time::ZERO + Duration::from_millis(self.started_ms);
        Some(Endpoint {
            server: ServerId(self.id),
            zone: index(zones, &self.zone)? as u8,
            kind: index(kinds, &self.kind)? as u16,
            cell: self.cell,
            lifecycle: match self.state {
                EndpointState::Ready => Lifecycle::Ready,
                EndpointState::Draining => Lifecycle::Draining,
                EndpointState::Gone => Lifecycle::Removed,
            },
            weight: self.weight,
            started_at,
        })
    }
}

/// An endpoint list, full or a delta.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointListBody {
    /// The version of the list, which increases with every change.
    pub serial: u64,
    /// All servers, or in a delta those that changed.
    pub servers: Vec<EndpointEntry>,
}

/// The request with which a front subscribes to the endpoint list: a stream of one full list, then deltas.
#[must_use]
pub fn subscribe(host: &str, front: &str) -> Vec<u8> {
    let target = format!("/servers/events?front={front}");
    let fields = [("accept", "text/event-stream"), ("connection", "close")];
    head::request("GET", &target, host, &fields, b"")
}

/// Parses an event of the stream; `None` if its type is unknown.
///
/// # Errors
/// [`ProtocolError::EndpointList`]: the data of the event is malformed.
pub fn read(event: &Event) -> Result<Option<(EndpointListKind, EndpointListBody)>, ProtocolError> {
    let kind = match event.name.as_str() {
        FULL_EVENT => EndpointListKind::Full,
        DELTA_EVENT => EndpointListKind::Delta,
        _ => return Ok(None),
    };
    let list = serde_json::from_str(&event.data).map_err(ProtocolError::EndpointList)?;
    Ok(Some((kind, list)))
}

/// Encodes an event of the stream.
#[must_use]
pub fn write(kind: EndpointListKind, list: &EndpointListBody) -> Vec<u8> {
    let name = if kind == EndpointListKind::Delta {
        DELTA_EVENT
    } else {
        FULL_EVENT
    };
    sse::write(
        name,
        &list.serial.to_string(),
        &serde_json::to_string(list).unwrap_or_default(),
    )
}

/// A front's copy of the endpoint list, to which deltas are applied. It is persisted, and used to look up addresses.
#[derive(Clone, Debug, Default)]
pub struct CachedEndpoints {
    list: EndpointListBody,
}

impl CachedEndpoints {
    /// Parses the text that [`CachedEndpoints::text`] returned.
    ///
    /// # Errors
    /// [`ProtocolError::CachedEndpoints`]: the text is malformed.
    pub fn from_text(text: &str) -> Result<CachedEndpoints, ProtocolError> {
        let list = serde_json::from_str(text).map_err(ProtocolError::CachedEndpoints)?;
        Ok(CachedEndpoints { list })
    }

    /// The current full list as JSON.
    #[must_use]
    pub fn text(&self) -> String {
        serde_json::to_string(&self.list).unwrap_or_default()
    }

    /// Whether the list holds no server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.servers.is_empty()
    }

    /// Applies a received list; returns whether it was applied. A delta is dropped as stale unless its version is newer than
    /// the cached one.
    pub fn apply(&mut self, kind: EndpointListKind, list: &EndpointListBody) -> bool {
        if kind != EndpointListKind::Delta {
            self.list = list.clone();
            return true;
        }
        if list.serial <= self.list.serial {
            return false;
        }
        for entry in &list.servers {
            self.replace(entry);
        }
        self.list.serial = list.serial;
        true
    }

    /// Replaces the entry with the same id, or removes it if the server was removed.
    fn replace(&mut self, entry: &EndpointEntry) {
        self.list.servers.retain(|cached| cached.id != entry.id);
        if entry.state != EndpointState::Gone {
            self.list.servers.push(entry.clone());
        }
    }

    /// The servers in the current list.
    #[must_use]
    pub fn servers(&self) -> &[EndpointEntry] {
        &self.list.servers
    }
}

#[cfg(test)]
mod tests;
