//! A pool of idle connections to servers, reused for later attempts.
use crankpaddle_net::{clock, Socket};
use crankpaddle_time::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

type IdleConnections = HashMap<SocketAddr, Vec<Arc<Socket>>>;

/// Idle connections by the server's address. The lock is never held across a wait.
#[derive(Default)]
pub(crate) struct ConnectionPool(Mutex<IdleConnections>);

impl ConnectionPool {
    /// Takes an idle connection from the pool, if there is one. The most recently used one is taken first, so that the
    /// others can expire.
    pub(crate) fn take(&self, address: &SocketAddr) -> Option<Arc<Socket>> {
        let mut idle = self.lock();
        let sockets = idle.get_mut(address)?;
        while let Some(socket) = sockets.pop() {
            // Checked right before use, because a server may have closed the idle connection meanwhile. If a paid
            // set-up were written to such a connection, the front could not rule out that it ran, and it would fail
            // instead of being retried.
            if socket.is_idle() {
                socket.set_expiry(Time::MAX);
                return Some(socket);
            }
        }
        idle.remove(address);
        None
    }

    /// Returns a connection to the pool; it is closed after `idle_timeout`.
    pub(crate) fn put(&self, address: SocketAddr, socket: Arc<Socket>, idle_timeout: Duration) {
        socket.set_expiry(clock::now() + idle_timeout);
        let mut idle = self.lock();
        let sockets = idle.entry(address).or_default();
        sockets.retain(|socket| !socket.is_closed());
        sockets.push(socket);
    }

    /// Removes closed connections from the pool.
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
