//! The reports of servers on the share of their sessions' rates that they deliver.
use crankpaddle_time::Time;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::time::Duration;

/// Reported delivery shares, by server and by the time to which each report refers.
#[derive(Clone, Debug)]
pub(super) struct DeliveryReports {
    /// A report applies until the next one, but no longer than this.
    time_to_live: Duration,
    by_server: HashMap<u32, BTreeMap<Time, f64>>,
}

/// The delivery share that applies at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DeliveryShare {
    /// The share, 0 to 1; `None` if no report covers that time.
    pub(super) share: Option<f64>,
    /// When another share, or none, may start to apply; [`Time::MAX`] if no such time is known.
    pub(super) valid_until: Time,
}

impl DeliveryReports {
    pub(super) fn new(time_to_live: Duration) -> DeliveryReports {
        DeliveryReports {
            time_to_live,
            by_server: HashMap::new(),
        }
    }

    /// Records the share, 0 to 1, that a server delivered at a point in time.
    pub(super) fn record(&mut self, server: u32, share: f64, at: Time) {
        self.by_server.entry(server).or_default().insert(at, share);
    }

    /// Removes the reports that no longer apply at the settlement horizon.
    pub(super) fn prune(&mut self, horizon: Time) {
        // The last report before the horizon may still apply.
        let oldest_needed = horizon - self.time_to_live;
        self.by_server.retain(|_, reports| {
            *reports = reports.split_off(&oldest_needed);
            !reports.is_empty()
        });
    }

    /// The share that a server delivered at a point in time.
    pub(super) fn share_at(&self, server: u32, at: Time) -> DeliveryShare {
        let Some(reports) = self.by_server.get(&server) else {
            return DeliveryShare {
                share: None,
                valid_until: Time::MAX,
            };
        };
        let next_report = reports
            .range((Bound::Excluded(at), Bound::Unbounded))
            .next()
            .map_or(Time::MAX, |(reported_at, _)| *reported_at);
        match reports.range(..=at).next_back() {
            Some((reported_at, share)) if at < *reported_at + self.time_to_live => DeliveryShare {
                share: Some(*share),
                valid_until: next_report.min(*reported_at + self.time_to_live),
            },
            _ => DeliveryShare {
                share: None,
                valid_until: next_report,
            },
        }
    }
}
