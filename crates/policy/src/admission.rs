//! Admission: selects the server and the rung of a request, or answers it without another attempt.
use crate::interface::{
    Action, CrossZonePolicy, Idempotency, RequestId, RetryScope, ServerId, SessionRequest, Time,
};
use crate::load::LIGHT_LOAD_FILL;
use crate::outliers::slow_start_interval;
use crate::regions::ADMISSION_MAX_FILL;
use crate::state::{
    Accounting, Actions, Offer, PlacementPolicy, RequestKind, ServerRecord, SessionChange, TimeArithmetic,
};

pub(crate) const MAX_RECENT_REQUESTS: usize = 100; // Length of the sample of recent requests.
const REGION_SLACK_SLOTS: f64 = 0.5; // Rates are estimates, so a region may be overfilled by half a slot.
const TIMEOUT_SETUP_TIMES: f64 = 4.0; // Shortest attempt timeout, in mean set-up times.
const QUOTA_RATE_FACTOR: f64 = 1.15; // A tenant's bucket drains at this multiple of its quota.
const QUOTA_BURST_SECONDS: f64 = 3.0; // Size of the bucket, in seconds of that rate.
const QUOTA_BURST_REQUESTS: f64 = 4.0; // Requests added to that size, for random fluctuations.

impl PlacementPolicy {
    /// Handles a new request: starts an attempt or gives the final answer.
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

    /// Highest rung that a server offers, if any; `current` is the session's rung if it runs there already.
    pub(crate) fn top_rung(&self, request: &SessionRequest, id: ServerId, current: Option<u8>) -> Option<u8> {
        let server = self.servers.get(&id)?;
        let class = self.class(request.class)?;
        let max_rung = request.max_rung.min(class.max_rung).min(self.last_rung());
        let streams_full = current.is_none() && self.estimated_streams(server) + 1.0 > server.stream_capacity;
        if max_rung < class.min_rung || self.settings.rung_kb.is_empty() || streams_full {
            return None;
        }
        let (link_fill, uplink_fill) = (self.link_fill(server), self.uplink_fill(server.uplink_group));
        let current_kb = current.map_or(0.0, |rung| self.rate_kb(request.class, rung));
        let promotions = if current.is_some() { self.concurrent_promotions(server) } else { 1.0 };
        let uplink_kb = self.uplink_groups[server.uplink_group].uplink.capacity_kb;
        let fits = |rate_kb: f64, max_fill: f64| {
            let added_kb = (rate_kb - current_kb) * promotions;
            link_fill + added_kb / server.link.capacity_kb <= max_fill
                && uplink_fill + added_kb / uplink_kb <= max_fill
        };
        let region_has_slot = |rung: u8, rate_kb: f64| {
            let region = usize::from(rung);
            let region_share = self.fleet.region_rate_kb[region] / self.fleet.own_rate_kb.max(1.0);
            let counted_kb = if current == Some(rung) { current_kb } else { 0.0 };
            let occupied_kb = link_fill * server.link.capacity_kb * region_share - counted_kb;
            let slots = f64::from(server.region_slots[region]) + REGION_SLACK_SLOTS;
            occupied_kb + rate_kb <= slots * self.settings.rung_kb[region] * self.fleet.rate_factor
        };
        let priced = self.priced_rung(RequestKind { class: request.class, max_rung });
        // Estimates are rough, and relief would undo promotions up to the full limit, each at a cost.
        let max_fill = if current.is_some() { LIGHT_LOAD_FILL } else { ADMISSION_MAX_FILL };
        let offered = (class.min_rung..=max_rung).rev().find(|&rung| {
            let rate_kb = self.rate_kb(request.class, rung);
            fits(rate_kb, LIGHT_LOAD_FILL) && rung <= priced
                || fits(rate_kb, max_fill) && region_has_slot(rung, rate_kb)
        });
        // Region sizes lag and rates are rough, so the lowest rung is offered while the link has headroom.
        let lowest_fits =
            current.is_none() && fits(self.rate_kb(request.class, class.min_rung), ADMISSION_MAX_FILL);
        offered.or(lowest_fits.then_some(class.min_rung))
    }

    /// Estimated streams of a server: our own sessions, and the rest of its load at the mean rate of ours.
    pub(crate) fn estimated_streams(&self, server: &ServerRecord) -> f64 {
        let others_kb = (self.link_fill(server) * server.link.capacity_kb - server.own_rate_kb).max(0.0);
        server.sessions.len() as f64 + others_kb / self.mean_session_kb.max(1.0)
    }

    /// Selects the better offer (rung, then cost) of two random holders, or of the next two if both are full.
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
        let mut candidates: Vec<_> = holders.into_iter().map(with_policy).collect();
        candidates.sort_by_cached_key(|(policy, _)| (*policy, self.random.rand_u32()));
        for (_, id) in &candidates {
            self.size_regions(now, *id);
        }
        // Where another zone is the last resort, its servers are considered after all others.
        let by_policy = candidates.chunk_by(|a, b| a.0 == b.0);
        by_policy.flat_map(|servers| servers.chunks(2)).find_map(|pair| {
            let offers = pair.iter().filter_map(|(_, id)| self.offer(&request, *id, over_quota));
            offers.min_by(|a, b| b.rung.cmp(&a.rung).then(a.cost.total_cmp(&b.cost)))
        })
    }

    /// A server's offer. A request over its tenant's quota gets the lowest rung, and only at light load.
    fn offer(&self, request: &SessionRequest, id: ServerId, over_quota: bool) -> Option<Offer> {
        let server = self.servers.get(&id)?;
        let fill = self.link_fill(server).max(self.uplink_fill(server.uplink_group));
        let other_zone = server.endpoint.zone != self.settings.zone;
        let zone_cost = if other_zone { self.settings.cross_zone_price } else { 0.0 };
        let offered = self.top_rung(request, id, None)?;
        let rung = if over_quota { self.class(request.class)?.min_rung } else { offered };
        let admitted = !over_quota || fill <= LIGHT_LOAD_FILL;
        admitted.then_some(Offer { server: id, rung, cost: fill + zone_cost })
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
        let usual = (class.latency_objective / 2).max((TIMEOUT_SETUP_TIMES * self.mean_setup_time) as u64);
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
        self.session_changes.push_back(SessionChange { at: now, delta: 1.0 });
        actions.push(Action::SetRung { request, rung: offer.rung });
        actions.push(Action::StartAttempt { request, server: offer.server, timeout });
    }

    /// Gives the final answer: rejected, or failed if an attempt may have run that must not be repeated.
    fn answer(&mut self, request: RequestId, actions: &mut Actions) {
        let Some(session) = self.sessions.remove(&request) else { return };
        let retry_is_safe = matches!(
            self.class(session.request.class).map(|class| class.idempotency),
            None | Some(Idempotency::Idempotent | Idempotency::IdempotentWithin(RetryScope::All))
        );
        if retry_is_safe || session.possible_execution.is_none() {
            actions.push(Action::Reject { request, retry_after: self.settings.max_retry_after });
        } else {
            actions.push(Action::Fail(request));
        }
    }

    /// Whether a request exceeds its tenant's quota. Only a request within the quota is counted against it.
    fn is_over_quota(&mut self, now: Time, tenant: u16) -> bool {
        let quota = self.settings.tenant_quota.get(usize::from(tenant)).copied().unwrap_or(0.0);
        let rate = QUOTA_RATE_FACTOR * quota / f64::from(self.settings.replica_count.max(1));
        let Some(usage) = self.tenants.get_mut(usize::from(tenant)) else { return false };
        usage.drain(now, rate);
        if rate > 0.0 && usage.used + 1.0 > rate * QUOTA_BURST_SECONDS + QUOTA_BURST_REQUESTS {
            return true;
        }
        usage.used += 1.0;
        false
    }
}
