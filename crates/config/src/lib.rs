//! The configuration of a front: protobuf text format, checked whole before anything starts.
//!
//! [`parse`] reads a text into a [`Config`] in the terms of the core, or says everything that is wrong, each with
//! line, column and what is allowed. The schema is `proto/config.proto`; what a file may leave out stands in
//! `proto/defaults.textproto`, and nowhere else.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod check;

use crankpaddle::Settings;
use crankpaddle_cross_zone_traffic::cross_zone_admission::CrossZoneLimit;
use crankpaddle_front::CoreConfig;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub use crankpaddle_textproto::Problem;

#[allow(missing_docs, unreachable_pub)] // Generated; the schema has comments of its own.
mod schema {
    include!(concat!(env!("OUT_DIR"), "/crankpaddle.v1.rs"));
}

/// The schema's descriptors, for the text format.
pub(crate) const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/config.binpb"));

/// What holds where a file says nothing, in the same form.
pub const DEFAULTS: &str = include_str!("../proto/defaults.textproto");

/// A title and where it lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Title {
    /// Its number for the core.
    pub number: u64,
    /// First cell that holds it.
    pub first_cell: u32,
    /// Cells in a row that hold it.
    pub copies: u32,
    /// Group that its traffic is counted under, an index into [`Config::groups`].
    pub group: u16,
}

/// Bounds of the front's sockets. Times in nanoseconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections of players at once.
    pub connections: usize,
    /// Largest message of a player.
    pub message: usize,
    /// Bytes that wait for a player who does not read.
    pub unread: usize,
    /// A silent player is pinged after this time, and closed after as much again.
    pub idle: u64,
    /// A request must be whole within this time.
    pub handshake: u64,
    /// Time to connect to a server.
    pub connect: u64,
    /// Idle connections to servers are closed after this time.
    pub pool_idle: u64,
    /// A silent event stream is called again after this time.
    pub silence: u64,
    /// Longest time that what is under way is waited for at the end.
    pub drain: u64,
}

/// How a front finds the other fronts and is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Its name among them.
    pub name: String,
    /// Where it hears them.
    pub listen: SocketAddr,
    /// Where they reach it; `None`: where it listens.
    pub address: Option<SocketAddr>,
    /// Where some of them may be found at first.
    pub seeds: Vec<SocketAddr>,
    /// The file of the fleet's key.
    pub key_file: PathBuf,
    /// Datagrams that go out in a second at most.
    pub datagrams: u32,
    /// Bytes that go out in a second at most.
    pub bytes: usize,
    /// Time between two probes, nanoseconds.
    pub probe_every: u64,
    /// Where this front reaches others, if not where they say, by name.
    pub ways: HashMap<String, SocketAddr>,
}

/// What is kept over a power loss, and how service returns after one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// The folder.
    pub dir: PathBuf,
    /// This front's name, the same in all its lives.
    pub name: String,
    /// The file of the key from which its name at servers is made.
    pub key_file: PathBuf,
    /// Bounds of the steps in which service returns.
    pub steps: crankpaddle_recovery::StageTimeouts,
    /// A file whose text differs with each boot of the host.
    pub boot_file: PathBuf,
}

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// What is kept over a power loss; `None`: nothing is.
    pub store: Option<Store>,
    /// The other fronts; `None`: this one talks to none.
    pub peers: Option<Peers>,
    /// The decision module's settings.
    pub settings: Settings,
    /// The core's terms.
    pub terms: CoreConfig,
    /// Bounds of the sockets.
    pub limits: Limits,
    /// Where players and operators connect.
    pub listen: SocketAddr,
    /// Where the list service is.
    pub list_service: SocketAddr,
    /// Where the last list is kept.
    pub list_cache: Option<PathBuf>,
    /// Seed of the module; `None`: to be drawn at the start.
    pub seed: Option<u64>,
    /// Worker threads; `None`: one a core.
    pub workers: Option<usize>,
    /// Numbers of classes by name, in order.
    pub classes: Vec<String>,
    /// Names of tenants in order; empty: one owner of all.
    pub tenants: Vec<String>,
    /// Names of zones in order.
    pub zones: Vec<String>,
    /// Names of kinds in order.
    pub kinds: Vec<String>,
    /// Groups of titles by number; the first, without a name, is that of titles without one.
    pub groups: Vec<String>,
    /// Budgets for what crosses to this front's zone.
    pub budgets: Vec<CrossZoneLimit>,
    /// Where the account of traffic is kept.
    pub traffic_file: Option<PathBuf>,
    /// Titles by name.
    pub titles: HashMap<String, Title>,
    /// Log level.
    pub log_level: String,
    /// Whether the log is JSON lines.
    pub log_json: bool,
}

/// Why a file could not be used.
#[derive(Debug)]
pub enum Error {
    /// It could not be read.
    Read(PathBuf, std::io::Error),
    /// It was read and is wrong.
    Wrong(PathBuf, Vec<Problem>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Read(path, e) => write!(f, "{}: {e}", path.display()),
            Error::Wrong(path, problems) => {
                let lines: Vec<String> = problems
                    .iter()
                    .map(|p| format!("{}:{p}", path.display()))
                    .collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for Error {}

/// Reads and checks a file.
///
/// # Errors
/// The file can't be read, or everything that is wrong in it.
pub fn load(path: &Path) -> Result<Config, Error> {
    let text = std::fs::read_to_string(path).map_err(|e| Error::Read(path.to_owned(), e))?;
    parse(&text).map_err(|problems| Error::Wrong(path.to_owned(), problems))
}

/// Checks a text.
///
/// # Errors
/// Everything that is wrong in it, in the order of the file.
pub fn parse(text: &str) -> Result<Config, Vec<Problem>> {
    check::parse(text).map(|(config, _)| config)
}

/// The text of a file with all defaults filled in, once it is checked.
///
/// # Errors
/// As [`load`].
pub fn filled(path: &Path) -> Result<String, Error> {
    let text = std::fs::read_to_string(path).map_err(|e| Error::Read(path.to_owned(), e))?;
    check::parse(&text)
        .map(|(_, filled)| filled)
        .map_err(|problems| Error::Wrong(path.to_owned(), problems))
}
