//! A player's WebSocket connection to a front.
use super::CONNECT_TIMEOUT;
use crankpaddle_http::head;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{clock, CloseReason, IdleSweeper, Socket, WriteBuffer};
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::SessionApiVersion;
use crankpaddle_time::Time;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tungstenite::handshake::client::generate_key;
use tungstenite::handshake::derive_accept_key;
use tungstenite::protocol::{Role, WebSocketConfig, WebSocketContext};
use tungstenite::Message;

/// Maximum number of unsent bytes of a connection.
const SEND_BUFFER: usize = 1 << 20;
/// Timeout of the front's answer to a WebSocket close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// A WebSocket connection to a front, which speaks the session API.
pub struct PlayerClient {
    outbox: WriteBuffer,
    context: WebSocketContext,
    /// Messages that were read but not returned yet.
    ready: VecDeque<ClientEvent>,
}

/// The connection as the WebSocket codec reads and writes it.
struct Stream<'a>(&'a WriteBuffer);

impl Read for Stream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.flush();
        self.0
            .socket()
            .try_read(buffer)?
            .ok_or_else(|| ErrorKind::WouldBlock.into())
    }
}

impl Write for Stream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0.push(bytes) {
            Ok(bytes.len())
        } else {
            Err(ErrorKind::BrokenPipe.into())
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl PlayerClient {
    /// Connects to a front and does the WebSocket handshake. `sweeper` closes the connection at its timeouts.
    ///
    /// # Errors
    /// The front can't be reached or refuses the handshake.
    pub fn connect(address: &SocketAddr, sweeper: &IdleSweeper) -> io::Result<PlayerClient> {
        let socket = Arc::new(Socket::connect(address, CONNECT_TIMEOUT)?);
        socket.set_expiry(clock::now() + CONNECT_TIMEOUT);
        sweeper.watch(&socket);
        let key = generate_key();
        let fields = [
            ("upgrade", "websocket"),
            ("connection", "Upgrade"),
            ("sec-websocket-version", "13"),
            ("sec-websocket-key", &key),
            (
                "sec-websocket-protocol",
                SessionApiVersion::V2.subprotocol(),
            ),
        ];
        let request = head::request("GET", "/session", &address.to_string(), &fields, b"");
        socket.write_all(&request).map_err(|error| error.source)?;
        let mut exchange = HttpExchange::new(socket.clone());
        let handshake_failed =
            |reason: String| io::Error::new(ErrorKind::ConnectionRefused, reason);
        let response = exchange
            .response_head()
            .map_err(|error| handshake_failed(error.to_string()))?;
        if response.status != 101
            || response.fields.get("sec-websocket-accept")
                != Some(&derive_accept_key(key.as_bytes()))
        {
            return Err(handshake_failed(format!(
                "handshake failed with status {}",
                response.status
            )));
        }
        socket.set_expiry(Time::MAX);
        let config = WebSocketConfig::default()
            .read_buffer_size(1024)
            .write_buffer_size(0);
        let context = WebSocketContext::from_partially_read(
            exchange.into_unread_bytes(),
            Role::Client,
            Some(config),
        );
        Ok(PlayerClient {
            outbox: WriteBuffer::new(socket, SEND_BUFFER),
            context,
            ready: VecDeque::new(),
        })
    }

    /// Sends a message of the session API.
    ///
    /// # Errors
    /// The connection is closed.
    pub fn send(&mut self, text: String) -> io::Result<()> {
        let sent = self
            .context
            .write(&mut Stream(&self.outbox), Message::text(text));
        sent.map_err(|e| io::Error::new(ErrorKind::BrokenPipe, e.to_string()))
    }

    /// The next message of the front, if one has been received.
    ///
    /// # Errors
    /// The connection is closed, or a message is invalid.
    pub fn poll(&mut self) -> io::Result<Option<ClientEvent>> {
        while self.ready.is_empty() {
            match self.context.read(&mut Stream(&self.outbox)) {
                Ok(Message::Text(text)) => {
                    let event = client::read(&text)
                        .map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
                    self.ready.extend(event);
                }
                Ok(_) => {}
                Err(tungstenite::Error::Io(e)) if e.kind() == ErrorKind::WouldBlock => {
                    return Ok(None)
                }
                Err(e) => return Err(io::Error::new(ErrorKind::ConnectionAborted, e.to_string())),
            }
        }
        Ok(self.ready.pop_front())
    }

    /// Waits for the next message of the front, no longer than `until`.
    ///
    /// # Errors
    /// No message arrived in time ([`ErrorKind::TimedOut`]), the connection is closed, or a message is invalid.
    pub fn next(&mut self, until: Time) -> io::Result<ClientEvent> {
        loop {
            if let Some(event) = self.poll()? {
                return Ok(event);
            }
            let now = clock::now();
            if now >= until {
                return Err(ErrorKind::TimedOut.into());
            }
            self.outbox.socket().set_expiry(until);
            self.outbox.socket().wait();
            if self.outbox.socket().is_closed() && clock::now() >= until {
                return Err(ErrorKind::TimedOut.into());
            }
            self.outbox.socket().set_expiry(Time::MAX);
        }
    }

    /// Closes the connection without a WebSocket close, like a player that loses its network.
    pub fn disconnect(&self) {
        self.outbox.socket().close(CloseReason::NotNeeded);
    }

    /// Closes the connection with a WebSocket close.
    pub fn close(mut self) {
        let _ = self.context.close(&mut Stream(&self.outbox), None); // The front may have closed it already.
        self.outbox.socket().finish(CLOSE_TIMEOUT);
    }
}
