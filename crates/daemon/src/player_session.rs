//! A player's WebSocket connection, from the handshake's response to its close.
use crate::message::Message;
use crate::player::{Player, CLOSE_TIMEOUT};
use crate::player_calls::CallReader;
use crate::shared::Shared;
use crate::websocket_handshake::AcceptedHandshake;
use crankpaddle_front::PlayerId;
use crankpaddle_net::{sleep, Socket};
use crankpaddle_time::Time;
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::Duration;
use tungstenite::error::CapacityError;
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::protocol::frame::Frame;
use tungstenite::protocol::{CloseFrame, Role, WebSocketConfig, WebSocketContext};
use tungstenite::Message as WebSocketMessage;

/// Bytes read at once; each connection has a buffer of this size.
const READ_BUFFER_BYTES: usize = 1024;
/// Longest text of a protocol error in a close frame, whose reason has 123 bytes at most.
const MAX_REASON_CHARACTERS: usize = 100;
/// While the event loop has a backlog, a connection waits this long before it reads on.
const BACKLOG_PAUSE: Duration = Duration::from_millis(1);

/// Why this side closes a connection.
struct CloseReason {
    code: CloseCode,
    text: String,
}

impl CloseReason {
    fn new(code: CloseCode, text: impl Into<String>) -> CloseReason {
        CloseReason {
            code,
            text: text.into(),
        }
    }
}

/// Serves a connection after its handshake. `unread`: bytes that were received after the handshake.
pub(crate) fn serve(
    shared: &Arc<Shared>,
    socket: &Arc<Socket>,
    unread: Vec<u8>,
    handshake: &AcceptedHandshake,
) {
    let limits = shared.limits();
    socket.set_expiry(Time::MAX); // From now on the idle timeout counts.
    let player = Arc::new(Player::new(
        socket.clone(),
        handshake.version,
        limits.unread,
    ));
    shared.register_player(&player);
    shared.send(Message::PlayerConnected {
        player: player.clone(),
    });
    let disconnect = DisconnectOnDrop {
        shared: shared.clone(),
        player: player.id,
    };
    player.outbox.push(&handshake.response);
    let config = WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(limits.message))
        .max_frame_size(Some(limits.message));
    let mut context = WebSocketContext::from_partially_read(unread, Role::Server, Some(config));
    let close_reason = read_messages(shared, &player, &mut context);
    drop(disconnect);
    if let Some(CloseReason { code, text }) = close_reason {
        let reason = text.into();
        player.send_frame(Frame::close(Some(CloseFrame { code, reason })));
    }
    player.outbox.flush();
    socket.finish(CLOSE_TIMEOUT);
}

/// Reads until the connection ends; returns the reason where this side closes it.
fn read_messages(
    shared: &Shared,
    player: &Player,
    context: &mut WebSocketContext,
) -> Option<CloseReason> {
    let mut stream = PlayerStream { player };
    let mut calls = CallReader::new(shared, player);
    loop {
        match context.read(&mut stream) {
            Ok(WebSocketMessage::Text(text)) => calls.handle_text(&text),
            Ok(WebSocketMessage::Binary(_)) => {
                let text = "texts are spoken here";
                return Some(CloseReason::new(CloseCode::Unsupported, text));
            }
            Ok(_) => {} // Pings are answered and closes returned by the context's next read.
            Err(error) => return close_reason(&error),
        }
        while shared.has_request_backlog() {
            sleep(BACKLOG_PAUSE); // Back-pressure: nothing more is read from this player.
        }
    }
}

/// The reason to close with after an error; `None` where the connection is gone.
fn close_reason(error: &tungstenite::Error) -> Option<CloseReason> {
    match error {
        tungstenite::Error::Capacity(CapacityError::MessageTooLong { max_size, .. }) => {
            let text = format!("a message has {max_size} bytes at most");
            Some(CloseReason::new(CloseCode::Size, text))
        }
        tungstenite::Error::Utf8(_) => {
            Some(CloseReason::new(CloseCode::Invalid, "a text is UTF-8"))
        }
        tungstenite::Error::Protocol(violation) => {
            let text: String = violation
                .to_string()
                .chars()
                .take(MAX_REASON_CHARACTERS)
                .collect();
            Some(CloseReason::new(CloseCode::Protocol, text))
        }
        _ => None,
    }
}

/// The connection as tungstenite reads and writes it: what it writes goes in order with what the event loop
/// sends.
struct PlayerStream<'a> {
    player: &'a Player,
}

impl Read for PlayerStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let outbox = &self.player.outbox;
        let socket = outbox.socket();
        loop {
            outbox.flush();
            if let Some(count) = socket.try_read(buffer)? {
                self.player.received();
                return Ok(count);
            }
            socket.wait();
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

/// Notifies the event loop that a player disconnected, also where its coroutine panics.
struct DisconnectOnDrop {
    shared: Arc<Shared>,
    player: PlayerId,
}

impl Drop for DisconnectOnDrop {
    fn drop(&mut self) {
        self.shared.send(Message::PlayerDisconnected {
            player: self.player,
        });
    }
}
