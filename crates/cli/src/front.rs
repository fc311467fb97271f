//! `crankpaddle front`: runs a front until a signal ends it.
use crate::failure::CommandFailure;
use crate::{lifecycle, logging};
use crankpaddle_daemon::{BudgetChangeError, Daemon};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

impl lifecycle::Service for Daemon {
    fn address(&self) -> SocketAddr {
        Daemon::address(self)
    }

    fn drain(&self) {
        Daemon::drain(self);
    }

    fn wait(&self) -> Result<(), CommandFailure> {
        Daemon::wait(self);
        Ok(())
    }
}

/// Why a reloaded configuration was not applied.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The file can't be read or has problems.
    #[error(transparent)]
    Load(#[from] crankpaddle_config::LoadError),
    /// A setting other than the budgets changed, which needs a restart.
    #[error(transparent)]
    Change(#[from] BudgetChangeError),
}

fn apply_budgets(daemon: &Daemon, path: &Path) -> Result<(), ReloadError> {
    let config = crankpaddle_config::load(path)?;
    daemon.change_budgets(config)?;
    Ok(())
}

/// Applies the budgets of the file, or logs why the current ones stay in force.
fn reload(daemon: &Daemon, path: &Path) {
    let file = path.display();
    match apply_budgets(daemon, path) {
        Ok(()) => {
            tracing::info!(path = %file, "reloaded: traffic budgets; other settings need a restart");
        }
        Err(error) => tracing::error!(path = %file, reason = %error, "not reloaded"),
    }
}

/// Runs a front until SIGTERM or SIGINT, and then until its graceful shutdown is complete.
///
/// # Errors
///
/// The configuration is invalid, or the front can't start with it.
pub(crate) fn run(path: PathBuf) -> Result<ExitCode, CommandFailure> {
    let config = crankpaddle_config::load(&path).map_err(CommandFailure::invalid_input)?;
    let _log_writer = logging::start(&config.log_level, config.log_json);
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    crankpaddle_net::start(config.workers);
    let daemon = Daemon::start(config).map_err(|error| CommandFailure::with_advice(&error))?;
    lifecycle::run_until_drained(daemon, signals, move |daemon| reload(daemon, &path))?;
    Ok(ExitCode::SUCCESS)
}
