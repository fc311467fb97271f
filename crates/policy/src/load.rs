//! Estimates of load: what is asked of links and uplinks, from measurements and own changes.
use crate::interface::{LoadField, LoadReport, RequestId, ServerId, SessionUpdate, Time};
use crate::state::{
    weighted_mean, FleetAggregates, LoadEstimate, Nanoseconds, OwnChange, PlacementPolicy, Server,
    ShortDelivery, SECOND,
};

pub(crate) const LOW_MARK: f64 = 0.8; // Fill of link and uplink below which the best rung that fits is given.
const DEMAND_OVER_OWN_MIN: f64 = 0.7; // Bounds of the demand of all over ours, times the number of replicas.
const DEMAND_OVER_OWN_MAX: f64 = 1.4;
const STALE_AFTER: f64 = 6.0; // Seconds after which a measurement begins to give way to the mean.
const SATURATED_UTILIZATION: f64 = 0.97; // A utilization is capped at 1: from here on it hides the demand.
const REPORT_AGE: u64 = SECOND / 3; // Usual age of a load report, nanoseconds.
const OWN_CHANGES_KEPT: u64 = 8 * SECOND; // Longer than any measurement is old, nanoseconds.
const MEASUREMENT_WEIGHT: f64 = 0.8; // Weight of a new measurement against the estimate.
const SUDDEN_CHANGE: f64 = 0.3; // A measurement further off than this replaces the estimate.
const MAX_COUNTED_FILL: f64 = 1.2; // Fill of a link beyond which demand counts no more in the aggregates.
const RUSH: u64 = 3 * SECOND; // Begins and ends of sessions are counted for so long, nanoseconds.
const RUSH_SECONDS: f64 = RUSH as f64 / SECOND as f64;
const UPDATE_AT_SETUP: u64 = SECOND / 3; // An update this soon after the set-up is fresh, nanoseconds.
const FULL_DELIVERY: f64 = 0.98; // Part of the rate from which a delivery is not short.
const FAULTY_DELIVERY: f64 = 0.75; // Part of the rate below which the server is at fault, not the link.
const LEAST_DELIVERY: f64 = 0.3; // A link's fill is taken for the reciprocal of this at most.
const SHORT_DELIVERY_LASTS: u64 = 3 * SECOND; // It is over when it was not reported for so long, nanoseconds.
const LINK_EXPLAINS: f64 = 0.93; // Fill times delivery, at most which the link is not what falls short.

impl LoadEstimate {
    /// Adds a change of our own sessions' rates, kB a second.
    pub(crate) fn add_own(&mut self, now: Time, rate_kb: f64) {
        let fill = rate_kb / self.capacity_kb;
        self.fill = (self.fill + fill).max(0.0);
        self.own_changes.push_back(OwnChange { at: now, fill });
        while self.own_changes.front().is_some_and(|change| now.since(change.at) >= OWN_CHANGES_KEPT) {
            self.own_changes.pop_front();
        }
    }

    /// Takes a measurement that is `age` nanoseconds old: own changes since then are added to it.
    pub(crate) fn measure(&mut self, now: Time, fill: f64, age: u64) {
        if !fill.is_finite() || fill < 0.0 {
            return;
        }
        let taken_at = now.0.saturating_sub(age);
        let later = self.own_changes.partition_point(|change| change.at.0 <= taken_at);
        let current = fill + self.own_changes.range(later..).map(|change| change.fill).sum::<f64>();
        let replaces = self.measured_at.is_none() || (current - self.fill).abs() > SUDDEN_CHANGE;
        let weight = if replaces { 1.0 } else { MEASUREMENT_WEIGHT };
        self.fill = (self.fill + weight * (current - self.fill)).max(0.0);
        self.measured_at = Some(now);
    }

    /// How much the last measurement still counts: 1 while it is fresh, 0 if there is none.
    fn freshness(&self, now: Option<Time>) -> f64 {
        let Some(measured_at) = self.measured_at else { return 0.0 };
        let age = now.unwrap_or_default().seconds_since(measured_at);
        (-((age - STALE_AFTER).max(0.0) / STALE_AFTER)).exp()
    }

    /// The fill, giving way to `mean` as the measurement ages. Why: no server is kept out by an old reading.
    fn faded(&self, now: Option<Time>, mean: f64) -> f64 {
        mean + self.freshness(now) * (self.fill - mean)
    }
}

/// Mean of the fills that were measured, weighted by freshness.
fn mean_measured<'a>(now: Option<Time>, loads: impl Iterator<Item = &'a LoadEstimate>) -> Option<f64> {
    weighted_mean(loads.map(|load| (load.freshness(now), load.fill)))
}

impl PlacementPolicy {
    /// Takes the figures of a load report.
    pub(crate) fn apply_report(&mut self, now: Time, id: ServerId, report: &LoadReport) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        for &(field, value) in report {
            match field {
                LoadField::LinkUtilization if value >= SATURATED_UTILIZATION => server.link.set_at_least(1.0),
                LoadField::LinkDemand | LoadField::LinkUtilization => {
                    server.measure_link(now, value, REPORT_AGE);
                }
                LoadField::UplinkDemand => {
                    self.uplink_groups[server.uplink_group].uplink.measure(now, value, REPORT_AGE);
                }
                _ => {}
            }
        }
    }

    /// Computes the aggregates over all servers and sessions.
    pub(crate) fn refresh_aggregates(&mut self, now: Time) {
        let rate_factor = self.mean_rate_factor();
        let region_rate_kb = self.own_rate_by_region();
        self.fleet = FleetAggregates { rate_factor, region_rate_kb, ..FleetAggregates::default() };
        for server in self.servers.values_mut() {
            server.connection_failed &= now < server.slow_start_until;
            self.fleet.own_rate_kb += server.own_rate_kb;
            self.fleet.own_sessions += server.sessions.len() as f64;
        }
        let replicas = f64::from(self.settings.replica_count.max(1));
        self.fleet.mean_uplink_fill =
            mean_measured(self.last_tick, self.uplink_groups.iter().map(|group| &group.uplink));
        let likely = self.fleet.own_rate_kb * replicas / self.settings.fleet_link_kb.max(1.0);
        let listed = self.servers.values().filter(|server| !server.is_removed());
        self.fleet.mean_link_fill =
            mean_measured(self.last_tick, listed.map(|server| &server.link)).unwrap_or(likely);
        self.refresh_uplink_groups();
        let demand: f64 = self.uplink_groups.iter().map(|group| group.link_demand_kb).sum();
        let over_own = if self.fleet.own_rate_kb > 0.0 { demand / self.fleet.own_rate_kb } else { replicas };
        let (least, most) = (DEMAND_OVER_OWN_MIN * replicas, DEMAND_OVER_OWN_MAX * replicas);
        self.fleet.demand_over_own = over_own.clamp(least, most).max(1.0);
        self.fleet.fill_growth = self.measured_growth(now);
    }

    fn refresh_uplink_groups(&mut self) {
        for group in &mut self.uplink_groups {
            group.clear_links();
        }
        for server in self.servers.values().filter(|server| server.is_up()) {
            let demand = self.link_fill(server).min(MAX_COUNTED_FILL) * server.link.capacity_kb;
            self.fleet.servers_up += 1.0;
            self.uplink_groups[server.uplink_group].add_link(server.link.capacity_kb, demand);
        }
    }

    /// Growth of the fill of all links: our own sessions' begins less ends, and less what chance brings.
    fn measured_growth(&mut self, now: Time) -> f64 {
        self.session_changes.retain(|change| now.since(change.at) < RUSH);
        let net: f64 = self.session_changes.iter().map(|change| change.sessions).sum();
        let by_chance = (self.session_changes.len() as f64).sqrt();
        let growth_kb = (net - by_chance).max(0.0) * self.mean_session_kb * self.fleet.demand_over_own;
        growth_kb / self.settings.fleet_link_kb.max(1.0) / RUSH_SECONDS
    }

    /// Fill of a server's link; without a measurement the mean, 0.8 at most, so that it gets set-ups.
    pub(crate) fn link_fill(&self, server: &Server) -> f64 {
        let own = server.own_rate_kb / server.link.capacity_kb;
        let estimate = server.link.faded(self.last_tick, self.fleet.mean_link_fill.min(LOW_MARK));
        // Departure: in a rush every replica's sessions since the measurement count; ours show how many.
        let age_at = |measured_at| self.now.seconds_since(measured_at).min(RUSH_SECONDS);
        let age = server.link.measured_at.map_or(1.0, age_at);
        (estimate + self.fleet.fill_growth * age).max(own)
    }

    /// Fill of a group's uplink; where uplinks are not reported, from what is asked of its links.
    pub(crate) fn uplink_fill(&self, group: usize) -> f64 {
        let group = &self.uplink_groups[group];
        match self.fleet.mean_uplink_fill {
            Some(mean) => group.uplink.faded(self.last_tick, mean.min(LOW_MARK)),
            None => group.link_demand_kb / group.uplink.capacity_kb,
        }
    }

    /// Takes an update on a session of ours.
    pub(crate) fn session_updated(&mut self, request: RequestId, id: ServerId, update: SessionUpdate) {
        let now = self.now;
        let session = self.sessions.get(&request);
        let at_setup = session.is_some_and(|session| now.since(session.started_at) < UPDATE_AT_SETUP);
        let age = if at_setup { 0 } else { self.settings.update_delay };
        match update {
            SessionUpdate::Rung(rung) => self.move_to_region(now, request, rung.min(self.last_rung())),
            SessionUpdate::LinkDemand(fill) => {
                if let Some(server) = self.servers.get_mut(&id) {
                    server.measure_link(now, fill, age);
                }
            }
            SessionUpdate::UplinkDemand(fill) => {
                let group = self.servers.get(&id).map_or(0, |server| server.uplink_group);
                self.uplink_groups[group].uplink.measure(now, fill, age);
            }
            SessionUpdate::DeliveryRatio(ratio) => self.delivery_reported(now, id, ratio),
        }
    }

    /// A short delivery is put down to the link, unless a measurement since it began shows headroom.
    fn delivery_reported(&mut self, now: Time, id: ServerId, ratio: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let lasting =
            server.short_delivery.filter(|short| now.since(short.reported_at) < SHORT_DELIVERY_LASTS);
        let since = lasting.map_or(now, |short| short.since);
        server.short_delivery = (ratio < FULL_DELIVERY).then_some(ShortDelivery { since, reported_at: now });
        if !ratio.is_finite() || ratio >= FULL_DELIVERY {
            return;
        }
        let unmeasured = server.link.measured_at.is_none_or(|measured_at| measured_at <= since);
        if unmeasured || server.link.fill * ratio > LINK_EXPLAINS {
            server.link.set_at_least(1.0 / ratio.max(LEAST_DELIVERY));
        } else if ratio < FAULTY_DELIVERY {
            // Why: a server that hangs or delivers too little for a cause of its own still accepts set-ups.
            server.record_failure(now);
        }
    }
}
