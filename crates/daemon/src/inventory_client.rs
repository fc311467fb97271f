//! Requests to servers about set-ups and sessions of a previous incarnation of this front, each in a coroutine of its
//! own.
use crate::message::ServerMessage;
use crate::shared::Shared;
use crankpaddle_front::ServerId;
use crankpaddle_http::head::OK;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{clock, spawn, Socket, Stack};
use crankpaddle_server_protocol::session_inventory::{self, SessionInventory};
use crankpaddle_server_protocol::sessions;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest accepted inventory, enough for some hundred thousand billing keys.
const MAX_INVENTORY_BYTES: u64 = 16 << 20;

struct ServerResponse {
    status: u16,
    body: Vec<u8>,
}

/// Fetches a server's inventory and sends the event loop the result, also if that failed.
pub(crate) fn request_inventory(shared: Arc<Shared>, server: ServerId, address: SocketAddr) {
    spawn(Stack::Default, move || {
        let request = session_inventory::request(&address.to_string(), shared.names.front_name());
        let response = exchange(&shared, &address, &request);
        let inventory = response.and_then(|response| read_inventory(&response, server));
        let message = match inventory {
            Some(inventory) => ServerMessage::InventoryReceived { inventory },
            None => ServerMessage::InventoryUnavailable,
        };
        shared.send_from_server(server, message);
    });
}

/// Fences an attempt of a previous incarnation: ends it by its name, so that it can't run any more. The event loop is
/// notified whether the server confirmed that.
pub(crate) fn fence_attempt(
    shared: Arc<Shared>,
    server: ServerId,
    address: SocketAddr,
    attempt_name: String,
) {
    spawn(Stack::Default, move || {
        let request = sessions::tear_down(&address.to_string(), &attempt_name);
        let response = exchange(&shared, &address, &request);
        let is_confirmed = response.is_some_and(|response| (200..300).contains(&response.status));
        let message = ServerMessage::FenceCompleted {
            attempt_name,
            is_confirmed,
        };
        shared.send_from_server(server, message);
    });
}

fn exchange(shared: &Shared, address: &SocketAddr, request: &[u8]) -> Option<ServerResponse> {
    let store = shared.config.store.as_ref();
    let timeout = store.map_or(Duration::ZERO, |store| {
        store.stage_timeouts.reconciliation_timeout
    });
    let socket = Arc::new(Socket::connect(address, shared.connect_timeout()).ok()?);
    socket.set_expiry(clock::now() + timeout);
    shared.server_sweeper.watch(&socket);
    socket.write_all(request).ok()?;
    let (response, body) = HttpExchange::new(socket)
        .response(MAX_INVENTORY_BYTES)
        .ok()?;
    Some(ServerResponse {
        status: response.status,
        body,
    })
}

fn read_inventory(response: &ServerResponse, server: ServerId) -> Option<SessionInventory> {
    if response.status != OK {
        tracing::warn!(
            server_id = server.0,
            status = response.status,
            "session inventory unavailable"
        );
        return None;
    }
    match session_inventory::read(&response.body) {
        Ok(inventory) => Some(inventory),
        Err(error) => {
            tracing::warn!(
                server_id = server.0,
                reason = %error,
                "session inventory malformed"
            );
            None
        }
    }
}
