//! The configuration of a front: protobuf text format, checked completely before anything starts.
//!
//! [`parse`] reads a text into a [`Config`] in the terms of the core, or reports every problem, each with line, column
//! and what is allowed. The schema is `proto/config.proto`; the defaults are in `proto/defaults.textproto`, and nowhere
//! else. Fields of [`Limits`], [`Peers`] and [`Store`] have the names of the schema.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod check;

use crankpaddle::Settings;
use crankpaddle_cross_zone_traffic::cross_zone_admission::CrossZoneLimit;
use crankpaddle_front::CoreConfig;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

pub use crankpaddle_textproto::Problem;

#[allow(missing_docs, unreachable_pub)] // Generated; the schema has its own comments.
mod schema {
    include!(concat!(env!("OUT_DIR"), "/crankpaddle.v1.rs"));
}

/// The schema's descriptors, for the text format.
pub(crate) const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/config.binpb"));

/// The defaults for what a file leaves out, in the same format.
pub const DEFAULTS: &str = include_str!("../proto/defaults.textproto");

/// A title and where it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Title {
    /// Its number for the core.
    pub number: u64,
    /// First cell that stores it.
    pub first_cell: u32,
    /// Number of consecutive cells that store it.
    pub copies: u32,
    /// Group under which its traffic is counted, an index into [`Config::groups`].
    pub group: u16,
}

/// Limits of the front's sockets. Sizes in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent player connections.
    pub connections: usize,
    /// Largest message from a player.
    pub message: usize,
    /// Bytes that may wait for a player that does not read.
    pub unread: usize,
    /// A silent player is pinged after this time, and disconnected after as much again.
    pub idle: Duration,
    /// Time within which a request must be complete.
    pub handshake: Duration,
    /// Time to connect to a server.
    pub connect: Duration,
    /// Idle connections to servers are closed after this time.
    pub pool_idle: Duration,
    /// A silent event stream is reconnected after this time.
    pub silence: Duration,
    /// Longest time that a shutdown waits for work in progress.
    pub drain: Duration,
}

/// How a front finds its peers and is found by them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Its name among its peers.
    pub name: String,
    /// Address on which it receives their datagrams.
    pub listen: SocketAddr,
    /// Address that it advertises; `None`: that on which it listens.
    pub address: Option<SocketAddr>,
    /// Addresses of peers that it contacts first.
    pub seeds: Vec<SocketAddr>,
    /// The file with the fleet's key.
    pub key_file: PathBuf,
    /// Most datagrams sent in a second.
    pub datagrams: u32,
    /// Most bytes sent in a second.
    pub bytes: usize,
    /// Probe interval.
    pub probe_every: Duration,
    /// Addresses that replace those that peers advertise, by the peer's name.
    pub ways: HashMap<String, SocketAddr>,
}

/// What is persisted over a power loss, and how service returns after one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// The directory.
    pub dir: PathBuf,
    /// This front's name, the same in all its incarnations.
    pub name: String,
    /// The file with the key from which its name at servers is derived.
    pub key_file: PathBuf,
    /// Timeouts of the stages in which service returns.
    pub steps: crankpaddle_recovery::StageTimeouts,
    /// A file whose text differs with each boot of the host.
    pub boot_file: PathBuf,
}

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// What is persisted over a power loss; `None`: nothing.
    pub store: Option<Store>,
    /// How to find the other fronts; `None`: this one has no peers.
    pub peers: Option<Peers>,
    /// The decision module's settings.
    pub settings: Settings,
    /// The core's configuration.
    pub terms: CoreConfig,
    /// Limits of the sockets.
    pub limits: Limits,
    /// Address on which players and operators connect.
    pub listen: SocketAddr,
    /// Address of the list service.
    pub list_service: SocketAddr,
    /// The file in which the last endpoint list is cached.
    pub list_cache: Option<PathBuf>,
    /// Seed of the decision module's generator; `None`: a random one.
    pub seed: Option<u64>,
    /// Worker threads; `None`: one a core.
    pub workers: Option<usize>,
    /// Names of classes, by class number.
    pub classes: Vec<String>,
    /// Names of tenants, by number; empty: one owner of all.
    pub tenants: Vec<String>,
    /// Names of zones, by number.
    pub zones: Vec<String>,
    /// Names of kinds, by number.
    pub kinds: Vec<String>,
    /// Names of title groups, by number; the first, empty, is that of titles without a group.
    pub groups: Vec<String>,
    /// Budgets for traffic from other zones to this front's zone.
    pub budgets: Vec<CrossZoneLimit>,
    /// The file in which the traffic account is persisted.
    pub traffic_file: Option<PathBuf>,
    /// Titles by name.
    pub titles: HashMap<String, Title>,
    /// Log level.
    pub log_level: String,
    /// Whether the log is JSON lines.
    pub log_json: bool,
}

/// Why a file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// It was read and has problems.
    #[error("{}", list_problems(path, problems))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The problems, in the order of the file.
        problems: Vec<Problem>,
    },
}

/// One line for each problem, with the file's name.
fn list_problems(path: &Path, problems: &[Problem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{}:{problem}", path.display()))
        .collect();
    lines.join("\n")
}

/// Reads and checks a file.
///
/// # Errors
/// The file can't be read, or has problems.
pub fn load(path: &Path) -> Result<Config, Error> {
    let (config, _) = check_file(path)?;
    Ok(config)
}

/// Checks a text.
///
/// # Errors
/// Every problem in it, in the order of the file.
pub fn parse(text: &str) -> Result<Config, Vec<Problem>> {
    let (config, _) = check::parse(text)?;
    Ok(config)
}

/// Checks a file and returns its text with all defaults filled in.
///
/// # Errors
/// As [`load`].
pub fn filled(path: &Path) -> Result<String, Error> {
    let (_, filled) = check_file(path)?;
    Ok(filled)
}

fn check_file(path: &Path) -> Result<(Config, String), Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    check::parse(&text).map_err(|problems| Error::Invalid {
        path: path.to_owned(),
        problems,
    })
}
