//! Viewers' connections: reading them, and closing those that are of no use when there are too many.
use crate::shared::{count, Msg, Shared};
use crankpaddle_net::{clock, Outbox, Socket};
use crankpaddle_node_protocol::viewers::Decoder;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A viewer's connection; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnId(pub u64);

/// Who says nothing, or begins a message and does not end it, is closed after this time. Bad clients are owed an answer or
/// a close within 3 s.
const SILENCE: u64 = 2_000_000_000;
/// Bytes asked of the kernel at once; then others get their turn.
const PIECE: usize = 4096;

/// A viewer's connection as all see it.
pub(crate) struct Conn {
    pub id: ConnId,
    pub outbox: Outbox,
    /// Set-ups on it that wait for an answer.
    pub open: AtomicUsize,
    /// Whether a whole message came.
    pub spoke: AtomicBool,
    /// When it last came to anything.
    pub used: AtomicU64,
}

/// All viewers' connections.
pub(crate) struct Viewers {
    most: usize,
    taken: AtomicUsize,
    last: AtomicU64,
    conns: Mutex<BTreeMap<ConnId, Arc<Conn>>>,
}

impl Viewers {
    pub fn new(most: usize) -> Viewers {
        Viewers { most, taken: AtomicUsize::new(0), last: AtomicU64::new(0), conns: Mutex::default() }
    }

    fn conns(&self) -> MutexGuard<'_, BTreeMap<ConnId, Arc<Conn>>> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn count(&self) -> usize {
        self.conns().len()
    }

    /// Closes the connection of least use.
    ///
    /// Danger: hundreds that connect and say nothing would take the descriptors that servers need, and keep honest
    /// viewers out. And one that was closed frees its place only when its coroutine has run: asked again before that, as on
    /// a busy machine each millisecond, this would close one after the other until it comes to those that are of use (seen
    /// as a viewer with a session that was closed in a crowd of silent ones). So one goes at a time. Harm: in a crowd an
    /// honest connection that has not spoken yet may be closed; it is the oldest of them that goes. A set-up that crosses
    /// the close of a connection is sent again by its viewer, so one that was idle for long goes before one that just spoke.
    fn shed(&self) {
        let conns = self.conns();
        if conns.values().any(|c| c.outbox.socket().is_shut()) {
            return;
        }
        let idle = |c: &&Arc<Conn>| c.open.load(Ordering::Relaxed) == 0 && !c.outbox.socket().is_shut();
        let use_of = |c: &&Arc<Conn>| (c.spoke.load(Ordering::Relaxed), c.used.load(Ordering::Relaxed));
        if let Some(conn) = conns.values().filter(idle).min_by_key(use_of) {
            conn.outbox.socket().shut();
        }
    }
}

/// The place of one connection among those that may be held; free again when this is dropped.
pub(crate) struct Place(Arc<Shared>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.viewers.taken.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A place for one more connection. If there is none, the connection of least use is closed, so that there soon is.
pub(crate) fn make_room(shared: &Arc<Shared>) -> Option<Place> {
    let viewers = &shared.viewers;
    let taken = viewers.taken.fetch_add(1, Ordering::AcqRel);
    let place = Place(shared.clone());
    if taken >= viewers.most {
        viewers.shed();
        return None;
    }
    Some(place)
}

/// Reads a viewer's connection until it ends.
pub(crate) fn serve(socket: Socket, _place: &Place, shared: &Arc<Shared>) {
    let now = clock::now();
    let socket = Arc::new(socket);
    socket.set_expiry(now.saturating_add(SILENCE));
    shared.sweeper.watch(&socket);
    let conn = Arc::new(Conn {
        id: ConnId(shared.viewers.last.fetch_add(1, Ordering::Relaxed) + 1),
        outbox: Outbox::new(socket.clone(), shared.budget.outbox),
        open: AtomicUsize::new(0),
        spoke: AtomicBool::new(false),
        used: AtomicU64::new(now),
    });
    shared.viewers.conns().insert(conn.id, conn.clone());
    shared.tell(Msg::Joined(conn.clone()));
    read(&conn, shared);
    socket.shut();
    shared.viewers.conns().remove(&conn.id);
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
            conn.spoke.store(true, Ordering::Relaxed);
            conn.used.store(now, Ordering::Relaxed);
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
        match (decoder.is_amid(), amid && !whole) {
            (true, false) => socket.set_expiry(now.saturating_add(SILENCE)),
            (false, _) if whole => socket.set_expiry(u64::MAX),
            _ => {}
        }
        amid = decoder.is_amid();
        true
    });
}

#[cfg(test)]
mod tests {
    use super::*;
    use crankpaddle_net::{spawn, Stack};
    use std::net::TcpListener;
    use std::time::Duration;

    fn conn(viewers: &Viewers, listener: &TcpListener, id: u64, spoke: bool) -> Arc<Conn> {
        crankpaddle_net::start(Some(1));
        let (address, (give, given)) = (listener.local_addr().unwrap(), std::sync::mpsc::channel());
        spawn(Stack::Usual, move || drop(give.send(Socket::connect(&address, Duration::from_secs(20)))));
        let socket =
            given.recv_timeout(Duration::from_secs(30)).expect("it connects").expect("somebody listens");
        let conn = Arc::new(Conn {
            id: ConnId(id),
            outbox: Outbox::new(Arc::new(socket), 1024),
            open: AtomicUsize::new(0),
            spoke: AtomicBool::new(spoke),
            used: AtomicU64::new(id),
        });
        viewers.conns().insert(conn.id, conn.clone());
        conn
    }

    /// Fails where each call closes another one, whether or not the one before has gone.
    #[test]
    fn one_connection_is_closed_at_a_time_and_none_of_use_before_those_of_none() {
        let (viewers, listener) = (Viewers::new(1), TcpListener::bind("127.0.0.1:0").unwrap());
        let all = [(1, true), (2, false), (3, false)].map(|(id, spoke)| conn(&viewers, &listener, id, spoke));
        let shut = || all.iter().map(|c| c.outbox.socket().is_shut()).collect::<Vec<_>>();
        viewers.shed();
        assert_eq!(shut(), [false, true, false]);
        for _ in 0..100 {
            viewers.shed();
        }
        assert_eq!(shut(), [false, true, false], "its place is not free yet");
        viewers.conns().remove(&ConnId(2));
        viewers.shed();
        assert_eq!(shut(), [false, true, true]);
    }
}
