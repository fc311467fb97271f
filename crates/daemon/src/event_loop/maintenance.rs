//! Upkeep, and the end.
use super::{EventLoop, LAST_WORDS};
use crankpaddle_cross_zone_traffic::cross_zone_admission::PolicyChange;
use crankpaddle_front::{AttemptId, Input};
use crankpaddle_net::clock;
use std::sync::atomic::Ordering;

impl EventLoop {
    pub(super) fn keep_house(&mut self) {
        let now = clock::now();
        let rest = self.shared.limits().pool_idle;
        self.servers
            .values()
            .filter_map(|s| s.link.as_ref())
            .for_each(|link| link.rest(now, rest));
        self.shared.pool.prune();
        self.look_at_traffic(now);
        self.look_at_paid();
    }

    pub(super) fn look_at_traffic(&mut self, now: u64) {
        let orders = self.traffic.desk.tick(now);
        for (lowered, sessions) in [(true, &orders.cap), (false, &orders.uncap)] {
            for session in sessions {
                tracing::info!(attempt = session, lowered, "for the budget between halls");
                self.tell_core(Input::RateCapped(AttemptId(*session), lowered));
            }
        }
        self.tell_crossing();
        let wanted = self.traffic.desk.zones_observed(now);
        for (id, state) in &self.servers {
            if let Some(link) = &state.link {
                link.want(
                    &self.shared,
                    self.list_lost || self.traffic.desk.is_in_zones(id.0, &wanted),
                );
            }
        }
        self.traffic.begin_round();
        self.keep_account();
    }

    /// Tells the core how classes may leave for other zones, where that changed.
    pub(super) fn tell_crossing(&mut self) {
        for PolicyChange {
            zone,
            class,
            policy: leave,
        } in self.traffic.desk.policy_changes(clock::now())
        {
            tracing::info!(zone, class, ?leave, "budget between halls");
            self.tell_core(Input::CrossZonePolicyChanged { zone, class, leave });
        }
    }

    pub(super) fn keep_account(&mut self) {
        if self.account.keeps() {
            let text = self.traffic.report();
            self.account.keep(text);
        }
    }

    pub(super) fn drain(&mut self) {
        let now = clock::now();
        let Some(by) = self.drain_by else { return };
        if self.end_by.is_none() && (self.core.waiting() == 0 || now >= by) {
            tracing::info!(playing = self.core.playing(), "stopping");
            self.end_by = Some(now + LAST_WORDS);
            self.drain_by = Some(u64::MAX);
            self.tell_core(Input::Stop);
            self.players.values().for_each(|p| p.close());
        }
    }

    pub(super) fn over(&self) -> bool {
        let said = self.players.is_empty() && self.shared.controls.load(Ordering::Acquire) == 0;
        self.end_by.is_some_and(|by| said || clock::now() >= by)
    }
}
