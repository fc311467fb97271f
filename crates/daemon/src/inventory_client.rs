//! Servers asked what they hold and ran of this front, each in a coroutine of its own.
use crate::shared::{Msg, Shared};
use crankpaddle_front::ServerId;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{clock, spawn, Socket, Stack};
use crankpaddle_server_protocol::session_inventory::{self, SessionInventory};
use crankpaddle_server_protocol::sessions;
use std::net::SocketAddr;
use std::sync::Arc;

/// Bytes of a book at most: some hundred thousand bills.
const MOST: u64 = 16 << 20;

fn exchange(shared: &Shared, address: &SocketAddr, request: &[u8]) -> Option<(u16, Vec<u8>)> {
    let socket = Arc::new(Socket::connect(address, shared.connect_within()).ok()?);
    let within = shared
        .config
        .store
        .as_ref()
        .map_or(0, |store| store.steps.reconciliation_timeout);
    socket.set_expiry(clock::now().saturating_add(within));
    shared.quick.watch(&socket);
    socket.write_all(request).ok()?;
    let (response, body) = HttpExchange::new(socket).response(MOST).ok()?;
    Some((response.status, body))
}

fn read(status: u16, body: &[u8], server: ServerId) -> Option<SessionInventory> {
    if status != 200 {
        tracing::warn!(
            server = server.0,
            status,
            "a server does not tell what it holds"
        );
        return None;
    }
    session_inventory::read(body)
        .inspect_err(|e| tracing::warn!(server = server.0, %e, "a server's book is malformed"))
        .ok()
}

/// Asks for the server's book; the hub is told in any case.
pub(crate) fn ask(shared: Arc<Shared>, server: ServerId, address: SocketAddr) {
    spawn(Stack::Usual, move || {
        let request = session_inventory::request(&address.to_string(), shared.names.front());
        let told = exchange(&shared, &address, &request)
            .and_then(|(status, body)| read(status, &body, server));
        shared.tell(Msg::Book(server, told));
    });
}

/// Ends an attempt of a former life, so that it can't run any more; the hub is told whether it is certain.
pub(crate) fn fence(shared: Arc<Shared>, server: ServerId, address: SocketAddr, name: String) {
    spawn(Stack::Usual, move || {
        let request = sessions::tear_down(&address.to_string(), &name);
        let ended = exchange(&shared, &address, &request)
            .is_some_and(|(status, _)| (200..300).contains(&status));
        shared.tell(Msg::Fenced(server, name, ended));
    });
}
