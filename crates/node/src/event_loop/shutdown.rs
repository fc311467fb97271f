//! Graceful shutdown: when the node may end.
use super::EventLoop;
use crate::viewer_connection::UnreadInput;
use crankpaddle_front::Input;
use crankpaddle_net::{clock, sleep};
use std::time::Duration;

/// Requests still arrive for so long after the drain began.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(900);
/// What is unread then is read for this time more; beyond, only a client that never stops has any.
const UNREAD_PERIOD: Duration = Duration::from_secs(2);
/// Before the node ends, all sockets are read for this long.
const FINAL_READ: Duration = Duration::from_millis(20);

impl EventLoop {
    /// Takes no new set-up from now on; a second call changes nothing.
    pub(super) fn begin_drain(&mut self) {
        if self.drain_started_at.is_some() {
            return;
        }
        tracing::info!(counts = ?self.shared.counts(), "draining");
        self.drain_started_at = Some(clock::now());
        self.notify_core(Input::Drain);
    }

    /// Whether nothing is pending any more, twice with a pause in between in which all that the kernel holds is read.
    pub(super) fn has_ended(&self) -> bool {
        if self.has_pending_work() {
            return false;
        }
        sleep(FINAL_READ);
        !self.has_pending_work()
    }

    /// Why: a process that ends takes with it what is unread, unhandled or unsent, also where each set-up that it handled has its
    /// answer. A client that sends without a pause, or never reads an answer, keeps the process for the stated periods only.
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
