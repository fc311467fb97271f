//! What the long-running commands share: signals and the announcement of the address.
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::io::Write;
use std::net::SocketAddr;

/// Calls `reload` at each SIGHUP and `shut_down` at each other signal, on a thread of its own.
pub(crate) fn handle_signals(
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
pub(crate) fn announce_address(address: SocketAddr) {
    let mut out = std::io::stdout().lock();
    // Why ignored: the parent process may have closed its end of the pipe.
    let _ = writeln!(out, "listening {address}").and_then(|()| out.flush());
}
