//! Connections of players, from their acceptance on: HTTP requests until one upgrades to WebSocket.
use crate::http_responses::{self, CLOSE};
use crate::player::CLOSE_TIMEOUT;
use crate::shared::Shared;
use crate::{player_session, websocket_handshake};
use crankpaddle_http::head::Request;
use crankpaddle_http::problem::Problem;
use crankpaddle_net::exchange::{ExchangeError, HttpExchange};
use crankpaddle_net::{clock, sleep, spawn, Socket, Stack};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Largest body of a request.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// Idle players are looked for this often: the timeout is tens of seconds.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MILLISECOND: u64 = 1_000_000;

/// Pings silent players and closes those that stay silent, until `is_stopped`.
pub(crate) fn watch_idle_players(shared: Arc<Shared>, is_stopped: Arc<AtomicBool>) {
    let idle_timeout = shared.limits().idle;
    spawn(Stack::Usual, move || {
        while !is_stopped.load(Ordering::Acquire) {
            let now = clock::now();
            shared.visit_players(|player| player.enforce_idle_timeout(now, idle_timeout));
            sleep(IDLE_CHECK_INTERVAL);
        }
    });
}

/// Serves a connection until it ends.
pub(crate) fn serve(socket: Socket, shared: &Arc<Shared>) {
    let socket = Arc::new(socket);
    let _connection = CountedConnection::open(shared.clone());
    let limits = shared.limits();
    if shared.connections() > limits.connections {
        return reject_connection(shared, &socket);
    }
    socket.set_expiry(clock::now() + limits.handshake);
    shared.player_sweeper.watch(&socket);
    let mut exchange = HttpExchange::new(socket.clone());
    loop {
        let request = match exchange.request(MAX_BODY_BYTES, Some(limits.handshake)) {
            Ok((request, _)) => request,
            Err(ExchangeError::Bad(reason)) => {
                let problem = Problem::new(reason.status(), reason.detail());
                return send_last(&socket, &problem.response(&[CLOSE]));
            }
            Err(_) => return,
        };
        if websocket_handshake::is_upgrade(&request) {
            return upgrade(shared, &socket, exchange, &request);
        }
        let keeps_alive = request.keeps_alive();
        let response = http_responses::respond(shared, &request);
        if socket.write_all(&response).is_err() || !keeps_alive {
            return socket.finish(CLOSE_TIMEOUT);
        }
        socket.set_expiry(clock::now() + limits.handshake);
    }
}

/// Upgrades a connection to WebSocket and serves it until it ends, or rejects the handshake.
fn upgrade(shared: &Arc<Shared>, socket: &Arc<Socket>, exchange: HttpExchange, request: &Request) {
    match websocket_handshake::accept(request) {
        Ok(accepted) => {
            let unread = exchange.into_rest();
            player_session::serve(shared, socket, unread, &accepted);
        }
        Err(rejection) => send_last(socket, &rejection),
    }
}

/// Sends a connection's last response and closes it.
fn send_last(socket: &Arc<Socket>, response: &[u8]) {
    let _ = socket.write_all(response); // The connection ends in any case.
    socket.finish(CLOSE_TIMEOUT);
}

/// Load shedding: the response goes out at once or not at all, and the connection is closed early.
fn reject_connection(shared: &Shared, socket: &Arc<Socket>) {
    let mut problem = Problem::new(503, "the front has as many connections as it may");
    problem.retry_after_ms = Some(shared.config.settings.max_retry_after / MILLISECOND);
    let _ = socket.try_write(&problem.response(&[CLOSE]));
    socket.finish(CLOSE_TIMEOUT / 4);
}

/// Counts a connection for as long as it is open, also where its coroutine panics.
struct CountedConnection(Arc<Shared>);

impl CountedConnection {
    fn open(shared: Arc<Shared>) -> CountedConnection {
        shared.connection_opened();
        CountedConnection(shared)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.connection_closed();
    }
}
