//! Serves accepted connections: answers HTTP requests until one upgrades the connection to WebSocket.
use crate::http_responses::{self, CLOSE};
use crate::message::EventLoopMessage;
use crate::player::{PlayerConnection, CLOSE_TIMEOUT};
use crate::shared::Shared;
use crate::{player_session, websocket_handshake};
use crankpaddle_front::PlayerId;
use crankpaddle_http::head::Request;
use crankpaddle_http::problem::Problem;
use crankpaddle_net::exchange::{ExchangeError, HttpExchange};
use crankpaddle_net::{clock, sleep, spawn, Socket, Stack};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Largest accepted body of a request.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// Time between two idle checks of all players; the idle timeout is tens of seconds.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Starts a coroutine that pings silent players and closes the connections of those that stay silent. It ends when
/// `is_stopped` is set.
pub(crate) fn watch_idle_players(shared: Arc<Shared>, is_stopped: Arc<AtomicBool>) {
    let idle_timeout = shared.limits().idle_timeout;
    spawn(Stack::Default, move || {
        while !is_stopped.load(Ordering::Acquire) {
            let now = clock::now();
            shared.visit_players(|player| player.enforce_idle_timeout(now, idle_timeout));
            sleep(IDLE_CHECK_INTERVAL);
        }
    });
}

/// Serves an accepted connection until it ends.
pub(crate) fn serve(socket: Socket, accepted: &AcceptedConnection) {
    let shared = &accepted.shared;
    let socket = Arc::new(socket);
    let limits = shared.limits();
    if shared.connections() > limits.max_connections {
        return reject_connection(shared, &socket);
    }
    socket.set_expiry(clock::now() + limits.handshake_timeout);
    shared.player_sweeper.watch(&socket);
    let mut exchange = HttpExchange::new(socket.clone());
    loop {
        let request = match exchange.request(MAX_BODY_BYTES, Some(limits.handshake_timeout)) {
            Ok((request, _)) => request,
            Err(ExchangeError::Malformed(reason)) => {
                let problem = Problem::new(reason.status(), reason.detail());
                return send_last(&socket, &problem.response(&[CLOSE]));
            }
            Err(_) => return,
        };
        if websocket_handshake::is_upgrade(&request) {
            return upgrade(accepted, &socket, exchange, &request);
        }
        let keeps_alive = request.keeps_alive();
        let response = http_responses::respond(shared, &request);
        if socket.write_all(&response).is_err() || !keeps_alive {
            return socket.finish(CLOSE_TIMEOUT);
        }
        socket.set_expiry(clock::now() + limits.handshake_timeout);
    }
}

/// Upgrades a connection to WebSocket and serves it until it ends, or rejects the handshake.
fn upgrade(
    connection: &AcceptedConnection,
    socket: &Arc<Socket>,
    exchange: HttpExchange,
    request: &Request,
) {
    match websocket_handshake::accept(request) {
        Ok(accepted) => {
            let unread = exchange.into_unread_bytes();
            player_session::serve(connection, socket, unread, &accepted);
        }
        Err(rejection) => send_last(socket, &rejection),
    }
}

/// Sends the last response of a connection and closes it.
fn send_last(socket: &Arc<Socket>, response: &[u8]) {
    let _ = socket.write_all(response); // The connection is closed even if this fails.
    socket.finish(CLOSE_TIMEOUT);
}

/// Rejects a connection beyond the limit. To shed load, the response is not waited for and the peer gets less time to
/// close than usual.
fn reject_connection(shared: &Shared, socket: &Arc<Socket>) {
    let mut problem = Problem::new(503, "the front has as many connections as it may");
    problem.retry_after_ms = Some(shared.config.settings.max_retry_after / NANOS_PER_MILLI);
    let _ = socket.try_write(&problem.response(&[CLOSE]));
    socket.finish(CLOSE_TIMEOUT / 4);
}

/// An accepted connection. Dropping it counts the connection as closed, and reports the player on it as disconnected. It is the
/// state of the connection's coroutine, so this also happens if that panics or overflows its stack.
pub(crate) struct AcceptedConnection {
    pub(crate) shared: Arc<Shared>,
    /// The player, from the end of the handshake until it is reported as disconnected.
    player: Mutex<Option<PlayerId>>,
}

impl AcceptedConnection {
    pub(crate) fn open(shared: Arc<Shared>) -> AcceptedConnection {
        shared.connection_opened();
        AcceptedConnection {
            shared,
            player: Mutex::new(None),
        }
    }

    fn player(&self) -> MutexGuard<'_, Option<PlayerId>> {
        self.player.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports a player as connected.
    pub(crate) fn player_connected(&self, player: &Arc<PlayerConnection>) {
        *self.player() = Some(player.id);
        self.shared.send(EventLoopMessage::PlayerConnected {
            player: player.clone(),
        });
    }

    /// Reports the player as disconnected, unless it was reported already or there is none.
    pub(crate) fn player_disconnected(&self) {
        if let Some(player) = self.player().take() {
            self.shared
                .send(EventLoopMessage::PlayerDisconnected { player });
        }
    }
}

impl Drop for AcceptedConnection {
    fn drop(&mut self) {
        self.player_disconnected();
        self.shared.connection_closed();
    }
}
