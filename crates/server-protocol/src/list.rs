//! The list of servers.
use crankpaddle_front::{Endpoint, EndpointListKind, Lifecycle, ServerId, Time};
use crankpaddle_http::head;
use crankpaddle_http::sse::{self, Event};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a server on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Runs.
    Ready,
    /// Ends its work.
    Draining,
    /// Is no more; stands in changes only.
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
    /// Its size against other servers.
    pub weight: f64,
    /// Its last start, milliseconds of Unix time; 0: long past.
    #[serde(default)]
    pub started_ms: u64,
    /// Where it takes set-ups and gives media.
    pub address: SocketAddr,
}

/// A list, whole or only what changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointListBody {
    /// Its version.
    pub serial: u64,
    /// Its entries.
    pub servers: Vec<EndpointEntry>,
}

/// A request of a front for all lists from now on: one whole, then changes.
pub fn subscribe(host: &str, front: &str) -> Vec<u8> {
    head::request(
        "GET",
        &format!("/servers/events?front={front}"),
        host,
        &[("accept", "text/event-stream"), ("connection", "close")],
        b"",
    )
}

/// Reads an event of the stream; `None` for a kind that is not known.
///
/// # Errors
/// Its data is malformed.
pub fn read(event: &Event) -> Result<Option<(EndpointListKind, EndpointListBody)>, String> {
    let kind = match event.name.as_str() {
        "full" => EndpointListKind::Full,
        "delta" => EndpointListKind::Delta,
        _ => return Ok(None),
    };
    let list = serde_json::from_str(&event.data).map_err(|e| format!("list: {e}"))?;
    Ok(Some((kind, list)))
}

/// The bytes of an event.
pub fn write(kind: EndpointListKind, list: &EndpointListBody) -> Vec<u8> {
    let name = if kind == EndpointListKind::Delta {
        "delta"
    } else {
        "full"
    };
    sse::write(
        name,
        &list.serial.to_string(),
        &serde_json::to_string(list).unwrap_or_default(),
    )
}

/// What a front holds of the list, so that a whole one can be kept on disk and the addresses are known.
#[derive(Clone, Debug, Default)]
pub struct CachedEndpoints {
    list: EndpointListBody,
}

impl CachedEndpoints {
    /// From a file that [`CachedEndpoints::text`] wrote.
    ///
    /// # Errors
    /// It is malformed.
    pub fn from_text(text: &str) -> Result<CachedEndpoints, String> {
        serde_json::from_str(text)
            .map(|list| CachedEndpoints { list })
            .map_err(|e| format!("cached list: {e}"))
    }

    /// The whole list as it is now.
    pub fn text(&self) -> String {
        serde_json::to_string(&self.list).unwrap_or_default()
    }

    /// Whether anything was ever heard.
    pub fn is_empty(&self) -> bool {
        self.list.servers.is_empty()
    }

    /// Takes a list in. A change whose version is not newer than what is held says nothing new and is dropped.
    pub fn take(&mut self, kind: EndpointListKind, list: &EndpointListBody) -> bool {
        if kind == EndpointListKind::Delta {
            if list.serial <= self.list.serial {
                return false;
            }
            for entry in &list.servers {
                self.list.servers.retain(|e| e.id != entry.id);
                self.list
                    .servers
                    .extend((entry.state != EndpointState::Gone).then(|| entry.clone()));
            }
            self.list.serial = list.serial;
        } else {
            self.list = list.clone();
        }
        true
    }

    /// The servers that are held.
    pub fn servers(&self) -> &[EndpointEntry] {
        &self.list.servers
    }
}

/// An entry in the module's terms; `None` where its zone or kind has no number here.
pub fn listing(entry: &EndpointEntry, zones: &[String], kinds: &[String]) -> Option<Endpoint> {
    let number = |names: &[String], name: &str| names.iter().position(|n| n == name);
    Some(Endpoint {
        server: ServerId(entry.id),
        zone: number(zones, &entry.zone)? as u8,
        kind: number(kinds, &entry.kind)? as u16,
        cell: entry.cell,
        lifecycle: match entry.state {
            EndpointState::Ready => Lifecycle::Ready,
            EndpointState::Draining => Lifecycle::Draining,
            EndpointState::Gone => Lifecycle::Removed,
        },
        weight: entry.weight,
        started_at: Time(entry.started_ms.saturating_mul(1_000_000)),
    })
}

#[cfg(test)]
mod tests;
