//! Determines which quota of a shared budget a front may use, from the reports of servers. Fronts do not communicate.
//!
//! An equal quota, which is the rate divided by the number of fronts, is always safe and always available. But if the load
//! is on few fronts, it leaves nearly all of the budget unused. All fronts receive reports from the same servers, and a
//! server knows the zone of each session's front, so its reports contain the traffic between a pair of zones for all
//! fronts. From these reports, each front adjusts its quota:
//!
//! - It raises the quota slowly while it has demand and the reports show headroom. In each update, it adds
//!   `GROWTH_PER_UPDATE` of the headroom times its own weight. The weight is its usage (or its equal quota if that is more)
//!   divided by the sum of the budget and the usage of all fronts. The weights of all fronts add up to 1 at most, so
//!   together they take no more than that fraction of the headroom in an update, and the sum of the quotas does not exceed
//!   the budget even if the reports are some updates old.
//! - It reduces the quota at once to its proportion of the budget if the reports show more usage than the budget, and to an
//!   equal quota if reports are missing or too old. If it has no further demand, it reduces the quota to its usage within
//!   about half a minute.
//!
//! The budget can be exceeded only by sessions that idle fronts start within their equal quotas before the other fronts
//! have received reports of them and reduced their own quotas. With N fronts, the excess is at most (N - 1) / N of the
//! budget, and it lasts for the delay of the reports plus the length of a session; previews that cross are capped sooner.
//! Without reports, the sum of the quotas equals the budget.
use crankpaddle_time::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Fraction of the reported headroom that all fronts together take in one update, that is, per second.
///
/// It is small because the traffic follows the quotas only after about the length of a session, and until then the reports
/// still show headroom that was already taken. At 0.25, the fronts oscillated around the budget and used 7% more than it on
/// average.
const GROWTH_PER_UPDATE: f64 = 0.04;
/// Usage of all fronts, as a fraction of the budget, at which there is no headroom left. It is below 1 because traffic
/// exceeds its mean at random, and all fronts reduce their quotas when it exceeds the budget.
const MAX_TOTAL_USAGE: f64 = 0.99;
/// Maximum ratio of a growing quota to the front's usage, so that budget it does not use is left to other fronts. An equal
/// quota is always allowed.
const MAX_QUOTA_OVER_USAGE: f64 = 1.5;
/// A quota depends on reports if it exceeds the equal one by this factor; a smaller excess is a rounding error.
const MIN_EXCESS_FACTOR: f64 = 1.01;
/// Maximum age of a server's report.
const REPORT_TTL: Duration = Duration::from_millis(3500);
/// Approximate time between two updates of a quota.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a front is considered to have demand after a session was held back.
const DEMAND_DURATION: Duration = Duration::from_secs(10);
/// Weight of each update in the moving average of the usage. It is small because sessions start in bursts, whenever the debt
/// has drained. A quota that followed each burst and gap would repeatedly fall back to the equal one.
const MEAN_USAGE_WEIGHT: f64 = 1.0 / 15.0;

/// Usage of a budget at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ObservedUsage {
    /// Time to which the usage refers.
    pub(crate) at: Time,
    /// In kB per second if returned by [`UsageReports::total`], else as a fraction of the budget's rate.
    pub(crate) usage: f64,
}

/// The latest report of one server.
#[derive(Clone, Debug)]
struct ServerReport {
    at: Time,
    rate_kb_by_class: BTreeMap<u8, f64>,
}

/// The latest reports of a zone's servers: what each one sends to this front's zone for the sessions of all fronts.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageReports {
    latest_by_server: BTreeMap<u32, ServerReport>,
}

impl UsageReports {
    /// Records a server's report, in kB per second by class. Ignores a report that is older than the latest one.
    pub(crate) fn record(&mut self, server: u32, at: Time, rate_kb_by_class: BTreeMap<u8, f64>) {
        let is_outdated = self
            .latest_by_server
            .get(&server)
            .is_some_and(|latest| at < latest.at);
        if !is_outdated {
            let report = ServerReport {
                at,
                rate_kb_by_class,
            };
            self.latest_by_server.insert(server, report);
        }
    }

    /// Removes the report of a server that is no longer up.
    pub(crate) fn remove_server(&mut self, server: u32) {
        self.latest_by_server.remove(&server);
    }

    /// The sum of the rates that `servers` report for the classes that `accepts` selects, in kB per second, with the time of
    /// the oldest report. `None` if one of the servers has no recent report.
    #[must_use]
    pub(crate) fn total(
        &self,
        now: Time,
        servers: impl Iterator<Item = u32>,
        accepts: impl Fn(u8) -> bool,
    ) -> Option<ObservedUsage> {
        let mut oldest_at = now;
        let mut rate_kb = 0.0;
        for server in servers {
            let report = self.latest_by_server.get(&server)?;
            if now.duration_since(report.at) > REPORT_TTL {
                return None;
            }
            oldest_at = oldest_at.min(report.at);
            rate_kb += report
                .rate_kb_by_class
                .iter()
                .filter(|(class, _)| accepts(**class))
                .map(|(_, rate_kb)| rate_kb)
                .sum::<f64>();
        }
        Some(ObservedUsage {
            at: oldest_at,
            usage: rate_kb,
        })
    }
}

/// A front's quota of one budget, adapted to its usage and that of the other fronts. Usage and quota are fractions of the
/// budget's rate.
#[derive(Clone, Debug)]
pub(crate) struct AdaptiveQuota {
    equal_quota: f64,
    quota: f64,
    /// Moving average of this front's usage.
    mean_usage: f64,
    /// This front's usage at recent updates, oldest first.
    recent_usage: VecDeque<ObservedUsage>,
    last_demand_at: Option<Time>,
}

impl AdaptiveQuota {
    /// Creates a quota that starts as an equal one.
    #[must_use]
    pub(crate) fn new(equal_quota: f64) -> AdaptiveQuota {
        AdaptiveQuota {
            equal_quota,
            quota: equal_quota,
            mean_usage: 0.0,
            recent_usage: VecDeque::new(),
            last_demand_at: None,
        }
    }

    /// The quota of a front that knows nothing about the load of the others.
    #[must_use]
    pub(crate) fn equal_quota(&self) -> f64 {
        self.equal_quota
    }

    /// Records that a session was held back by the budget, or would have been.
    pub(crate) fn record_demand(&mut self, now: Time) {
        self.last_demand_at = Some(now);
    }

    /// Whether demand was recorded recently. If so, the reports of all servers are needed.
    #[must_use]
    pub(crate) fn has_demand(&self, now: Time) -> bool {
        self.last_demand_at
            .is_some_and(|at| now.duration_since(at) <= DEMAND_DURATION)
    }

    /// Whether the quota exceeds an equal one, which requires reports.
    #[must_use]
    pub(crate) fn exceeds_equal_quota(&self) -> bool {
        self.quota > self.equal_quota * MIN_EXCESS_FACTOR
    }

    /// Updates the quota and returns it, 0 to 1. Must be called about once a second. `own_usage` is this front's current
    /// usage. `usage_of_all_fronts` refers to an earlier time and is `None` if a server has no recent report.
    pub(crate) fn update(
        &mut self,
        now: Time,
        own_usage: f64,
        usage_of_all_fronts: Option<ObservedUsage>,
    ) -> f64 {
        self.record_own_usage(now, own_usage);
        let Some(all_fronts) = usage_of_all_fronts else {
            self.quota = self.equal_quota;
            return self.quota;
        };
        if all_fronts.usage > 1.0 {
            let own_usage_at_report = self.own_usage_near(all_fronts.at).unwrap_or(own_usage);
            self.reduce_to_proportion(own_usage_at_report, all_fronts.usage);
        } else if self.has_demand(now) {
            self.grow(own_usage, all_fronts.usage);
        } else {
            self.quota = self.quota.min(own_usage.max(self.mean_usage));
        }
        self.quota = self.quota.clamp(self.equal_quota, 1.0);
        self.quota
    }

    fn record_own_usage(&mut self, now: Time, usage: f64) {
        self.mean_usage += MEAN_USAGE_WEIGHT * (usage - self.mean_usage);
        self.recent_usage
            .push_back(ObservedUsage { at: now, usage });
        self.recent_usage
            .retain(|observed| now.duration_since(observed.at) <= 2 * REPORT_TTL);
    }

    /// This front's usage at the time to which a report refers; `None` if there was no update near that time.
    ///
    /// The current usage would be wrong, since the report refers to a time some seconds ago: a front whose sessions had just
    /// been capped would compare its reduced usage with the earlier total, and give up quota that it alone had used. Updates
    /// and reports are up to a second apart, so the largest usage within that distance is returned.
    fn own_usage_near(&self, at: Time) -> Option<f64> {
        self.recent_usage
            .iter()
            .filter(|observed| time_difference(observed.at, at) <= UPDATE_INTERVAL)
            .map(|observed| observed.usage)
            .reduce(f64::max)
    }

    /// Reduces the quota to this front's proportion of the usage of all fronts, unless it is smaller already.
    fn reduce_to_proportion(&mut self, own_usage: f64, total_usage: f64) {
        let own_usage = own_usage.max(self.mean_usage);
        self.quota = self.quota.min(own_usage.min(total_usage) / total_usage);
    }

    /// Raises the quota by this front's portion of the headroom.
    fn grow(&mut self, own_usage: f64, total_usage: f64) {
        let weight = own_usage.max(self.equal_quota) / (1.0 + total_usage);
        let max_quota =
            (own_usage.max(self.mean_usage) * MAX_QUOTA_OVER_USAGE).max(self.equal_quota);
        let headroom = (MAX_TOTAL_USAGE - total_usage).max(0.0);
        self.quota = (self.quota + GROWTH_PER_UPDATE * headroom * weight).min(max_quota);
    }
}

fn time_difference(left: Time, right: Time) -> Duration {
    left.duration_since(right).max(right.duration_since(left))
}

#[cfg(test)]
mod tests;
