//! Connections to servers: one coroutine connects and then reads.
use crate::health::{connect_within, Dialed};
use crate::shared::{count, LinkId, Msg, Shared};
use crankpaddle_net::{spawn, Outbox, Socket, Stack, Turns};
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
        match Socket::connect(&address, connect_within(shared.config.fleet.connect_timeout)) {
            Ok(socket) => {
                let socket = Arc::new(socket);
                let outbox = Arc::new(Outbox::new(socket.clone(), shared.budget.outbox));
                shared.tell(Msg::Dialed(link, Dialed::Up, Some(outbox.clone())));
                let spoilt = read(&socket, &outbox, link, &shared);
                socket.shut();
                shared.links.fetch_sub(1, Ordering::Relaxed);
                shared.tell(Msg::LinkDown(link, spoilt));
            }
            Err(e) => {
                shared.links.fetch_sub(1, Ordering::Relaxed);
                let how = match e.kind() {
                    ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Dialed::Refused,
                    ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
                        Dialed::Silent
                    }
                    _ => Dialed::Unable,
                };
                shared.tell(Msg::Dialed(link, how, None));
            }
        }
    });
}

/// Reads until the connection ends; true if that is because what came could not be read.
fn read(socket: &Socket, outbox: &Outbox, link: LinkId, shared: &Shared) -> bool {
    let (mut decoder, mut messages) = (Decoder::default(), Vec::new());
    let (mut piece, mut turns) = ([0u8; PIECE], Turns::default());
    loop {
        outbox.flush();
        let got = match socket.try_read(&mut piece) {
            Ok(None) => {
                socket.wait();
                turns.waited();
                continue;
            }
            Ok(Some(0)) | Err(_) => return decoder.is_amid(),
            Ok(Some(n)) => n,
        };
        let fed = decoder.feed(&piece[..got], &mut messages);
        for message in messages.drain(..) {
            shared.tell(Msg::Server(link, message));
        }
        if let Err(fault) = fed {
            tracing::debug!(link = link.0, %fault, "a server's connection is of no use");
            count(&shared.shed.broken_links);
            return true;
        }
        turns.took();
    }
}
