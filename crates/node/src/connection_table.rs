//! Viewers' connections as all see them, and which of them is of least use when there are too many.
use crankpaddle_net::{clock, WriteBuffer};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A viewer's connection; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnId(pub u64);

/// A viewer's connection as all see it, and what is owed on it: [`Conn::owes`].
pub(crate) struct Conn {
    pub id: ConnId,
    pub outbox: WriteBuffer,
    /// Messages that were read and that the hub has not heard yet.
    pub unheard: AtomicUsize,
    /// Set-ups on it that were heard and wait for an answer.
    pub open: AtomicUsize,
    /// Whether a message has begun and is not whole.
    pub amid: AtomicBool,
    /// Until when what waits in the outbox is of use to anybody.
    pub owed_until: AtomicU64,
    /// Whether a whole message came.
    pub spoke: AtomicBool,
    /// When it last came to anything.
    pub used: AtomicU64,
}

impl Conn {
    pub(crate) fn new(id: ConnId, outbox: WriteBuffer, now: u64) -> Conn {
        Conn {
            id,
            outbox,
            unheard: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            amid: AtomicBool::new(false),
            owed_until: AtomicU64::new(0),
            spoke: AtomicBool::new(false),
            used: AtomicU64::new(now),
        }
    }

    /// What is written until then is of use; it never gets shorter.
    pub(crate) fn owe_until(&self, until: u64) {
        self.owed_until.fetch_max(until, Ordering::Relaxed);
    }

    /// Set-ups that were read, heard or not, and have no answer.
    fn is_asked(&self) -> bool {
        self.unheard.load(Ordering::Acquire) > 0 || self.open.load(Ordering::Acquire) > 0
    }

    /// Whether what the viewer sent has not been read, or not to its end.
    fn is_unread(&self) -> bool {
        self.amid.load(Ordering::Acquire) || self.outbox.socket().has_unread()
    }

    /// Whether anything is owed on it still: what lies unread, what was read and is unheard, what was heard and has no answer,
    /// and answers that the kernel has not taken, while somebody waits for them. A set-up passes through these in turn and is
    /// in one of them at any time, so whoever closes a connection, or ends, asks this and nothing else.
    ///
    /// Danger: closing for want of room and leaving each looked at set-ups that had been heard only; one that was read and lay in
    /// the queue, or whose answer a slow reader had not taken, was lost. `unread`: whether to look at what was not read, or not
    /// heard, too.
    pub(crate) fn owes(&self, now: u64, unread: bool) -> bool {
        let answers = now < self.owed_until.load(Ordering::Relaxed) && !self.outbox.is_empty();
        let open = self.open.load(Ordering::Acquire) > 0;
        !self.outbox.socket().is_closed()
            && (open || answers || unread && (self.is_asked() || self.is_unread()))
    }

    /// When a message that begins now must be whole. Danger: closed amid it, the connection would take with it the set-ups that
    /// wait for their answers there; these come first.
    pub(crate) fn whole_by(&self, now: u64, within: u64) -> u64 {
        let from = if self.is_asked() {
            now.max(self.owed_until.load(Ordering::Relaxed))
        } else {
            now
        };
        from.saturating_add(within)
    }
}

/// All viewers' connections.
pub(crate) struct Viewers {
    most: usize,
    full: AtomicBool,
    taken: AtomicUsize,
    last: AtomicU64,
    conns: Mutex<BTreeMap<ConnId, Arc<Conn>>>,
}

impl Viewers {
    pub(crate) fn new(most: usize) -> Viewers {
        let (taken, last) = (AtomicUsize::new(0), AtomicU64::new(0));
        Viewers {
            most,
            full: AtomicBool::new(false),
            taken,
            last,
            conns: Mutex::default(),
        }
    }

    fn conns(&self) -> MutexGuard<'_, BTreeMap<ConnId, Arc<Conn>>> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count(&self) -> usize {
        self.conns().len()
    }

    /// A number that no connection had.
    pub(crate) fn next(&self) -> ConnId {
        ConnId(self.last.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// A connection is there.
    pub(crate) fn enter(&self, conn: &Arc<Conn>) {
        self.conns().insert(conn.id, conn.clone());
    }

    /// It is gone.
    pub(crate) fn leave(&self, id: ConnId) {
        self.conns().remove(&id);
    }

    /// Takes the place of one more; false if there is none, and then the connection of least use is closed, so that there soon is.
    /// What was taken is given back by [`Viewers::give_back`], also where there was none.
    pub(crate) fn take(&self) -> bool {
        let room = self.taken.fetch_add(1, Ordering::AcqRel) < self.most;
        self.full.store(!room, Ordering::Release);
        if !room {
            self.shed();
        }
        room
    }

    /// Whether anything is owed on any of them, or may be by those that wait to be accepted where there is no room.
    pub(crate) fn owe(&self, now: u64, unread: bool) -> bool {
        unread && self.full.load(Ordering::Acquire)
            || self.conns().values().any(|c| c.owes(now, unread))
    }

    /// A place is free again.
    pub(crate) fn give_back(&self) {
        self.taken.fetch_sub(1, Ordering::AcqRel);
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
        if conns.values().any(|c| c.outbox.socket().is_closed()) {
            return;
        }
        let now = clock::now();
        let idle = |c: &&Arc<Conn>| !c.owes(now, true) && !c.outbox.socket().is_closed();
        let use_of = |c: &&Arc<Conn>| {
            (
                c.spoke.load(Ordering::Relaxed),
                c.used.load(Ordering::Relaxed),
            )
        };
        if let Some(conn) = conns.values().filter(idle).min_by_key(use_of) {
            conn.outbox.socket().close();
        }
    }
}

#[cfg(test)]
mod tests;
