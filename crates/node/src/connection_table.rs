//! All viewers' connections, and which of them is closed when there are too many.
use crate::viewer_connection::{ConnectionId, UnreadInput, ViewerConnection};
use crankpaddle_net::{clock, CloseReason};
use crankpaddle_time::Time;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// All viewers' connections.
pub(crate) struct ConnectionTable {
    max_connections: usize,
    /// Whether there was no free slot when one was last wanted.
    is_full: AtomicBool,
    slots_in_use: AtomicUsize,
    last_id: AtomicU64,
    connections: Mutex<BTreeMap<ConnectionId, Arc<ViewerConnection>>>,
}

impl ConnectionTable {
    pub(crate) fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable {
            max_connections,
            is_full: AtomicBool::new(false),
            slots_in_use: AtomicUsize::new(0),
            last_id: AtomicU64::new(0),
            connections: Mutex::default(),
        }
    }

    fn connections(&self) -> MutexGuard<'_, BTreeMap<ConnectionId, Arc<ViewerConnection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count(&self) -> usize {
        self.connections().len()
    }

    /// An id that no connection had.
    pub(crate) fn next_id(&self) -> ConnectionId {
        ConnectionId(self.last_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    pub(crate) fn insert(&self, connection: &Arc<ViewerConnection>) {
        self.connections().insert(connection.id, connection.clone());
    }

    pub(crate) fn remove(&self, id: ConnectionId) {
        self.connections().remove(&id);
    }

    /// Takes the slot of one more connection; false if none is free, and then the connection of least use is closed, so that one
    /// soon is. [`ConnectionTable::release_slot`] is due in both cases.
    ///
    /// Why none is closed while an accepted connection is not in the table yet: its coroutine has not run, and it is of less use
    /// than any that has sent something. On a busy machine a hundred silent clients were accepted before the first of them was
    /// in the table; the only connection in it, one with a session, was closed.
    pub(crate) fn acquire_slot(&self) -> bool {
        let in_use = self.slots_in_use.fetch_add(1, Ordering::AcqRel);
        let has_capacity = in_use < self.max_connections;
        self.is_full.store(!has_capacity, Ordering::Release);
        if !has_capacity && self.count() >= in_use {
            self.close_least_used();
        }
        has_capacity
    }

    pub(crate) fn release_slot(&self) {
        self.slots_in_use.fetch_sub(1, Ordering::AcqRel);
    }

    /// All connections.
    pub(crate) fn all(&self) -> Vec<Arc<ViewerConnection>> {
        self.connections().values().cloned().collect()
    }

    /// Whether anything is pending on any connection, or may be on those that wait to be accepted where no slot is free.
    pub(crate) fn has_pending_work(&self, now: Time, unread: UnreadInput) -> bool {
        if unread == UnreadInput::Include && self.is_full.load(Ordering::Acquire) {
            return true;
        }
        self.connections()
            .values()
            .any(|connection| connection.has_pending_work(now, unread))
    }

    /// Closes the connection of least use.
    ///
    /// Why: hundreds of clients that connect and send nothing would take the descriptors that servers need, and keep honest
    /// viewers out. And a closed connection frees its slot only when its coroutine has run: called again before that, as on a
    /// busy machine each millisecond, this would close one after the other until it comes to those in use (seen as a viewer with a
    /// session that was closed among hundreds of silent clients). So one is closed at a time. The price: among many silent
    /// clients an honest connection that has not sent anything yet may be closed; the oldest of them is. A set-up that crosses
    /// the close of a connection is retried by its viewer, so one that was idle for long is closed before one that was just
    /// used.
    fn close_least_used(&self) {
        let connections = self.connections();
        if connections.values().any(|connection| !connection.is_open()) {
            return;
        }
        let now = clock::now();
        let least_used = connections
            .values()
            .filter(|connection| !connection.has_pending_work(now, UnreadInput::Include))
            .min_by_key(|connection| {
                (
                    connection.has_sent_message.load(Ordering::Relaxed),
                    connection.last_used(),
                )
            });
        if let Some(connection) = least_used {
            connection
                .outbox
                .socket()
                .close(CloseReason::DescriptorNeeded);
        }
    }
}

#[cfg(test)]
mod tests;
