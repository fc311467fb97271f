//! The table of viewers' connections, and the choice of one to close when there are too many.
use crate::viewer_connection::{ConnectionId, UnreadInput, ViewerConnection};
use crankpaddle_net::{clock, CloseReason};
use crankpaddle_time::Time;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The table of viewers' connections.
///
/// A slot stands for one connection that may be open. It is acquired before a connection is accepted, and released after the
/// connection is closed, so there may be more slots in use than connections in the table.
pub(crate) struct ConnectionTable {
    max_connections: usize,
    /// Whether there was no free slot when one was last requested.
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

    /// The memory that the queued input of all connections takes.
    pub(crate) fn queued_input_bytes(&self) -> usize {
        self.connections()
            .values()
            .map(|connection| connection.input_gate.queued_bytes())
            .sum()
    }

    /// A new connection id, which no other connection has had.
    pub(crate) fn next_id(&self) -> ConnectionId {
        ConnectionId(self.last_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    pub(crate) fn insert(&self, connection: &Arc<ViewerConnection>) {
        self.connections().insert(connection.id, connection.clone());
    }

    pub(crate) fn remove(&self, id: ConnectionId) {
        self.connections().remove(&id);
    }

    /// Acquires a slot for one more connection; false if none is free. In that case the least used connection is closed, so
    /// that a slot becomes free soon. The caller must call [`ConnectionTable::release_slot`] in both cases.
    ///
    /// No connection is closed while an accepted one is not in the table yet. The coroutine of such a connection has not run,
    /// and the connection is less used than any that has sent something. Without this rule, a hundred silent clients were
    /// accepted on a busy machine before the first of them was in the table, and the only connection in the table, which had a
    /// session, was closed.
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

    /// A copy of the list of all connections, in the order of their ids.
    pub(crate) fn all(&self) -> Vec<Arc<ViewerConnection>> {
        self.connections().values().cloned().collect()
    }

    /// Whether anything is pending on any connection. While no slot is free and `unread` is [`UnreadInput::Include`] this is
    /// always true, because connections in the listener's queue may have input.
    pub(crate) fn has_pending_work(&self, now: Time, unread: UnreadInput) -> bool {
        if unread == UnreadInput::Include && self.is_full.load(Ordering::Acquire) {
            return true;
        }
        self.connections()
            .values()
            .any(|connection| connection.has_pending_work(now, unread))
    }

    /// Closes the least used connection on which nothing is pending but an overdue part of a message, unless a closed connection is
    /// still in the table.
    ///
    /// Without such closes, hundreds of clients that connect and send nothing would hold the descriptors that servers need, and
    /// keep honest viewers out. Only one connection is closed at a time, because a closed connection frees its slot only after
    /// its coroutine has run. On a busy machine this is called each millisecond before that, and would close one connection
    /// after the other, including those in use: a viewer with a session was closed among hundreds of silent clients.
    ///
    /// Connections that have sent no message, or whose message is overdue, are closed first, the oldest of them before the others,
    /// so an honest connection that has not sent anything yet may be closed among many silent ones. A set-up that crosses the close
    /// of a connection is retried by its viewer, so a connection that was idle for long is closed before one that was just used.
    fn close_least_used(&self) {
        let connections = self.connections();
        if connections.values().any(|connection| !connection.is_open()) {
            return;
        }
        let now = clock::now();
        let least_used = connections
            .values()
            .filter(|connection| connection.may_be_displaced(now))
            .min_by_key(|connection| (is_in_use(connection, now), connection.last_used()));
        if let Some(connection) = least_used {
            connection
                .outbox
                .socket()
                .close(CloseReason::DescriptorNeeded);
        }
    }
}

/// Whether the client of a connection has sent a message, and did not stop amid the next one.
fn is_in_use(connection: &ViewerConnection, now: Time) -> bool {
    connection.has_sent_message.load(Ordering::Relaxed) && !connection.has_overdue_message(now)
}

#[cfg(test)]
mod tests;
