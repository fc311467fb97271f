//! Graceful shutdown: new set-ups are rejected, connections are closed gracefully, and the node ends when none is left.
//!
//! Clients go on sending until the process ends, and input that the kernel has accepted for the process is lost then. So the
//! node does not end while a connection is open: it closes each connection first, when nothing is pending on it, right after an
//! answer where possible. A client sends a set-up that crosses this close once more, on a new connection.
use super::EventLoop;
use crate::viewer_connection::{UnreadInput, ViewerConnection};
use crankpaddle_front::{Input, Time};
use crankpaddle_net::{clock, sleep};
use std::time::Duration;

/// How long after the start of the drain requests may still arrive. No connection is closed for the shutdown before that.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(900);
/// How long after [`ARRIVAL_PERIOD`] clients that never stop sending, or do not close, can keep the node running.
const CLOSE_PERIOD: Duration = Duration::from_secs(2);
/// A connection that was used within this period is only closed right after an answer.
const QUIET_PERIOD: Duration = Duration::from_millis(300);
/// How long all sockets are read between the two final checks for pending work.
const FINAL_READ_PERIOD: Duration = Duration::from_millis(20);

impl EventLoop {
    /// Makes the core reject new set-ups from now on; a second call has no effect.
    pub(super) fn begin_drain(&mut self) {
        if self.drain_started_at.is_some() {
            return;
        }
        tracing::info!(counts = ?self.shared.counts(), "draining");
        self.drain_started_at = Some(clock::now());
        self.notify_core(Input::Drain);
    }

    /// Whether the drain began more than `period` before `now`.
    fn has_drained_for(&self, now: Time, period: Duration) -> bool {
        self.drain_started_at
            .is_some_and(|started_at| now > started_at + period)
    }

    /// While draining, closes connections on which nothing is pending, once [`ARRIVAL_PERIOD`] has passed.
    pub(super) fn close_idle_connections(&mut self) {
        let now = clock::now();
        if !self.has_drained_for(now, ARRIVAL_PERIOD) {
            return;
        }
        let previous_pass = std::mem::replace(&mut self.last_close_pass, now);
        let connections = self.shared.connections.all();
        let mut open_connections = connections
            .iter()
            .filter(|connection| connection.is_open())
            .count();
        for connection in connections {
            let is_idle =
                connection.is_open() && !connection.has_pending_work(now, UnreadInput::Include);
            if is_idle
                && is_unlikely_to_send(connection.last_used(), previous_pass, now)
                && self.may_close(&connection, open_connections)
            {
                tracing::debug!(connection_id = connection.id.0, "closing for shutdown");
                connection.begin_close();
                open_connections -= 1;
            }
        }
    }

    /// Whether a connection may be closed while `open_connections` are open.
    ///
    /// While sessions play, connections that are quiet stay open, because the end of a session must be sent to its viewer on
    /// any connection. One that the viewer still uses is closed, since the process may be killed between a set-up and its
    /// answer.
    fn may_close(&self, connection: &ViewerConnection, open_connections: usize) -> bool {
        if self.core.playing_sessions() == 0 && self.unsent_notifications.is_empty() {
            return true;
        }
        open_connections > 1 && self.has_drained_for(connection.last_used(), ARRIVAL_PERIOD)
    }

    /// Whether shutdown is complete: no work is pending and no connection is left.
    ///
    /// This is checked twice. Between the checks the node accepts the connections in the listener's queue, stops accepting
    /// further ones, and reads all sockets.
    pub(super) fn try_complete_shutdown(&self) -> bool {
        if self.has_pending_work() {
            return false;
        }
        self.shared.stop_accepting();
        sleep(FINAL_READ_PERIOD);
        let is_overdue = self.has_drained_for(clock::now(), ARRIVAL_PERIOD + CLOSE_PERIOD);
        (is_overdue || self.shared.has_stopped_accepting()) && !self.has_pending_work()
    }

    /// Whether the node must go on running for its sessions, its set-ups or its connections.
    ///
    /// When the process ends, unread or unhandled input and unsent output are lost, even if each handled set-up was answered. A
    /// client that never stops sending, never reads an answer, or does not close its connection delays the end by no more than
    /// the periods above.
    fn has_pending_work(&self) -> bool {
        let now = clock::now();
        if !self.has_drained_for(now, ARRIVAL_PERIOD)
            || self.core.waiting_requests() > 0
            || self.core.playing_sessions() > 0
            || !self.unsent_notifications.is_empty()
            || self.adoptions.has_pending()
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

/// Whether the client of a connection that was last used at `last_used` is not about to send: it was answered since the
/// previous pass, or has been quiet for [`QUIET_PERIOD`].
///
/// At any other moment a client that sends at a steady pace is about to send, and its set-up would cross the close.
fn is_unlikely_to_send(last_used: Time, previous_pass: Time, now: Time) -> bool {
    last_used >= previous_pass || now.duration_since(last_used) >= QUIET_PERIOD
}
