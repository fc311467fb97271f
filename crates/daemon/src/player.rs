//! A player's connection, shared by the event loop and the coroutine that reads it: pending calls, and what
//! is sent.
use crankpaddle_front::{PlayerId, RequestId};
use crankpaddle_net::{clock, CloseReason, Socket, WriteBuffer};
use crankpaddle_session_api::calls::Calls;
use crankpaddle_session_api::jsonrpc::Id;
use crankpaddle_session_api::Version;
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

/// After a close, the peer gets this long to close too.
pub(crate) const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The value of [`Player::pinged_at`] without a ping since the last message.
const NOT_PINGED: Time = Time::ZERO;

/// The number of the next player; numbers are unique in the process.
static NEXT_PLAYER_ID: AtomicU64 = AtomicU64::new(1);

/// A player's connection.
///
/// The two times are read by the idle check and written by the coroutine that reads the connection. They
/// order nothing, so `Relaxed` is enough: a check that sees an old time pings once more than needed.
pub(crate) struct Player {
    pub id: PlayerId,
    pub version: Version,
    /// Bytes to send, from the event loop and from the connection's own coroutine.
    pub outbox: WriteBuffer,
    calls: Mutex<Calls>,
    last_received: AtomicTime,
    /// [`NOT_PINGED`], or the time of the ping that was not answered yet.
    pinged_at: AtomicTime,
}

impl Player {
    /// A player that has just connected. `max_unread`: bytes that may wait to be sent.
    pub(crate) fn new(socket: Arc<Socket>, version: Version, max_unread: usize) -> Player {
        Player {
            id: PlayerId(NEXT_PLAYER_ID.fetch_add(1, Ordering::Relaxed)),
            version,
            outbox: WriteBuffer::new(socket, max_unread),
            calls: Mutex::default(),
            last_received: AtomicTime::new(clock::now()),
            pinged_at: AtomicTime::new(NOT_PINGED),
        }
    }

    /// Answers a call; a call that is not pending is ignored. `session`: the session that the answer makes
    /// known.
    pub(crate) fn answer(
        &self,
        number: u64,
        session: Option<RequestId>,
        body: impl FnOnce(&Id) -> Value,
    ) {
        // Why it is sent under the lock: the lock orders notifications after the answer that they follow, so
        // the order of sending must be the same. Sending only queues bytes and never waits.
        let mut calls = self.calls();
        for value in calls.answer(number, session.map(|session| session.0), body) {
            self.send(&value);
        }
    }

    /// Notifies of a session, after the answer that makes it known.
    pub(crate) fn notify(&self, session: RequestId, notification: Value) {
        let mut calls = self.calls();
        if let Some(value) = calls.notify(session.0, notification) {
            self.send(&value);
        }
    }

    /// The pending calls. The lock must not be held over a wait.
    pub(crate) fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a JSON text.
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

    /// Bytes were received: the player is alive.
    pub(crate) fn received(&self) {
        self.last_received.store(clock::now(), Ordering::Relaxed);
        self.pinged_at.store(NOT_PINGED, Ordering::Relaxed);
    }

    /// Pings a player that has been silent for `idle_timeout`, and closes one that did not answer.
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

/// What a player's silence calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdleAction {
    /// It has not been silent for long, or was pinged and still has time to answer.
    Wait,
    /// It has been silent for too long.
    Ping,
    /// It did not answer a ping.
    Close,
}

/// What a player's silence calls for. `pinged_at`: when it was pinged, if it was since its last message.
///
/// Why a ping always comes first: if silence alone counted, every player would be closed when this process
/// had stalled, and all of them would reconnect at once.
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
