//! The configuration that a node is started with.
use crate::directory::{Entry, List, State};
use crankpaddle_settings::Fleet;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;

/// A node's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, the same after a restart.
    pub name: String,
    /// The address that viewers connect to.
    pub listen: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// What the machine allows.
    pub limits: Limits,
    /// The directory's address.
    pub nameserver: SocketAddr,
    /// The list of servers as it was at the start.
    pub known: List,
    /// The settings.
    pub fleet: Fleet,
}

/// What the machine allows.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Cores; a fraction is a part of one.
    pub cores: f64,
    /// Memory, MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

/// The configuration as the platform writes it; its field names are the platform's.
#[derive(Deserialize)]
struct RawConfig {
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
    instances: Vec<RawInstance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawInstance {
    instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u16,
    lifecycle: RawLifecycle,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_at_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawLifecycle {
    Ready,
    Draining,
    Gone,
}

/// Why a configuration can't be read. Its text is one line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It is no JSON, or a field is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is no number.
    #[error("seed: not a hexadecimal number")]
    Seed(#[source] ParseIntError),
    /// The settings can't be used.
    #[error("settings: {0}")]
    Settings(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// A class has no name or no deadline.
    #[error("settings: a class without a name or a deadline")]
    Class,
}

/// Why a configuration can't take the place of the one that a node runs with.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Mismatch {
    /// It is another node's.
    #[error("name: it is another node's file; put this node's back and send SIGHUP again")]
    Name,
    /// It names another address to listen at.
    #[error("listen: another address; put the one in force back, or restart the node to move it")]
    Listen,
    /// Its settings are others.
    #[error(
        "settings: others than those in force; put these back, or restart the node to take them"
    )]
    Settings,
}

impl Config {
    /// Checks that `next` may take this one's place while the node runs: only the directory's address may differ, and what
    /// counts at a start alone.
    ///
    /// # Errors
    /// What differs that may not.
    pub fn check_reload(&self, next: &Config) -> Result<(), Mismatch> {
        if self.name != next.name {
            return Err(Mismatch::Name);
        }
        if self.listen != next.listen {
            return Err(Mismatch::Listen);
        }
        if self.fleet != next.fleet {
            return Err(Mismatch::Settings);
        }
        Ok(())
    }

    /// Reads a configuration.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let raw: RawConfig = serde_json::from_slice(text)?;
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(ConfigError::Seed)?;
        let fleet = crankpaddle_settings::parse(raw.settings.get().as_bytes())
            .map_err(|error| ConfigError::Settings(error.into()))?;
        if fleet.classes.iter().any(String::is_empty) || fleet.deadlines.contains(&0) {
            return Err(ConfigError::Class);
        }
        Ok(Config {
            name: raw.name,
            listen: raw.listen,
            seed,
            limits: raw.limits,
            nameserver: raw.nameserver,
            known: initial_list(raw.known),
            fleet,
        })
    }
}

/// The list after all events. The first has the complete list; later ones have what has changed.
fn initial_list(known: RawKnown) -> List {
    let mut entries: Vec<Entry> = Vec::new();
    for event in known.results {
        if event.fleet.reset {
            entries.clear();
        }
        for instance in event.fleet.instances {
            entries.retain(|entry| entry.name != instance.instance_id);
            entries.extend(entry(instance));
        }
    }
    List {
        serial: known.seq,
        entries,
    }
}

/// A server of an event; none where the event removes it.
fn entry(instance: RawInstance) -> Option<Entry> {
    let state = match instance.lifecycle {
        RawLifecycle::Ready => State::Ready,
        RawLifecycle::Draining => State::Draining,
        RawLifecycle::Gone => return None,
    };
    Some(Entry {
        name: instance.instance_id,
        address: instance.host_port,
        zone: instance.zone,
        kind: instance.machine_type,
        cell: instance.cell,
        state,
        weight: instance.weight,
        started_ms: instance.started_at_ms,
    })
}
