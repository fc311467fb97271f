//! The lifecycle of the long-running commands: signal handling, and the announcement of the address.
use crate::failure::CommandFailure;
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// A server process that runs until it has drained.
pub(crate) trait Service: Send + Sync + 'static {
    /// Returns the address on which the service listens.
    fn address(&self) -> SocketAddr;

    /// Starts the graceful shutdown.
    fn drain(&self);

    /// Blocks until the shutdown is complete.
    ///
    /// # Errors
    ///
    /// The service stopped because of an internal error.
    fn wait(&self) -> Result<(), CommandFailure>;
}

/// Runs the service until it has drained. SIGHUP calls `reload`, and any other signal starts the graceful shutdown.
///
/// # Errors
///
/// The service stopped because of an internal error.
pub(crate) fn run_until_drained<S: Service>(
    service: S,
    signals: Signals,
    reload: impl Fn(&S) + Send + 'static,
) -> Result<(), CommandFailure> {
    let service = Arc::new(service);
    let reload_target = service.clone();
    let drain_target = service.clone();
    handle_signals(
        signals,
        move || reload(&reload_target),
        move || drain_target.drain(),
    );
    announce_address(service.address());
    service.wait()
}

/// Starts a thread that calls `reload` at each SIGHUP and `shut_down` at any other signal.
fn handle_signals(
    mut signals: Signals,
    reload: impl Fn() + Send + 'static,
    shut_down: impl Fn() + Send + 'static,
) {
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload();
            } else {
                shut_down();
            }
        }
    });
}

/// Prints the address on which the process listens.
fn announce_address(address: SocketAddr) {
    let mut out = std::io::stdout().lock();
    // An error is ignored, because the parent process may have closed its end of the pipe.
    let _ = writeln!(out, "listening {address}").and_then(|()| out.flush());
}
