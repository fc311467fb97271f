//! Listening sockets and the loop that accepts connections.
use crate::yield_budget::YieldBudget;
use crate::{sleep, spawn, Socket, Stack};
use may::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Connections that may wait in the kernel to be accepted.
const BACKLOG: i32 = 1024;
/// Pause after a failed accept.
///
/// Why: out of file descriptors, accept fails at once and for long; a loop without a pause would take the core that
/// could close some.
pub(crate) const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Listens on an address.
///
/// Why not may's own bind (0.3.51): it sets SO_REUSEPORT, so that a second front on the same address would start
/// without an error and take half of the players.
///
/// # Errors
/// The address is in use or not this machine's.
#[allow(unsafe_code)]
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?; // A restart need not wait until the kernel forgets old connections.
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    // SAFETY: the descriptor was just made, and `into_raw_fd` gives up its ownership: it has no other owner. may has no safe
    // way to adopt a listener.
    Ok(unsafe { TcpListener::from_raw_fd(socket.into_raw_fd()) })
}

/// Accepts connections, each handled in a coroutine of its own. To end it, set `until`, then connect once.
pub fn accept_each(
    listener: TcpListener,
    until: Arc<AtomicBool>,
    each: impl Fn(Socket) + Send + Sync + 'static,
) {
    let each = Arc::new(each);
    let mut budget = YieldBudget::default();
    spawn(Stack::Usual, move || loop {
        let accepted = listener.accept();
        if until.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, _)) => {
                let each = each.clone();
                spawn(Stack::Usual, move || each(Socket::new(stream)));
                budget.spend(); // While connections wait in the kernel, accept never waits.
            }
            Err(_) => sleep(ACCEPT_RETRY),
        }
    });
}
