//! Reads viewers' connections, and closes those that do not complete a message in time.
use crate::event_loop::delivery::DeliveryStatus;
use crate::input_gate::message_bytes;
use crate::shared::{increment, report_aborted_reader, InboxMessage, Shared};
use crate::viewer_connection::ViewerConnection;
use crankpaddle_net::{clock, CloseReason, ReadEnd, Socket, WriteBuffer};
use crankpaddle_node_protocol::viewers::{self, Decoder};
use crankpaddle_time::Time;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// The connection of a client that sends nothing, or begins a message and does not complete it, is closed after this time.
/// Faulty clients have to get an answer or a close within 3 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes read at once before other coroutines get to run.
const READ_BYTES: usize = 4096;

/// The slot of one connection among those that may be open, and the connection in it once it is accepted.
///
/// Dropping it removes the connection and releases the slot. It is the state of the reader's coroutine, so this also happens if
/// the reader panics or overflows its stack. A reader that kept its slot then would be one connection less for ever: 112 such
/// readers left a node with 256 descriptors without any.
pub(crate) struct ConnectionSlot {
    shared: Arc<Shared>,
    connection: OnceLock<Arc<ViewerConnection>>,
    /// How reading the connection ended; unset if the reader did not return.
    read_end: OnceLock<ReadEnd>,
}

impl ConnectionSlot {
    fn end_connection(&self, connection: &ViewerConnection) {
        let end = self.read_end.get().copied().unwrap_or_else(|| {
            report_aborted_reader(&self.shared, "viewer", connection.id.0);
            ReadEnd::Stopped
        });
        let delivery = DeliveryStatus::at_end(end, &connection.outbox);
        connection.outbox.socket().close(CloseReason::ReadEnded);
        log_end(connection, end);
        self.shared.connections.remove(connection.id);
        self.shared
            .send(InboxMessage::ViewerDisconnected(connection.id, delivery));
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.get() {
            self.end_connection(connection);
        }
        self.shared.connections.release_slot();
    }
}

/// Acquires a slot for one more connection; `None` if none is free. In that case the least used connection is closed, so that a
/// slot becomes free soon.
pub(crate) fn acquire_slot(shared: &Arc<Shared>) -> Option<ConnectionSlot> {
    let is_acquired = shared.connections.acquire_slot();
    let slot = ConnectionSlot {
        shared: shared.clone(),
        connection: OnceLock::new(),
        read_end: OnceLock::new(),
    };
    is_acquired.then_some(slot)
}

/// Reads a viewer's connection until it ends. What follows the end is done when `slot` is dropped.
pub(crate) fn serve(socket: Socket, slot: &ConnectionSlot, shared: &Arc<Shared>) {
    let connection = slot
        .connection
        .get_or_init(|| open_connection(socket, shared));
    shared.connections.insert(connection);
    shared.send(InboxMessage::ViewerConnected(connection.clone()));
    let end = ViewerReader::new(connection, shared).run();
    let _ = slot.read_end.set(end); // It is set once.
}

fn open_connection(socket: Socket, shared: &Shared) -> Arc<ViewerConnection> {
    let now = clock::now();
    let socket = Arc::new(socket);
    socket.set_expiry(now + MESSAGE_TIMEOUT);
    shared.sweeper.watch(&socket);
    let input_gate = shared.input_gate(&socket);
    let outbox = WriteBuffer::new(socket, shared.budget.max_outbox_bytes);
    let id = shared.connections.next_id();
    Arc::new(ViewerConnection::new(id, outbox, input_gate, now))
}

/// Logs which side ended a connection and why, and what was pending on it.
fn log_end(connection: &ViewerConnection, end: ReadEnd) {
    tracing::debug!(
        connection_id = connection.id.0,
        ?end,
        closed_here = ?connection.outbox.socket().close_reason(),
        pending_set_ups = connection.pending_set_ups.load(Ordering::Acquire),
        queued_messages = connection.queued_messages.load(Ordering::Acquire),
        has_partial_message = connection.has_partial_message(),
        has_sent_message = connection.has_sent_message.load(Ordering::Relaxed),
        "viewer connection ended"
    );
}

/// Decodes the messages of one connection and passes them to the event loop.
struct ViewerReader<'a> {
    connection: &'a ViewerConnection,
    shared: &'a Shared,
    decoder: Decoder,
    has_partial_message: bool,
}

impl<'a> ViewerReader<'a> {
    fn new(connection: &'a ViewerConnection, shared: &'a Shared) -> ViewerReader<'a> {
        ViewerReader {
            connection,
            shared,
            decoder: Decoder::default(),
            has_partial_message: false,
        }
    }

    fn run(mut self) -> ReadEnd {
        let outbox = &self.connection.outbox;
        outbox.read_each::<READ_BYTES>(|bytes| self.handle_bytes(bytes))
    }

    /// Decodes bytes that were read, and forwards complete messages, one at a time as the event loop has room for them; false if
    /// the connection is to be closed.
    fn handle_bytes(&mut self, bytes: &[u8]) -> bool {
        let now = clock::now();
        let (connection, shared) = (self.connection, self.shared);
        let mut has_complete_message = false;
        let decoded = self.decoder.feed_each(bytes, |message, length| {
            has_complete_message = true;
            forward_message(connection, shared, message, length, now);
        });
        if let Err(error) = decoded {
            tracing::debug!(connection_id = self.connection.id.0, reason = %error, "malformed viewer stream");
            increment(&self.shared.drop_counters.malformed);
            return false;
        }
        self.update_partial_message_deadline(now, has_complete_message);
        // The sweeper does not close expired connections with unread bytes, so one that still sends is closed here.
        !self.connection.outbox.socket().is_expired(now)
    }

    /// Sets the deadline of a partially received message when its first byte is received. Later bytes do not extend it.
    fn update_partial_message_deadline(&mut self, now: Time, has_complete_message: bool) {
        let connection = self.connection;
        let is_partial = self.decoder.has_partial_message();
        let is_new = has_complete_message || !self.has_partial_message;
        if is_partial && is_new {
            let deadline = connection.message_deadline(now, MESSAGE_TIMEOUT);
            connection.set_expiry(deadline);
            connection.set_partial_message_since(Some(now));
        }
        if !is_partial {
            connection.set_partial_message_since(None);
        }
        self.has_partial_message = is_partial;
    }
}

/// Passes a message to the event loop once there is room for it. `length` is its length on the wire.
fn forward_message(
    connection: &ViewerConnection,
    shared: &Shared,
    message: viewers::Message,
    length: usize,
    received_at: Time,
) {
    connection.set_expiry(Time::MAX);
    connection.has_sent_message.store(true, Ordering::Relaxed);
    connection.set_last_used(received_at);
    connection.queued_messages.fetch_add(1, Ordering::AcqRel);
    let queued = connection.input_gate.admit(message_bytes(length));
    shared.send(InboxMessage::FromViewer {
        connection: connection.id,
        message,
        received_at,
        queued,
    });
}
