//! The configuration that a node is started with.
use crate::directory::{Entry, List, State};
use crankpaddle_settings::Fleet;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// A configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, the same after a restart.
    pub name: String,
    /// Where viewers connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What the machine allows.
    pub limits: Limits,
    /// Where the directory is asked.
    pub nameserver: SocketAddr,
    /// The list of servers as it was at the start.
    pub known: List,
    /// The settings.
    pub fleet: Fleet,
}

/// What the machine allows.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Part of a core.
    pub cores: f64,
    /// Memory, MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    nameserver: SocketAddr,
    known: RawKnown,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct RawKnown {
    seq: u32,
    results: Vec<RawEvent>,
}

#[derive(Deserialize)]
struct RawEvent {
    fleet: RawFleet,
}

#[derive(Deserialize)]
struct RawFleet {
    #[serde(default)]
    reset: bool,
    instances: Vec<RawEntry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawEntry {
    instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u16,
    lifecycle: RawState,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_at_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawState {
    Ready,
    Draining,
    Gone,
}

/// Why a configuration can't take the place of the one that a node runs with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// It is another node's.
    Name,
    /// It names another address to listen at.
    Listen,
    /// Its settings are others.
    Settings,
}

impl std::error::Error for Mismatch {}

impl std::fmt::Display for Mismatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Mismatch::Name => "name: it is another node's file; put this node's back and send SIGHUP again",
            Mismatch::Listen => {
                "listen: another address; put the one in force back, or restart the node to move it"
            }
            Mismatch::Settings => {
                "settings: others than those in force; put these back, or restart the node to take them"
            }
        })
    }
}

impl Config {
    /// Whether `next` may take this one's place while the node runs: only where the directory is asked may differ, and what
    /// counts at a start alone.
    ///
    /// # Errors
    /// What differs that may not.
    pub fn may_become(&self, next: &Config) -> Result<(), Mismatch> {
        match () {
            () if self.name != next.name => Err(Mismatch::Name),
            () if self.listen != next.listen => Err(Mismatch::Listen),
            () if self.fleet != next.fleet => Err(Mismatch::Settings),
            () => Ok(()),
        }
    }

    /// Reads a configuration.
    ///
    /// # Errors
    /// What is wrong, in one line.
    pub fn parse(text: &[u8]) -> Result<Config, String> {
        let raw: Raw = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let seed =
            u64::from_str_radix(&raw.seed, 16).map_err(|_| "seed: not a hexadecimal number")?;
        let fleet = crankpaddle_settings::parse(raw.settings.get().as_bytes())
            .map_err(|e| format!("settings: {e}"))?;
        if fleet.classes.iter().any(String::is_empty) || fleet.deadlines.contains(&0) {
            return Err("settings: a class without a name or a deadline".into());
        }
        // The whole list is in the first event; later ones hold what has changed.
        let mut entries: Vec<Entry> = Vec::new();
        for event in raw.known.results {
            if event.fleet.reset {
                entries.clear();
            }
            for e in event.fleet.instances {
                entries.retain(|held| held.name != e.instance_id);
                let state = match e.lifecycle {
                    RawState::Ready => State::Ready,
                    RawState::Draining => State::Draining,
                    RawState::Gone => continue,
                };
                entries.push(Entry {
                    name: e.instance_id,
                    address: e.host_port,
                    zone: e.zone,
                    kind: e.machine_type,
                    cell: e.cell,
                    state,
                    weight: e.weight,
                    started_ms: e.started_at_ms,
                });
            }
        }
        Ok(Config {
            name: raw.name,
            listen: raw.listen,
            seed,
            limits: raw.limits,
            nameserver: raw.nameserver,
            known: List {
                serial: raw.known.seq,
                entries,
            },
            fleet,
        })
    }
}
