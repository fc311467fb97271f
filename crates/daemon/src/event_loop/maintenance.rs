//! Periodic maintenance of links, the connection pool, budgets, the saved traffic report and the store.
use super::EventLoop;
use crankpaddle_front::{AttemptId, Input, RateCap, Time};
use crankpaddle_net::clock;

impl EventLoop {
    pub(super) fn run_maintenance(&mut self) {
        let now = clock::now();
        let idle_timeout = self.shared.limits().pool_idle_timeout;
        for state in self.servers.values() {
            if let Some(link) = &state.link {
                link.close_if_idle(now, idle_timeout);
            }
        }
        self.shared.pool.prune();
        self.enforce_budgets(now);
        self.maintain_durable_state();
    }

    /// Enforces the budgets of cross-zone traffic: caps or uncaps the rates of sessions, updates the policies of
    /// classes, and subscribes to the reports of servers.
    fn enforce_budgets(&mut self, now: Time) {
        let changes = self.traffic.controller.tick(now);
        self.cap_rates(&changes.cap, RateCap::LowestRung);
        self.cap_rates(&changes.uncap, RateCap::None);
        self.apply_cross_zone_policy();
        self.update_report_subscriptions(now);
        self.traffic.start_settlement();
        self.save_traffic_report();
    }

    fn cap_rates(&mut self, sessions: &[u64], cap: RateCap) {
        let is_capped = cap == RateCap::LowestRung;
        for session in sessions {
            tracing::info!(attempt_id = session, is_capped, "rate cap changed");
            self.handle_core_input(Input::RateCapChanged(AttemptId(*session), cap));
        }
    }

    /// Subscribes to servers without sessions whose reports are needed, either for budgets or because the list
    /// service is unavailable and does not report server starts.
    fn update_report_subscriptions(&mut self, now: Time) {
        let zones = self.traffic.controller.zones_to_observe(now);
        for (server, state) in &self.servers {
            let Some(link) = &state.link else { continue };
            let needs_reports = self.is_list_unavailable
                || self.traffic.controller.is_up_in_zones(server.0, &zones);
            link.set_needs_reports(&self.shared, needs_reports);
        }
    }

    /// Notifies the core of changed policies: how each class may be served from other zones.
    pub(super) fn apply_cross_zone_policy(&mut self) {
        for change in self.traffic.controller.policy_changes(clock::now()) {
            let (zone, class, policy) = (change.zone, change.class, change.policy);
            tracing::info!(zone, class, ?policy, "cross-zone policy changed");
            self.handle_core_input(Input::CrossZonePolicyChanged {
                zone,
                class,
                policy,
            });
        }
    }

    /// Queues the traffic report to be written to disk, if a file is configured for it.
    pub(super) fn save_traffic_report(&mut self) {
        if self.traffic_writer.is_enabled() {
            let report = self.traffic.report();
            self.traffic_writer.write(report);
        }
    }
}
