//! Running a front node.
use crate::{lifecycle, logging, Failure, BAD_FILE};
use crankpaddle_node::Node;
use crankpaddle_node_protocol::config::Config;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Log lines that may wait for the writer, for each MB that the machine allows.
const LINES_PER_MB: usize = 16;

fn load(path: &Path) -> Result<Config, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Config::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Takes what may change of the file over, or says why all stays as it is.
fn reload(node: &Node, path: &Path) {
    let taken = load(path).and_then(|config| match node.reload(&config) {
        Ok(()) => Ok(config.nameserver),
        Err(mismatch) => Err(format!("{}: {mismatch}", path.display())),
    });
    match taken {
        Ok(nameserver) => tracing::info!(%nameserver, "reloaded"),
        Err(what) => tracing::error!(what, "not reloaded; the configuration in force stays"),
    }
}

/// Runs until it is told to end and nothing is owed any more.
pub(crate) fn run(config: Option<PathBuf>) -> Result<ExitCode, Failure> {
    // First of all: a signal that comes during the start must find its handler.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let bad = |what: String| Failure {
        what: format!("crankpaddle node: {what}"),
        status: BAD_FILE,
    };
    let path = config.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let path =
        path.ok_or_else(|| bad("no configuration: set NODE_CONFIG or give --config FILE".into()))?;
    let config = load(&path).map_err(bad)?;
    let memory = usize::try_from(config.limits.memory_mb).unwrap_or(usize::MAX);
    let _logs = logging::start_bounded(
        "warn",
        false,
        memory.saturating_mul(LINES_PER_MB).clamp(64, 65_536),
    );
    crankpaddle_net::start(Some(1)); // There is one core, if that.
    let address = config.listen;
    let node = Node::start(config).map_err(|e| Failure {
        what: format!("{address}: {e}"),
        status: 1,
    })?;
    let node = Arc::new(node);
    let (reloaded, ended) = (node.clone(), node.clone());
    lifecycle::follow(
        signals,
        move || reload(&reloaded, &path),
        move || ended.drain(),
    );
    lifecycle::announce(node.address());
    node.wait();
    Ok(ExitCode::SUCCESS)
}
