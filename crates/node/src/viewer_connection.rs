//! A viewer's connection as all parts of the node see it, and the work that is pending on it.
use crankpaddle_net::{clock, WriteBuffer};
use crankpaddle_time::{AtomicTime, Time};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// How long a connection that this side has ended stays open for its viewer to end it too.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// A viewer's connection; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// Whether input that was not read, or not handled, counts as pending work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnreadInput {
    /// It counts.
    Include,
    /// Only set-ups that were handled, and their answers, count.
    Ignore,
}

/// A viewer's connection, and what is pending on it: [`ViewerConnection::has_pending_work`].
pub(crate) struct ViewerConnection {
    pub(crate) id: ConnectionId,
    pub(crate) outbox: WriteBuffer,
    /// Messages that were read and that the event loop has not handled yet.
    pub(crate) queued_messages: AtomicUsize,
    /// Set-ups on it that were handled and wait for an answer.
    pub(crate) pending_set_ups: AtomicUsize,
    /// Whether a message is partially received.
    pub(crate) has_partial_message: AtomicBool,
    /// Until when the viewer waits for what is in the outbox.
    output_deadline: AtomicTime,
    /// Whether a complete message was received.
    pub(crate) has_sent_message: AtomicBool,
    /// When something last came of it.
    last_used: AtomicTime,
    /// Whether this side has ended it in order: no message is sent and no set-up accepted on it any more.
    is_closing: AtomicBool,
}

impl ViewerConnection {
    pub(crate) fn new(id: ConnectionId, outbox: WriteBuffer, now: Time) -> ViewerConnection {
        ViewerConnection {
            id,
            outbox,
            queued_messages: AtomicUsize::new(0),
            pending_set_ups: AtomicUsize::new(0),
            has_partial_message: AtomicBool::new(false),
            output_deadline: AtomicTime::new(Time::ZERO),
            has_sent_message: AtomicBool::new(false),
            last_used: AtomicTime::new(now),
            is_closing: AtomicBool::new(false),
        }
    }

    /// The viewer waits for what is written until then; an earlier time has no effect.
    pub(crate) fn extend_output_deadline(&self, until: Time) {
        self.output_deadline.fetch_max(until, Ordering::Relaxed);
    }

    fn output_deadline(&self) -> Time {
        self.output_deadline.load(Ordering::Relaxed)
    }

    /// When a message was last read from it, or one of its set-ups answered.
    pub(crate) fn last_used(&self) -> Time {
        self.last_used.load(Ordering::Relaxed)
    }

    pub(crate) fn set_last_used(&self, now: Time) {
        self.last_used.store(now, Ordering::Relaxed);
    }

    /// Ends this side of the connection in order. Its reader goes on until the viewer has ended it too, or for
    /// [`CLOSE_TIMEOUT`].
    ///
    /// Why not both sides at once: with input unread or arriving, the kernel would reset the connection, and the viewer could
    /// not tell a set-up that crossed the close, which it may send once more, from one that was open.
    pub(crate) fn begin_close(&self) {
        self.is_closing.store(true, Ordering::Release);
        let socket = self.outbox.socket();
        socket.finish_writing();
        socket.set_expiry(clock::now() + CLOSE_TIMEOUT);
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Whether messages can be sent on it.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_closing() && !self.outbox.socket().is_closed()
    }

    /// Sets when the connection expires, unless it is closing, which has a deadline of its own.
    pub(crate) fn set_expiry(&self, at: Time) {
        if !self.is_closing() {
            self.outbox.socket().set_expiry(at);
        }
    }

    /// Whether something that was read, handled or not, has no answer.
    fn has_unanswered_input(&self) -> bool {
        self.queued_messages.load(Ordering::Acquire) > 0
            || self.pending_set_ups.load(Ordering::Acquire) > 0
    }

    /// Whether what the viewer sent has not been read, or only partially.
    fn has_unread_input(&self) -> bool {
        self.has_partial_message.load(Ordering::Acquire) || self.outbox.socket().has_unread()
    }

    /// Whether anything is pending on it: input that is unread, input that was read and is not handled, set-ups that
    /// were handled and have no answer, and answers that the kernel has not accepted while the viewer still waits. A
    /// set-up passes through these states in turn and is in one of them at any time, so this check alone decides whether
    /// a connection may be closed or the node may end.
    ///
    /// Why: load shedding and shutdown each looked at handled set-ups only; one that was read and still queued, or whose
    /// answer a slow reader had not taken, was lost.
    pub(crate) fn has_pending_work(&self, now: Time, unread: UnreadInput) -> bool {
        let has_output = now < self.output_deadline() && !self.outbox.is_empty();
        let has_pending_set_ups = self.pending_set_ups.load(Ordering::Acquire) > 0;
        if self.outbox.socket().is_closed() {
            return false;
        }
        if self.is_closing() {
            return self.queued_messages.load(Ordering::Acquire) > 0;
        }
        if has_pending_set_ups || has_output {
            return true;
        }
        unread == UnreadInput::Include && (self.has_unanswered_input() || self.has_unread_input())
    }

    /// When a message that begins now must be complete.
    ///
    /// Why: if the connection were closed at the deadline, pending set-ups on it would lose their answers; so it leaves time
    /// for these.
    pub(crate) fn message_deadline(&self, now: Time, timeout: Duration) -> Time {
        let start = if self.has_unanswered_input() {
            now.max(self.output_deadline())
        } else {
            now
        };
        start + timeout
    }
}
