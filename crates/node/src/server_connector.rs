//! Connects to servers and reads their messages, with one coroutine for each connection.
use crate::event_loop::delivery::DeliveryStatus;
use crate::health::{connect_timeout, ConnectFailure};
use crate::input_gate::MESSAGE_OVERHEAD_BYTES;
use crate::shared::{increment, report_aborted_reader, InboxMessage, LinkEnd, LinkId, Shared};
use crankpaddle_net::{spawn_with_state, CloseReason, ReadEnd, Socket, Stack, WriteBuffer};
use crankpaddle_node_protocol::rtsp::{Decoder, Message};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Maximum number of bytes read at once before other coroutines get to run.
const READ_BYTES: usize = 4096;

/// The descriptor of a link. Dropping it gives the descriptor back and reports to the event loop how the link ended. It is the
/// state of the reader's coroutine, so this also happens if the reader panics or overflows its stack.
struct LinkGuard {
    shared: Arc<Shared>,
    link: LinkId,
    /// Set once the connect has succeeded and was reported.
    outbox: OnceLock<Arc<WriteBuffer>>,
    /// How reading the connection ended; unset if the reader did not return.
    read_end: OnceLock<ReadEnd>,
    /// How the connect failed or the connection ended; unset if the reader did not return.
    end: OnceLock<LinkEnd>,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        if self.end.get().is_none() {
            report_aborted_reader(&self.shared, "server", self.link.0);
        }
        let message = match self.outbox.get() {
            Some(outbox) => self.closed(outbox),
            None => self.connect_failed(),
        };
        self.shared.link_descriptors.fetch_sub(1, Ordering::Relaxed);
        self.shared.send(message);
    }
}

impl LinkGuard {
    fn closed(&self, outbox: &WriteBuffer) -> InboxMessage {
        let end = self.end.get().copied().unwrap_or(LinkEnd::Malformed);
        let read_end = self.read_end.get().copied().unwrap_or(ReadEnd::Stopped);
        let delivery = DeliveryStatus::at_end(read_end, outbox);
        outbox.socket().close(CloseReason::ReadEnded);
        InboxMessage::LinkClosed(self.link, end, delivery)
    }

    fn connect_failed(&self) -> InboxMessage {
        let failure = match self.end.get() {
            Some(LinkEnd::ConnectFailed(failure)) => *failure,
            _ => ConnectFailure::Local,
        };
        InboxMessage::ConnectCompleted(self.link, Err(failure))
    }
}

/// Starts a coroutine that connects to a server and reads its messages. The event loop is sent the outcome of the connect, the
/// messages, and how the connection ended.
pub(crate) fn connect(shared: &Arc<Shared>, link: LinkId, address: SocketAddr) {
    shared.link_descriptors.fetch_add(1, Ordering::Relaxed);
    let guard = LinkGuard {
        shared: shared.clone(),
        link,
        outbox: OnceLock::new(),
        read_end: OnceLock::new(),
        end: OnceLock::new(),
    };
    spawn_with_state(Stack::Default, guard, move |guard| {
        let timeout = connect_timeout(Duration::from_nanos(
            guard.shared.config.fleet.connect_timeout,
        ));
        let end = match Socket::connect(&address, timeout) {
            Ok(socket) => serve(socket, guard),
            Err(error) => LinkEnd::ConnectFailed(connect_failure(&error)),
        };
        let _ = guard.end.set(end); // It is set once.
    });
}

fn connect_failure(error: &io::Error) -> ConnectFailure {
    match error.kind() {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ConnectFailure::Refused,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            ConnectFailure::NoResponse
        }
        _ => ConnectFailure::Local,
    }
}

/// Reads an established connection until it ends.
fn serve(socket: Socket, guard: &LinkGuard) -> LinkEnd {
    let outbox = guard.outbox.get_or_init(|| {
        Arc::new(WriteBuffer::new(
            Arc::new(socket),
            guard.shared.budget.max_outbox_bytes,
        ))
    });
    guard.shared.send(InboxMessage::ConnectCompleted(
        guard.link,
        Ok(outbox.clone()),
    ));
    let mut decoder = Decoder::default();
    let end = read_messages(outbox, &mut decoder, guard.link, &guard.shared);
    let _ = guard.read_end.set(end); // It is set once.
    if end == ReadEnd::Stopped || decoder.has_partial_message() {
        LinkEnd::Malformed
    } else {
        LinkEnd::ByServer(end)
    }
}

/// Passes messages to the event loop until the connection ends or its input is malformed.
fn read_messages(
    outbox: &WriteBuffer,
    decoder: &mut Decoder,
    link: LinkId,
    shared: &Shared,
) -> ReadEnd {
    let mut messages = Vec::new();
    let gate = shared.input_gate(outbox.socket());
    let mut incomplete_bytes = 0;
    outbox.read_each::<READ_BYTES>(|bytes| {
        let decoded = decoder.feed(bytes, &mut messages);
        incomplete_bytes += bytes.len();
        if decoded.is_err() {
            remove_misframed_acceptance(&mut messages);
        }
        if !messages.is_empty() {
            let complete = std::mem::take(&mut messages);
            let overhead_bytes = complete.len() * MESSAGE_OVERHEAD_BYTES;
            let queued = gate.admit(std::mem::take(&mut incomplete_bytes) + overhead_bytes);
            shared.send(InboxMessage::FromServer(link, complete, Some(queued)));
        }
        if let Err(error) = &decoded {
            tracing::debug!(link_id = link.0, reason = %error, "malformed server stream");
            increment(&shared.drop_counters.broken_links);
        }
        decoded.is_ok()
    })
}

/// Removes a response that accepts a set-up and has bytes behind it that are no message: its length was wrong, so its description
/// is not the one that the server gave. The end of the connection then fails its attempt.
fn remove_misframed_acceptance(messages: &mut Vec<Message>) {
    messages.pop_if(|last| last.is_set_up_acceptance());
}
