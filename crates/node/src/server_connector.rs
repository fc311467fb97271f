//! Connects to servers and reads their messages, with one coroutine for each connection.
use crate::event_loop::delivery::DeliveryStatus;
use crate::health::{connect_timeout, ConnectFailure};
use crate::shared::{increment, InboxMessage, LinkEnd, LinkId, Shared};
use crankpaddle_net::{spawn, CloseReason, ReadEnd, Socket, Stack, WriteBuffer};
use crankpaddle_node_protocol::rtsp::Decoder;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of bytes read at once before other coroutines get to run.
const READ_BYTES: usize = 4096;

/// Starts a coroutine that connects to a server and reads its messages. The event loop is sent the outcome of the connect, the
/// messages, and how the connection ended.
pub(crate) fn connect(shared: &Arc<Shared>, link: LinkId, address: SocketAddr) {
    shared.link_descriptors.fetch_add(1, Ordering::Relaxed);
    let shared = shared.clone();
    spawn(Stack::Default, move || {
        let timeout = connect_timeout(Duration::from_nanos(shared.config.fleet.connect_timeout));
        match Socket::connect(&address, timeout) {
            Ok(socket) => serve(socket, link, &shared),
            Err(error) => {
                shared.link_descriptors.fetch_sub(1, Ordering::Relaxed);
                let failure = connect_failure(&error);
                shared.send(InboxMessage::ConnectCompleted(link, Err(failure)));
            }
        }
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
fn serve(socket: Socket, link: LinkId, shared: &Shared) {
    let outbox = Arc::new(WriteBuffer::new(
        Arc::new(socket),
        shared.budget.max_outbox_bytes,
    ));
    shared.send(InboxMessage::ConnectCompleted(link, Ok(outbox.clone())));
    let (end, delivery) = read_messages(&outbox, link, shared);
    outbox.socket().close(CloseReason::ReadEnded);
    shared.link_descriptors.fetch_sub(1, Ordering::Relaxed);
    shared.send(InboxMessage::LinkClosed(link, end, delivery));
}

fn read_messages(outbox: &WriteBuffer, link: LinkId, shared: &Shared) -> (LinkEnd, DeliveryStatus) {
    let mut decoder = Decoder::default();
    let mut messages = Vec::new();
    let end = outbox.read_each::<READ_BYTES>(|bytes| {
        let decoded = decoder.feed(bytes, &mut messages);
        if !messages.is_empty() {
            let complete = std::mem::take(&mut messages);
            shared.send(InboxMessage::FromServer(link, complete));
        }
        if let Err(error) = &decoded {
            tracing::debug!(link_id = link.0, reason = %error, "malformed server stream");
            increment(&shared.drop_counters.broken_links);
        }
        decoded.is_ok()
    });
    let delivery = DeliveryStatus::at_end(end, outbox);
    if end == ReadEnd::Stopped || decoder.has_partial_message() {
        (LinkEnd::Malformed, delivery)
    } else {
        (LinkEnd::ByServer(end), delivery)
    }
}
