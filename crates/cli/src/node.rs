//! `crankpaddle node`: runs a front node until a signal ends it.
use crate::failure::CommandFailure;
use crate::{lifecycle, logging};
use crankpaddle_node::Node;
use crankpaddle_node_protocol::config::{Config, ConfigError, ReloadError};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Maximum number of log lines queued for the writer thread, per MB of the node's memory limit.
const QUEUED_LINES_PER_MB: usize = 16;

/// Bounds of the number of queued lines at any memory limit. The lower one covers a burst; the upper one is that of a front.
const MIN_QUEUED_LINES: usize = 64;
const MAX_QUEUED_LINES: usize = 65_536;

/// Number of worker threads of the coroutine runtime. The platform gives a node at most one core.
const WORKER_THREADS: usize = 1;

impl lifecycle::Service for Node {
    fn address(&self) -> SocketAddr {
        Node::address(self)
    }

    fn drain(&self) {
        Node::drain(self);
    }

    fn wait(&self) -> Result<(), CommandFailure> {
        Node::wait(self).map_err(CommandFailure::failed)
    }
}

/// Why a configuration file could not be used.
#[derive(Debug, thiserror::Error)]
enum ConfigFileError {
    /// Neither the flag nor the environment names a file.
    #[error("no configuration: set NODE_CONFIG or give --config FILE")]
    NotNamed,
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file is not a valid configuration.
    #[error("{}: {source}", path.display())]
    Parse { path: PathBuf, source: ConfigError },
    /// The file changes a setting that needs a restart.
    #[error("{}: {source}", path.display())]
    Mismatch { path: PathBuf, source: ReloadError },
}

fn load(path: &Path) -> Result<Config, ConfigFileError> {
    let text = std::fs::read(path).map_err(|source| ConfigFileError::Read {
        path: path.to_owned(),
        source,
    })?;
    Config::parse(&text).map_err(|source| ConfigFileError::Parse {
        path: path.to_owned(),
        source,
    })
}

/// Applies the directory address of the file, the only setting that may change while the node runs, and returns it.
fn apply_config(node: &Node, path: &Path) -> Result<SocketAddr, ConfigFileError> {
    let config = load(path)?;
    node.reload(&config)
        .map_err(|source| ConfigFileError::Mismatch {
            path: path.to_owned(),
            source,
        })?;
    Ok(config.nameserver)
}

/// Applies the file, or logs why the current configuration stays in force.
fn reload(node: &Node, path: &Path) {
    match apply_config(node, path) {
        Ok(nameserver) => tracing::info!(%nameserver, "reloaded"),
        Err(error) => {
            tracing::error!(reason = %error, "not reloaded; the current configuration stays in force");
        }
    }
}

fn config_path(flag: Option<PathBuf>) -> Result<PathBuf, ConfigFileError> {
    flag.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from))
        .ok_or(ConfigFileError::NotNamed)
}

fn invalid_config(error: ConfigFileError) -> CommandFailure {
    CommandFailure::invalid_input(format_args!("crankpaddle node: {error}"))
}

fn start_logs(memory_mb: u64) -> tracing_appender::non_blocking::WorkerGuard {
    let memory_mb = usize::try_from(memory_mb).unwrap_or(usize::MAX);
    let queued_lines = memory_mb
        .saturating_mul(QUEUED_LINES_PER_MB)
        .clamp(MIN_QUEUED_LINES, MAX_QUEUED_LINES);
    logging::start_bounded("warn", false, queued_lines)
}

/// Runs a node until SIGTERM or SIGINT, and then until the end of the last session.
///
/// # Errors
///
/// The configuration is missing or invalid, or the node can't listen on its address.
pub(crate) fn run(config_flag: Option<PathBuf>) -> Result<ExitCode, CommandFailure> {
    // The handlers are registered before anything else, so that a signal during the start is not lost.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let path = config_path(config_flag).map_err(invalid_config)?;
    let config = load(&path).map_err(invalid_config)?;
    let _log_writer = start_logs(config.limits.memory_mb);
    crankpaddle_net::start(Some(WORKER_THREADS));
    let address = config.listen;
    let node = Node::start(config)
        .map_err(|error| CommandFailure::failed(format_args!("{address}: {error}")))?;
    lifecycle::run_until_drained(node, signals, move |node| reload(node, &path))?;
    Ok(ExitCode::SUCCESS)
}
