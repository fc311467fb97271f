//! Promotion of sessions to higher rungs where slots are free, and demotion where a link is overloaded.
use crate::interface::{Action, CrossZonePolicy, RequestId, ServerId, Time};
use crate::state::{Actions, Demotion, PlacementPolicy, ServerRecord, SessionRecord, TimeArithmetic, SECOND};
use std::cmp::Reverse;
use std::collections::BTreeMap;

const RANDOM_PROMOTION_FILL: f64 = 0.7; // Fill of link and uplink that randomized promotions aim at.
const PROMOTION_PAUSE_NS: u64 = 30 * SECOND; // Shortest time between two promotions of a session.
const DEMOTION_PAUSE_NS: u64 = 12 * SECOND; // Shortest time from a demotion to a promotion of a session.
const PROMOTION_PAYBACK: f64 = 6.0; // Least remaining time for a promotion, in rung change costs.
const OVERLOAD_FILL: f64 = 1.03; // Fill beyond which sessions are demoted.
const RELIEF_TARGET_FILL: f64 = 0.95; // Fill that demotions aim at.
const HEAVY_OVERLOAD_FILL: f64 = 1.5; // Fill beyond which a session may be demoted by several rungs at once.

impl PlacementPolicy {
    /// Expected promotions on the same measurement: one for each replica, at most one for each stream.
    pub(crate) fn concurrent_promotions(&self, server: &ServerRecord) -> f64 {
        self.estimated_streams(server).min(f64::from(self.settings.replica_count)).max(1.0)
    }

    /// Where the promotions of all replicas would not fit, promotes with the probability that fills the link.
    /// Without this, many replicas with a session each would promote nothing. If too many do, relief follows.
    fn random_promotion(&mut self, id: ServerId, request: RequestId) -> Option<u8> {
        let server = self.servers.get(&id)?;
        let session = self.sessions.get(&request)?;
        let class = session.request.class;
        let rung = self.priced_rung(session.request.kind());
        let added_kb = self.rate_kb(class, rung) - self.rate_kb(class, session.rung);
        let total_kb = (added_kb * self.concurrent_promotions(server)).max(1.0);
        let uplink_kb = self.uplink_groups[server.uplink_group].uplink.capacity_kb;
        let by_link = (RANDOM_PROMOTION_FILL - self.link_fill(server)) * server.link.capacity_kb / total_kb;
        let by_uplink =
            (RANDOM_PROMOTION_FILL - self.uplink_fill(server.uplink_group)) * uplink_kb / total_kb;
        let promotes = f64::from(self.random.rand_float()) < by_link.min(by_uplink);
        (promotes && rung > session.rung).then_some(rung)
    }

    /// Promotes sessions at a server: those at higher rungs first, and within a rung the longest unchanged.
    pub(crate) fn promote(&mut self, now: Time, id: ServerId, actions: &mut Actions) {
        let Some(server) = self.servers.get(&id) else { return };
        if server.is_removed() || now < server.ejected_until {
            return;
        }
        let measured = server.measured_since_promotion;
        let ready = self.sessions_at(server).filter(|(_, session)| self.may_promote(now, server, session));
        let mut waiting: Vec<_> =
            ready.map(|(request, session)| (Reverse(session.rung), session.rung_set_at, request)).collect();
        self.size_regions(now, id);
        if let Some(server) = self.servers.get_mut(&id) {
            server.measured_since_promotion = false;
        }
        waiting.sort();
        for (_, _, request) in waiting {
            let Some(session) = self.sessions.get(&request) else { continue };
            let current = session.rung;
            let offered = self.top_rung(&session.request, id, Some(current));
            let promoted = match offered.filter(|rung| *rung > current) {
                Some(rung) => Some(rung),
                // Random promotions need a new measurement, but the random number is drawn in any case.
                None => self.random_promotion(id, request).filter(|_| measured),
            };
            if let Some(rung) = promoted {
                self.set_rung(now, request, rung, self.scaled_pause(PROMOTION_PAUSE_NS), actions);
            }
        }
    }

    /// Whether a session is active, past its pause, in an allowed zone and long enough to repay a promotion.
    fn may_promote(&self, now: Time, server: &ServerRecord, session: &SessionRecord) -> bool {
        let repays = |duration: u64| {
            let remaining = session.started_at.plus(duration).seconds_since(now);
            remaining > PROMOTION_PAYBACK * self.settings.rung_change_cost_seconds
        };
        session.is_active()
            && now >= session.next_promotion
            && session.request.duration_hint.is_none_or(repays)
            && self.cross_zone_policy(session.request.class, server) != CrossZonePolicy::Forbidden
    }

    /// Sets a session's rung and bars its promotion for `pause` nanoseconds.
    fn set_rung(&mut self, now: Time, request: RequestId, rung: u8, pause: u64, actions: &mut Actions) {
        self.move_to_region(now, request, rung);
        if let Some(session) = self.sessions.get_mut(&request) {
            session.rung_set_at = now;
            session.next_promotion = now.plus(pause);
        }
        actions.push(Action::SetRung { request, rung });
    }

    /// Changes a session's highest rung. A demotion that this causes bars promotions like any other.
    pub(crate) fn change_max_rung(&mut self, request: RequestId, max_rung: u8, actions: &mut Actions) {
        let Some(session) = self.sessions.get(&request) else { return };
        let max_rung = max_rung.max(self.class(session.request.class).map_or(0, |class| class.min_rung));
        let Some(session) = self.sessions.get_mut(&request) else { return };
        session.request.max_rung = max_rung;
        if session.is_active() && session.rung > max_rung {
            self.set_rung(self.now, request, max_rung, self.scaled_pause(DEMOTION_PAUSE_NS), actions);
        }
    }

    /// Where a link or uplink is overloaded, demotes sessions by this replica's share of the excess.
    pub(crate) fn relieve(&mut self, now: Time, id: ServerId, actions: &mut Actions) {
        let Some(server) = self.servers.get(&id) else { return };
        let fill = self.link_fill(server).max(self.uplink_fill(server.uplink_group));
        if fill <= OVERLOAD_FILL || now < server.next_relief {
            return;
        }
        let excess_kb = server.own_rate_kb * (1.0 - RELIEF_TARGET_FILL / fill);
        let demotions = self.possible_demotions(server, fill);
        for (request, rung) in self.select_demotions(demotions, excess_kb) {
            self.set_rung(now, request, rung, self.scaled_pause(DEMOTION_PAUSE_NS), actions);
        }
        let pause = self.settings.update_delay.saturating_add(SECOND);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.next_relief = now.plus(pause);
    }

    /// Possible demotions of the sessions at a server, by utility lost for each kB saved, lowest first.
    fn possible_demotions(&self, server: &ServerRecord, fill: f64) -> Vec<Demotion> {
        let mut demotions = Vec::new();
        for (request, session) in self.sessions_at(server).filter(|(_, session)| session.is_active()) {
            let Some(class) = self.class(session.request.class) else { continue };
            let lowest = if fill > HEAVY_OVERLOAD_FILL { 0 } else { session.rung.saturating_sub(1) };
            for rung in (lowest.max(class.min_rung)..session.rung).rev() {
                let (lower, upper) = (usize::from(rung), usize::from(rung) + 1);
                let (kb, utility) = (&self.settings.rung_kb, &self.settings.rung_utility);
                let saved_kb = (kb[upper] - kb[lower]) * class.rate_factor;
                let lost = (utility[upper] - utility[lower]) * class.priority_weight;
                demotions.push(Demotion { request, rung, saved_kb, cost: lost / saved_kb.max(1e-9) });
            }
        }
        demotions.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        demotions
    }

    /// Selects demotions that save `excess_kb`, the last one randomly; returns the new rung of each session.
    fn select_demotions(&mut self, demotions: Vec<Demotion>, excess_kb: f64) -> BTreeMap<RequestId, u8> {
        let mut rungs: BTreeMap<RequestId, u8> = BTreeMap::new();
        let mut remaining_kb = excess_kb;
        for demotion in demotions {
            if remaining_kb > f64::from(self.random.rand_float()) * demotion.saved_kb {
                let rung = rungs.entry(demotion.request).or_insert(demotion.rung);
                *rung = demotion.rung.min(*rung);
            }
            remaining_kb -= demotion.saved_kb;
        }
        rungs
    }
}
