//! Accounting of this front's cross-zone traffic: the traffic controller, its configuration, and the saved report.
use crate::errors::{SavedFileError, StartError};
use crankpaddle::Idempotency;
use crankpaddle_config::Config;
use crankpaddle_cross_zone_traffic::budget::FrontPosition;
use crankpaddle_cross_zone_traffic::report::{TrafficNames, TrafficReport};
use crankpaddle_cross_zone_traffic::traffic_controller::{
    StartedAttempt, TrafficClass, TrafficConfig, TrafficController,
};
use crankpaddle_front::{AttemptId, ServerId, SetUpOrder};
use crankpaddle_net::clock;
use crankpaddle_server_protocol::event_stream::CrossZoneRate;
use std::collections::BTreeMap;
use std::time::Duration;
use std::{fs, io};

/// Most sessions settled in one step. It is bounded because the event loop handles no message during a step.
const MAX_SESSIONS_PER_STEP: usize = 512;
/// Bytes in a kilobyte, the unit of rates in the traffic controller.
const BYTES_PER_KB: f64 = 1000.0;

/// A front's traffic controller, and the names of the zones, classes, tenants and title groups, which the controller
/// knows by number.
pub(crate) struct TrafficAccounting {
    pub controller: TrafficController,
    names: TrafficNames,
    /// This front's index in the fleet.
    replica_index: u32,
    /// The number of this front's zone.
    zone: u8,
    /// The number of each title's group, by the title's number.
    groups_by_title: BTreeMap<u64, u16>,
    /// Whether the usage of sessions is being settled, in steps.
    is_settling: bool,
}

fn traffic_names(config: &Config) -> TrafficNames {
    TrafficNames {
        zones: config.zones.clone(),
        classes: config.classes.clone(),
        tenants: config.tenants.clone(),
        groups: config.groups.clone(),
    }
}

fn traffic_config(config: &Config) -> TrafficConfig {
    let settings = &config.settings;
    let rungs = settings.rung_kb.iter();
    let class = |class: &crankpaddle::SessionClass| TrafficClass {
        is_paid: class.idempotency == Idempotency::AtMostOnce,
        rung_rates_kb: rungs.clone().map(|kb| kb * class.rate_factor).collect(),
    };
    TrafficConfig {
        position: FrontPosition {
            index: settings.replica_index,
            replica_count: settings.replica_count,
        },
        zone: settings.zone,
        classes: settings.classes.iter().map(class).collect(),
        limits: config.budgets.clone(),
        report_delay: Duration::from_nanos(settings.update_delay),
    }
}

/// The settings that differ between two configurations and must not change while the front runs, because the budgets
/// depend on them; `None` if there are none.
pub(crate) fn changed_settings(old: &Config, new: &Config) -> Option<&'static str> {
    let before = traffic_config(old);
    let after = traffic_config(new);
    let without_limits = |config: &TrafficConfig| TrafficConfig {
        limits: Vec::new(),
        ..config.clone()
    };
    if (before.position, before.zone) != (after.position, after.zone) {
        return Some("front.index, front.siblings and front.zone");
    }
    // Adding zones at the end is allowed, because the numbers of the others stay.
    if !new.zones.starts_with(&old.zones) {
        return Some("fleet.zone");
    }
    if without_limits(&before) != without_limits(&after) || old.classes != new.classes {
        return Some("classes and rungs");
    }
    None
}

/// Loads the traffic report that a previous incarnation of this front saved, if there is one.
///
/// # Errors
/// The file can't be read, is malformed, or belongs to another front. That is not ignored, because the counted bytes
/// would restart at zero unnoticed.
pub(crate) fn load_saved_report(config: &Config) -> Result<Option<TrafficReport>, StartError> {
    let Some(path) = &config.traffic_file else {
        return Ok(None);
    };
    let text = match fs::read_to_string(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        text => text.map_err(SavedFileError::from),
    };
    let report = text.and_then(|text| parse_report(&text, config.settings.replica_index));
    report.map(Some).map_err(|source| StartError::SavedFile {
        path: path.clone(),
        source,
    })
}

fn parse_report(text: &str, own_index: u32) -> Result<TrafficReport, SavedFileError> {
    let report: TrafficReport = serde_json::from_str(text)?;
    if report.front != own_index {
        return Err(SavedFileError::OtherFront {
            front: report.front,
        });
    }
    Ok(report)
}

impl TrafficAccounting {
    /// Creates the accounting of a configured front, restored from the saved report if there is one.
    pub(crate) fn new(config: &Config, saved: Option<&TrafficReport>) -> TrafficAccounting {
        let mut controller = TrafficController::new(traffic_config(config));
        let names = traffic_names(config);
        if let Some(report) = saved {
            controller.restore(&report.saved_flows(&names));
        }
        let titles = config.titles.values();
        TrafficAccounting {
            controller,
            names,
            replica_index: config.settings.replica_index,
            zone: config.settings.zone,
            groups_by_title: titles.map(|title| (title.number, title.group)).collect(),
            is_settling: false,
        }
    }

    /// The name of a server's zone; empty if the server is not listed.
    pub(crate) fn zone_name(&self, server: ServerId) -> &str {
        let zone = self.controller.zone(server.0);
        let name = zone.and_then(|zone| self.names.zones.get(usize::from(zone)));
        name.map_or("", String::as_str)
    }

    /// Starts to account for an attempt; `number` is its number within its request.
    pub(crate) fn attempt_started(
        &mut self,
        attempt: AttemptId,
        number: u8,
        server: ServerId,
        order: &SetUpOrder,
    ) {
        let group = self.groups_by_title.get(&order.title);
        self.controller.attempt_started(StartedAttempt {
            id: attempt.0,
            number,
            server: server.0,
            class: order.class,
            tenant: order.tenant,
            group: group.copied().unwrap_or(0),
            rung: order.rung,
        });
    }

    /// Adds a server's report: the bytes that it sent for this front's attempts, and the rates at which it sends to other
    /// zones.
    pub(crate) fn add_counts(
        &mut self,
        server: ServerId,
        sent_bytes: &[(AttemptId, u64)],
        crossing: &[CrossZoneRate],
    ) {
        let now = clock::now();
        for (attempt, bytes) in sent_bytes {
            self.controller.bytes_counted(attempt.0, *bytes, now);
        }
        let rates = self.rates_to_own_zone(crossing);
        self.controller.usage_reported(server.0, rates, now);
    }

    /// The rates to this front's zone, in kilobytes a second by class number.
    fn rates_to_own_zone(&self, crossing: &[CrossZoneRate]) -> BTreeMap<u8, f64> {
        let own_zone = self.names.zones.get(usize::from(self.zone));
        let mut rates: BTreeMap<u8, f64> = BTreeMap::new();
        for entry in crossing {
            if Some(&entry.to) != own_zone || !entry.rate.is_finite() {
                continue;
            }
            let mut classes = self.names.classes.iter();
            if let Some(class) = classes.position(|name| *name == entry.class) {
                *rates.entry(class as u8).or_default() += entry.rate / BYTES_PER_KB;
            }
        }
        rates
    }

    /// Applies changed budgets and added zones; the bytes counted so far stay.
    pub(crate) fn change_budgets(&mut self, config: &Config) {
        self.controller.reconfigure(traffic_config(config));
        self.names.zones.clone_from(&config.zones);
    }

    /// Starts to settle the usage of all sessions; [`TrafficAccounting::settle_step`] does the work.
    pub(crate) fn start_settlement(&mut self) {
        self.is_settling = true;
    }

    /// Settles the usage of the next sessions; returns whether any are left.
    pub(crate) fn settle_step(&mut self) -> bool {
        if self.is_settling {
            let now = clock::now();
            self.is_settling = !self.controller.settle_usage(now, MAX_SESSIONS_PER_STEP);
        }
        self.is_settling
    }

    /// The traffic report as JSON.
    pub(crate) fn report(&mut self) -> String {
        let report = TrafficReport::from_controller(
            &mut self.controller,
            self.replica_index,
            self.zone,
            &self.names,
            clock::now(),
        );
        serde_json::to_string(&report).unwrap_or_default()
    }
}
