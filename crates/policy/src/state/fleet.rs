//! Load estimates of links and uplinks, and aggregates over the fleet.
use super::TimeArithmetic;
use crate::interface::Time;
use std::collections::VecDeque;

/// A change of a load that this replica caused itself.
#[derive(Clone)]
pub(crate) struct OwnChange {
    pub(crate) at: Time,
    /// Change as a fraction of the capacity.
    pub(crate) fill: f64,
}

/// Load estimate of a link or uplink.
#[derive(Clone, Default)]
pub(crate) struct LoadEstimate {
    /// Capacity, kB per second.
    pub(crate) capacity_kb: f64,
    /// Estimated demand divided by the capacity; may exceed 1.
    pub(crate) fill: f64,
    /// When a measurement was last received; `None` before the first.
    pub(crate) measured_at: Option<Time>,
    /// Recent changes that this replica caused, oldest first. Those made since a measurement was taken are added to it.
    pub(crate) own_changes: VecDeque<OwnChange>,
}

/// The servers that share an uplink.
#[derive(Clone, Default)]
pub(crate) struct UplinkGroup {
    /// Load of the uplink.
    pub(crate) uplink: LoadEstimate,
    /// Summed link capacity of its servers that are up, kB per second.
    pub(crate) link_capacity_kb: f64,
    /// Summed demand on these links, kB per second.
    pub(crate) link_demand_kb: f64,
}

impl LoadEstimate {
    /// Sets the estimate to `fill` if it is lower than that.
    pub(crate) fn increase_to(&mut self, fill: f64) {
        self.fill = self.fill.max(fill);
    }
}

impl UplinkGroup {
    /// Resets the sums over its servers, before they are added again.
    pub(crate) fn clear_links(&mut self) {
        self.link_capacity_kb = 0.0;
        self.link_demand_kb = 0.0;
    }

    /// Adds the link of a server that is up.
    pub(crate) fn add_link(&mut self, capacity_kb: f64, demand_kb: f64) {
        self.link_capacity_kb += capacity_kb;
        self.link_demand_kb += demand_kb;
    }

    /// What its servers can send together, kB per second.
    pub(crate) fn capacity_kb(&self) -> f64 {
        self.link_capacity_kb.min(self.uplink.capacity_kb)
    }
}

/// Sums and means over all servers. They are computed once a second and updated in between, so that no event has to
/// scan the fleet.
#[derive(Default)]
pub(crate) struct FleetAggregates {
    /// Mean fill of the measured uplinks; `None` if none was measured.
    pub(crate) mean_uplink_fill: Option<f64>,
    /// Mean fill of the measured links. Before the first measurement, it is extrapolated from our own sessions.
    pub(crate) mean_link_fill: f64,
    /// Number of servers that are up.
    pub(crate) servers_up: f64,
    /// Demand on all links divided by that of our own sessions.
    pub(crate) demand_over_own: f64,
    /// Mean rate factor of the classes of recent requests.
    pub(crate) rate_factor: f64,
    /// Number of our own sessions.
    pub(crate) own_sessions: f64,
    /// Summed rate of our own sessions, kB per second.
    pub(crate) own_rate_kb: f64,
    /// Summed rate of our own sessions in each region, lowest rung first, kB per second.
    pub(crate) region_rate_kb: Vec<f64>,
    /// Growth of the fill of all links per second, beyond random fluctuation.
    pub(crate) fill_growth: f64,
}

/// Arrived requests and the seconds over which they are counted. Both decay exponentially.
#[derive(Default)]
pub(crate) struct ArrivalCount {
    pub(crate) requests: f64,
    pub(crate) seconds: f64,
}

impl ArrivalCount {
    /// Decays both by `factor`, then adds the `elapsed` seconds.
    pub(crate) fn decay(&mut self, factor: f64, elapsed: f64) {
        self.requests *= factor;
        self.seconds = self.seconds * factor + elapsed;
    }
}

/// Leaky bucket of a tenant's quota.
pub(crate) struct TenantUsage {
    /// Requests in the bucket.
    pub(crate) used: f64,
    pub(crate) updated_at: Time,
}

impl TenantUsage {
    /// Drains the bucket at `rate` requests per second up to `now`.
    pub(crate) fn drain(&mut self, now: Time, rate: f64) {
        self.used = (self.used - rate * now.seconds_since(self.updated_at)).max(0.0);
        self.updated_at = now;
    }
}

/// A change of the number of our own sessions.
pub(crate) struct SessionChange {
    pub(crate) at: Time,
    /// 1 at a start, -1 at an end.
    pub(crate) delta: f64,
}

/// Weighted mean of (weight, value) pairs; `None` if the total weight is 0.
pub(crate) fn weighted_mean(pairs: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    let (mut total_weight, mut sum) = (0.0, 0.0);
    for (weight, value) in pairs {
        total_weight += weight;
        sum += weight * value;
    }
    (total_weight > 0.0).then_some(sum / total_weight)
}
