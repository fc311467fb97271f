//! A player's connection, shared by the event loop and the coroutine that reads it: its pending calls and the bytes to
//! send.
use crankpaddle_front::{PlayerId, RequestId};
use crankpaddle_net::{clock, CloseReason, Socket, WriteBuffer};
use crankpaddle_session_api::calls::PendingCalls;
use crankpaddle_session_api::jsonrpc::Id;
use crankpaddle_session_api::SessionApiVersion;
use crankpaddle_time::{AtomicTime, Time};
use serde_json::Value;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tungstenite::protocol::frame::coding::{CloseCode, Data, OpCode};
use tungstenite::protocol::frame::Frame;
use tungstenite::protocol::CloseFrame;

#[cfg(test)]
mod tests;

/// Longest wait for the peer to close its side after this side has closed.
pub(crate) const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The value of [`PlayerConnection::pinged_at`] if no ping was sent since the last message.
const NOT_PINGED: Time = Time::ZERO;

/// The id of the next player; ids are unique within the process.
static NEXT_PLAYER_ID: AtomicU64 = AtomicU64::new(1);

/// A player's connection.
///
/// The idle check reads both times, and the coroutine that reads the connection writes them. They are `Relaxed`,
/// because no other memory is published through them, and a check that sees an old time only sends a needless ping.
pub(crate) struct PlayerConnection {
    pub id: PlayerId,
    pub version: SessionApiVersion,
    /// Bytes to send. Both the event loop and the connection's own coroutine add to it.
    pub outbox: WriteBuffer,
    calls: Mutex<PendingCalls>,
    last_received: AtomicTime,
    /// When the ping that was not answered yet was sent, or [`NOT_PINGED`].
    pinged_at: AtomicTime,
}

impl PlayerConnection {
    /// Creates the connection of a player that has just connected. `max_unread` is the number of bytes that may wait to be
    /// sent.
    pub(crate) fn new(
        socket: Arc<Socket>,
        version: SessionApiVersion,
        max_unread: usize,
    ) -> PlayerConnection {
        PlayerConnection {
            id: PlayerId(NEXT_PLAYER_ID.fetch_add(1, Ordering::Relaxed)),
            version,
            outbox: WriteBuffer::new(socket, max_unread),
            calls: Mutex::default(),
            last_received: AtomicTime::new(clock::now()),
            pinged_at: AtomicTime::new(NOT_PINGED),
        }
    }

    /// Answers a call; a call that is not pending is ignored. `session` is the session that the answer announces to the
    /// player, if any.
    pub(crate) fn answer(
        &self,
        number: u64,
        session: Option<RequestId>,
        body: impl FnOnce(&Id) -> Value,
    ) {
        // The lock is held while sending, so that a notification of a session can't be sent before the answer that
        // announces the session. Sending only queues bytes and never waits.
        let mut calls = self.calls();
        for value in calls.answer(number, session.map(|session| session.0), body) {
            self.send(&value);
        }
    }

    /// Sends a notification about a session. It is held back until the answer that announces the session is sent.
    pub(crate) fn notify(&self, session: RequestId, notification: Value) {
        let mut calls = self.calls();
        if let Some(value) = calls.notify(session.0, notification) {
            self.send(&value);
        }
    }

    /// Locks and returns the pending calls. The lock must not be held across a wait.
    pub(crate) fn calls(&self) -> MutexGuard<'_, PendingCalls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a JSON value as a text message.
    pub(crate) fn send(&self, value: &Value) {
        let text = OpCode::Data(Data::Text);
        self.send_frame(Frame::message(value.to_string(), text, true));
    }

    /// Closes the connection because the front stops.
    pub(crate) fn close(&self) {
        let reason = CloseFrame {
            code: CloseCode::Away,
            reason: "the front stops".into(),
        };
        self.send_frame(Frame::close(Some(reason)));
        self.outbox
            .socket()
            .set_expiry(clock::now() + CLOSE_TIMEOUT / 2);
    }

    /// Queues a WebSocket frame.
    pub(crate) fn send_frame(&self, frame: Frame) {
        let mut bytes = Vec::with_capacity(frame.len());
        if frame.format(&mut bytes).is_ok() {
            self.outbox.push(&bytes);
        }
    }

    /// Records that bytes were received, which shows that the player is alive.
    pub(crate) fn received(&self) {
        self.last_received.store(clock::now(), Ordering::Relaxed);
        self.pinged_at.store(NOT_PINGED, Ordering::Relaxed);
    }

    /// Pings the player after a silence of `idle_timeout`, and closes the connection if the ping is not answered within
    /// the same time.
    pub(crate) fn enforce_idle_timeout(&self, now: Time, idle_timeout: Duration) {
        let last_received = self.last_received.load(Ordering::Relaxed);
        let pinged_at = self.pinged_at.load(Ordering::Relaxed);
        let pinged_at = (pinged_at != NOT_PINGED).then_some(pinged_at);
        match idle_action(now, last_received, pinged_at, idle_timeout) {
            IdleAction::Wait => {}
            IdleAction::Ping => {
                self.pinged_at.store(now, Ordering::Relaxed);
                self.send_frame(Frame::ping(Vec::new()));
            }
            IdleAction::Close => self.outbox.socket().close(CloseReason::Expired),
        }
    }
}

/// The next action of the idle check for a player.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdleAction {
    /// Do nothing: the player was heard from recently, or still has time to answer a ping.
    Wait,
    /// Send a ping: the player has been silent for too long.
    Ping,
    /// Close the connection: the player did not answer a ping.
    Close,
}

/// Decides what the idle check does with a player. `pinged_at` is when it was pinged after its last message, if it was.
///
/// A player is always pinged before its connection is closed. If silence alone were enough, a stall of this process
/// would make it close the connections of all players, which would then reconnect at once.
fn idle_action(
    now: Time,
    last_received: Time,
    pinged_at: Option<Time>,
    idle_timeout: Duration,
) -> IdleAction {
    let is_timed_out = |since: Time| now.duration_since(since) > idle_timeout;
    match pinged_at {
        None if is_timed_out(last_received) => IdleAction::Ping,
        Some(pinged_at) if is_timed_out(pinged_at) => IdleAction::Close,
        _ => IdleAction::Wait,
    }
}
