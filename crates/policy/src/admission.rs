//! Admission: where a request is set up and at which rung, or that it gets a final answer without an attempt.
use crate::interface::{
    Action, CrossZonePolicy, Idempotency, RequestId, RetryScope, ServerId, SessionRequest, Time,
};
use crate::load::LOW_MARK;
use crate::outliers::slow_start_interval;
use crate::regions::HEADROOM_MARK;
use crate::state::{
    Accounting, Actions, Nanoseconds, Offer, PlacementPolicy, RequestKind, Server, SessionChange,
};

pub(crate) const RECENT_REQUESTS: usize = 100; // Requests whose class and rung are remembered.
const HALF_SLOT: f64 = 0.5; // Rates are rough: a region counts as full half a slot later.
const SETUPS_IN_TIMEOUT: f64 = 4.0; // An attempt may take so many usual set-up times at least.
const OVER_QUOTA: f64 = 1.15; // Within a tenant's quota still: its rate over that, ...
const QUOTA_BURST_SECONDS: f64 = 3.0; // ... so many seconds of it at once, ...
const QUOTA_CHANCE: f64 = 4.0; // ... and the requests that chance may add.

impl PlacementPolicy {
    /// Takes a request: an attempt starts or it gets its final answer.
    pub(crate) fn handle_request(&mut self, now: Time, request: SessionRequest, actions: &mut Actions) {
        let id = request.request;
        self.request_times.push_back(now);
        if self.sessions.contains_key(&id) {
            return;
        }
        let over_quota = self.is_over_quota(now, request.tenant);
        self.count_arrival(&request);
        self.insert_session(now, request);
        if self.price_per_kb == 0.0 {
            self.refresh_aggregates(now);
            self.reprice();
        }
        self.attempt_or_answer(id, over_quota, actions);
    }

    /// The rung, and so the region, that a server offers; `current` is the one that the session has there.
    pub(crate) fn rung_for(&self, request: &SessionRequest, id: ServerId, current: Option<u8>) -> Option<u8> {
        let server = self.servers.get(&id)?;
        let class = self.class(request.class)?;
        let top = request.max_rung.min(class.max_rung).min(self.last_rung());
        let no_place = current.is_none() && self.streams(server) + 1.0 > server.stream_capacity;
        if top < class.min_rung || self.settings.rung_kb.is_empty() || no_place {
            return None;
        }
        let (link, uplink) = (self.link_fill(server), self.uplink_fill(server.uplink_group));
        let current_kb = current.map_or(0.0, |rung| self.rate_kb(request.class, rung));
        let actors = if current.is_some() { self.concurrent_promotions(server) } else { 1.0 };
        let uplink_kb = self.uplink_groups[server.uplink_group].uplink.capacity_kb;
        let fits = |rate_kb: f64, mark: f64| {
            let more_kb = rate_kb - current_kb;
            link + more_kb * actors / server.link.capacity_kb <= mark
                && uplink + more_kb * actors / uplink_kb <= mark
        };
        let region_has_slot = |rung: u8, rate_kb: f64| {
            let region = usize::from(rung);
            let part = self.fleet.region_rate_kb[region] / self.fleet.own_rate_kb.max(1.0);
            let inside_kb = if current == Some(rung) { current_kb } else { 0.0 };
            let occupied_kb = link * server.link.capacity_kb * part - inside_kb;
            let slots = f64::from(server.region_slots[region]) + HALF_SLOT;
            occupied_kb + rate_kb <= slots * self.settings.rung_kb[region] * self.fleet.rate_factor
        };
        let priced = self.priced_rung(RequestKind { class: request.class, max_rung: top });
        // Why: promotions up to a rough limit are taken back by relief, at a price each.
        let mark = if current.is_some() { LOW_MARK } else { HEADROOM_MARK };
        let offered = (class.min_rung..=top).rev().find(|&rung| {
            let rate_kb = self.rate_kb(request.class, rung);
            fits(rate_kb, LOW_MARK) && rung <= priced || fits(rate_kb, mark) && region_has_slot(rung, rate_kb)
        });
        // Regions lag and rates are rough: while the link is measured to have headroom, the lowest rung goes.
        let lowest_fits =
            current.is_none() && fits(self.rate_kb(request.class, class.min_rung), HEADROOM_MARK);
        offered.or(lowest_fits.then_some(class.min_rung))
    }

    /// Streams that a server is estimated to run: ours, and others at the mean rate of ours.
    pub(crate) fn streams(&self, server: &Server) -> f64 {
        let others_kb = (self.link_fill(server) * server.link.capacity_kb - server.own_rate_kb).max(0.0);
        server.sessions.len() as f64 + others_kb / self.mean_session_kb.max(1.0)
    }

    /// Two random holders: the higher rung offered, then the lighter; the others only when both are full.
    fn choose_server(&mut self, now: Time, id: RequestId, over_quota: bool) -> Option<Offer> {
        let session = self.sessions.get(&id)?;
        let request = session.request.clone();
        let idempotent = self.class(request.class)?.idempotency == Idempotency::Idempotent;
        let mut holders = self.holders(&request);
        holders.retain(|id| {
            let server = &self.servers[id];
            let allowed = self.cross_zone_policy(request.class, server) != CrossZonePolicy::Forbidden;
            allowed
                && self.is_usable(now, *id, idempotent)
                && !session.attempted.contains(id)
                && self.in_retry_scope(session, server)
        });
        let with_policy = |id| (self.cross_zone_policy(request.class, &self.servers[&id]), id);
        let mut order: Vec<_> = holders.into_iter().map(with_policy).collect();
        order.sort_by_cached_key(|(policy, _)| (*policy, self.random.rand_u32()));
        for (_, id) in &order {
            self.size_regions(now, *id);
        }
        // Where another zone is the last resort, its servers are considered after all others.
        let alike = order.chunk_by(|a, b| a.0 == b.0);
        alike.flat_map(|servers| servers.chunks(2)).find_map(|pair| {
            let offers = pair.iter().filter_map(|(_, id)| self.offer(&request, *id, over_quota));
            offers.min_by(|a, b| b.rung.cmp(&a.rung).then(a.cost.total_cmp(&b.cost)))
        })
    }

    /// A server's offer; to a request beyond its tenant's quota the lowest rung, while the server is light.
    fn offer(&self, request: &SessionRequest, id: ServerId, over_quota: bool) -> Option<Offer> {
        let server = self.servers.get(&id)?;
        let fill = self.link_fill(server).max(self.uplink_fill(server.uplink_group));
        let crosses = server.endpoint.zone != self.settings.zone;
        let crossing = if crosses { self.settings.cross_zone_price } else { 0.0 };
        let offered = self.rung_for(request, id, None)?;
        let rung = if over_quota { self.class(request.class)?.min_rung } else { offered };
        let admitted = !over_quota || fill <= LOW_MARK;
        admitted.then_some(Offer { server: id, rung, cost: fill + crossing })
    }

    /// Starts the next attempt of a request, or gives it its final answer.
    pub(crate) fn attempt_or_answer(&mut self, request: RequestId, over_quota: bool, actions: &mut Actions) {
        let now = self.now;
        let allowed = self.may_attempt(now, request);
        let chosen = if allowed { self.choose_server(now, request, over_quota) } else { None };
        match chosen {
            Some(offer) => self.start_attempt(now, request, &offer, actions),
            None => self.answer(request, actions),
        }
    }

    fn start_attempt(&mut self, now: Time, request: RequestId, offer: &Offer, actions: &mut Actions) {
        let Some(session) = self.sessions.get_mut(&request) else { return };
        let class = &self.settings.classes[usize::from(session.request.class)];
        let time_left = session.request.deadline.since(now);
        let usual = (class.latency_objective / 2).max((SETUPS_IN_TIMEOUT * self.mean_setup_time) as u64);
        let at_most_once = class.idempotency == Idempotency::AtMostOnce;
        let timeout = if at_most_once { 0 } else { usual.min(time_left) };
        if !session.attempted.is_empty() {
            self.retry_times.push_back(now);
        }
        session.begin_attempt(now, offer.server, offer.rung);
        if let Some(server) = self.servers.get_mut(&offer.server) {
            let pause = slow_start_interval(&self.settings, server).min(self.settings.overload_window);
            server.use_slot(now, pause);
        }
        self.account_for(now, request, Accounting::Add);
        self.session_changes.push_back(SessionChange { at: now, sessions: 1.0 });
        actions.push(Action::SetRung { request, rung: offer.rung });
        actions.push(Action::StartAttempt { request, server: offer.server, timeout });
    }

    /// Gives a request its final answer: rejected, or failed if it may have had an effect.
    fn answer(&mut self, request: RequestId, actions: &mut Actions) {
        let Some(session) = self.sessions.remove(&request) else { return };
        let harmless = matches!(
            self.class(session.request.class).map(|class| class.idempotency),
            None | Some(Idempotency::Idempotent | Idempotency::IdempotentWithin(RetryScope::All))
        );
        if harmless || session.possible_execution.is_none() {
            actions.push(Action::Reject { request, retry_after: self.settings.max_retry_after });
        } else {
            actions.push(Action::Fail(request));
        }
    }

    /// Whether a tenant's request is beyond its quota; one within it is counted.
    fn is_over_quota(&mut self, now: Time, tenant: u16) -> bool {
        let quota = self.settings.tenant_quota.get(usize::from(tenant)).copied().unwrap_or(0.0);
        let rate = OVER_QUOTA * quota / f64::from(self.settings.replica_count.max(1));
        let Some(usage) = self.tenants.get_mut(usize::from(tenant)) else { return false };
        usage.drain(now, rate);
        if rate > 0.0 && usage.used + 1.0 > rate * QUOTA_BURST_SECONDS + QUOTA_CHANCE {
            return true;
        }
        usage.used += 1.0;
        false
    }
}
