//! What is to be sent to a peer that may not read: bounded, in order, never waited for by who sends.
use crate::Socket;
use std::sync::{Arc, Mutex, PoisonError};

/// Bytes for one socket. Danger: a peer that never reads would fill the memory; over the bound it is cut. Harm: a
/// slow but honest peer is cut too if it falls behind by more.
pub struct Outbox {
    socket: Arc<Socket>,
    most: usize,
    pending: Mutex<Vec<u8>>,
}

impl Outbox {
    /// An outbox in which at most `most` bytes wait.
    pub fn new(socket: Arc<Socket>, most: usize) -> Outbox {
        Outbox { socket, most, pending: Mutex::new(Vec::new()) }
    }

    /// The socket.
    pub fn socket(&self) -> &Arc<Socket> {
        &self.socket
    }

    /// Like [`Outbox::push`], but tells whether anything can have reached the peer: false only if not one byte went out
    /// or ever will.
    pub fn push_first(&self, bytes: &[u8]) -> bool {
        {
            let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
            if pending.is_empty() {
                return match self.socket.try_write(bytes) {
                    Ok(n) => {
                        pending.extend_from_slice(&bytes[n..]);
                        true
                    }
                    Err(_) => false,
                };
            }
        }
        self.push(bytes)
    }

    /// Sends, or keeps what the kernel does not take for [`Outbox::flush`]. Never waits. False if the peer was cut.
    pub fn push(&self, bytes: &[u8]) -> bool {
        // The lock is held over calls that do not wait.
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = if pending.is_empty() { self.socket.try_write(bytes) } else { Ok(0) };
        let cut = match sent {
            Ok(n) => {
                pending.extend_from_slice(&bytes[n..]);
                pending.len() > self.most
            }
            Err(_) => true,
        };
        if cut {
            *pending = Vec::new();
            drop(pending);
            self.socket.shut();
        }
        !cut
    }

    /// Sends what waits until the peer ends the connection, and throws away what it sends. Call in the coroutine that
    /// waits on the socket.
    pub fn until_closed(&self) {
        let mut piece = [0u8; 64];
        loop {
            self.flush();
            match self.socket.try_read(&mut piece) {
                Ok(None) => self.socket.wait(),
                Ok(Some(n)) if n > 0 => {}
                _ => return,
            }
        }
    }

    /// Sends what waits, as far as the kernel takes it; called by the coroutine that waits on the socket. True if
    /// nothing waits any more.
    pub fn flush(&self) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        while !pending.is_empty() {
            match self.socket.try_write(&pending) {
                Ok(0) => return false,
                Ok(n) => drop(pending.drain(..n)),
                Err(_) => *pending = Vec::new(), // The reader finds the break too.
            }
        }
        pending.shrink_to(0); // An idle connection keeps nothing.
        true
    }
}
