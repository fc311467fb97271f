//! Sends rung changes and teardowns of sessions to one server.
use crate::message::ServerMessage;
use crate::shared::Shared;
use crankpaddle_front::ServerId;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{clock, sleep, Socket};
use crankpaddle_server_protocol::sessions;
use may::sync::mpsc::Receiver;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A control is given up after this time. The server then hangs, which its event stream detects as well.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after each connection attempt that timed out; the control is given up after the last one.
const CONNECT_BACKOFF: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1600),
];
/// Largest accepted body of a response.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;

/// The server that controls are sent to.
pub(super) struct ControlTarget {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
}

/// A change of one session at its server.
pub(super) enum Control {
    SetRung { session_name: String, rung: u8 },
    TearDown { session_name: String },
}

impl Control {
    fn request(&self, host: &str) -> Vec<u8> {
        match self {
            Control::SetRung { session_name, rung } => {
                sessions::set_rung(host, session_name, *rung)
            }
            Control::TearDown { session_name } => sessions::tear_down(host, session_name),
        }
    }
}

/// Sends queued controls until the link is dropped. One coroutine sends all of them, because the rung changes of a
/// session must arrive in order.
pub(super) fn send_all(shared: &Shared, target: &ControlTarget, queue: &Receiver<Control>) {
    let mut idle_connection: Option<Arc<Socket>> = None;
    while let Ok(control) = queue.recv() {
        idle_connection = match idle_connection.take() {
            Some(socket) if socket.is_idle() => send(shared, socket, target, &control),
            _ => None,
        };
        if idle_connection.is_none() {
            idle_connection = connect_and_send(shared, target, &control);
        }
        shared.control_completed();
    }
}

fn connect_and_send(
    shared: &Shared,
    target: &ControlTarget,
    control: &Control,
) -> Option<Arc<Socket>> {
    let socket = Arc::new(connect(shared, &target.address)?);
    shared.server_sweeper.watch(&socket);
    send(shared, socket, target, control)
}

/// Connects to send a control, and tries again after a timeout.
///
/// If a teardown were dropped because a busy host accepted the connection too late, a session without a viewer would
/// stream for as long as the server runs. The cost is that controls queued behind it wait longer. A server that
/// refuses the connection has no sessions left, so that is not retried.
fn connect(shared: &Shared, address: &SocketAddr) -> Option<Socket> {
    for backoff in CONNECT_BACKOFF {
        match Socket::connect(address, shared.connect_timeout()) {
            Ok(socket) => return Some(socket),
            Err(error) if error.kind() == ErrorKind::TimedOut => sleep(backoff),
            Err(_) => return None,
        }
    }
    None
}

/// Sends one control over a connection; returns the connection if it can carry another.
fn send(
    shared: &Shared,
    socket: Arc<Socket>,
    target: &ControlTarget,
    control: &Control,
) -> Option<Arc<Socket>> {
    let request = control.request(&target.address.to_string());
    socket.set_expiry(clock::now() + CONTROL_TIMEOUT);
    socket.write_all(&request).ok()?;
    let mut exchange = HttpExchange::new(socket.clone());
    let (response, body) = exchange.response(MAX_RESPONSE_BYTES).ok()?;
    if let Control::TearDown { session_name } = control {
        if let Some(ended) = sessions::parse_tear_down_response(&response, &body) {
            let message = ServerMessage::TearDownCompleted {
                session_name: session_name.clone(),
                sent_bytes: ended.sent_bytes,
            };
            shared.send_from_server(target.server, message);
        }
    }
    if !response.keeps_alive() || !exchange.is_buffer_empty() {
        return None;
    }
    socket.set_expiry(clock::now() + shared.limits().pool_idle_timeout);
    Some(socket)
}
