//! Running a front.
use crate::{lifecycle, logging, Failure};
use crankpaddle_config::Config;
use crankpaddle_daemon::Daemon;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Takes the budgets of the file over, or says why they stay as they are.
fn reload(daemon: &Daemon, path: &Path) {
    let taken = crankpaddle_config::load(path).map_err(|e| e.to_string());
    match taken.and_then(|config| daemon.change_budgets(config).map_err(|e| e.to_string())) {
        Ok(()) => {
            tracing::info!(path = %path.display(), "reloaded: budgets; all else waits for a restart");
        }
        Err(what) => tracing::error!(path = %path.display(), what, "not reloaded"),
    }
}

/// Runs until it is told to end.
pub(crate) fn run(config: Config, path: PathBuf) -> Result<ExitCode, Failure> {
    let _logs = logging::start(&config.log_level, config.log_json);
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    crankpaddle_net::start(config.workers);
    let daemon = Daemon::start(config).map_err(|e| Failure::advised(&e))?;
    let daemon = Arc::new(daemon);
    let (reloaded, ended) = (daemon.clone(), daemon.clone());
    lifecycle::follow(
        signals,
        move || reload(&reloaded, &path),
        move || ended.drain(),
    );
    lifecycle::announce(daemon.address());
    daemon.wait();
    Ok(ExitCode::SUCCESS)
}
