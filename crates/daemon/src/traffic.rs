//! Cross-zone traffic of this front: the controller, its configuration, and the saved account.
use crate::errors::{SavedFileError, StartError};
use crankpaddle::Idempotency;
use crankpaddle_config::Config;
use crankpaddle_cross_zone_traffic::budget::FrontPosition;
use crankpaddle_cross_zone_traffic::report::{TrafficNames, TrafficReport};
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptUsage, TrafficClass, TrafficConfig, TrafficController,
};
use crankpaddle_front::{AttemptId, ServerId, SetUpOrder};
use crankpaddle_net::clock;
use crankpaddle_server_protocol::event_stream::CrossZoneRate;
use std::collections::BTreeMap;
use std::time::Duration;
use std::{fs, io};

/// Sessions settled in one step. Why a bound: the event loop handles no message during a step.
const SESSIONS_PER_STEP: usize = 512;
/// Bytes in a kilobyte, the unit of rates in the account.
const BYTES_PER_KB: f64 = 1000.0;

/// A front's traffic controller, and the names of the zones, classes, tenants and title groups that it knows by number.
pub(crate) struct TrafficAccounting {
    pub controller: TrafficController,
    names: TrafficNames,
    front: u32,
    zone: u8,
    groups_by_title: BTreeMap<u64, u16>,
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
    let class = |class: &crankpaddle::Class| TrafficClass {
        is_paid: class.idempotency == Idempotency::AtMostOnce,
        rung_rates_kb: rungs.clone().map(|kb| kb * class.rate_factor).collect(),
    };
    TrafficConfig {
        position: FrontPosition {
            index: settings.front_index,
            replica_count: settings.replica_count,
        },
        zone: settings.zone,
        classes: settings.classes.iter().map(class).collect(),
        limits: config.budgets.clone(),
        report_delay: Duration::from_nanos(settings.update_delay),
    }
}

/// Changed settings that require a restart: the budgets of the new configuration can't be applied to a
/// running front with them.
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
    // A zone added at the end leaves the numbers of the others as they are.
    if !new.zones.starts_with(&old.zones) {
        return Some("fleet.zone");
    }
    if without_limits(&before) != without_limits(&after) || old.classes != new.classes {
        return Some("classes and rungs");
    }
    None
}

/// The account that a previous incarnation of this front saved, if there is one.
///
/// # Errors
/// The file can't be read or holds something else. It is not ignored, because the account would start at zero
/// unnoticed.
pub(crate) fn load_saved_account(config: &Config) -> Result<Option<TrafficReport>, StartError> {
    let Some(path) = &config.traffic_file else {
        return Ok(None);
    };
    let text = match fs::read_to_string(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        text => text.map_err(SavedFileError::from),
    };
    let report = text.and_then(|text| parse_account(&text, config.settings.front_index));
    report.map(Some).map_err(|source| StartError::SavedFile {
        path: path.clone(),
        source,
    })
}

fn parse_account(text: &str, own_front: u32) -> Result<TrafficReport, SavedFileError> {
    let report: TrafficReport = serde_json::from_str(text)?;
    if report.front != own_front {
        return Err(SavedFileError::OtherFront {
            front: report.front,
        });
    }
    Ok(report)
}

impl TrafficAccounting {
    /// The accounting of a configured front, restored from the saved account where there is one.
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
            front: config.settings.front_index,
            zone: config.settings.zone,
            groups_by_title: titles.map(|title| (title.number, title.group)).collect(),
            is_settling: false,
        }
    }

    /// The name of a server's zone; empty where the server is not listed.
    pub(crate) fn zone_name(&self, server: ServerId) -> &str {
        let zone = self.controller.zone(server.0);
        let name = zone.and_then(|zone| self.names.zones.get(usize::from(zone)));
        name.map_or("", String::as_str)
    }

    /// An attempt starts; `number`: its number within its request.
    pub(crate) fn attempt_started(
        &mut self,
        attempt: AttemptId,
        number: u8,
        server: ServerId,
        order: &SetUpOrder,
    ) {
        let group = self.groups_by_title.get(&order.title);
        self.controller.attempt_started(AttemptUsage {
            id: attempt.0,
            number,
            server: server.0,
            class: order.class,
            tenant: order.tenant,
            group: group.copied().unwrap_or(0),
            rung: order.rung,
        });
    }

    /// A server reports the bytes of this front's attempts, and the rates that it sends to other zones.
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

    /// Kilobytes a second to this front's zone, by class.
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

    /// Applies other budgets and added zones; counted bytes stay.
    pub(crate) fn change_budgets(&mut self, config: &Config) {
        self.controller.reconfigure(traffic_config(config));
        self.names.zones.clone_from(&config.zones);
    }

    /// Starts to settle the usage of all sessions, in steps.
    pub(crate) fn start_settlement(&mut self) {
        self.is_settling = true;
    }

    /// Settles the next sessions; returns whether sessions are left.
    pub(crate) fn settle_step(&mut self) -> bool {
        if self.is_settling {
            let now = clock::now();
            self.is_settling = !self.controller.settle_usage(now, SESSIONS_PER_STEP);
        }
        self.is_settling
    }

    /// The report as JSON.
    pub(crate) fn report(&mut self) -> String {
        let report = TrafficReport::of(
            &mut self.controller,
            self.front,
            self.zone,
            &self.names,
            clock::now(),
        );
        serde_json::to_string(&report).unwrap_or_default()
    }
}
