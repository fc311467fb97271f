//! A front's traffic controller: updates the front's usage account and budgets from the events of sessions and servers.
//!
//! The caller supplies the time. Before it places a request, it must pass the changes that
//! [`TrafficController::policy_changes`] and [`TrafficController::tick`] return to the placement module.
mod attempts;
mod config;
mod server_zones;

pub use attempts::{AttemptEnd, StartedAttempt};
pub use config::{TrafficClass, TrafficConfig};

use crate::cross_zone_admission::{
    BudgetStatus, CrossZoneAdmission, CrossingSessionStart, OverdraftCause, PolicyChange,
    RateCapChanges,
};
use crate::usage_accounting::{Flow, Purpose, SavedFlow, UsageAccount, UsageConfig};
use attempts::{ActiveAttempt, UncountedAttempts};
use crankpaddle_time::Time;
use server_zones::ServerZones;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Bytes are settled after this many times the usual delay of counts and reports, plus [`SETTLE_DELAY_MARGIN`].
const SETTLE_DELAY_FACTOR: u32 = 3;
/// Added to the settlement delay.
const SETTLE_DELAY_MARGIN: Duration = Duration::from_secs(2);
/// How long a delivery report applies. Reports arrive once a second, so one missing report leaves no gap.
const DELIVERY_REPORT_TTL: Duration = Duration::from_millis(2500);
/// Maximum number of flows that have separate totals; it bounds the memory of the account.
const MAX_FLOWS: usize = 1024;
/// Assumed mean session length, in seconds, until sessions have ended.
const INITIAL_SESSION_SECONDS: f64 = 30.0;
/// Number of the lowest rung.
const LOWEST_RUNG: u8 = 0;

/// Tracks the cross-zone usage of a front's sessions and enforces its budgets.
#[derive(Clone, Debug)]
pub struct TrafficController {
    config: TrafficConfig,
    account: UsageAccount,
    admission: CrossZoneAdmission,
    servers: ServerZones,
    attempts: UncountedAttempts,
}

impl TrafficController {
    /// Creates a controller with an empty usage account and unused budgets.
    #[must_use]
    pub fn new(config: TrafficConfig) -> TrafficController {
        let usage_config = UsageConfig {
            settle_delay: SETTLE_DELAY_FACTOR * config.report_delay + SETTLE_DELAY_MARGIN,
            delivery_report_ttl: DELIVERY_REPORT_TTL,
            max_flows: MAX_FLOWS,
        };
        let paid_classes = config.classes.iter().map(|class| class.is_paid).collect();
        TrafficController {
            account: UsageAccount::new(usage_config),
            admission: CrossZoneAdmission::new(
                paid_classes,
                &config.limits,
                config.position,
                INITIAL_SESSION_SECONDS,
            ),
            servers: ServerZones::default(),
            attempts: UncountedAttempts::default(),
            config,
        }
    }

    /// Applies a new configuration, in which classes must keep their numbers. Counted bytes, sessions and debt are kept.
    pub fn reconfigure(&mut self, config: TrafficConfig) {
        self.admission.reconfigure(&config.limits, config.position);
        self.config = config;
    }

    /// The time to which a count or report that is received now refers: `report_delay` ago.
    fn measurement_time(&self, now: Time) -> Time {
        now - self.config.report_delay
    }
}

/// Handles events of servers.
impl TrafficController {
    /// Handles an endpoint list entry that places a server in a zone. `is_up` tells whether the server accepts new work there
    /// or still finishes earlier work.
    pub fn endpoint_listed(&mut self, server: u32, zone: u8, is_up: bool) {
        if let Some(previous) = self.servers.assign_zone(server, zone) {
            self.servers.set_up(server, previous, false);
            self.update_servers_up(previous);
        }
        if self.servers.set_up(server, zone, is_up) {
            self.update_servers_up(zone);
        }
        if !is_up {
            self.admission.server_lost(zone, server);
        }
    }

    /// Handles a complete endpoint list: marks all known servers that are missing from it as down.
    pub fn retain_endpoints(&mut self, servers: &BTreeSet<u32>) {
        for server in self.servers.missing_from(servers) {
            if let Some(zone) = self.servers.zone_of(server) {
                self.endpoint_listed(server, zone, false);
            }
        }
    }

    /// Passes the servers of a zone that are up to admission.
    fn update_servers_up(&mut self, zone: u8) {
        let servers = self.servers.servers_up(zone);
        self.admission.set_servers_up(zone, servers);
    }

    /// The zone in which a server is listed; `None` if it never was.
    #[must_use]
    pub fn zone(&self, server: u32) -> Option<u8> {
        self.servers.zone_of(server)
    }

    /// Records that a server was alive until `now`. It is not marked as up, because it may have been lost since.
    pub fn record_server_alive(&mut self, server: u32, now: Time) {
        self.servers.record_message(server, now);
    }

    /// Handles a message from a server, which shows that the server is up.
    pub fn server_connected(&mut self, server: u32, now: Time) {
        self.record_server_alive(server, now);
        let Some(zone) = self.servers.zone_of(server) else {
            return;
        };
        if self.servers.set_up(server, zone, true) {
            self.update_servers_up(zone);
        }
    }

    /// Handles the loss of a server. It counts as down, and as sending nothing, until a message from it is received again.
    pub fn server_lost(&mut self, server: u32) {
        if let Some(zone) = self.servers.zone_of(server) {
            self.servers.set_up(server, zone, false);
            self.admission.server_lost(zone, server);
        }
    }

    /// Handles a server's report of what it sends to this front's zone for the sessions of all fronts, in kB per second by
    /// class.
    pub fn usage_reported(&mut self, server: u32, rate_kb_by_class: BTreeMap<u8, f64>, now: Time) {
        self.server_connected(server, now);
        if let Some(zone) = self.servers.zone_of(server) {
            let at = self.measurement_time(now);
            self.admission
                .usage_reported(zone, server, at, rate_kb_by_class);
        }
    }

    /// Handles a server's report of the share of the sum of its sessions' rates that it delivers. The report refers to the
    /// time `report_delay` ago.
    pub fn delivery_reported(&mut self, server: u32, share: f64, now: Time) {
        self.server_connected(server, now);
        let at = self.measurement_time(now);
        self.account.delivery_reported(server, share, at);
    }
}

/// Handles events of sessions.
impl TrafficController {
    /// Handles the arrival of a request.
    pub fn session_requested(&mut self, class: u8, now: Time) {
        self.admission.session_requested(now, class);
    }

    /// Handles an attempt that was sent to its server.
    pub fn attempt_started(&mut self, attempt: StartedAttempt) {
        let server_zone = self.servers.zone_of(attempt.server);
        let flow = Flow {
            from: server_zone.unwrap_or(self.config.zone),
            to: self.config.zone,
            class: attempt.class,
            tenant: attempt.tenant,
            group: attempt.group,
            purpose: if attempt.number > 0 {
                Purpose::Retry
            } else {
                Purpose::FirstAttempt
            },
        };
        self.attempts.insert(attempt, flow);
    }

    /// Handles an attempt that became a session. Its bytes are counted from `now` on.
    pub fn session_established(&mut self, id: u64, now: Time) {
        let Some(ActiveAttempt { started, flow, .. }) = self.attempts.establish(id) else {
            return;
        };
        let rate_kb = self.config.rate_kb(started.class, started.rung);
        self.account
            .session_started(id, flow, started.server, rate_kb, now);
        if flow.crosses() {
            let start = CrossingSessionStart {
                session_id: id,
                from: flow.from,
                class: flow.class,
                rate_kb,
                lowest_rate_kb: self.config.rate_kb(started.class, LOWEST_RUNG),
                overdraft_cause: self.overdraft_cause(),
            };
            self.admission.session_started(now, start);
        }
    }

    /// The cause that is recorded if a paid session exceeds its budget now.
    fn overdraft_cause(&self) -> OverdraftCause {
        if self.servers.has_server_up(self.config.zone) {
            OverdraftCause::LocalZoneFull
        } else {
            OverdraftCause::LocalZoneDown
        }
    }

    /// Handles a change of a session's rung.
    pub fn rung_changed(&mut self, id: u64, rung: u8, now: Time) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let rate_kb = self.config.rate_kb(attempt.started.class, rung);
        self.account.rate_changed(id, rate_kb, now);
        self.admission.rate_changed(now, id, rate_kb);
    }

    /// Handles the end of an attempt or session.
    pub fn attempt_ended(&mut self, id: u64, end: AttemptEnd, now: Time) {
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        if !attempt.is_established {
            self.attempts.await_final_count(id, attempt.flow, now);
            return;
        }
        let last_message_at = self.servers.last_message_at(attempt.started.server);
        let ended_at = match (end, last_message_at) {
            (AttemptEnd::ServerLost, Some(last_message_at)) => last_message_at.min(now),
            _ => now,
        };
        self.account.session_ended(id, ended_at);
        self.admission.session_ended(now, id);
    }

    /// Handles a server's cumulative count: it had sent `bytes` of a session by the time `report_delay` ago.
    pub fn bytes_counted(&mut self, id: u64, bytes: u64, now: Time) {
        if self.attempts.is_established(id) {
            let at = self.measurement_time(now);
            self.account.bytes_counted(id, bytes, at);
        }
    }

    /// Handles a server's final count of an attempt or session: the number of all bytes that it sent.
    pub fn final_bytes_counted(&mut self, id: u64, bytes: u64, now: Time) {
        match self.attempts.take_failed(id) {
            Some(flow) => self.account.add_measured_bytes(flow, bytes, now),
            None => self.account.final_bytes_counted(id, bytes),
        }
    }
}

/// Policies and periodic work.
impl TrafficController {
    /// Returns the policies, by zone and class, that changed since the previous call. The caller must pass them to the
    /// placement module before it places a request.
    pub fn policy_changes(&mut self, now: Time) -> Vec<PolicyChange> {
        self.admission.policy_changes(now)
    }

    /// The zones from which this front currently needs the usage reports of every server.
    #[must_use]
    pub fn zones_to_observe(&self, now: Time) -> BTreeSet<u8> {
        self.admission.zones_to_observe(now)
    }

    /// Whether a server is up and listed in one of `zones`.
    #[must_use]
    pub fn is_up_in_zones(&self, server: u32, zones: &BTreeSet<u8>) -> bool {
        self.servers.is_up_in(server, zones)
    }

    /// Updates the quotas and returns the sessions to cap or uncap. Must be called about once a second.
    pub fn tick(&mut self, now: Time) -> RateCapChanges {
        self.attempts.remove_expired(now);
        self.admission.tick(now)
    }

    /// Settles the bytes of up to `max_sessions` sessions. Returns true when this completes a round over all sessions.
    pub fn settle_usage(&mut self, now: Time, max_sessions: usize) -> bool {
        self.account.settle(now, max_sessions)
    }

    /// Restores the totals that a previous incarnation saved. Returns false, and restores nothing, if bytes were already
    /// counted.
    pub fn restore(&mut self, saved_flows: &[SavedFlow]) -> bool {
        self.account.restore(saved_flows)
    }
}

/// State for reports.
impl TrafficController {
    /// The bytes that this front's sessions used, by flow.
    #[must_use]
    pub fn usage(&self) -> &UsageAccount {
        &self.account
    }

    /// The current state of each budget, ordered by zone and class.
    pub fn budget_statuses(&mut self, now: Time) -> Vec<BudgetStatus> {
        self.admission.budget_statuses(now)
    }
}
