//! Bookkeeping of sessions and their rates at servers, of requests and of arrivals. Nothing is decided here.
use crate::admission::MAX_RECENT_REQUESTS;
use crate::interface::{Endpoint, Lifecycle, RequestId, ServerId, SessionRequest, Time};
use crate::state::{PlacementPolicy, RequestKind, ServerRecord, SessionRecord};
use std::collections::BTreeSet;

/// Whether a session's rate is added to the load of its server or removed from it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Accounting {
    Add,
    Remove,
}

impl SessionRequest {
    /// The properties of the request that its rate depends on.
    pub(crate) fn kind(&self) -> RequestKind {
        RequestKind { class: self.class, max_rung: self.max_rung }
    }
}

impl PlacementPolicy {
    /// Stores a request as a pending session.
    pub(crate) fn insert_session(&mut self, now: Time, request: SessionRequest) {
        self.recent_requests.push_front(request.kind());
        self.recent_requests.truncate(MAX_RECENT_REQUESTS);
        let session = SessionRecord {
            rung_set_at: now,
            next_promotion: now,
            started_at: now,
            request,
            ..SessionRecord::default()
        };
        self.sessions.insert(session.request.request, session);
    }

    /// Counts an arrival in total and, in equal shares, at the servers that are up and hold the title.
    pub(crate) fn count_arrival(&mut self, request: &SessionRequest) {
        let mut holders = self.holders(request);
        holders.retain(|id| self.servers[id].is_up());
        self.arrivals.requests += 1.0;
        for id in &holders {
            if let Some(server) = self.servers.get_mut(id) {
                server.arrivals += 1.0 / holders.len() as f64;
            }
        }
    }

    /// Adds a session's rate to the load of its server and uplink, or removes it. Does nothing if the session is at no
    /// server.
    pub(crate) fn account_for(&mut self, now: Time, request: RequestId, accounting: Accounting) {
        let Some(session) = self.sessions.get(&request) else { return };
        let Some(id) = session.server() else { return };
        let Some(server) = self.servers.get(&id) else { return };
        let (rung, rate_kb) = (session.rung, self.rate_at(server, request, session));
        let change = if accounting == Accounting::Add { rate_kb } else { -rate_kb };
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.own_rate_kb = (server.own_rate_kb + change).max(0.0);
        self.fleet.own_rate_kb = (self.fleet.own_rate_kb + change).max(0.0);
        if let Some(region_kb) = self.fleet.region_rate_kb.get_mut(usize::from(rung)) {
            *region_kb += change;
        }
        match accounting {
            Accounting::Add => server.sessions.insert(request),
            Accounting::Remove => server.sessions.remove(&request),
        };
        server.link.add_own_change(now, change);
        let group = &mut self.uplink_groups[server.uplink_group];
        group.uplink.add_own_change(now, change);
        group.link_demand_kb += change;
    }

    /// Rate of a session at a server, kB per second; reduced if it shares a live stream with another session there.
    fn rate_at(&self, server: &ServerRecord, request: RequestId, session: &SessionRecord) -> f64 {
        let rate_kb = self.rate_kb(session.request.class, session.rung);
        if !self.class(session.request.class).is_some_and(|class| class.live) {
            return rate_kb;
        }
        let stream = |session: &SessionRecord| (session.request.title, session.request.class, session.rung);
        let shared = self
            .sessions_at(server)
            .any(|(other, candidate)| other != request && stream(candidate) == stream(session));
        rate_kb * if shared { self.settings.shared_stream_factor } else { 1.0 }
    }

    /// Moves a session to the region of another rung.
    pub(crate) fn move_to_region(&mut self, now: Time, request: RequestId, rung: u8) {
        self.account_for(now, request, Accounting::Remove);
        if let Some(session) = self.sessions.get_mut(&request) {
            session.rung = rung;
        }
        self.account_for(now, request, Accounting::Add);
    }

    /// Mean rate factor of the classes of recent requests.
    pub(crate) fn mean_rate_factor(&self) -> f64 {
        let classes = self.recent_requests.iter().filter_map(|kind| self.class(kind.class));
        let sum = classes.map(|class| class.rate_factor).sum::<f64>();
        sum.max(1e-3) / self.recent_requests.len().max(1) as f64
    }

    /// Summed rates of our own sessions in each region, lowest rung first, kB per second.
    pub(crate) fn own_rate_by_region(&self) -> Vec<f64> {
        let mut rates = vec![0.0; self.settings.rung_kb.len()];
        for session in self.sessions.values().filter(|session| session.server().is_some()) {
            if let Some(rate) = rates.get_mut(usize::from(session.rung)) {
                *rate += self.rate_kb(session.request.class, session.rung);
            }
        }
        rates
    }

    /// Records a server's entry in an endpoint list: its cell and uplink group, and its capacity. A weight that is not
    /// positive and finite counts as 1.
    pub(crate) fn record_endpoint(&mut self, endpoint: Endpoint) {
        let has_weight = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        let weight = if has_weight { endpoint.weight } else { 1.0 };
        let server = self.servers.entry(endpoint.server).or_default();
        let capacity = self.settings.stream_capacity.get(usize::from(endpoint.kind));
        server.uplink_group = usize::from(endpoint.cell) % self.uplink_groups.len();
        server.link.capacity_kb = (self.settings.link_kb * weight).max(1.0);
        server.stream_capacity = capacity.map_or(f64::INFINITY, |streams| f64::from(*streams));
        self.servers_by_cell.entry(server.endpoint.cell).or_default().remove(&endpoint.server);
        self.servers_by_cell.entry(endpoint.cell).or_default().insert(endpoint.server);
        server.region_slots.resize(self.settings.rung_kb.len(), 0);
        server.endpoint = endpoint;
    }

    /// Evicts removed servers once nothing depends on them: no session of ours, no slow start or ejection, no possible
    /// execution of a pending request. Where servers are replaced all the time, memory would otherwise grow without
    /// bound.
    pub(crate) fn evict_removed(&mut self, now: Time) {
        let (cells, sessions) = (&mut self.servers_by_cell, &self.sessions);
        self.servers.retain(|id, server| {
            let paused = now < server.slow_start_until.max(server.ejected_until);
            if !server.is_removed() || !server.sessions.is_empty() || paused {
                return true;
            }
            let mut executions = sessions.values().filter_map(|session| session.possible_execution);
            if executions.any(|execution| execution.server == *id) {
                return true;
            }
            cells.entry(server.endpoint.cell).or_default().remove(id);
            false
        });
    }

    /// Marks the servers that are missing from a complete list as removed.
    pub(crate) fn remove_unlisted(&mut self, entries: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = entries.iter().map(|endpoint| endpoint.server).collect();
        for (_, server) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            server.endpoint.lifecycle = Lifecycle::Removed;
        }
    }

    /// Records that the viewer of a request left.
    pub(crate) fn client_left(&mut self, request: RequestId) {
        if let Some(session) = self.sessions.get_mut(&request) {
            session.client_left = true;
        }
    }

    /// Kinds of our own sessions, filled up with recent requests to `min_count` as far as there are any.
    pub(crate) fn session_kinds(&self, min_count: usize) -> Vec<RequestKind> {
        let placed = self.sessions.values().filter(|session| session.server().is_some());
        let mut kinds: Vec<_> = placed.map(|session| session.request.kind()).collect();
        let missing = min_count.saturating_sub(kinds.len());
        kinds.extend(self.recent_requests.iter().take(missing));
        kinds
    }

    /// Number of sessions of a title and class that are established or being attempted.
    pub(crate) fn sessions_of_title(&self, class: u8, title: u64) -> usize {
        let placed = self.sessions.values().filter(|session| session.server().is_some());
        placed.filter(|session| (session.request.class, session.request.title) == (class, title)).count()
    }
}
