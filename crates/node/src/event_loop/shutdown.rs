//! Graceful shutdown: new set-ups are rejected, and the node ends when no work is pending.
use super::EventLoop;
use crate::viewer_connection::UnreadInput;
use crankpaddle_front::Input;
use crankpaddle_net::{clock, sleep};
use std::time::Duration;

/// How long requests may still arrive after the drain began.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(900);
/// How much longer unread input keeps the node running; after that, only a client that never stops sending has any.
const UNREAD_PERIOD: Duration = Duration::from_secs(2);
/// How long all sockets are read before the node ends.
const FINAL_READ: Duration = Duration::from_millis(20);

impl EventLoop {
    /// Rejects new set-ups from now on; a second call has no effect.
    pub(super) fn begin_drain(&mut self) {
        if self.drain_started_at.is_some() {
            return;
        }
        tracing::info!(counts = ?self.shared.counts(), "draining");
        self.drain_started_at = Some(clock::now());
        self.notify_core(Input::Drain);
    }

    /// Whether no work is pending, checked twice; in the pause between the checks the sockets are read.
    pub(super) fn has_ended(&self) -> bool {
        if self.has_pending_work() {
            return false;
        }
        sleep(FINAL_READ);
        !self.has_pending_work()
    }

    /// Why: when the process ends, input that is unread or unhandled and output that is unsent are lost, even if each handled
    /// set-up was answered. A client that never stops sending, or never reads an answer, delays the end by no more than
    /// the periods above.
    fn has_pending_work(&self) -> bool {
        let Some(started_at) = self.drain_started_at else {
            return true;
        };
        let now = clock::now();
        let is_over = |period| now > started_at + period;
        if !is_over(ARRIVAL_PERIOD)
            || self.core.waiting() > 0
            || self.core.playing() > 0
            || !self.unsent_notifications.is_empty()
        {
            return true;
        }
        let unread = if is_over(ARRIVAL_PERIOD + UNREAD_PERIOD) {
            UnreadInput::Ignore
        } else {
            UnreadInput::Include
        };
        self.shared.connections.has_pending_work(now, unread)
    }
}
