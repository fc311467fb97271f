//! Load of links and uplinks, and figures of the fleet as a whole.
use super::Nanoseconds;
use crate::interface::Time;
use std::collections::VecDeque;

/// A change of a load that we caused ourselves, as a part of the capacity.
#[derive(Clone)]
pub(crate) struct OwnChange {
    pub(crate) at: Time,
    pub(crate) fill: f64,
}

/// The load of a link or uplink.
#[derive(Clone, Default)]
pub(crate) struct LoadEstimate {
    /// What it can carry, kB a second.
    pub(crate) capacity_kb: f64,
    /// Estimate of what is asked of it over its capacity.
    pub(crate) fill: f64,
    /// When a measurement was last received.
    pub(crate) measured_at: Option<Time>,
    pub(crate) own_changes: VecDeque<OwnChange>,
}

/// Servers that share an uplink.
#[derive(Clone, Default)]
pub(crate) struct UplinkGroup {
    /// What is asked of the uplink.
    pub(crate) uplink: LoadEstimate,
    /// Capacity of the links of its servers that are up, kB a second.
    pub(crate) link_capacity_kb: f64,
    /// What is asked of these links, kB a second.
    pub(crate) link_demand_kb: f64,
}

impl LoadEstimate {
    /// Raises the estimate to `fill` if it is lower.
    pub(crate) fn set_at_least(&mut self, fill: f64) {
        self.fill = self.fill.max(fill);
    }
}

impl UplinkGroup {
    /// Forgets what was added of its servers.
    pub(crate) fn clear_links(&mut self) {
        self.link_capacity_kb = 0.0;
        self.link_demand_kb = 0.0;
    }

    /// Adds a server that is up, and what is asked of its link.
    pub(crate) fn add_link(&mut self, capacity_kb: f64, demand_kb: f64) {
        self.link_capacity_kb += capacity_kb;
        self.link_demand_kb += demand_kb;
    }

    /// What its servers can send together, kB a second.
    pub(crate) fn capacity_kb(&self) -> f64 {
        self.link_capacity_kb.min(self.uplink.capacity_kb)
    }
}

/// Sums and means over all servers, taken each second and kept up in between, so that no event scans the fleet.
#[derive(Default)]
pub(crate) struct FleetAggregates {
    /// Mean fill of the uplinks that were measured.
    pub(crate) mean_uplink_fill: Option<f64>,
    /// Mean fill of the links that were measured; before any was, what our own sessions make likely.
    pub(crate) mean_link_fill: f64,
    /// Servers that are up.
    pub(crate) servers_up: f64,
    /// What is asked of all links over what our own sessions ask.
    pub(crate) demand_over_own: f64,
    /// Mean rate factor of the classes of recent requests.
    pub(crate) rate_factor: f64,
    /// Number of our own sessions.
    pub(crate) own_sessions: f64,
    /// Their rates, kB a second.
    pub(crate) own_rate_kb: f64,
    /// Their rates in each region, kB a second.
    pub(crate) region_rate_kb: Vec<f64>,
    /// How much the fill of all links grows a second, beyond what chance makes likely.
    pub(crate) fill_growth: f64,
}

/// Requests that arrived, and the seconds that they are counted over; both decay.
#[derive(Default)]
pub(crate) struct ArrivalCount {
    pub(crate) requests: f64,
    pub(crate) seconds: f64,
}

impl ArrivalCount {
    /// Lets both decay by `factor`, over `elapsed` seconds that count from now on.
    pub(crate) fn decay(&mut self, factor: f64, elapsed: f64) {
        self.requests *= factor;
        self.seconds = self.seconds * factor + elapsed;
    }
}

/// What a tenant has used of its quota: a leaky bucket, in requests.
pub(crate) struct TenantUsage {
    pub(crate) used: f64,
    pub(crate) updated_at: Time,
}

impl TenantUsage {
    /// Drains the bucket at `rate`, requests a second, up to now.
    pub(crate) fn drain(&mut self, now: Time, rate: f64) {
        self.used = (self.used - rate * now.seconds_since(self.updated_at)).max(0.0);
        self.updated_at = now;
    }
}

/// A change of the number of our own sessions: 1 at a beginning, -1 at an end.
pub(crate) struct SessionChange {
    pub(crate) at: Time,
    pub(crate) sessions: f64,
}

/// Mean of the values of (weight, value) pairs; `None` if no weight is above 0.
pub(crate) fn weighted_mean(pairs: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    let (mut total_weight, mut sum) = (0.0, 0.0);
    for (weight, value) in pairs {
        total_weight += weight;
        sum += weight * value;
    }
    (total_weight > 0.0).then_some(sum / total_weight)
}
