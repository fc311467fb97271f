//! What whatever runs until a signal has in common.
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::io::Write;
use std::net::SocketAddr;

/// Calls `reload` at each SIGHUP and `end` at each other signal, on a thread of its own.
pub(crate) fn follow(
    mut signals: Signals,
    reload: impl Fn() + Send + 'static,
    end: impl Fn() + Send + 'static,
) {
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload();
            } else {
                end();
            }
        }
    });
}

/// Says where it listens.
pub(crate) fn announce(address: SocketAddr) {
    let mut out = std::io::stdout().lock();
    // Whoever started it may not listen.
    let _ = writeln!(out, "listening {address}").and_then(|()| out.flush());
}
