//! The baseline of the benchmark: receives the same calls over WebSocket as a front and forwards each open request to the next
//! server in turn, without any decisions.
use crankpaddle_http::head;
use crankpaddle_net::exchange::{ExchangeError, HttpExchange};
use crankpaddle_net::{accept_each, listen, Socket, WriteBuffer};
use crankpaddle_server_protocol::sessions::{self, SetUpBody};
use crankpaddle_session_api::SessionApiVersion;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tungstenite::handshake::derive_accept_key;
use tungstenite::protocol::{Role, WebSocketConfig, WebSocketContext};
use tungstenite::Message;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of a client connection's read buffer; the same as in the front.
const READ_BUFFER_BYTES: usize = 1024;
/// Most bytes that may wait to be sent on a client connection; beyond that the connection fails.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Longest response body that is accepted from a server.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// HTTP status with which a server confirms a set-up.
const STATUS_CREATED: u16 = 201;

/// The error that ended a client's connection.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error("{0}")]
    Http(ExchangeError),
    #[error(transparent)]
    WebSocket(#[from] tungstenite::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// The server of a session, and the session's name there.
struct RelayedSession {
    server: SocketAddr,
    /// Name of the session at the server, unlike the id that the client has.
    name: String,
}

struct Relay {
    servers: Vec<SocketAddr>,
    /// Number of the next open request; it selects the server and forms the session's id.
    next_request: AtomicUsize,
    /// Idle connections to each server, for reuse.
    idle_connections: Mutex<HashMap<SocketAddr, Vec<Arc<Socket>>>>,
    /// Open sessions, by the id that the client has.
    sessions: Mutex<HashMap<String, RelayedSession>>,
}

/// A client's connection as the WebSocket library reads and writes it. Written bytes that the kernel does not accept at once
/// are held and sent before the next read.
struct BufferedStream<'a>(&'a WriteBuffer);

impl Read for BufferedStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            self.0.flush();
            if let Some(length) = self.0.socket().try_read(buffer)? {
                return Ok(length);
            }
            self.0.socket().wait();
        }
    }
}

impl Write for BufferedStream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0.push(bytes) {
            Ok(bytes.len())
        } else {
            Err(io::ErrorKind::BrokenPipe.into())
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts a relay to these servers on a free local port and returns its address.
///
/// # Errors
/// The relay can't listen on a local port.
pub fn start(servers: Vec<SocketAddr>) -> io::Result<SocketAddr> {
    let listener = listen(([127, 0, 0, 1], 0).into())?;
    let address = listener.local_addr()?;
    let relay = Relay {
        servers,
        next_request: AtomicUsize::new(0),
        idle_connections: Mutex::default(),
        sessions: Mutex::default(),
    };
    accept_each(
        listener,
        Arc::default(),
        || (),
        move |socket, ()| {
            let _ = relay.serve(Arc::new(socket)); // The error is ignored, because the client sees that its connection ends.
        },
    );
    Ok(address)
}

impl Relay {
    fn serve(&self, socket: Arc<Socket>) -> Result<(), ConnectionError> {
        let mut exchange = HttpExchange::new(socket.clone());
        let request = exchange.request_head(None).map_err(ConnectionError::Http)?;
        let accepted = derive_accept_key(
            request
                .fields
                .get("sec-websocket-key")
                .unwrap_or("")
                .as_bytes(),
        );
        let fields = [
            ("upgrade", "websocket"),
            ("connection", "Upgrade"),
            ("sec-websocket-accept", accepted.as_str()),
            (
                "sec-websocket-protocol",
                SessionApiVersion::V2.subprotocol(),
            ),
        ];
        let outbox = WriteBuffer::new(socket, SEND_BUFFER_BYTES);
        outbox.push(&head::response(101, &fields, b""));
        let config = WebSocketConfig::default()
            .read_buffer_size(READ_BUFFER_BYTES)
            .write_buffer_size(0);
        let mut context = WebSocketContext::from_partially_read(
            exchange.into_unread_bytes(),
            Role::Server,
            Some(config),
        );
        loop {
            let read = context.read(&mut BufferedStream(&outbox))?;
            if let Message::Text(text) = read {
                let call: Value = serde_json::from_str(&text)?;
                let answer = self.answer(&call);
                context.write(
                    &mut BufferedStream(&outbox),
                    Message::text(answer.to_string()),
                )?;
            }
        }
    }

    fn answer(&self, call: &Value) -> Value {
        let (id, params) = (&call["id"], &call["params"]);
        if call["method"] == "session.close" {
            self.close(params);
            return json!({"jsonrpc": "2.0", "id": id, "result": {"closed": true}});
        }
        match self.open(params) {
            Some(result) => json!({"jsonrpc": "2.0", "id": id, "result": result}),
            None => {
                let data = json!({"reason": "server_error"});
                let error = json!({"code": -32002, "message": "failed", "data": data});
                json!({"jsonrpc": "2.0", "id": id, "error": error})
            }
        }
    }

    fn sessions(&self) -> MutexGuard<'_, HashMap<String, RelayedSession>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self, params: &Value) {
        let session = params["session"].as_str().unwrap_or("");
        let removed = self.sessions().remove(session);
        if let Some(RelayedSession { server, name }) = removed {
            self.exchange(server, &sessions::tear_down(&server.to_string(), &name));
        }
    }

    /// Forwards an open request to the next server. Returns the result for the client; `None` if the server does not confirm.
    fn open(&self, params: &Value) -> Option<Value> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let server = self.servers[number % self.servers.len()];
        let text = |field: &str| params[field].as_str().unwrap_or("").to_owned();
        let (name, session) = (format!("relayed-{number:x}"), format!("s-{number}"));
        let body = SetUpBody {
            front: "relay".into(),
            bill: sessions::billing_key(&text("key")),
            title: text("title"),
            class: text("class"),
            tenant: String::new(),
            rung: 0,
            zone: String::new(),
        };
        let request = sessions::set_up(&server.to_string(), &name, &body);
        if self.exchange(server, &request) != Some(STATUS_CREATED) {
            return None;
        }
        let media = format!("http://{server}{}", sessions::media_path(&name));
        let relayed = RelayedSession { server, name };
        self.sessions().insert(session.clone(), relayed);
        Some(json!({"session": session, "media": media, "rung": 0}))
    }

    /// Sends a request over an idle connection or a new one, and returns the HTTP status; `None` if there is no response.
    fn exchange(&self, server: SocketAddr, bytes: &[u8]) -> Option<u16> {
        let idle = self
            .idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_mut(&server)
            .and_then(Vec::pop);
        let socket = match idle.filter(|socket| socket.is_idle()) {
            Some(socket) => socket,
            None => Arc::new(Socket::connect(&server, CONNECT_TIMEOUT).ok()?),
        };
        socket.write_all(bytes).ok()?;
        let (response, _) = HttpExchange::new(socket.clone())
            .response(MAX_BODY_BYTES)
            .ok()?;
        if response.keeps_alive() {
            let mut idle = self
                .idle_connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            idle.entry(server).or_default().push(socket);
        }
        Some(response.status)
    }
}
