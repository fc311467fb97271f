//! Periodic work: checks of servers and links, retries of notifications, and logging of counts.
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
/// How long a link stays open after an attempt on it timed out while nothing was received.
const UNRESPONSIVE_LINK_LIFETIME: Duration = Duration::from_secs(2);

/// A timer for periodic work. Its interval starts anew when it fires, so delays do not accumulate into extra runs.
pub(super) struct PeriodicTimer {
    due_at: Time,
    interval: Duration,
}

impl PeriodicTimer {
    fn first_after(now: Time, interval: Duration) -> PeriodicTimer {
        PeriodicTimer {
            due_at: now + interval,
            interval,
        }
    }

    pub(super) fn due_at(&self) -> Time {
        self.due_at
    }

    /// Whether it is due. If so, it is next due one interval after `now`.
    pub(super) fn fire_if_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.due_at;
        if is_due {
            self.due_at = now + self.interval;
        }
        is_due
    }
}

/// The timers of the event loop's periodic work.
pub(super) struct Schedule {
    pub(super) maintenance: PeriodicTimer,
    pub(super) counts_log: PeriodicTimer,
    load_trace: PeriodicTimer,
}

impl Schedule {
    pub(super) fn starting_at(now: Time) -> Schedule {
        Schedule {
            maintenance: PeriodicTimer::first_after(now, MAINTENANCE_INTERVAL),
            counts_log: PeriodicTimer::first_after(now, COUNTS_LOG_INTERVAL),
            load_trace: PeriodicTimer {
                due_at: now,
                interval: LOAD_TRACE_INTERVAL,
            },
        }
    }
}

impl EventLoop {
    pub(super) fn trace_load_estimates(&self, now: Time, schedule: &mut Schedule) {
        if !tracing::enabled!(tracing::Level::TRACE) || !schedule.load_trace.fire_if_due(now) {
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
        self.retry_adoptions(now);
        self.publish_entry_count();
    }

    fn maintain_server(&mut self, id: ServerId, now: Time) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.remove_expired(now);
        }
        self.ensure_monitored(id, now);
        let Some(server) = self.servers.get(&id) else {
            return;
        };
        if server.is_unused() {
            self.close_links(id, CloseReason::NotNeeded);
            self.servers.remove(&id);
        } else if server.health.has_missed_probe(now) {
            self.server_lost(id);
        } else if !server.is_listed && server.health.should_connect(now, true) {
            // It is silent, and a connect can't check it, as its address may be another server's by now.
            self.server_lost(id);
        } else if !server.is_listed && server.unconfirmed.is_refresh_due(now) {
            self.end_unconfirmed(id);
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

    /// Retries a notification on connections on which a session was established, the most recent first, and then on any other
    /// that has sent a message.
    fn retry_notification(&mut self, message: UnsentMessage) {
        let other_active = self
            .connections
            .values()
            .filter(|connection| connection.has_sent_message.load(Ordering::Relaxed))
            .map(|connection| connection.id);
        let mut candidates = self
            .session_connections
            .iter()
            .rev()
            .copied()
            .chain(other_active);
        let accepted_by =
            candidates.find(|id: &ConnectionId| self.send_to_viewer(*id, &message.bytes));
        match accepted_by {
            Some(connection) => self.retain_notification(connection, message),
            None => self.unsent_notifications.push_back(message),
        }
    }

    fn publish_entry_count(&self) {
        let server_entries: usize = self
            .servers
            .values()
            .map(super::ServerRecord::entry_count)
            .sum();
        let own_entries = self.sessions.len()
            + self.players.len()
            + self.attempts.len()
            + self.unsent_notifications.len();
        self.shared
            .entries
            .store(own_entries + server_entries, Ordering::Relaxed);
    }
}
