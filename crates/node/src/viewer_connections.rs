//! Viewers' connections: reading them, and closing those that say nothing.
use crate::connection_table::Conn;
use crate::shared::{count, Msg, Shared};
use crankpaddle_net::{clock, Socket, WriteBuffer};
use crankpaddle_node_protocol::viewers::Decoder;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Who says nothing, or begins a message and does not end it, is closed after this time. Bad clients are owed an answer or
/// a close within 3 s.
const SILENCE: u64 = 2_000_000_000;
/// Bytes asked of the kernel at once; then others get their turn.
const PIECE: usize = 4096;

/// The place of one connection among those that may be held; free again when this is dropped.
pub(crate) struct Place(Arc<Shared>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.viewers.give_back();
    }
}

/// A place for one more connection. If there is none, the connection of least use is closed, so that there soon is.
pub(crate) fn make_room(shared: &Arc<Shared>) -> Option<Place> {
    let room = shared.viewers.take();
    let place = Place(shared.clone());
    room.then_some(place)
}

/// Reads a viewer's connection until it ends.
pub(crate) fn serve(socket: Socket, _place: &Place, shared: &Arc<Shared>) {
    let now = clock::now();
    let socket = Arc::new(socket);
    socket.set_expiry(now.saturating_add(SILENCE));
    shared.sweeper.watch(&socket);
    let outbox = WriteBuffer::new(socket.clone(), shared.budget.outbox);
    let conn = Arc::new(Conn::new(shared.viewers.next(), outbox, now));
    shared.viewers.enter(&conn);
    shared.tell(Msg::Joined(conn.clone()));
    read(&conn, shared);
    socket.close();
    shared.viewers.leave(conn.id);
    shared.tell(Msg::Gone(conn.id));
}

fn read(conn: &Conn, shared: &Shared) {
    let (mut decoder, mut messages, mut amid) = (Decoder::default(), Vec::new(), false);
    let socket = conn.outbox.socket();
    conn.outbox.read_each::<PIECE>(|piece| {
        let now = clock::now();
        let fed = decoder.feed(piece, &mut messages);
        let whole = !messages.is_empty();
        if whole {
            socket.set_expiry(u64::MAX);
            conn.spoke.store(true, Ordering::Relaxed);
            conn.used.store(now, Ordering::Relaxed);
            conn.unheard.fetch_add(messages.len(), Ordering::AcqRel);
        }
        for message in messages.drain(..) {
            shared.tell(Msg::Viewer(conn.id, message, now));
        }
        if let Err(fault) = fed {
            tracing::debug!(conn = conn.id.0, %fault, "a viewer's connection is of no use");
            count(&shared.shed.unreadable);
            return false;
        }
        // A message gets its time from its first byte, not anew with each.
        if decoder.has_partial_message() && (whole || !amid) {
            socket.set_expiry(conn.whole_by(now, SILENCE));
        }
        amid = decoder.has_partial_message();
        conn.amid.store(amid, Ordering::Release);
        if socket.is_expired(now) {
            return false; // It says something, and not in time what it is to say.
        }
        true
    });
}
