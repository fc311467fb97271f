//! The configuration of a front: protobuf text format, checked completely before anything starts.
//!
//! [`parse`] converts a text into a [`Config`], or reports every problem with its line, its column and the allowed values.
//! The schema is `proto/config.proto`. All defaults are in `proto/defaults.textproto`. Most fields of
//! [`Peers`] and [`Store`] are named as in the schema.
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

#[allow(missing_docs, unreachable_pub)] // Generated code; the fields are documented in the schema.
mod schema {
    include!(concat!(env!("OUT_DIR"), "/crankpaddle.v1.rs"));
}

/// The compiled descriptors of the schema, which the text format parser needs.
pub(crate) const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/config.binpb"));

/// The values of fields that a file leaves out, in the text format of the configuration.
pub const DEFAULTS: &str = include_str!("../proto/defaults.textproto");

/// A title and where it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Title {
    /// Number that identifies the title in the core: its position in the file, from 1.
    pub number: u64,
    /// First cell that stores the title.
    pub first_cell: u32,
    /// Number of consecutive cells that store the title.
    pub copies: u32,
    /// Group under which the title's traffic is counted, as an index into [`Config::groups`].
    pub group: u16,
}

/// Limits of the front's sockets. Sizes are in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of concurrent player connections.
    pub max_connections: usize,
    /// Maximum size of a message from a player.
    pub max_message_bytes: usize,
    /// Bytes that may be queued for a player that does not read; a player with more is disconnected.
    pub max_unsent_bytes: usize,
    /// A player that sends nothing is pinged after this time, and disconnected after the same time again.
    pub idle_timeout: Duration,
    /// Time within which a WebSocket handshake or an HTTP request must be complete.
    pub handshake_timeout: Duration,
    /// Timeout for connecting to a server.
    pub connect_timeout: Duration,
    /// Idle connections to servers are closed after this time.
    pub pool_idle_timeout: Duration,
    /// A server's event stream is reconnected after this time without data.
    pub silence_timeout: Duration,
    /// Maximum time that a graceful shutdown waits for pending requests and active sessions.
    pub drain_timeout: Duration,
}

/// The front's membership: how it finds its peers and is found by them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The front's name, unique among its peers and the same after a restart.
    pub name: String,
    /// UDP address on which the front receives its peers' datagrams.
    pub listen: SocketAddr,
    /// Address that the front advertises to its peers. `None` if it advertises the one on which it listens.
    pub address: Option<SocketAddr>,
    /// Addresses of the peers that the front contacts at its start.
    pub seeds: Vec<SocketAddr>,
    /// File with the fleet's key, which keeps the datagrams of different fleets apart.
    pub key_file: PathBuf,
    /// Maximum number of datagrams sent per second.
    pub datagrams: u32,
    /// Maximum number of bytes sent per second.
    pub bytes: usize,
    /// Interval between two health checks of peers.
    pub probe_every: Duration,
    /// Addresses to use instead of those that peers advertise, by the peer's name.
    pub address_overrides: HashMap<String, SocketAddr>,
}

/// The store of the state that survives a power loss, and the stages of recovery after one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Directory of the store, which only this front uses.
    pub dir: PathBuf,
    /// The front's name, unique in the fleet and the same in all its incarnations.
    pub name: String,
    /// File with the key from which the front's name at servers is derived.
    pub key_file: PathBuf,
    /// Timeouts of the recovery stages.
    pub stage_timeouts: crankpaddle_recovery::StageTimeouts,
    /// File whose content differs with each boot of the host.
    pub boot_file: PathBuf,
}

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The store of the state that survives a power loss. `None` if nothing is persisted.
    pub store: Option<Store>,
    /// The front's membership. `None` if the front has no peers.
    pub peers: Option<Peers>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Configuration of the core: waits, retention times and limits of pending requests.
    pub terms: CoreConfig,
    /// Limits of the front's sockets.
    pub limits: Limits,
    /// Address on which players and operators connect.
    pub listen: SocketAddr,
    /// Address of the service that provides the endpoint list.
    pub list_service: SocketAddr,
    /// File in which the last endpoint list is cached, for a start without the list service. `None` if it is not cached.
    pub list_cache: Option<PathBuf>,
    /// Seed of the decision module's random generator. `None` if each start uses a random one.
    pub seed: Option<u64>,
    /// Number of worker threads. `None` for one per core.
    pub workers: Option<usize>,
    /// Names of the classes, indexed by class number.
    pub classes: Vec<String>,
    /// Names of the tenants, indexed by tenant number. Empty if the fleet is not shared among tenants.
    pub tenants: Vec<String>,
    /// Names of the zones, indexed by zone number.
    pub zones: Vec<String>,
    /// Names of the kinds of servers, indexed by kind number.
    pub kinds: Vec<String>,
    /// Names of the title groups, indexed by group number. The first one is empty and holds the titles without a group.
    pub groups: Vec<String>,
    /// Budgets for the traffic from other zones to this front's zone.
    pub budgets: Vec<CrossZoneLimit>,
    /// File in which the traffic account is persisted. `None` if the account restarts at zero.
    pub traffic_file: Option<PathBuf>,
    /// The titles, by name.
    pub titles: HashMap<String, Title>,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// Whether the log is written as JSON lines, not as text.
    pub log_json: bool,
}

/// Why a configuration file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file was read and has problems.
    #[error("{}", list_problems(path, problems))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The problems, in the order in which they occur in the file.
        problems: Vec<Problem>,
    },
}

/// Formats each problem as a line `FILE:LINE:COLUMN: ...`.
fn list_problems(path: &Path, problems: &[Problem]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{}:{problem}", path.display()))
        .collect();
    lines.join("\n")
}

/// Reads and checks a configuration file.
///
/// # Errors
/// The file can't be read or has problems.
pub fn load(path: &Path) -> Result<Config, LoadError> {
    let (config, _) = check_file(path)?;
    Ok(config)
}

/// Checks the text of a configuration.
///
/// # Errors
/// Every problem in the text, in the order in which they occur.
pub fn parse(text: &str) -> Result<Config, Vec<Problem>> {
    let (config, _) = check::parse(text)?;
    Ok(config)
}

/// Checks a configuration file and returns its text with all defaults filled in.
///
/// # Errors
/// As [`load`].
pub fn text_with_defaults(path: &Path) -> Result<String, LoadError> {
    let (_, text) = check_file(path)?;
    Ok(text)
}

/// Returns the checked configuration, and the file's text with all defaults filled in.
fn check_file(path: &Path) -> Result<(Config, String), LoadError> {
    let text = std::fs::read_to_string(path).map_err(|source| LoadError::Read {
        path: path.to_owned(),
        source,
    })?;
    check::parse(&text).map_err(|problems| LoadError::Invalid {
        path: path.to_owned(),
        problems,
    })
}
