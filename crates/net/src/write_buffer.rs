//! A bounded buffer of what is sent to a peer that may not read; senders never wait.
use crate::yield_budget::YieldBudget;
use crate::{clock, CloseReason, Socket};
use crankpaddle_time::{AtomicTime, Time};
use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How the reading of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// The peer closed the connection, or this side did ([`Socket::close_reason`]).
    Closed,
    /// The connection failed; `ConnectionReset`: the peer has reset it, and may not have read what was sent last.
    Failed(ErrorKind),
    /// What was received is not wanted any further.
    Stopped,
}

/// Why bytes were not accepted for sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PushError {
    Failed,
    Full,
}

/// Outgoing bytes of one socket, in order.
///
/// Why it is bounded: a peer that never reads would fill the memory; over the bound it is disconnected, which also hits
/// a slow but honest peer that falls behind by more.
pub struct WriteBuffer {
    socket: Arc<Socket>,
    max_pending: usize,
    pending: Mutex<Vec<u8>>,
    /// Bytes that the kernel has accepted, in all.
    accepted: AtomicU64,
    /// When its reader last found nothing more to read.
    drained_at: AtomicTime,
}

impl WriteBuffer {
    /// A buffer in which at most `max_pending` bytes wait.
    #[must_use]
    pub fn new(socket: Arc<Socket>, max_pending: usize) -> WriteBuffer {
        WriteBuffer {
            socket,
            max_pending,
            pending: Mutex::new(Vec::new()),
            accepted: AtomicU64::new(0),
            drained_at: AtomicTime::new(Time::ZERO),
        }
    }

    /// The socket.
    #[must_use]
    pub fn socket(&self) -> &Arc<Socket> {
        &self.socket
    }

    /// Where what was pushed until now ends, counted in bytes from the start of the connection.
    #[must_use]
    pub fn end_position(&self) -> u64 {
        let pending = self.lock_pending();
        self.accepted.load(Ordering::Relaxed) + pending.len() as u64
    }

    /// Up to where the peer's machine has acknowledged what was pushed; `None` where the kernel does not report it.
    #[must_use]
    pub fn acknowledged_position(&self) -> Option<u64> {
        let unacknowledged = self.socket.unacknowledged()? as u64;
        let accepted = self.accepted.load(Ordering::Relaxed);
        Some(accepted.saturating_sub(unacknowledged))
    }

    /// When its reader last found nothing more to read: all that had arrived by then was passed on.
    #[must_use]
    pub fn drained_at(&self) -> Time {
        self.drained_at.load(Ordering::Acquire)
    }

    /// Writes what the kernel accepts, and counts it.
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let accepted = self.socket.try_write(bytes)?;
        self.accepted.fetch_add(accepted as u64, Ordering::Relaxed);
        Ok(accepted)
    }

    /// Whether no bytes wait: the kernel has accepted all that was pushed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock_pending().is_empty()
    }

    /// The guard is only held over calls that do not wait.
    fn lock_pending(&self) -> MutexGuard<'_, Vec<u8>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends bytes, or holds what the kernel does not accept for [`WriteBuffer::flush`]. Never waits. False if the peer was
    /// disconnected; then no byte has gone out of a message that is shorter than the bound.
    pub fn push(&self, bytes: &[u8]) -> bool {
        let mut pending = self.lock_pending();
        let Err(error) = self.try_push(&mut pending, bytes) else {
            return true;
        };
        *pending = Vec::new();
        drop(pending);
        self.socket.close(match error {
            PushError::Failed => CloseReason::WriteFailed,
            PushError::Full => CloseReason::BufferFull,
        });
        false
    }

    fn try_push(&self, pending: &mut Vec<u8>, bytes: &[u8]) -> Result<(), PushError> {
        let sent = if pending.is_empty() {
            self.write(bytes)
        } else {
            Ok(0) // Bytes go out in order.
        };
        let Ok(sent) = sent else {
            return Err(PushError::Failed);
        };
        pending.extend_from_slice(&bytes[sent..]);
        if pending.len() > self.max_pending {
            return Err(PushError::Full);
        }
        Ok(())
    }

    /// Passes what the peer sends to `each`, in pieces of at most `PIECE` bytes, and sends what waits, until the peer ends
    /// the connection or `each` returns false. Call in the coroutine that waits on the socket.
    pub fn read_each<const PIECE: usize>(&self, mut each: impl FnMut(&[u8]) -> bool) -> ReadEnd {
        let mut piece = [0u8; PIECE];
        let mut budget = YieldBudget::default();
        loop {
            self.flush();
            match self.socket.try_read(&mut piece) {
                Ok(None) => {
                    self.drained_at.store(clock::now(), Ordering::Release);
                    self.socket.wait();
                    budget.reset();
                }
                Ok(Some(0)) => return ReadEnd::Closed,
                Err(error) => return ReadEnd::Failed(error.kind()),
                Ok(Some(count)) if !each(&piece[..count]) => return ReadEnd::Stopped,
                Ok(Some(_)) => budget.spend(), // A peer that sends at full speed always has something to read.
            }
        }
    }

    /// Sends what waits until the peer ends the connection, and discards what it sends. Call in the coroutine that waits on
    /// the socket.
    pub fn until_closed(&self) {
        self.read_each::<64>(|_| true);
    }

    /// Sends what waits, as far as the kernel accepts it; true if nothing waits any more. Called by the coroutine that waits
    /// on the socket.
    pub fn flush(&self) -> bool {
        let mut pending = self.lock_pending();
        while !pending.is_empty() {
            match self.write(&pending) {
                Ok(0) => return false,
                Ok(sent) => {
                    pending.drain(..sent);
                }
                Err(_) => *pending = Vec::new(), // The reader finds the failure too.
            }
        }
        pending.shrink_to(0); // An idle connection holds no memory.
        true
    }
}
