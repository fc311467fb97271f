//! The baseline: receives the same calls over WebSocket as a front and forwards each to the next server, without decisions.
use crankpaddle_http::head;
use crankpaddle_net::exchange::{ExchangeError, HttpExchange};
use crankpaddle_net::{accept_each, listen, Socket, WriteBuffer};
use crankpaddle_server_protocol::sessions::{self, SetUpBody};
use crankpaddle_session_api::Version;
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
/// Bytes of a connection's read buffer, as in the front.
const READ_BUFFER: usize = 1024;
/// Bytes that a connection may have unsent.
const SEND_BUFFER: usize = 64 * 1024;
/// Longest response body of a server, bytes.
const MAX_BODY: u64 = 64 * 1024;
/// The status with which a server answers a set-up.
const STATUS_CREATED: u16 = 201;

/// Why a relayed connection ended.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error("{0}")]
    Http(ExchangeError),
    #[error(transparent)]
    WebSocket(#[from] tungstenite::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Where a session is.
struct RelayedSession {
    server: SocketAddr,
    /// The session's name at its server.
    name: String,
}

struct Relay {
    servers: Vec<SocketAddr>,
    /// Number of the next open request.
    next: AtomicUsize,
    /// Idle connections to servers.
    idle: Mutex<HashMap<SocketAddr, Vec<Arc<Socket>>>>,
    /// Sessions by the id that clients have.
    sessions: Mutex<HashMap<String, RelayedSession>>,
}

/// A client's connection as the WebSocket codec reads and writes it.
struct Stream<'a>(&'a WriteBuffer);

impl Read for Stream<'_> {
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

impl Write for Stream<'_> {
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

/// Starts a relay to these servers on a free port.
///
/// # Errors
/// No port can be listened on.
pub fn start(servers: Vec<SocketAddr>) -> io::Result<SocketAddr> {
    let listener = listen(([127, 0, 0, 1], 0).into())?;
    let address = listener.local_addr()?;
    let relay = Relay {
        servers,
        next: AtomicUsize::new(0),
        idle: Mutex::default(),
        sessions: Mutex::default(),
    };
    accept_each(listener, Arc::default(), move |socket| {
        let _ = relay.serve(Arc::new(socket)); // Why ignored: the client sees the end of its connection.
    });
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
            ("sec-websocket-protocol", Version::V2.subprotocol()),
        ];
        let outbox = WriteBuffer::new(socket, SEND_BUFFER);
        outbox.push(&head::response(101, &fields, b""));
        let config = WebSocketConfig::default()
            .read_buffer_size(READ_BUFFER)
            .write_buffer_size(0);
        let mut context =
            WebSocketContext::from_partially_read(exchange.into_rest(), Role::Server, Some(config));
        loop {
            let read = context.read(&mut Stream(&outbox))?;
            if let Message::Text(text) = read {
                let call: Value = serde_json::from_str(&text)?;
                let answer = self.answer(&call);
                context.write(&mut Stream(&outbox), Message::text(answer.to_string()))?;
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

    /// Forwards an open to the next server; `None` where that does not set the session up.
    fn open(&self, params: &Value) -> Option<Value> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
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

    /// Sends a request over an idle connection or a new one; returns the status of the response.
    fn exchange(&self, server: SocketAddr, bytes: &[u8]) -> Option<u16> {
        let idle = self
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get_mut(&server)
            .and_then(Vec::pop);
        let socket = match idle.filter(|socket| socket.is_idle()) {
            Some(socket) => socket,
            None => Arc::new(Socket::connect(&server, CONNECT_TIMEOUT).ok()?),
        };
        socket.write_all(bytes).ok()?;
        let (response, _) = HttpExchange::new(socket.clone()).response(MAX_BODY).ok()?;
        if response.keeps_alive() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.entry(server).or_default().push(socket);
        }
        Some(response.status)
    }
}
