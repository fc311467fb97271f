//! Connections to servers: one coroutine connects and then reads.
use crate::health::{connect_within, Dialed};
use crate::shared::{count, LinkId, Msg, Shared};
use crankpaddle_net::{spawn, Socket, Stack, WriteBuffer};
use crankpaddle_node_protocol::rtsp::Decoder;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Bytes asked of the kernel at once; then others get their turn.
const PIECE: usize = 4096;

/// Connects to a server and reads what it says; the hub hears what becomes of both.
pub(crate) fn dial(shared: &Arc<Shared>, link: LinkId, address: SocketAddr) {
    shared.links.fetch_add(1, Ordering::Relaxed);
    let shared = shared.clone();
    spawn(Stack::Usual, move || {
        match Socket::connect(
            &address,
            connect_within(shared.config.fleet.connect_timeout),
        ) {
            Ok(socket) => {
                let outbox = Arc::new(WriteBuffer::new(Arc::new(socket), shared.budget.outbox));
                shared.tell(Msg::Dialed(link, Dialed::Up, Some(outbox.clone())));
                let spoilt = read(&outbox, link, &shared);
                outbox.socket().close();
                shared.links.fetch_sub(1, Ordering::Relaxed);
                shared.tell(Msg::LinkDown(link, spoilt));
            }
            Err(e) => {
                shared.links.fetch_sub(1, Ordering::Relaxed);
                let how = match e.kind() {
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Dialed::Refused,
                    ErrorKind::TimedOut
                    | ErrorKind::HostUnreachable
                    | ErrorKind::NetworkUnreachable => Dialed::Silent,
                    _ => Dialed::Unable,
                };
                shared.tell(Msg::Dialed(link, how, None));
            }
        }
    });
}

/// Reads until the connection ends; true if what came on it could not be read, or stopped amid a message.
fn read(outbox: &WriteBuffer, link: LinkId, shared: &Shared) -> bool {
    let (mut decoder, mut messages) = (Decoder::default(), Vec::new());
    let ended = outbox.read_each::<PIECE>(|piece| {
        let fed = decoder.feed(piece, &mut messages);
        if !messages.is_empty() {
            shared.tell(Msg::Server(link, std::mem::take(&mut messages)));
        }
        if let Err(fault) = &fed {
            tracing::debug!(link = link.0, %fault, "a server's connection is of no use");
            count(&shared.shed.broken_links);
        }
        fed.is_ok()
    });
    !ended || decoder.has_partial_message()
}
