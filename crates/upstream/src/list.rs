//! The list of servers.
use crankpaddle_front::{Listing, Phase, RosterKind, ServerId, Time};
use crankpaddle_http::head;
use crankpaddle_http::sse::{self, Event};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a server on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Runs.
    Ready,
    /// Ends its work.
    Draining,
    /// Is no more; stands in changes only.
    Gone,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number, the same at every front and over its restarts.
    pub id: u32,
    /// Zone by name.
    pub zone: String,
    /// Kind by name.
    pub kind: String,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: State,
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
pub struct List {
    /// Its version.
    pub serial: u64,
    /// Its entries.
    pub servers: Vec<Entry>,
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
pub fn read(event: &Event) -> Result<Option<(RosterKind, List)>, String> {
    let kind = match event.name.as_str() {
        "full" => RosterKind::Full,
        "delta" => RosterKind::Delta,
        _ => return Ok(None),
    };
    let list = serde_json::from_str(&event.data).map_err(|e| format!("list: {e}"))?;
    Ok(Some((kind, list)))
}

/// The bytes of an event.
pub fn write(kind: RosterKind, list: &List) -> Vec<u8> {
    let name = if kind == RosterKind::Delta {
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
pub struct Held {
    list: List,
}

impl Held {
    /// From a file that [`Held::text`] wrote.
    ///
    /// # Errors
    /// It is malformed.
    pub fn from_text(text: &str) -> Result<Held, String> {
        serde_json::from_str(text)
            .map(|list| Held { list })
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
    pub fn take(&mut self, kind: RosterKind, list: &List) -> bool {
        if kind == RosterKind::Delta {
            if list.serial <= self.list.serial {
                return false;
            }
            for entry in &list.servers {
                self.list.servers.retain(|e| e.id != entry.id);
                self.list
                    .servers
                    .extend((entry.state != State::Gone).then(|| entry.clone()));
            }
            self.list.serial = list.serial;
        } else {
            self.list = list.clone();
        }
        true
    }

    /// The servers that are held.
    pub fn servers(&self) -> &[Entry] {
        &self.list.servers
    }
}

/// An entry in the module's terms; `None` where its zone or kind has no number here.
pub fn listing(entry: &Entry, zones: &[String], kinds: &[String]) -> Option<Listing> {
    let number = |names: &[String], name: &str| names.iter().position(|n| n == name);
    Some(Listing {
        server: ServerId(entry.id),
        zone: number(zones, &entry.zone)? as u8,
        kind: number(kinds, &entry.kind)? as u16,
        cell: entry.cell,
        phase: match entry.state {
            State::Ready => Phase::Ready,
            State::Draining => Phase::Draining,
            State::Gone => Phase::Gone,
        },
        weight: entry.weight,
        since: Time(entry.started_ms.saturating_mul(1_000_000)),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: u32, state: State) -> Entry {
        let (zone, kind, address) = ("n".into(), "std".into(), "127.0.0.1:1".parse().unwrap());
        Entry {
            id,
            zone,
            kind,
            cell: 0,
            state,
            weight: 1.0,
            started_ms: 5,
            address,
        }
    }

    fn ids(held: &Held) -> Vec<u32> {
        held.servers().iter().map(|e| e.id).collect()
    }

    #[test]
    fn changes_apply_in_order_and_old_ones_are_dropped() {
        let mut held = Held::default();
        let list = |serial, servers| List { serial, servers };
        assert!(held.take(
            RosterKind::Full,
            &list(3, vec![entry(1, State::Ready), entry(2, State::Ready)])
        ));
        assert!(held.take(
            RosterKind::Delta,
            &list(4, vec![entry(1, State::Gone), entry(3, State::Draining)])
        ));
        assert!(!held.take(RosterKind::Delta, &list(4, vec![entry(2, State::Gone)])));
        assert_eq!(ids(&held), [2, 3]);
        let again = Held::from_text(&held.text()).unwrap();
        assert_eq!(again.servers(), held.servers());
        assert!(Held::from_text("{").is_err());
    }

    #[test]
    fn what_is_written_is_read_and_unknown_names_are_not_guessed() {
        let list = List {
            serial: 9,
            servers: vec![entry(4, State::Draining)],
        };
        let mut events = Vec::new();
        sse::Reader::default()
            .feed(&write(RosterKind::Delta, &list), &mut events)
            .unwrap();
        assert_eq!(
            read(&events[0]),
            Ok(Some((RosterKind::Delta, list.clone())))
        );
        let names = |n: &str| vec![n.to_owned()];
        let known = listing(&list.servers[0], &names("n"), &names("std")).unwrap();
        assert_eq!(
            (known.phase, known.since),
            (Phase::Draining, Time(5_000_000))
        );
        assert!(listing(&list.servers[0], &names("m"), &names("std")).is_none());
    }
}
