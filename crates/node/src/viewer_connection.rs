//! A viewer's connection, shared by its reader and the event loop, and the work that is pending on it.
use crate::input_gate::InputGate;
use crankpaddle_net::{clock, WriteBuffer};
use crankpaddle_time::{AtomicTime, Time};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long a connection that this node has closed for writing stays open for its viewer to close it too.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the rest of a message is waited for when another client needs the connection's slot. A client that writes a message at
/// once is done within this time, which is also what the protocol allows for a message and a close to cross.
pub(crate) const MESSAGE_GRACE: Duration = Duration::from_millis(50);

/// The id of a viewer's connection. Ids are not reused; 0 is no connection's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// Whether input that was not read, or was read and not handled, counts as pending work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnreadInput {
    /// Such input counts, as do set-ups that were handled and answers that were not sent.
    Include,
    /// Only set-ups that were handled, and answers that were not sent, count.
    Ignore,
}

/// A viewer's connection. [`ViewerConnection::has_pending_work`] tells whether it may be closed.
pub(crate) struct ViewerConnection {
    pub(crate) id: ConnectionId,
    pub(crate) outbox: WriteBuffer,
    /// Bounds the messages that were read and that the event loop has not handled yet.
    pub(crate) input_gate: Arc<InputGate>,
    /// Number of messages that were read and that the event loop has not handled yet, including one that waits for the gate. It
    /// is not 0 while a complete message is in the reader's buffer.
    pub(crate) queued_messages: AtomicUsize,
    /// Number of set-ups that were handled and wait for an answer.
    pub(crate) pending_set_ups: AtomicUsize,
    /// When the message began that has been received in part only; [`Time::MAX`] if there is none.
    partial_message_since: AtomicTime,
    /// Until when the viewer waits for messages in the outbox.
    output_deadline: AtomicTime,
    /// Whether the viewer has sent a complete message.
    pub(crate) has_sent_message: AtomicBool,
    /// When a message was last read from it, or one of its set-ups answered; at first, when it was accepted.
    last_used: AtomicTime,
    /// Whether this node has closed it for writing. No message is sent and no set-up accepted on it any more.
    is_closing: AtomicBool,
}

impl ViewerConnection {
    pub(crate) fn new(
        id: ConnectionId,
        outbox: WriteBuffer,
        input_gate: Arc<InputGate>,
        now: Time,
    ) -> ViewerConnection {
        ViewerConnection {
            id,
            outbox,
            input_gate,
            queued_messages: AtomicUsize::new(0),
            pending_set_ups: AtomicUsize::new(0),
            partial_message_since: AtomicTime::new(Time::MAX),
            output_deadline: AtomicTime::new(Time::ZERO),
            has_sent_message: AtomicBool::new(false),
            last_used: AtomicTime::new(now),
            is_closing: AtomicBool::new(false),
        }
    }

    /// Records that the viewer waits for output until `deadline`. An earlier time than the current one has no effect.
    pub(crate) fn extend_output_deadline(&self, deadline: Time) {
        self.output_deadline.fetch_max(deadline, Ordering::Relaxed);
    }

    fn output_deadline(&self) -> Time {
        self.output_deadline.load(Ordering::Relaxed)
    }

    /// When the connection was last used: a message was read from it, or one of its set-ups was answered.
    pub(crate) fn last_used(&self) -> Time {
        self.last_used.load(Ordering::Relaxed)
    }

    pub(crate) fn set_last_used(&self, now: Time) {
        self.last_used.store(now, Ordering::Relaxed);
    }

    /// Closes the connection for writing. Its reader goes on until the viewer has closed the connection too, or for
    /// [`CLOSE_TIMEOUT`].
    ///
    /// The connection is not closed for reading at the same time: with input unread or arriving, the kernel would reset it, and
    /// the viewer could not tell a set-up that crossed the close, which it may send once more, from one that was pending.
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

    /// Sets when the connection expires. Has no effect on a connection that is closing, which has a deadline of its own.
    pub(crate) fn set_expiry(&self, expires_at: Time) {
        if !self.is_closing() {
            self.outbox.socket().set_expiry(expires_at);
        }
    }

    /// Whether a message that was read is not handled, or a set-up that was handled is not answered.
    fn has_unanswered_input(&self) -> bool {
        self.queued_messages.load(Ordering::Acquire) > 0
            || self.pending_set_ups.load(Ordering::Acquire) > 0
    }

    /// Records when the message began that has been received in part, or that there is none.
    pub(crate) fn set_partial_message_since(&self, since: Option<Time>) {
        self.partial_message_since
            .store(since.unwrap_or(Time::MAX), Ordering::Release);
    }

    /// Whether a message has been received in part only.
    pub(crate) fn has_partial_message(&self) -> bool {
        self.partial_message_since.load(Ordering::Acquire) != Time::MAX
    }

    /// Whether a message has been received in part only for longer than [`MESSAGE_GRACE`].
    pub(crate) fn has_overdue_message(&self, now: Time) -> bool {
        let since = self.partial_message_since.load(Ordering::Acquire);
        since != Time::MAX && now > since + MESSAGE_GRACE
    }

    /// Whether the viewer has sent bytes that were not read, or a part of a message.
    fn has_unread_input(&self) -> bool {
        self.has_partial_message() || self.outbox.socket().has_unread()
    }

    /// Whether anything is pending on the connection: input that is unread, input that was read and is not handled, set-ups
    /// that were handled and have no answer, and answers that the kernel has not accepted while the viewer still waits.
    ///
    /// A set-up passes through these states in turn and is in one of them at any time, so this check alone decides whether a
    /// connection may be closed or the node may end. Load shedding and shutdown once considered handled set-ups only, and lost
    /// set-ups that were read and still queued, or whose answer a slow reader had not accepted.
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

    /// Whether the connection may be closed because another client needs its slot: nothing is pending on it but a part of a message
    /// whose rest is overdue.
    ///
    /// While a partial message alone kept a connection, 300 clients that stopped amid a message held all slots for the time that a
    /// message may take, and the requests of others waited in the kernel for seconds.
    pub(crate) fn may_be_displaced(&self, now: Time) -> bool {
        let waits_for_message = self.has_partial_message() && !self.has_overdue_message(now);
        !waits_for_message
            && !self.has_pending_work(now, UnreadInput::Ignore)
            && !self.has_unanswered_input()
            && !self.outbox.socket().has_unread()
    }

    /// The time by which a message that begins at `now` must be complete.
    ///
    /// The connection is closed at that time, and set-ups that are pending on it would lose their answers. So the deadline
    /// leaves time for these answers.
    pub(crate) fn message_deadline(&self, now: Time, timeout: Duration) -> Time {
        let start = if self.has_unanswered_input() {
            now.max(self.output_deadline())
        } else {
            now
        };
        start + timeout
    }
}
