//! Periodic upkeep: links, the connection pool, budgets, the traffic account and the store.
use super::EventLoop;
use crankpaddle_front::{AttemptId, Input};
use crankpaddle_net::clock;
use crankpaddle_time::Time;

impl EventLoop {
    pub(super) fn run_maintenance(&mut self) {
        let now = clock::now().as_nanos();
        let idle_timeout = self.shared.limits().pool_idle;
        for state in self.servers.values() {
            if let Some(link) = &state.link {
                link.close_if_idle(Time(now), idle_timeout);
            }
        }
        self.shared.pool.prune();
        self.enforce_budgets(now);
        self.maintain_durable_state();
    }

    /// Applies the budgets of cross-zone traffic: rate caps of sessions, policies of classes, and which
    /// servers must report.
    fn enforce_budgets(&mut self, now: u64) {
        let changes = self.traffic.controller.tick(now);
        self.cap_rates(&changes.cap, true);
        self.cap_rates(&changes.uncap, false);
        self.apply_cross_zone_policy();
        self.update_report_subscriptions(now);
        self.traffic.start_settlement();
        self.save_traffic_account();
    }

    fn cap_rates(&mut self, sessions: &[u64], is_capped: bool) {
        for session in sessions {
            tracing::info!(attempt_id = session, is_capped, "rate cap changed");
            self.handle_core_input(Input::RateCapped(AttemptId(*session), is_capped));
        }
    }

    /// Subscribes to servers whose reports are needed though no session is there: for budgets, or because the
    /// list service does not report their starts.
    fn update_report_subscriptions(&mut self, now: u64) {
        let zones = self.traffic.controller.zones_observed(now);
        for (server, state) in &self.servers {
            let Some(link) = &state.link else { continue };
            let is_wanted =
                self.is_list_unavailable || self.traffic.controller.is_in_zones(server.0, &zones);
            link.want_reports(&self.shared, is_wanted);
        }
    }

    /// Passes changes of how classes may be served from other zones to the core.
    pub(super) fn apply_cross_zone_policy(&mut self) {
        for change in self
            .traffic
            .controller
            .policy_changes(clock::now().as_nanos())
        {
            let (zone, class, policy) = (change.zone, change.class, change.policy);
            tracing::info!(zone, class, ?policy, "cross-zone policy changed");
            self.handle_core_input(Input::CrossZonePolicyChanged {
                zone,
                class,
                policy,
            });
        }
    }

    pub(super) fn save_traffic_account(&mut self) {
        if self.traffic_writer.is_enabled() {
            let account = self.traffic.report();
            self.traffic_writer.write(account);
        }
    }
}
