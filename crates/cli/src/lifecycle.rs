//! What the long-running commands share: signals and the announcement of the address.
use crate::failure::CommandFailure;
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// A server process that runs until it has drained.
pub(crate) trait Service: Send + Sync + 'static {
    /// Where it listens.
    fn address(&self) -> SocketAddr;

    /// Begins the graceful shutdown.
    fn drain(&self);

    /// Blocks until the shutdown is complete.
    ///
    /// # Errors
    ///
    /// The service stopped by a fault of its own.
    fn wait(&self) -> Result<(), CommandFailure>;
}

/// Runs the service until a signal ends it: SIGHUP reloads, each other signal begins the graceful shutdown.
///
/// # Errors
///
/// The service stopped by a fault of its own.
pub(crate) fn run_until_drained<S: Service>(
    service: S,
    signals: Signals,
    reload: impl Fn(&S) + Send + 'static,
) -> Result<(), CommandFailure> {
    let service = Arc::new(service);
    let signalled = service.clone();
    let draining = service.clone();
    handle_signals(
        signals,
        move || reload(&signalled),
        move || draining.drain(),
    );
    announce_address(service.address());
    service.wait()
}

/// Calls `reload` at each SIGHUP and `shut_down` at each other signal, on a thread of its own.
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
    // Why ignored: the parent process may have closed its end of the pipe.
    let _ = writeln!(out, "listening {address}").and_then(|()| out.flush());
}
