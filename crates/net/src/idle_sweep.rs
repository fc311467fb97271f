//! Closes sockets that have expired, without a timer for each.
use crate::{clock, sleep, spawn, Socket, Stack};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

/// Watches sockets; stops when it is dropped.
pub struct IdleSweeper {
    sockets: Arc<Mutex<Vec<Weak<Socket>>>>,
}

impl IdleSweeper {
    /// Starts a sweep every `interval`; a socket is closed late by as much.
    #[must_use]
    pub fn start(interval: Duration) -> IdleSweeper {
        let sockets: Arc<Mutex<Vec<Weak<Socket>>>> = Arc::default();
        let watched = Arc::downgrade(&sockets);
        spawn(Stack::Usual, move || {
            while let Some(sockets) = watched.upgrade() {
                sweep(&sockets);
                drop(sockets);
                sleep(interval);
            }
        });
        IdleSweeper { sockets }
    }

    /// Watches a socket from now on.
    pub fn watch(&self, socket: &Arc<Socket>) {
        self.sockets
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Arc::downgrade(socket));
    }
}

/// Closes expired sockets and forgets closed ones.
fn sweep(sockets: &Mutex<Vec<Weak<Socket>>>) {
    let now = clock::now();
    // The lock is held over calls that do not wait.
    let mut sockets = sockets.lock().unwrap_or_else(PoisonError::into_inner);
    sockets.retain(|socket| match socket.upgrade() {
        Some(socket) => {
            socket.expire(now);
            !socket.is_closed()
        }
        None => false,
    });
}
