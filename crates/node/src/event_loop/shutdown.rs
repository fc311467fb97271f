//! Graceful shutdown: new set-ups are rejected, connections are closed in order, and the node ends when none is left.
//!
//! Clients go on sending until the process is killed, and what the machine has accepted for a process that ends is lost. So
//! the node never ends under an open connection: it closes each one first, when nothing is pending on it, right after an
//! answer where possible. A set-up that crosses that close is sent once more by its client, on a new connection.
use super::EventLoop;
use crate::viewer_connection::{UnreadInput, ViewerConnection};
use crankpaddle_front::{Input, Time};
use crankpaddle_net::{clock, sleep};
use std::time::Duration;

/// How long requests may still arrive after the drain began.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(900);
/// How much longer clients that never stop sending, or do not close, keep the node running.
const CLOSE_PERIOD: Duration = Duration::from_secs(2);
/// A connection that was used more recently is closed right after its next answer only.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
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

    /// Whether `now` is later than `period` after the drain began.
    fn has_drained_for(&self, now: Time, period: Duration) -> bool {
        self.drain_started_at
            .is_some_and(|started_at| now > started_at + period)
    }

    /// Closes connections on which nothing is pending, once no new ones are opened any more.
    pub(super) fn close_resting_connections(&mut self) {
        let now = clock::now();
        if !self.has_drained_for(now, ARRIVAL_PERIOD) {
            return;
        }
        let previous_pass = std::mem::replace(&mut self.last_close_pass, now);
        let connections = self.shared.connections.all();
        let mut open = connections
            .iter()
            .filter(|connection| connection.is_open())
            .count();
        for connection in connections {
            let is_resting =
                connection.is_open() && !connection.has_pending_work(now, UnreadInput::Include);
            if is_resting
                && is_good_moment(connection.last_used(), previous_pass, now)
                && self.may_close(&connection, open)
            {
                tracing::debug!(connection_id = connection.id.0, "closing for shutdown");
                connection.begin_close();
                open -= 1;
            }
        }
    }

    /// Whether a connection may be closed, of so many that are open.
    ///
    /// Why those that are quiet stay while sessions play: the end of a session must be sent to its viewer, on any connection.
    /// One that is still sent on is closed, since the process may be killed between a set-up and its answer.
    fn may_close(&self, connection: &ViewerConnection, open: usize) -> bool {
        if self.core.playing() == 0 && self.unsent_notifications.is_empty() {
            return true;
        }
        open > 1 && self.has_drained_for(connection.last_used(), ARRIVAL_PERIOD)
    }

    /// Whether no work is pending and no connection is left, checked twice; between the checks the connections that wait to be
    /// accepted are, and all sockets are read.
    pub(super) fn has_ended(&self) -> bool {
        if self.has_pending_work() {
            return false;
        }
        self.shared.stop_accepting();
        sleep(FINAL_READ);
        let is_overdue = self.has_drained_for(clock::now(), ARRIVAL_PERIOD + CLOSE_PERIOD);
        (is_overdue || self.shared.has_stopped_accepting()) && !self.has_pending_work()
    }

    /// Why: when the process ends, input that is unread or unhandled and output that is unsent are lost, even if each handled
    /// set-up was answered. A client that never stops sending, never reads an answer, or does not close its connection
    /// delays the end by no more than the periods above.
    fn has_pending_work(&self) -> bool {
        let now = clock::now();
        if !self.has_drained_for(now, ARRIVAL_PERIOD)
            || self.core.waiting() > 0
            || self.core.playing() > 0
            || !self.unsent_notifications.is_empty()
        {
            return true;
        }
        if self.has_drained_for(now, ARRIVAL_PERIOD + CLOSE_PERIOD) {
            return self
                .shared
                .connections
                .has_pending_work(now, UnreadInput::Ignore);
        }
        self.shared.connections.count() > 0
            || self
                .shared
                .connections
                .has_pending_work(now, UnreadInput::Include)
    }
}

/// Whether a connection that was last used then may be closed now: its client was just answered, or is quiet.
///
/// Why: a client that sends at a steady pace is about to send at any other moment, and its set-up would cross the close.
fn is_good_moment(last_used: Time, previous_pass: Time, now: Time) -> bool {
    last_used >= previous_pass || now.duration_since(last_used) >= QUIET_PERIOD
}
