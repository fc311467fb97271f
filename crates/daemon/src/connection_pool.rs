//! Idle connections to servers, kept for the next attempt.
use crankpaddle_net::{clock, Socket};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Idle connections to servers.
#[derive(Default)]
pub(crate) struct Pool(Mutex<HashMap<SocketAddr, Vec<Arc<Socket>>>>);

impl Pool {
    /// A connection that is there and idle. The latest used first, so that the others grow old and close.
    pub(crate) fn take(&self, address: &SocketAddr) -> Option<Arc<Socket>> {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let of_server = idle.get_mut(address)?;
        while let Some(socket) = of_server.pop() {
            // Danger: a server closes idle connections too. What is written into a closed one may have run for all we
            // know, and a paid set-up would be lost; so it must be seen idle right before.
            if socket.is_idle() {
                socket.set_expiry(u64::MAX);
                return Some(socket);
            }
        }
        idle.remove(address);
        None
    }

    pub(crate) fn put(&self, address: SocketAddr, socket: Arc<Socket>, for_time: u64) {
        socket.set_expiry(clock::now().saturating_add(for_time));
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let of_server = idle.entry(address).or_default();
        of_server.retain(|s| !s.is_closed());
        of_server.push(socket);
    }

    /// Forgets connections that were closed.
    pub(crate) fn prune(&self) {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, of_server| {
            of_server.retain(|s| !s.is_closed());
            !of_server.is_empty()
        });
    }
}
