//! Promotion of sessions to higher rungs where slots are free, and demotion where a link is overrun.
use crate::interface::{Action, CrossZonePolicy, RequestId, ServerId, Time};
use crate::state::{Actions, Demotion, Nanoseconds, PlacementPolicy, Server, Session, SECOND};
use std::cmp::Reverse;
use std::collections::BTreeMap;

const CHANCE_FILL: f64 = 0.7; // Part of link and uplink that promotions by chance fill.
const PROMOTION_PAUSE: u64 = 30 * SECOND; // A session is promoted once in this time at most, nanoseconds.
const DEMOTION_PAUSE: u64 = 12 * SECOND; // A demoted session is promoted no sooner, nanoseconds.
const REPAID: f64 = 6.0; // A promotion must be watched for so many times what a change of rung costs.
const OVERRUN: f64 = 1.03; // Fill beyond which sessions are demoted ...
const RELIEVED: f64 = 0.95; // ... and to which.
const HEAVY_OVERRUN: f64 = 1.5; // Fill beyond which sessions are demoted by more than one rung.

impl PlacementPolicy {
    /// Promotions like one of ours: one a replica that receives the same measurement, one a stream at most.
    pub(crate) fn concurrent_promotions(&self, server: &Server) -> f64 {
        self.streams(server).min(f64::from(self.settings.replica_count)).max(1.0)
    }

    /// Departure: a promotion that fits only if few act alike is made with the probability that fills it.
    /// Why: many replicas with a session each would promote nothing. If too many act, relief follows.
    fn promoted_by_chance(&mut self, id: ServerId, request: RequestId) -> Option<u8> {
        let server = self.servers.get(&id)?;
        let session = self.sessions.get(&request)?;
        let class = session.request.class;
        let rung = self.priced_rung(session.request.kind());
        let more_kb = self.rate_kb(class, rung) - self.rate_kb(class, session.rung);
        let all_kb = (more_kb * self.concurrent_promotions(server)).max(1.0);
        let uplink_kb = self.uplink_groups[server.uplink_group].uplink.capacity_kb;
        let link_part = (CHANCE_FILL - self.link_fill(server)) * server.link.capacity_kb / all_kb;
        let uplink_part = (CHANCE_FILL - self.uplink_fill(server.uplink_group)) * uplink_kb / all_kb;
        let acts = f64::from(self.random.rand_float()) < link_part.min(uplink_part);
        (acts && rung > session.rung).then_some(rung)
    }

    /// Promotes sessions at a server, the nearest lower region first and the longest waiting in it.
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
            let offered = self.rung_for(&session.request, id, Some(current));
            let promoted = match offered.filter(|rung| *rung > current) {
                Some(rung) => Some(rung),
                // Chance counts once for each measurement, but is drawn in any case.
                None => self.promoted_by_chance(id, request).filter(|_| measured),
            };
            if let Some(rung) = promoted {
                self.set_rung(now, request, rung, self.scaled_pause(PROMOTION_PAUSE), actions);
            }
        }
    }

    /// Whether a session is active, its pause is over and what is left of it repays a promotion.
    fn may_promote(&self, now: Time, server: &Server, session: &Session) -> bool {
        let repays = |duration: u64| {
            let left = session.started_at.plus(duration).seconds_since(now);
            left > REPAID * self.settings.rung_change_cost_seconds
        };
        session.is_active()
            && now >= session.next_promotion
            && session.request.duration_hint.is_none_or(repays)
            && self.cross_zone_policy(session.request.class, server) != CrossZonePolicy::Forbidden
    }

    /// Sets a session's rung; it is not promoted for `pause` nanoseconds.
    fn set_rung(&mut self, now: Time, request: RequestId, rung: u8, pause: u64, actions: &mut Actions) {
        self.move_to_region(now, request, rung);
        if let Some(session) = self.sessions.get_mut(&request) {
            session.rung_set_at = now;
            session.next_promotion = now.plus(pause);
        }
        actions.push(Action::SetRung { request, rung });
    }

    /// Changes a session's highest rung. One that is demoted here waits its pause before it may be promoted.
    pub(crate) fn max_rung_changed(&mut self, request: RequestId, max_rung: u8, actions: &mut Actions) {
        let Some(session) = self.sessions.get(&request) else { return };
        let top = max_rung.max(self.class(session.request.class).map_or(0, |class| class.min_rung));
        let Some(session) = self.sessions.get_mut(&request) else { return };
        session.request.max_rung = top;
        if session.is_active() && session.rung > top {
            self.set_rung(self.now, request, top, self.scaled_pause(DEMOTION_PAUSE), actions);
        }
    }

    /// Departure: where a link or uplink is overrun, each replica demotes its part of the excess.
    pub(crate) fn relieve(&mut self, now: Time, id: ServerId, actions: &mut Actions) {
        let Some(server) = self.servers.get(&id) else { return };
        let fill = self.link_fill(server).max(self.uplink_fill(server.uplink_group));
        if fill <= OVERRUN || now < server.next_relief {
            return;
        }
        let excess_kb = server.own_rate_kb * (1.0 - RELIEVED / fill);
        let demotions = self.possible_demotions(server, fill);
        for (request, rung) in self.chosen_demotions(demotions, excess_kb) {
            self.set_rung(now, request, rung, self.scaled_pause(DEMOTION_PAUSE), actions);
        }
        let pause = self.settings.update_delay.saturating_add(SECOND);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.next_relief = now.plus(pause);
    }

    /// Demotions of the sessions at a server, those that lose least for each kB first.
    fn possible_demotions(&self, server: &Server, fill: f64) -> Vec<Demotion> {
        let mut demotions = Vec::new();
        for (request, session) in self.sessions_at(server).filter(|(_, session)| session.is_active()) {
            let Some(class) = self.class(session.request.class) else { continue };
            let next = if fill > HEAVY_OVERRUN { 0 } else { session.rung.saturating_sub(1) };
            for rung in (next.max(class.min_rung)..session.rung).rev() {
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

    /// As many demotions as save `excess_kb`, the last by chance: the rung of each session that is demoted.
    fn chosen_demotions(&mut self, demotions: Vec<Demotion>, excess_kb: f64) -> BTreeMap<RequestId, u8> {
        let mut rungs: BTreeMap<RequestId, u8> = BTreeMap::new();
        let mut missing_kb = excess_kb;
        for demotion in demotions {
            if missing_kb > f64::from(self.random.rand_float()) * demotion.saved_kb {
                let rung = rungs.entry(demotion.request).or_insert(demotion.rung);
                *rung = demotion.rung.min(*rung);
            }
            missing_kb -= demotion.saved_kb;
        }
        rungs
    }
}
