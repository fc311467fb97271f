//! The configuration with which a front node is started.
use crate::directory::{ServerEntry, ServerList, ServerState};
use crankpaddle_settings::FleetSettings;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;

/// The configuration of a front node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, which stays the same over restarts.
    pub name: String,
    /// The address on which the node accepts connections of viewers.
    pub listen: SocketAddr,
    /// The seed of the node's random numbers.
    pub seed: u64,
    /// The resources of the machine that the node may use.
    pub limits: Limits,
    /// The address of the directory.
    pub nameserver: SocketAddr,
    /// The list of servers with which the node starts.
    pub initial_list: ServerList,
    /// The settings of the fleet.
    pub fleet: FleetSettings,
}

/// The resources that a node may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// CPU cores; may be a fraction, such as 0.5 for half a core.
    pub cores: f64,
    /// Memory in MB. It bounds the number of pending set-ups and of queued log lines.
    pub memory_mb: u64,
    /// The number of file descriptors that may be open at the same time.
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

/// Why a configuration can't be read. The text of each error is one line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON, or a field is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed: not a hexadecimal number of at most 64 bits")]
    Seed(#[source] ParseIntError),
    /// The settings are malformed or invalid.
    #[error("settings: {0}")]
    Settings(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The name of a class is empty, or its deadline is 0.
    #[error("settings: a class has no name or no deadline")]
    Class,
}

/// Why a running node can't replace its configuration with another one.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ReloadError {
    /// The name is that of another node.
    #[error(
        "name: the file is that of another node; restore this node's file and send SIGHUP again"
    )]
    Name,
    /// The address to listen on differs.
    #[error(
        "listen: the address differs from the one in use; restore it, or restart the node to change it"
    )]
    Listen,
    /// The settings of the fleet differ; they are fixed while the node runs.
    #[error(
        "settings: they differ from those in use; restore them, or restart the node to change them"
    )]
    Settings,
}

impl Config {
    /// Checks that `next` may replace this configuration while the node runs. The name, the address to listen on and the
    /// settings must be the same. Of the rest, only the directory's address takes effect before a restart.
    ///
    /// # Errors
    /// Which of the fixed fields differs.
    pub fn check_reload(&self, next: &Config) -> Result<(), ReloadError> {
        if self.name != next.name {
            return Err(ReloadError::Name);
        }
        if self.listen != next.listen {
            return Err(ReloadError::Listen);
        }
        if self.fleet != next.fleet {
            return Err(ReloadError::Settings);
        }
        Ok(())
    }

    /// Parses a configuration from JSON.
    ///
    /// # Errors
    /// The first fault that was found.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let raw: RawConfig = serde_json::from_slice(text)?;
        let seed = u64::from_str_radix(&raw.seed, 16).map_err(ConfigError::Seed)?;
        let fleet = crankpaddle_settings::parse_settings(raw.settings.get().as_bytes())
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
            initial_list: initial_list(raw.known),
            fleet,
        })
    }
}

/// The list of servers after all events. An event with `reset` holds the complete list, and any other event holds changes.
fn initial_list(known: RawKnown) -> ServerList {
    let mut entries: Vec<ServerEntry> = Vec::new();
    for event in known.results {
        if event.fleet.reset {
            entries.clear();
        }
        for instance in event.fleet.instances {
            entries.retain(|entry| entry.name != instance.instance_id);
            entries.extend(entry(instance));
        }
    }
    ServerList {
        serial: known.seq,
        entries,
    }
}

/// The list entry for a server of an event; `None` if the event removes the server.
fn entry(instance: RawInstance) -> Option<ServerEntry> {
    let state = match instance.lifecycle {
        RawLifecycle::Ready => ServerState::Ready,
        RawLifecycle::Draining => ServerState::Draining,
        RawLifecycle::Gone => return None,
    };
    Some(ServerEntry {
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
