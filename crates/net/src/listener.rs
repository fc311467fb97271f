//! Listening sockets and the loop that accepts connections.
use crate::yield_budget::YieldBudget;
use crate::{sleep, spawn, spawn_with_state, Socket, Stack};
use may::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Most established connections that may wait in the kernel to be accepted.
const BACKLOG: i32 = 1024;
/// Pause after a failed accept.
///
/// While the process is out of file descriptors, every accept fails immediately. A loop without a pause would use up the
/// core on which other coroutines could close connections.
pub(crate) const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listening socket on an address.
///
/// `TcpListener::bind` of `may` (0.3.51) is not used because it sets SO_REUSEPORT: a second front on the same address would
/// start without an error and receive half of the players.
///
/// # Errors
/// The address is already in use, or does not belong to this machine.
#[allow(unsafe_code)]
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?; // Allows a restart while old connections are in TIME_WAIT.
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    // SAFETY: the descriptor was just created, and `into_raw_fd` gives up its ownership, so it has no other owner. `may`
    // has no safe way to take over a listener.
    Ok(unsafe { TcpListener::from_raw_fd(socket.into_raw_fd()) })
}

/// Starts a coroutine that accepts connections and handles each with `handle_connection` in a coroutine of its own. Its state,
/// which `open_state` returns for each connection, is dropped however that coroutine ends ([`spawn_with_state`]).
///
/// To stop it, set `should_stop`, then connect once: the flag is only checked after each accept.
pub fn accept_each<S: Send + 'static>(
    listener: TcpListener,
    should_stop: Arc<AtomicBool>,
    open_state: impl Fn() -> S + Send + 'static,
    handle_connection: impl Fn(Socket, &S) + Send + Sync + 'static,
) {
    let handle_connection = Arc::new(handle_connection);
    let mut budget = YieldBudget::default();
    spawn(Stack::Default, move || loop {
        let accepted = listener.accept();
        if should_stop.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, _)) => {
                let handle_connection = handle_connection.clone();
                spawn_with_state(Stack::Default, open_state(), move |state| {
                    handle_connection(Socket::new(stream), state);
                });
                budget.spend(); // Accept never waits while connections are queued in the kernel.
            }
            Err(_) => sleep(ACCEPT_RETRY_PAUSE),
        }
    });
}
