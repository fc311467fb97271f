//! A player's WebSocket connection, from the response to the handshake until it is closed.
use crate::player::{PlayerConnection, CLOSE_TIMEOUT};
use crate::player_calls::CallReader;
use crate::player_listener::AcceptedConnection;
use crate::shared::Shared;
use crate::websocket_handshake::AcceptedHandshake;
use crankpaddle_net::{sleep, Socket, YieldBudget};
use crankpaddle_time::Time;
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::Duration;
use tungstenite::error::CapacityError;
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::protocol::frame::Frame;
use tungstenite::protocol::{CloseFrame, Role, WebSocketConfig, WebSocketContext};
use tungstenite::Message as WebSocketMessage;

/// Size of the read buffer that each connection has.
const READ_BUFFER_BYTES: usize = 1024;
/// Longest description of a protocol error in a close frame. WebSocket limits the reason to 123 bytes.
const MAX_REASON_CHARACTERS: usize = 100;
/// Pause between two checks whether the event loop still has a backlog.
const BACKLOG_PAUSE: Duration = Duration::from_millis(1);

/// The status code and reason of a close frame that this side sends.
struct CloseStatus {
    code: CloseCode,
    reason: String,
}

impl CloseStatus {
    fn new(code: CloseCode, reason: impl Into<String>) -> CloseStatus {
        CloseStatus {
            code,
            reason: reason.into(),
        }
    }
}

/// Serves a connection after its handshake. `unread` are the bytes that were received after the handshake.
pub(crate) fn serve(
    connection: &AcceptedConnection,
    socket: &Arc<Socket>,
    unread: Vec<u8>,
    handshake: &AcceptedHandshake,
) {
    let shared = &connection.shared;
    let limits = shared.limits();
    socket.set_expiry(Time::MAX); // From now on only the idle timeout applies.
    let player = Arc::new(PlayerConnection::new(
        socket.clone(),
        handshake.version,
        limits.max_unsent_bytes,
    ));
    shared.register_player(&player);
    connection.player_connected(&player);
    player.outbox.push(&handshake.response);
    let config = WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(limits.max_message_bytes))
        .max_frame_size(Some(limits.max_message_bytes));
    let mut context = WebSocketContext::from_partially_read(unread, Role::Server, Some(config));
    let close_status = read_messages(shared, &player, &mut context);
    connection.player_disconnected();
    if let Some(CloseStatus { code, reason }) = close_status {
        let reason = reason.into();
        player.send_frame(Frame::close(Some(CloseFrame { code, reason })));
    }
    player.outbox.flush();
    socket.finish(CLOSE_TIMEOUT);
}

/// Reads and handles messages until the connection ends. Returns the status to close with, or `None` if the player closed
/// the connection or it failed.
fn read_messages(
    shared: &Shared,
    player: &PlayerConnection,
    context: &mut WebSocketContext,
) -> Option<CloseStatus> {
    let mut stream = PlayerStream {
        player,
        yield_budget: YieldBudget::default(),
    };
    let mut calls = CallReader::new(shared, player);
    loop {
        match context.read(&mut stream) {
            Ok(WebSocketMessage::Text(text)) => calls.handle_text(&text),
            Ok(WebSocketMessage::Binary(_)) => {
                let reason = "texts are spoken here";
                return Some(CloseStatus::new(CloseCode::Unsupported, reason));
            }
            Ok(_) => {} // The next read of the context answers pings and close frames.
            Err(error) => return close_status(&error),
        }
        while shared.has_request_backlog() {
            sleep(BACKLOG_PAUSE); // Back-pressure: nothing is read from this player meanwhile.
        }
    }
}

/// The status to close with after an error; `None` if the connection has ended.
fn close_status(error: &tungstenite::Error) -> Option<CloseStatus> {
    match error {
        tungstenite::Error::Capacity(CapacityError::MessageTooLong { max_size, .. }) => {
            let reason = format!("a message has {max_size} bytes at most");
            Some(CloseStatus::new(CloseCode::Size, reason))
        }
        tungstenite::Error::Utf8(_) => {
            Some(CloseStatus::new(CloseCode::Invalid, "a text is UTF-8"))
        }
        tungstenite::Error::Protocol(violation) => {
            let reason: String = violation
                .to_string()
                .chars()
                .take(MAX_REASON_CHARACTERS)
                .collect();
            Some(CloseStatus::new(CloseCode::Protocol, reason))
        }
        _ => None,
    }
}

/// Adapts the connection to tungstenite. Bytes that tungstenite writes go through the same outbox as those of the event
/// loop, so that frames are sent in order and never mixed.
struct PlayerStream<'a> {
    player: &'a PlayerConnection,
    yield_budget: YieldBudget,
}

impl Read for PlayerStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let outbox = &self.player.outbox;
        let socket = outbox.socket();
        loop {
            outbox.flush();
            if let Some(count) = socket.try_read(buffer)? {
                self.player.received();
                self.yield_budget.spend(); // The socket of a player that sends at full speed is always readable.
                return Ok(count);
            }
            socket.wait();
            self.yield_budget.reset();
        }
    }
}

impl Write for PlayerStream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let is_open = self.player.outbox.push(bytes);
        if is_open {
            Ok(bytes.len())
        } else {
            Err(io::ErrorKind::BrokenPipe.into())
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
