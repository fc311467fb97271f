//! The endpoint list: the servers that the list service knows.
use crate::ProtocolError;
use crankpaddle_front::{Endpoint, EndpointListKind, Lifecycle, ServerId, Time};
use crankpaddle_http::head;
use crankpaddle_http::sse::{self, Event};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Event type of a full list.
const FULL_EVENT: &str = "full";
/// Event type of a list that holds only what changed.
const DELTA_EVENT: &str = "delta";

/// State of a server on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes sessions.
    Ready,
    /// Completes its sessions and takes no new ones.
    Draining,
    /// Removed; appears in deltas only.
    Gone,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its number, the same at every front and over its restarts.
    pub id: u32,
    /// Zone by name.
    pub zone: String,
    /// Kind by name.
    pub kind: String,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: EndpointState,
    /// Its size relative to other servers.
    pub weight: f64,
    /// Its last start in milliseconds of Unix time; 0: long ago.
    #[serde(default)]
    pub started_ms: u64,
    /// Address for set-ups and media.
    pub address: SocketAddr,
}

impl EndpointEntry {
    /// The entry in the core's terms, with zone and kind as indices into the given names; `None` where a name is
    /// unknown here.
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
    /// Its version; rises with every change.
    pub serial: u64,
    /// Its entries.
    pub servers: Vec<EndpointEntry>,
}

/// A front's request for the list stream: one full list, then deltas.
#[must_use]
pub fn subscribe(host: &str, front: &str) -> Vec<u8> {
    let target = format!("/servers/events?front={front}");
    let fields = [("accept", "text/event-stream"), ("connection", "close")];
    head::request("GET", &target, host, &fields, b"")
}

/// Reads an event of the stream; `None` for an unknown type.
///
/// # Errors
/// [`ProtocolError::EndpointList`]: its data is malformed.
pub fn read(event: &Event) -> Result<Option<(EndpointListKind, EndpointListBody)>, ProtocolError> {
    let kind = match event.name.as_str() {
        FULL_EVENT => EndpointListKind::Full,
        DELTA_EVENT => EndpointListKind::Delta,
        _ => return Ok(None),
    };
    let list = serde_json::from_str(&event.data).map_err(ProtocolError::EndpointList)?;
    Ok(Some((kind, list)))
}

/// The bytes of an event.
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

/// A front's copy of the endpoint list: deltas applied, so that the full list can be persisted and addresses looked up.
#[derive(Clone, Debug, Default)]
pub struct CachedEndpoints {
    list: EndpointListBody,
}

impl CachedEndpoints {
    /// Reads what [`CachedEndpoints::text`] wrote.
    ///
    /// # Errors
    /// [`ProtocolError::CachedEndpoints`]: it is malformed.
    pub fn from_text(text: &str) -> Result<CachedEndpoints, ProtocolError> {
        let list = serde_json::from_str(text).map_err(ProtocolError::CachedEndpoints)?;
        Ok(CachedEndpoints { list })
    }

    /// The full list as it is now, as JSON.
    #[must_use]
    pub fn text(&self) -> String {
        serde_json::to_string(&self.list).unwrap_or_default()
    }

    /// Whether it holds no server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.servers.is_empty()
    }

    /// Applies a received list; true if it was applied. A delta whose version is not newer than the cached one is
    /// stale and dropped.
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

    /// Replaces the entry with the same id, or removes it where the server is gone.
    fn replace(&mut self, entry: &EndpointEntry) {
        self.list.servers.retain(|cached| cached.id != entry.id);
        if entry.state != EndpointState::Gone {
            self.list.servers.push(entry.clone());
        }
    }

    /// The cached servers.
    #[must_use]
    pub fn servers(&self) -> &[EndpointEntry] {
        &self.list.servers
    }
}

#[cfg(test)]
mod tests;
