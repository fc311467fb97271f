//! What servers reported about the share of all rates that they deliver.
use std::collections::{BTreeMap, HashMap};

/// Reported delivery shares, by server and by the time that each report describes.
#[derive(Clone, Debug)]
pub(super) struct DeliveryReports {
    /// A report holds until the next one, but no longer than this, nanoseconds.
    time_to_live: u64,
    by_server: HashMap<u32, BTreeMap<u64, f64>>,
}

/// The delivery share in force at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DeliveryShare {
    /// The share, 0 to 1; `None` where no report covers the time.
    pub(super) share: Option<f64>,
    /// Until when this holds, nanoseconds.
    pub(super) valid_until: u64,
}

impl DeliveryReports {
    pub(super) fn new(time_to_live: u64) -> DeliveryReports {
        DeliveryReports {
            time_to_live,
            by_server: HashMap::new(),
        }
    }

    /// Records a share, 0 to 1, that a server delivered at a time.
    pub(super) fn record(&mut self, server: u32, share: f64, at: u64) {
        self.by_server.entry(server).or_default().insert(at, share);
    }

    /// Removes the reports that no longer hold at the settlement horizon.
    pub(super) fn prune(&mut self, horizon: u64) {
        // The last report before the horizon may still hold.
        let oldest_needed = horizon.saturating_sub(self.time_to_live);
        self.by_server.retain(|_, reports| {
            *reports = reports.split_off(&oldest_needed);
            !reports.is_empty()
        });
    }

    /// The share that a server delivered at a time.
    pub(super) fn share_at(&self, server: u32, at: u64) -> DeliveryShare {
        let Some(reports) = self.by_server.get(&server) else {
            return DeliveryShare {
                share: None,
                valid_until: u64::MAX,
            };
        };
        let next_report = reports
            .range(at + 1..)
            .next()
            .map_or(u64::MAX, |(reported_at, _)| *reported_at);
        match reports.range(..=at).next_back() {
            Some((reported_at, share)) if at < reported_at + self.time_to_live => DeliveryShare {
                share: Some(*share),
                valid_until: next_report.min(reported_at + self.time_to_live),
            },
            _ => DeliveryShare {
                share: None,
                valid_until: next_report,
            },
        }
    }
}
