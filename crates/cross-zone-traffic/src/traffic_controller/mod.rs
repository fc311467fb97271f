//! A front's traffic controller: its usage account and budgets, updated by the events of sessions and servers.
//!
//! The caller supplies the time. Before a request is placed, it notifies the placement module of the
//! [`TrafficController::policy_changes`] and of the rate caps that [`TrafficController::tick`] returned.
mod attempts;
mod config;
mod server_zones;

pub use attempts::{AttemptEnd, AttemptUsage};
pub use config::{TrafficClass, TrafficConfig};

use crate::cross_zone_admission::{
    BudgetStatus, CrossZoneAdmission, OverdraftCause, PolicyChange, RateCapChanges, SessionStart,
};
use crate::usage_accounting::{Flow, Purpose, SavedFlow, UsageAccount, UsageConfig};
use attempts::{ActiveAttempt, Attempts};
use crankpaddle_time::Time;
use server_zones::ServerZones;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A count or report is waited for this many times its usual delay ...
const SETTLE_DELAY_FACTOR: u32 = 3;
/// ... and this much longer.
const SETTLE_DELAY_MARGIN: Duration = Duration::from_secs(2);
/// Delivery reports arrive once a second; a missing one is bridged.
const DELIVERY_REPORT_TTL: Duration = Duration::from_millis(2500);
/// Flows with totals of their own at most.
const MAX_FLOWS: usize = 1024;
/// The mean session length that is assumed at first, seconds.
const INITIAL_SESSION_SECONDS: f64 = 30.0;
/// The lowest rung.
const LOWEST_RUNG: u8 = 0;

/// A front's usage account and budgets.
#[derive(Clone, Debug)]
pub struct TrafficController {
    config: TrafficConfig,
    account: UsageAccount,
    admission: CrossZoneAdmission,
    servers: ServerZones,
    attempts: Attempts,
}

impl TrafficController {
    /// A controller that has counted nothing yet.
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
            attempts: Attempts::default(),
            config,
        }
    }

    /// Changes the configuration; counted bytes, sessions and debt stay. Classes keep their numbers.
    pub fn reconfigure(&mut self, config: TrafficConfig) {
        self.admission.reconfigure(&config.limits, config.position);
        self.config = config;
    }

    /// The time that a report received now describes.
    fn described_time(&self, now: Time) -> Time {
        now - self.config.report_delay
    }
}

/// Events of servers.
impl TrafficController {
    /// A server is listed in a zone; `is_up`: whether it accepts or finishes work there.
    pub fn endpoint_listed(&mut self, server: u32, zone: u8, is_up: bool) {
        if let Some(previous) = self.servers.assign(server, zone) {
            self.servers.set_up(server, previous, false);
            self.update_admission_servers(previous);
        }
        if self.servers.set_up(server, zone, is_up) {
            self.update_admission_servers(zone);
        }
        if !is_up {
            self.admission.server_lost(zone, server);
        }
    }

    /// The complete list of servers: those that are not in it are not up.
    pub fn retain_endpoints(&mut self, servers: &BTreeSet<u32>) {
        for server in self.servers.not_in(servers) {
            if let Some(zone) = self.servers.zone(server) {
                self.endpoint_listed(server, zone, false);
            }
        }
    }

    fn update_admission_servers(&mut self, zone: u8) {
        let servers = self.servers.servers_up(zone);
        self.admission.update_servers(zone, servers);
    }

    /// The zone that a server is listed in.
    #[must_use]
    pub fn zone(&self, server: u32) -> Option<u8> {
        self.servers.zone(server)
    }

    /// A server was alive until now, although it may have been lost since.
    pub fn server_alive(&mut self, server: u32, now: Time) {
        self.servers.record_received(server, now);
    }

    /// A message of a server was received, so it is up.
    pub fn server_connected(&mut self, server: u32, now: Time) {
        self.server_alive(server, now);
        let Some(zone) = self.servers.zone(server) else {
            return;
        };
        if self.servers.set_up(server, zone, true) {
            self.update_admission_servers(zone);
        }
    }

    /// A server can't be reached: it sends nothing until a message of it is received again.
    pub fn server_lost(&mut self, server: u32) {
        if let Some(zone) = self.servers.zone(server) {
            self.servers.set_up(server, zone, false);
            self.admission.server_lost(zone, server);
        }
    }

    /// A server reports what it sends to this front's zone for all fronts, kB a second by class.
    pub fn usage_reported(&mut self, server: u32, rate_kb_by_class: BTreeMap<u8, f64>, now: Time) {
        self.server_connected(server, now);
        if let Some(zone) = self.servers.zone(server) {
            let at = self.described_time(now);
            self.admission
                .usage_reported(zone, server, at, rate_kb_by_class);
        }
    }

    /// A server reports which share of all rates it delivers; the report describes the time before its delay.
    pub fn delivery_reported(&mut self, server: u32, share: f64, now: Time) {
        self.server_connected(server, now);
        let at = self.described_time(now);
        self.account.delivery_reported(server, share, at);
    }
}

/// Events of sessions.
impl TrafficController {
    /// A request of a class arrived.
    pub fn session_requested(&mut self, class: u8, now: Time) {
        self.admission.session_requested(now, class);
    }

    /// An attempt was sent to its server.
    pub fn attempt_started(&mut self, attempt: AttemptUsage) {
        let server_zone = self.servers.zone(attempt.server);
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

    /// An attempt became a session.
    pub fn session_established(&mut self, id: u64, now: Time) {
        let Some(ActiveAttempt { usage, flow, .. }) = self.attempts.establish(id) else {
            return;
        };
        let rate_kb = self.config.rate_kb(usage.class, usage.rung);
        self.account
            .session_started(id, flow, usage.server, rate_kb, now);
        if flow.crosses() {
            let start = SessionStart {
                session: id,
                from: flow.from,
                class: flow.class,
                rate_kb,
                lowest_rate_kb: self.config.rate_kb(usage.class, LOWEST_RUNG),
                overdraft_cause: self.overdraft_cause(),
            };
            self.admission.session_started(now, start);
        }
    }

    /// Why a paid session would cross beyond its budget now.
    fn overdraft_cause(&self) -> OverdraftCause {
        if self.servers.has_server_up(self.config.zone) {
            OverdraftCause::LocalZoneFull
        } else {
            OverdraftCause::LocalZoneDown
        }
    }

    /// The rung of a session changed.
    pub fn rung_changed(&mut self, id: u64, rung: u8, now: Time) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let rate_kb = self.config.rate_kb(attempt.usage.class, rung);
        self.account.rate_changed(id, rate_kb, now);
        self.admission.rate_changed(now, id, rate_kb);
    }

    /// An attempt or session ended.
    pub fn attempt_ended(&mut self, id: u64, end: AttemptEnd, now: Time) {
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        if !attempt.is_established {
            self.attempts.await_final_count(id, attempt.flow, now);
            return;
        }
        let last_received = self.servers.last_received(attempt.usage.server);
        let ended_at = match (end, last_received) {
            (AttemptEnd::ServerLost, Some(received_at)) => received_at.min(now),
            _ => now,
        };
        self.account.session_ended(id, ended_at);
        self.admission.session_ended(now, id);
    }

    /// A server has counted `bytes` for a session since its start; the count describes the time before its delay.
    pub fn bytes_counted(&mut self, id: u64, bytes: u64, now: Time) {
        if self.attempts.is_established(id) {
            let at = self.described_time(now);
            self.account.bytes_counted(id, bytes, at);
        }
    }

    /// A server's final count of an attempt or session: all bytes that it sent.
    pub fn final_bytes_counted(&mut self, id: u64, bytes: u64, now: Time) {
        match self.attempts.take_failed(id) {
            Some(flow) => self.account.add_measured(flow, bytes, now),
            None => self.account.final_bytes_counted(id, bytes),
        }
    }
}

/// Decisions and periodic work.
impl TrafficController {
    /// How classes may be served from zones, where that changed since the previous call. Notify the placement module of the
    /// changes before a request is placed.
    pub fn policy_changes(&mut self, now: Time) -> Vec<PolicyChange> {
        self.admission.policy_changes(now)
    }

    /// Zones all of whose servers' reports this front needs now.
    #[must_use]
    pub fn zones_observed(&self, now: Time) -> BTreeSet<u8> {
        self.admission.zones_observed(now)
    }

    /// Whether a server is listed in one of these zones and is up.
    #[must_use]
    pub fn is_in_zones(&self, server: u32, zones: &BTreeSet<u8>) -> bool {
        self.servers.is_up_in(server, zones)
    }

    /// Updates quotas and returns which sessions are to be capped or uncapped; call it about once a second.
    pub fn tick(&mut self, now: Time) -> RateCapChanges {
        self.attempts.remove_expired(now);
        self.admission.tick(now)
    }

    /// Settles up to `max_sessions` sessions; returns whether that completed a round over all of them.
    pub fn settle_usage(&mut self, now: Time, max_sessions: usize) -> bool {
        self.account.settle(now, max_sessions)
    }

    /// Restores the totals that a previous incarnation saved; false where something was counted already.
    pub fn restore(&mut self, saved_flows: &[SavedFlow]) -> bool {
        self.account.restore(saved_flows)
    }
}

/// State that is reported.
impl TrafficController {
    /// The usage account.
    #[must_use]
    pub fn usage(&self) -> &UsageAccount {
        &self.account
    }

    /// The state of each budget.
    pub fn budget_statuses(&mut self, now: Time) -> Vec<BudgetStatus> {
        self.admission.budget_statuses(now)
    }
}
