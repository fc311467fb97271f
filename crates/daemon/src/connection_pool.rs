//! Idle connections to servers, kept for the next attempt.
use crankpaddle_net::{clock, Socket};
use crankpaddle_time::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

type IdleConnections = HashMap<SocketAddr, Vec<Arc<Socket>>>;

/// Idle connections by server. The lock is never held over a wait.
#[derive(Default)]
pub(crate) struct ConnectionPool(Mutex<IdleConnections>);

impl ConnectionPool {
    /// An idle connection, if there is one. The one used last is taken first, so that the others expire.
    pub(crate) fn take(&self, address: &SocketAddr) -> Option<Arc<Socket>> {
        let mut idle = self.lock();
        let sockets = idle.get_mut(address)?;
        while let Some(socket) = sockets.pop() {
            // Why it is checked right before use: a server closes idle connections too, and what is written
            // into a closed one may have run as far as is known here, so that a paid set-up would be lost.
            if socket.is_idle() {
                socket.set_expiry(Time::MAX);
                return Some(socket);
            }
        }
        idle.remove(address);
        None
    }

    /// Keeps a connection for `idle_timeout`.
    pub(crate) fn put(&self, address: SocketAddr, socket: Arc<Socket>, idle_timeout: Duration) {
        socket.set_expiry(clock::now() + idle_timeout);
        let mut idle = self.lock();
        let sockets = idle.entry(address).or_default();
        sockets.retain(|socket| !socket.is_closed());
        sockets.push(socket);
    }

    /// Removes connections that were closed.
    pub(crate) fn prune(&self) {
        self.lock().retain(|_, sockets| {
            sockets.retain(|socket| !socket.is_closed());
            !sockets.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
