//! Closes expired sockets in a periodic sweep, so that no socket needs a timer of its own.
use crate::{clock, sleep, spawn, Socket, Stack};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

/// Closes watched sockets once they have expired ([`Socket::expire`]). The sweep stops when this is dropped.
pub struct IdleSweeper {
    sockets: Arc<Mutex<Vec<Weak<Socket>>>>,
}

impl IdleSweeper {
    /// Starts a coroutine that checks all watched sockets every `interval`, so a socket is closed at most that much late.
    #[must_use]
    pub fn start(interval: Duration) -> IdleSweeper {
        let sockets: Arc<Mutex<Vec<Weak<Socket>>>> = Arc::default();
        let watched = Arc::downgrade(&sockets);
        spawn(Stack::Default, move || {
            while let Some(sockets) = watched.upgrade() {
                sweep(&sockets);
                drop(sockets);
                sleep(interval);
            }
        });
        IdleSweeper { sockets }
    }

    /// Adds a socket to the sweep; it is forgotten once it is closed or dropped.
    pub fn watch(&self, socket: &Arc<Socket>) {
        self.sockets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Arc::downgrade(socket));
    }
}

/// Closes expired sockets and removes closed and dropped ones from the list.
fn sweep(sockets: &Mutex<Vec<Weak<Socket>>>) {
    let now = clock::now();
    // Holding the guard is safe: no call below suspends the coroutine.
    let mut sockets = sockets.lock().unwrap_or_else(PoisonError::into_inner);
    sockets.retain(|socket| match socket.upgrade() {
        Some(socket) => {
            socket.expire(now);
            !socket.is_closed()
        }
        None => false,
    });
}
