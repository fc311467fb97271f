//! Load estimates of links and uplinks, from measurements and from changes that this replica makes.
use crate::interface::{LoadField, LoadReport, RequestId, ServerId, SessionUpdate, Time};
use crate::state::{
    weighted_mean, FleetAggregates, LoadEstimate, OwnChange, PlacementPolicy, ServerRecord, ShortDelivery,
    TimeArithmetic, SECOND,
};

pub(crate) const LIGHT_LOAD_FILL: f64 = 0.8; // Fill up to which a session gets the best rung that fits.
const MIN_DEMAND_OVER_OWN: f64 = 0.7; // Bounds of `demand_over_own`, as multiples of the number of replicas.
const MAX_DEMAND_OVER_OWN: f64 = 1.4;
const FRESH_SECONDS: f64 = 6.0; // A measurement fades to the mean from this age on, with this time constant.
const SATURATED_UTILIZATION: f64 = 0.97; // Utilization is capped at 1: from here on it hides the demand.
const REPORT_AGE_NS: u64 = SECOND / 3; // Usual age of a load report on arrival.
const OWN_CHANGES_KEPT_NS: u64 = 8 * SECOND; // Longer than the age of any measurement on arrival.
const MEASUREMENT_WEIGHT: f64 = 0.8; // Weight of a new measurement against the estimate.
const SUDDEN_CHANGE: f64 = 0.3; // A measurement that differs by more than this replaces the estimate.
const MAX_COUNTED_FILL: f64 = 1.2; // Demand of a link above this fill does not count in the aggregates.
const GROWTH_WINDOW_NS: u64 = 3 * SECOND; // Session starts and ends are counted over this time.
const GROWTH_WINDOW_SECONDS: f64 = GROWTH_WINDOW_NS as f64 / SECOND as f64;
const FRESH_UPDATE_NS: u64 = SECOND / 3; // An update this soon after the set-up is taken as just measured.
const FULL_DELIVERY: f64 = 0.98; // A delivery below this fraction of the rate is short.
const FAULTY_DELIVERY: f64 = 0.75; // Below this fraction, a server with headroom is at fault.
const MIN_DELIVERY: f64 = 0.3; // A short delivery raises the fill to the reciprocal of this at most.
const SHORT_DELIVERY_KEPT_NS: u64 = 3 * SECOND; // Short delivery is over when not reported for this long.
const LINK_LIMITED_FILL: f64 = 0.93; // Above this fill times ratio, the link explains a short delivery.

impl LoadEstimate {
    /// Adds a change in the rates of our own sessions, kB per second.
    pub(crate) fn add_own_change(&mut self, now: Time, rate_kb: f64) {
        let fill = rate_kb / self.capacity_kb;
        self.fill = (self.fill + fill).max(0.0);
        self.own_changes.push_back(OwnChange { at: now, fill });
        while self.own_changes.front().is_some_and(|change| now.since(change.at) >= OWN_CHANGES_KEPT_NS) {
            self.own_changes.pop_front();
        }
    }

    /// Applies a measurement that is `age` nanoseconds old, with the own changes since it was taken.
    pub(crate) fn record_fill(&mut self, now: Time, fill: f64, age: u64) {
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

    /// Weight of the last measurement: 1 while it is fresh, decaying after that; 0 if there is none.
    fn freshness(&self, now: Option<Time>) -> f64 {
        let Some(measured_at) = self.measured_at else { return 0.0 };
        let age = now.unwrap_or_default().seconds_since(measured_at);
        (-((age - FRESH_SECONDS).max(0.0) / FRESH_SECONDS)).exp()
    }

    /// The fill, fading to `mean` as the measurement ages, so that no server stays excluded by an old one.
    fn faded_fill(&self, now: Option<Time>, mean: f64) -> f64 {
        mean + self.freshness(now) * (self.fill - mean)
    }
}

/// Mean of the measured fills, weighted by freshness; `None` if there is no measurement.
fn mean_measured_fill<'a>(now: Option<Time>, loads: impl Iterator<Item = &'a LoadEstimate>) -> Option<f64> {
    weighted_mean(loads.map(|load| (load.freshness(now), load.fill)))
}

impl PlacementPolicy {
    /// Applies a load report.
    pub(crate) fn apply_report(&mut self, now: Time, id: ServerId, report: &LoadReport) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        for &(field, value) in report {
            match field {
                LoadField::LinkUtilization if value >= SATURATED_UTILIZATION => server.link.increase_to(1.0),
                LoadField::LinkDemand | LoadField::LinkUtilization => {
                    server.record_link_fill(now, value, REPORT_AGE_NS);
                }
                LoadField::UplinkDemand => {
                    self.uplink_groups[server.uplink_group].uplink.record_fill(now, value, REPORT_AGE_NS);
                }
                _ => {}
            }
        }
    }

    /// Recomputes the aggregates over all servers and sessions.
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
            mean_measured_fill(self.last_tick, self.uplink_groups.iter().map(|group| &group.uplink));
        let expected_fill = self.fleet.own_rate_kb * replicas / self.settings.fleet_link_kb.max(1.0);
        let listed = self.servers.values().filter(|server| !server.is_removed());
        self.fleet.mean_link_fill =
            mean_measured_fill(self.last_tick, listed.map(|server| &server.link)).unwrap_or(expected_fill);
        self.refresh_uplink_groups();
        let demand: f64 = self.uplink_groups.iter().map(|group| group.link_demand_kb).sum();
        let over_own = if self.fleet.own_rate_kb > 0.0 { demand / self.fleet.own_rate_kb } else { replicas };
        let (min, max) = (MIN_DEMAND_OVER_OWN * replicas, MAX_DEMAND_OVER_OWN * replicas);
        self.fleet.demand_over_own = over_own.clamp(min, max).max(1.0);
        self.fleet.fill_growth = self.measured_growth(now);
    }

    fn refresh_uplink_groups(&mut self) {
        for group in &mut self.uplink_groups {
            group.clear_links();
        }
        for server in self.servers.values().filter(|server| server.is_up()) {
            let demand_kb = self.link_fill(server).min(MAX_COUNTED_FILL) * server.link.capacity_kb;
            self.fleet.servers_up += 1.0;
            self.uplink_groups[server.uplink_group].add_link(server.link.capacity_kb, demand_kb);
        }
    }

    /// Growth of the fill of all links per second, from our net session starts less one standard deviation.
    fn measured_growth(&mut self, now: Time) -> f64 {
        self.session_changes.retain(|change| now.since(change.at) < GROWTH_WINDOW_NS);
        let net_starts: f64 = self.session_changes.iter().map(|change| change.delta).sum();
        let by_chance = (self.session_changes.len() as f64).sqrt();
        let growth_kb = (net_starts - by_chance).max(0.0) * self.mean_session_kb * self.fleet.demand_over_own;
        growth_kb / self.settings.fleet_link_kb.max(1.0) / GROWTH_WINDOW_SECONDS
    }

    /// Fill of a server's link. Without a measurement it is the mean, capped so that the server gets set-ups.
    pub(crate) fn link_fill(&self, server: &ServerRecord) -> f64 {
        let own = server.own_rate_kb / server.link.capacity_kb;
        let estimate = server.link.faded_fill(self.last_tick, self.fleet.mean_link_fill.min(LIGHT_LOAD_FILL));
        // While sessions grow, those that other replicas began since the measurement are estimated from ours.
        let age_at = |measured_at| self.now.seconds_since(measured_at).min(GROWTH_WINDOW_SECONDS);
        let age = server.link.measured_at.map_or(1.0, age_at);
        (estimate + self.fleet.fill_growth * age).max(own)
    }

    /// Fill of a group's uplink; where uplinks are not reported, it is derived from the demand on its links.
    pub(crate) fn uplink_fill(&self, group: usize) -> f64 {
        let group = &self.uplink_groups[group];
        match self.fleet.mean_uplink_fill {
            Some(mean) => group.uplink.faded_fill(self.last_tick, mean.min(LIGHT_LOAD_FILL)),
            None => group.link_demand_kb / group.uplink.capacity_kb,
        }
    }

    /// Applies an update on one of our own sessions.
    pub(crate) fn session_updated(&mut self, request: RequestId, id: ServerId, update: SessionUpdate) {
        let now = self.now;
        let session = self.sessions.get(&request);
        let at_setup = session.is_some_and(|session| now.since(session.started_at) < FRESH_UPDATE_NS);
        let age = if at_setup { 0 } else { self.settings.update_delay };
        match update {
            SessionUpdate::Rung(rung) => self.move_to_region(now, request, rung.min(self.last_rung())),
            SessionUpdate::LinkDemand(fill) => {
                if let Some(server) = self.servers.get_mut(&id) {
                    server.record_link_fill(now, fill, age);
                }
            }
            SessionUpdate::UplinkDemand(fill) => {
                let group = self.servers.get(&id).map_or(0, |server| server.uplink_group);
                self.uplink_groups[group].uplink.record_fill(now, fill, age);
            }
            SessionUpdate::DeliveryRatio(ratio) => self.delivery_reported(now, id, ratio),
        }
    }

    /// Attributes a short delivery to the link, unless a measurement since it began shows headroom.
    fn delivery_reported(&mut self, now: Time, id: ServerId, ratio: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let lasting =
            server.short_delivery.filter(|short| now.since(short.reported_at) < SHORT_DELIVERY_KEPT_NS);
        let since = lasting.map_or(now, |short| short.since);
        server.short_delivery = (ratio < FULL_DELIVERY).then_some(ShortDelivery { since, reported_at: now });
        if !ratio.is_finite() || ratio >= FULL_DELIVERY {
            return;
        }
        let unmeasured = server.link.measured_at.is_none_or(|measured_at| measured_at <= since);
        if unmeasured || server.link.fill * ratio > LINK_LIMITED_FILL {
            server.link.increase_to(1.0 / ratio.max(MIN_DELIVERY));
        } else if ratio < FAULTY_DELIVERY {
            // A server that hangs or delivers too little for a cause of its own still accepts set-ups.
            server.record_failure(now);
        }
    }
}
