//! Which quota of a shared budget a front may use, computed from the reports of servers; fronts do not communicate.
//!
//! An equal quota, the rate over the number of fronts, is always safe and always available; but with the load on few
//! fronts it leaves nearly all of the budget unused. All fronts receive reports of the same servers, and a server knows
//! the zone of the front of each session: its reports state the traffic between a pair of zones for all fronts. From them
//! each front adjusts its quota:
//!
//! - **up, slowly**, while it has demand and the reports show headroom: by `GROWTH_PER_UPDATE` of the headroom, times its
//!   own weight among all (its usage, or its equal quota where that is more, over the usage of all fronts and the budget).
//!   The weights of all fronts add up to 1 at the most, so together they take no more than that share of the headroom in
//!   an update, and reports that are some updates old do not let the sum exceed the budget;
//! - **down**: at once to its share of the budget when the reports show more than the budget, and to the equal quota when
//!   reports are missing or late; within about half a minute to its usage when it has no further demand.
//!
//! Bound: the budget is exceeded only by the sessions that idle fronts start within their equal quotas before the other
//! fronts have received reports of them and reduced their quotas: by less than the budget once more, (N - 1) / N of it,
//! for the delay of the reports and the length of a session (previews that cross are capped sooner). Without reports the
//! sum is the budget.
use crankpaddle_time::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// All fronts together take this share of the reported headroom in an update (a second).
/// Why so little: the traffic follows the quotas after about the length of a session, and reports show headroom for that
/// long after it was taken. At a quarter of the headroom in an update the fronts oscillate around the budget and use 7 in
/// 100 more than it on the mean.
const GROWTH_PER_UPDATE: f64 = 0.04;
/// Total usage at which there is no headroom. Why below the budget: at times the traffic exceeds its mean by chance, and
/// when it exceeds the budget, all fronts reduce their quotas.
const MAX_TOTAL_USAGE: f64 = 0.99;
/// A quota exceeds the usage by this factor at the most, unless it is an equal one: unused budget is left to other fronts.
const MAX_QUOTA_OVER_USAGE: f64 = 1.5;
/// A quota above the equal one by this factor depends on reports; less is a rounding error.
const MIN_EXCESS_FACTOR: f64 = 1.01;
/// A report older than this is not used.
const REPORT_TTL: Duration = Duration::from_millis(3500);
/// Time between updates.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// How long demand lasts after a session was held back.
const DEMAND_DURATION: Duration = Duration::from_secs(10);
/// Weight of an update in the mean usage. Why so small: sessions start in bursts, whenever the debt has drained; a quota
/// that followed each burst and gap would repeatedly fall back to the equal one.
const MEAN_USAGE_WEIGHT: f64 = 1.0 / 15.0;

/// Usage that was observed at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ObservedUsage {
    /// The time.
    pub(crate) at: Time,
    /// The usage: kB a second, or a fraction of the budget's rate.
    pub(crate) usage: f64,
}

#[derive(Clone, Debug)]
struct ServerReport {
    at: Time,
    rate_kb_by_class: BTreeMap<u8, f64>,
}

/// What the servers of a zone report to send to one other zone, by class, for all fronts.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageReports {
    latest: BTreeMap<u32, ServerReport>,
}

impl UsageReports {
    /// Records a server's report, kB a second by class. A report older than the latest one is ignored.
    pub(crate) fn record(&mut self, server: u32, at: Time, rate_kb_by_class: BTreeMap<u8, f64>) {
        let is_outdated = self.latest.get(&server).is_some_and(|known| at < known.at);
        if !is_outdated {
            let report = ServerReport {
                at,
                rate_kb_by_class,
            };
            self.latest.insert(server, report);
        }
    }

    /// A server was removed, so it sends nothing.
    pub(crate) fn server_removed(&mut self, server: u32) {
        self.latest.remove(&server);
    }

    /// kB a second of the accepted classes from all `servers`, and the time of the oldest report; `None` where one of
    /// them has no recent report.
    #[must_use]
    pub(crate) fn total(
        &self,
        now: Time,
        servers: impl Iterator<Item = u32>,
        accepts: impl Fn(u8) -> bool,
    ) -> Option<ObservedUsage> {
        let mut oldest = now;
        let mut rate_kb = 0.0;
        for server in servers {
            let report = self.latest.get(&server)?;
            if now.duration_since(report.at) > REPORT_TTL {
                return None;
            }
            oldest = oldest.min(report.at);
            rate_kb += report
                .rate_kb_by_class
                .iter()
                .filter(|(class, _)| accepts(**class))
                .map(|(_, rate_kb)| rate_kb)
                .sum::<f64>();
        }
        Some(ObservedUsage {
            at: oldest,
            usage: rate_kb,
        })
    }
}

/// A front's quota of one budget. Usage and quota are fractions of the budget's rate.
#[derive(Clone, Debug)]
pub(crate) struct QuotaShare {
    equal_quota: f64,
    quota: f64,
    mean_usage: f64,
    /// This front's usage at recent updates, oldest first.
    recent_usage: VecDeque<ObservedUsage>,
    last_demand: Option<Time>,
}

impl QuotaShare {
    /// An equal quota.
    #[must_use]
    pub(crate) fn new(equal_quota: f64) -> QuotaShare {
        QuotaShare {
            equal_quota,
            quota: equal_quota,
            mean_usage: 0.0,
            recent_usage: VecDeque::new(),
            last_demand: None,
        }
    }

    /// The equal quota.
    #[must_use]
    pub(crate) fn equal_quota(&self) -> f64 {
        self.equal_quota
    }

    /// A session was held back, or would have been.
    pub(crate) fn request_more(&mut self, now: Time) {
        self.last_demand = Some(now);
    }

    /// Whether more was requested recently; then the reports of all servers are needed.
    #[must_use]
    pub(crate) fn has_demand(&self, now: Time) -> bool {
        self.last_demand
            .is_some_and(|at| now.duration_since(at) <= DEMAND_DURATION)
    }

    /// Whether the quota exceeds an equal one, which only reports allow.
    #[must_use]
    pub(crate) fn exceeds_equal_quota(&self) -> bool {
        self.quota > self.equal_quota * MIN_EXCESS_FACTOR
    }

    /// Updates the quota, about once a second: `own_usage` of this front now, and the usage of all fronts at an earlier
    /// time where every server reported. Returns the quota, 0 to 1.
    pub(crate) fn update(
        &mut self,
        now: Time,
        own_usage: f64,
        all_fronts: Option<ObservedUsage>,
    ) -> f64 {
        self.record_own_usage(now, own_usage);
        let Some(all_fronts) = all_fronts else {
            self.quota = self.equal_quota;
            return self.quota;
        };
        if all_fronts.usage > 1.0 {
            let own_usage_then = self.own_usage_near(all_fronts.at).unwrap_or(own_usage);
            self.reduce_to_proportion(own_usage_then, all_fronts.usage);
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

    /// This front's usage at the time that a report describes; `None` where no update was near that time.
    ///
    /// Why not the present usage: the report describes a time some seconds ago. A front whose sessions had just been capped
    /// would compare its reduced usage with the earlier total and give up quota that it alone had used. Updates and reports
    /// are up to a second apart; the larger usage in that time is taken.
    fn own_usage_near(&self, at: Time) -> Option<f64> {
        self.recent_usage
            .iter()
            .filter(|observed| distance(observed.at, at) <= UPDATE_INTERVAL)
            .map(|observed| observed.usage)
            .reduce(f64::max)
    }

    /// Reduces the quota to this front's proportion of the usage of all fronts.
    fn reduce_to_proportion(&mut self, own_usage: f64, total_usage: f64) {
        let own_usage = own_usage.max(self.mean_usage);
        self.quota = self.quota.min(own_usage.min(total_usage) / total_usage);
    }

    /// Grows the quota by this front's share of the headroom.
    fn grow(&mut self, own_usage: f64, total_usage: f64) {
        let weight = own_usage.max(self.equal_quota) / (1.0 + total_usage);
        let max_quota =
            (own_usage.max(self.mean_usage) * MAX_QUOTA_OVER_USAGE).max(self.equal_quota);
        let headroom = (MAX_TOTAL_USAGE - total_usage).max(0.0);
        self.quota = (self.quota + GROWTH_PER_UPDATE * headroom * weight).min(max_quota);
    }
}

fn distance(left: Time, right: Time) -> Duration {
    left.duration_since(right).max(right.duration_since(left))
}

#[cfg(test)]
mod tests;
