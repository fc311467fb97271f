//! Periodic work: servers and links are checked, notifications are retried, counts are logged.
use super::{ConnectionId, EventLoop, UnsentMessage};
use crate::shared::LinkId;
use crankpaddle_front::{ServerId, Time};
use crankpaddle_net::CloseReason;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often servers, links and unsent notifications are checked.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// How often counts are logged.
const COUNTS_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// How often load estimates are traced.
const LOAD_TRACE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a link stays open after an attempt on it timed out in silence.
const UNRESPONSIVE_LINK_LIFETIME: Duration = Duration::from_secs(2);

/// When periodic work is due. The interval counts from when it was last found due.
pub(super) struct Periodic {
    due_at: Time,
    interval: Duration,
}

impl Periodic {
    fn first_after(now: Time, interval: Duration) -> Periodic {
        Periodic {
            due_at: now + interval,
            interval,
        }
    }

    pub(super) fn due_at(&self) -> Time {
        self.due_at
    }

    /// Whether it is due; then it is due again an interval from `now`.
    pub(super) fn is_due(&mut self, now: Time) -> bool {
        let due = now >= self.due_at;
        if due {
            self.due_at = now + self.interval;
        }
        due
    }
}

/// When the event loop's periodic work is due.
pub(super) struct Schedule {
    pub(super) maintenance: Periodic,
    pub(super) counts_log: Periodic,
    load_trace: Periodic,
}

impl Schedule {
    pub(super) fn starting_at(now: Time) -> Schedule {
        Schedule {
            maintenance: Periodic::first_after(now, MAINTENANCE_INTERVAL),
            counts_log: Periodic::first_after(now, COUNTS_LOG_INTERVAL),
            load_trace: Periodic {
                due_at: now,
                interval: LOAD_TRACE_INTERVAL,
            },
        }
    }
}

impl EventLoop {
    pub(super) fn trace_load_estimates(&self, now: Time, schedule: &mut Schedule) {
        if !tracing::enabled!(tracing::Level::TRACE) || !schedule.load_trace.is_due(now) {
            return;
        }
        for estimate in self.core.server_estimates(now) {
            tracing::trace!(
                server_id = estimate.server.0,
                link = estimate.link_fill,
                uplink = estimate.uplink_fill,
                usable = estimate.usable,
                "load estimate"
            );
        }
    }

    pub(super) fn log_counts(&self) {
        tracing::info!(counts = ?self.shared.counts(), dropped = ?self.shared.drop_counters, "counts");
    }

    pub(super) fn run_maintenance(&mut self, now: Time) {
        let servers: Vec<ServerId> = self.servers.keys().copied().collect();
        for server in servers {
            self.maintain_server(server, now);
        }
        self.close_unresponsive_links(now);
        self.sent_to_viewers.remove_expired(now);
        self.sent_to_servers.remove_expired(now);
        self.retry_notifications(now);
        self.publish_entries();
    }

    fn maintain_server(&mut self, id: ServerId, now: Time) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.remove_expired(now);
        }
        self.ensure_observed(id, now);
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        if server.is_unused() {
            self.close_links(id, CloseReason::NotNeeded);
            self.servers.remove(&id);
        } else if !server.is_listed && server.health.wants_connect(now, true) {
            self.server_lost(id); // Silent, and no connect may check it any more.
        }
    }

    fn close_unresponsive_links(&mut self, now: Time) {
        let expired: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_expired(now, UNRESPONSIVE_LINK_LIFETIME))
            .map(|(id, _)| *id)
            .collect();
        for link in expired {
            self.close_link(link, CloseReason::Unresponsive);
        }
    }

    fn retry_notifications(&mut self, now: Time) {
        self.unsent_notifications
            .retain(|message| now < message.expires_at);
        for message in std::mem::take(&mut self.unsent_notifications) {
            self.retry_notification(message);
        }
    }

    /// Sends a notification on any connection that accepts it: one that had a session, or else any that has sent a message.
    fn retry_notification(&mut self, message: UnsentMessage) {
        let have_sent = self
            .connections
            .values()
            .filter(|connection| connection.has_sent_message.load(Ordering::Relaxed))
            .map(|connection| connection.id);
        let mut candidates = self
            .session_connections
            .iter()
            .rev()
            .copied()
            .chain(have_sent);
        let sent_on = candidates.find(|id: &ConnectionId| self.send_to_viewer(*id, &message.bytes));
        match sent_on {
            Some(connection) => self.retain_notification(connection, message),
            None => self.unsent_notifications.push_back(message),
        }
    }

    fn publish_entries(&self) {
        let of_servers: usize = self.servers.values().map(super::Server::entries).sum();
        let own = self.sessions.len()
            + self.players.len()
            + self.attempts.len()
            + self.unsent_notifications.len();
        self.shared
            .entries
            .store(own + of_servers, Ordering::Relaxed);
    }
}
