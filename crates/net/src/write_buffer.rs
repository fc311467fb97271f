//! A bounded buffer of outgoing bytes for a peer that may read slowly or not at all. Senders never wait.
use crate::yield_budget::YieldBudget;
use crate::{clock, CloseReason, Socket};
use crankpaddle_time::{AtomicTime, Time};
use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why [`WriteBuffer::read_each`] stopped reading a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// The peer closed the connection, or this side did; [`Socket::close_reason`] tells which.
    Closed,
    /// The connection failed. After `ConnectionReset` the peer may not have read what was sent last.
    Failed(ErrorKind),
    /// The callback asked to stop.
    Stopped,
}

/// Why bytes could neither be sent nor buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PushError {
    /// Writing to the socket failed; the connection ends with [`CloseReason::WriteFailed`].
    Failed,
    /// The buffer would exceed its bound.
    Full,
}

/// The outgoing bytes of one socket, in order.
///
/// The buffer is bounded because a peer that never reads would otherwise fill the memory. A peer for which more bytes wait
/// is disconnected, and this also affects an honest peer that is merely too slow.
pub struct WriteBuffer {
    socket: Arc<Socket>,
    /// Most bytes that may wait in `pending`.
    max_pending: usize,
    /// Bytes that the kernel has not accepted yet.
    pending: Mutex<Vec<u8>>,
    /// Total number of bytes that the kernel has accepted.
    accepted: AtomicU64,
    /// When the reader of the socket last found nothing more to read.
    input_drained_at: AtomicTime,
}

impl WriteBuffer {
    /// An empty buffer that holds at most `max_pending` bytes which the kernel has not accepted yet.
    #[must_use]
    pub fn new(socket: Arc<Socket>, max_pending: usize) -> WriteBuffer {
        WriteBuffer {
            socket,
            max_pending,
            pending: Mutex::new(Vec::new()),
            accepted: AtomicU64::new(0),
            input_drained_at: AtomicTime::new(Time::ZERO),
        }
    }

    /// The socket to which the buffer is written.
    #[must_use]
    pub fn socket(&self) -> &Arc<Socket> {
        &self.socket
    }

    /// The position after the last byte that was pushed, counted in bytes from the start of the connection.
    #[must_use]
    pub fn end_position(&self) -> u64 {
        let pending = self.lock_pending();
        self.accepted.load(Ordering::Relaxed) + pending.len() as u64
    }

    /// The position up to which the peer's kernel has acknowledged what was pushed, counted like
    /// [`WriteBuffer::end_position`]; `None` where the kernel does not report it.
    #[must_use]
    pub fn acknowledged_position(&self) -> Option<u64> {
        let unacknowledged = self.socket.unacknowledged_bytes()? as u64;
        let accepted = self.accepted.load(Ordering::Relaxed);
        Some(accepted.saturating_sub(unacknowledged))
    }

    /// When [`WriteBuffer::read_each`] last found nothing more to read. Everything that arrived before was passed on.
    /// [`Time::ZERO`] if that has not happened yet.
    #[must_use]
    pub fn input_drained_at(&self) -> Time {
        self.input_drained_at.load(Ordering::Acquire)
    }

    /// Writes what the kernel accepts without waiting, and counts it.
    fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let accepted = self.socket.try_write(bytes)?;
        self.accepted.fetch_add(accepted as u64, Ordering::Relaxed);
        Ok(accepted)
    }

    /// Whether the kernel has accepted all bytes that were pushed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock_pending().is_empty()
    }

    /// Locks the buffer. Callers must not wait while they hold the guard.
    fn lock_pending(&self) -> MutexGuard<'_, Vec<u8>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends bytes, and keeps what the kernel does not accept for [`WriteBuffer::flush`]. Never waits. Returns false if it
    /// closed the connection instead; then no byte was sent of a message that is shorter than the bound.
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

    /// Sends `bytes`, or appends to `pending` what the kernel does not accept.
    fn try_push(&self, pending: &mut Vec<u8>, bytes: &[u8]) -> Result<(), PushError> {
        let sent = if pending.is_empty() {
            self.write(bytes)
        } else {
            Ok(0) // Earlier bytes have to be sent first.
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

    /// Passes what the peer sends to `handle_chunk`, at most `CHUNK_BYTES` bytes at a time, and flushes the buffer, until the
    /// connection ends or `handle_chunk` returns false. Must be called in the coroutine that waits on the socket.
    pub fn read_each<const CHUNK_BYTES: usize>(
        &self,
        mut handle_chunk: impl FnMut(&[u8]) -> bool,
    ) -> ReadEnd {
        let mut chunk = [0u8; CHUNK_BYTES];
        let mut budget = YieldBudget::default();
        loop {
            self.flush();
            match self.socket.try_read(&mut chunk) {
                Ok(None) => {
                    self.input_drained_at.store(clock::now(), Ordering::Release);
                    self.socket.wait();
                    budget.reset();
                }
                Ok(Some(0)) => return ReadEnd::Closed,
                Err(error) => return ReadEnd::Failed(error.kind()),
                Ok(Some(count)) if !handle_chunk(&chunk[..count]) => return ReadEnd::Stopped,
                Ok(Some(_)) => budget.spend(), // The socket of a peer that sends at full speed is always readable.
            }
        }
    }

    /// Flushes the buffer until the connection ends, and discards what the peer sends. Must be called in the coroutine that
    /// waits on the socket.
    pub fn flush_until_closed(&self) {
        self.read_each::<64>(|_| true);
    }

    /// Sends buffered bytes as far as the kernel accepts them; true if the buffer is empty afterwards. Must be called in the
    /// coroutine that waits on the socket.
    pub fn flush(&self) -> bool {
        let mut pending = self.lock_pending();
        while !pending.is_empty() {
            match self.write(&pending) {
                Ok(0) => return false,
                Ok(sent) => {
                    pending.drain(..sent);
                }
                Err(_) => *pending = Vec::new(), // The reader of the socket reports the failure.
            }
        }
        pending.shrink_to(0); // So that an idle connection uses no memory.
        true
    }
}
