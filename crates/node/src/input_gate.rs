//! Bounds the messages of one connection that were read and that the event loop has not handled yet.
//!
//! A reader that passed on everything that arrives would let a client that sends faster than the event loop handles fill the
//! memory. With the gate the rest stays unread, and TCP slows the client down. Each connection has a gate of its own, so that
//! one that sends at full speed neither takes room from the others nor gets more than one turn before theirs.
use crankpaddle_net::Socket;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// The memory that a decoded message takes beyond its text: the message, and its table of at most seven fields.
pub(crate) const MESSAGE_OVERHEAD_BYTES: usize = 1024;

/// The memory that a message of `length` bytes on the wire takes until it is handled.
pub(crate) const fn message_bytes(length: usize) -> usize {
    MESSAGE_OVERHEAD_BYTES + length
}

/// The bound for one connection. The reader waits in [`InputGate::admit`] until there is room.
pub(crate) struct InputGate {
    socket: Arc<Socket>,
    max_queued_bytes: usize,
    queued_bytes: AtomicUsize,
    /// Whether the reader waits, or is about to.
    is_reader_waiting: AtomicBool,
    /// Set whenever a reader is woken.
    has_woken_readers: Arc<AtomicBool>,
}

impl InputGate {
    pub(crate) fn new(
        socket: Arc<Socket>,
        max_queued_bytes: usize,
        has_woken_readers: Arc<AtomicBool>,
    ) -> InputGate {
        InputGate {
            socket,
            max_queued_bytes,
            queued_bytes: AtomicUsize::new(0),
            is_reader_waiting: AtomicBool::new(false),
            has_woken_readers,
        }
    }

    /// Waits until there is room for `bytes`, and returns the permit to queue them. If nothing is queued there is always room, so
    /// that a message above the bound can pass. Must be called in the coroutine that waits on the socket.
    pub(crate) fn admit(self: &Arc<InputGate>, bytes: usize) -> QueuedInput {
        while !self.has_capacity(bytes) {
            // `SeqCst` here and in `release`: either this sees the release, or the release sees that the reader waits.
            self.is_reader_waiting.store(true, Ordering::SeqCst);
            if !self.has_capacity(bytes) {
                self.socket.wait();
            }
            self.is_reader_waiting.store(false, Ordering::SeqCst);
        }
        self.queued_bytes.fetch_add(bytes, Ordering::SeqCst);
        QueuedInput {
            gate: self.clone(),
            bytes,
        }
    }

    /// The bytes that are queued now.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::SeqCst)
    }

    fn has_capacity(&self, bytes: usize) -> bool {
        let queued = self.queued_bytes();
        queued == 0 || queued.saturating_add(bytes) <= self.max_queued_bytes
    }

    /// Gives room back, and wakes the reader once all of it is free: it then passes on several messages at a time.
    fn release(&self, bytes: usize) {
        let was_queued = self.queued_bytes.fetch_sub(bytes, Ordering::SeqCst);
        if was_queued == bytes && self.is_reader_waiting.load(Ordering::SeqCst) {
            self.has_woken_readers.store(true, Ordering::Relaxed);
            self.socket.wake();
        }
    }
}

/// Input that is queued for the event loop. Dropping it gives its room back.
pub(crate) struct QueuedInput {
    gate: Arc<InputGate>,
    bytes: usize,
}

impl Drop for QueuedInput {
    fn drop(&mut self) {
        self.gate.release(self.bytes);
    }
}

#[cfg(test)]
mod tests;
