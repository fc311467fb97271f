//! A player's connection as the hub and the coroutine that reads it see it: what waits for an answer, and what is sent.
use crankpaddle_front::{PlayerId, RequestId};
use crankpaddle_net::{clock, WriteBuffer};
use crankpaddle_session_api::calls::Calls;
use crankpaddle_session_api::jsonrpc::Id;
use crankpaddle_session_api::Version;
use serde_json::Value;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tungstenite::protocol::frame::coding::{CloseCode, Data, OpCode};
use tungstenite::protocol::frame::Frame;
use tungstenite::protocol::CloseFrame;

/// After a close, the peer gets so long to close too.
pub(crate) const LINGER: u64 = 1_000_000_000;

/// A player's connection as the hub sees it.
pub(crate) struct Player {
    pub id: PlayerId,
    pub version: Version,
    pub outbox: WriteBuffer,
    pub calls: Mutex<Calls>,
    pub heard: AtomicU64,
    pub pinged: AtomicU64, // When, if it said nothing since; else 0.
}

impl Player {
    /// Answers a call; a call that is not waited for is ignored. `session`: what the answer makes known.
    pub(crate) fn answer(
        &self,
        number: u64,
        session: Option<RequestId>,
        with: impl FnOnce(&Id) -> Value,
    ) {
        // Danger: what a lock orders must also be sent under it, or a notice passes the answer that it follows. The
        // sends only queue bytes and never wait.
        let mut calls = self.calls();
        calls
            .answer(number, session.map(|s| s.0), with)
            .iter()
            .for_each(|value| self.tell(value));
    }

    /// Tells of a session, behind the answer that makes it known.
    pub(crate) fn notify(&self, session: RequestId, notice: Value) {
        let mut calls = self.calls();
        calls
            .notify(session.0, notice)
            .iter()
            .for_each(|value| self.tell(value));
    }

    pub(crate) fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn tell(&self, value: &Value) {
        self.push(Frame::message(
            value.to_string(),
            OpCode::Data(Data::Text),
            true,
        ));
    }

    /// Says that the front goes away.
    pub(crate) fn close(&self) {
        let reason = CloseFrame {
            code: CloseCode::Away,
            reason: "the front stops".into(),
        };
        self.push(Frame::close(Some(reason)));
        self.outbox.socket().set_expiry(clock::now() + LINGER / 2);
    }

    pub(crate) fn push(&self, frame: Frame) {
        let mut bytes = Vec::with_capacity(frame.len());
        if frame.format(&mut bytes).is_ok() {
            self.outbox.push(&bytes);
        }
    }
}

/// What a player's silence calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Silence {
    /// Nothing yet.
    Bear,
    /// To be asked whether it is there.
    Ping,
    /// It was asked and did not answer.
    Cut,
}

/// Judges a silence: last `heard` then, `pinged` then or never since (0), `idle` is what is borne each time.
///
/// Danger: judged by its silence alone, every player is cut unasked when this process had stood still, and all of them
/// come back at once.
pub(crate) fn silence(now: u64, heard: u64, pinged: u64, idle: u64) -> Silence {
    match (pinged, now.saturating_sub(heard) > idle) {
        (0, true) => Silence::Ping,
        (0, false) => Silence::Bear,
        (pinged, _) if now.saturating_sub(pinged) > idle => Silence::Cut,
        _ => Silence::Bear,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_player_is_asked_before_it_is_cut_also_after_a_standstill() {
        let idle = 30;
        assert_eq!(silence(130, 100, 0, idle), Silence::Bear);
        assert_eq!(silence(131, 100, 0, idle), Silence::Ping);
        assert_eq!(silence(161, 100, 131, idle), Silence::Bear);
        assert_eq!(silence(162, 100, 131, idle), Silence::Cut);
        // Nobody looked for a thousand times the bound: it is asked all the same, and has its time to answer.
        assert_eq!(silence(30_000, 100, 0, idle), Silence::Ping);
        assert_eq!(silence(30_030, 100, 30_000, idle), Silence::Bear);
    }
}
