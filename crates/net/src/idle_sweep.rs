//! Ends connections whose time has come, without a timer for each.
use crate::{clock, sleep, spawn, Socket, Stack};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

/// Watches sockets; when it is dropped it stops.
pub struct IdleSweeper {
    sockets: Arc<Mutex<Vec<Weak<Socket>>>>,
}

impl IdleSweeper {
    /// Looks at the sockets so often; ends are late by as much.
    pub fn start(every: Duration) -> IdleSweeper {
        let sockets: Arc<Mutex<Vec<Weak<Socket>>>> = Arc::default();
        let watched = Arc::downgrade(&sockets);
        spawn(Stack::Usual, move || {
            while let Some(sockets) = watched.upgrade() {
                let now = clock::now();
                let alive = |socket: &Weak<Socket>| match socket.upgrade() {
                    Some(socket) => {
                        socket.expire(now);
                        !socket.is_closed()
                    }
                    None => false,
                };
                // The lock is held over calls that do not wait.
                sockets
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .retain(alive);
                drop(sockets);
                sleep(every);
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
