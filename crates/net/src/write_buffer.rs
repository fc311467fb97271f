//! What is to be sent to a peer that may not read: bounded, in order, never waited for by who sends.
use crate::runtime::Turns;
use crate::Socket;
use std::sync::{Arc, Mutex, PoisonError};

/// Bytes for one socket. Danger: a peer that never reads would fill the memory; over the bound it is cut. Harm: a
/// slow but honest peer is cut too if it falls behind by more.
pub struct WriteBuffer {
    socket: Arc<Socket>,
    most: usize,
    pending: Mutex<Vec<u8>>,
}

impl WriteBuffer {
    /// An outbox in which at most `most` bytes wait.
    pub fn new(socket: Arc<Socket>, most: usize) -> WriteBuffer {
        WriteBuffer {
            socket,
            most,
            pending: Mutex::new(Vec::new()),
        }
    }

    /// The socket.
    pub fn socket(&self) -> &Arc<Socket> {
        &self.socket
    }

    /// Whether nothing waits: all that was sent is the kernel's.
    pub fn is_empty(&self) -> bool {
        self.pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_empty()
    }

    /// Sends, or keeps what the kernel does not take for [`WriteBuffer::flush`]. Never waits. False if the peer was cut; no byte of
    /// a message that is shorter than what may wait has gone out then.
    pub fn push(&self, bytes: &[u8]) -> bool {
        // The lock is held over calls that do not wait.
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = if pending.is_empty() {
            self.socket.try_write(bytes)
        } else {
            Ok(0)
        };
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
            self.socket.close();
        }
        !cut
    }

    /// Hands what the peer sends to `each`, in pieces of `PIECE` bytes at most, and sends what waits, until the peer ends the
    /// connection or `each` wants no more. Call in the coroutine that waits on the socket. True if the peer ended it.
    pub fn read_each<const PIECE: usize>(&self, mut each: impl FnMut(&[u8]) -> bool) -> bool {
        let (mut piece, mut turns) = ([0u8; PIECE], Turns::default());
        loop {
            self.flush();
            match self.socket.try_read(&mut piece) {
                Ok(None) => {
                    self.socket.wait();
                    turns.waited();
                }
                Ok(Some(0)) | Err(_) => return true,
                Ok(Some(n)) if !each(&piece[..n]) => return false,
                Ok(Some(_)) => turns.took(), // From one that sends at full speed there is always something to read.
            }
        }
    }

    /// Sends what waits until the peer ends the connection, and throws away what it sends. Call in the coroutine that
    /// waits on the socket.
    pub fn until_closed(&self) {
        self.read_each::<64>(|_| true);
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
