//! The traffic desk of a front: from the configuration's names to numbers and back, and its file.
use crankpaddle::Idempotency;
use crankpaddle_config::Config;
use crankpaddle_cross_zone_traffic::budget::FrontPosition;
use crankpaddle_cross_zone_traffic::report::{TrafficNames, TrafficReport};
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptUsage, TrafficClass, TrafficConfig, TrafficController,
};
use crankpaddle_front::{AttemptId, ServerId, SetUpOrder};
use crankpaddle_net::clock;
use crankpaddle_server_protocol::event_stream;
use std::collections::BTreeMap;
use std::{fs, io};

/// Sessions settled in one go, so that nobody waits for many.
const STEP: usize = 512;

pub(crate) struct Traffic {
    pub desk: TrafficController,
    names: TrafficNames,
    front: u32,
    zone: u8,
    groups: BTreeMap<u64, u16>, // By title.
    settling: bool,
}

fn names(config: &Config) -> TrafficNames {
    TrafficNames {
        zones: config.zones.clone(),
        classes: config.classes.clone(),
        tenants: config.tenants.clone(),
        groups: config.groups.clone(),
    }
}

fn terms(config: &Config) -> TrafficConfig {
    let s = &config.settings;
    let class = |c: &crankpaddle::Class| TrafficClass {
        paid: c.idempotency == Idempotency::AtMostOnce,
        rung_rates_kb: s.rung_kb.iter().map(|kb| kb * c.rate_factor).collect(),
    };
    TrafficConfig {
        position: FrontPosition {
            index: s.front_index,
            replica_count: s.replica_count,
        },
        zone: s.zone,
        classes: s.classes.iter().map(class).collect(),
        limits: config.budgets.clone(),
        report_delay: s.update_delay,
    }
}

/// What keeps the budgets of another configuration from being taken over while the front runs.
pub(crate) fn unlike(old: &Config, new: &Config) -> Option<&'static str> {
    let (before, after) = (terms(old), terms(new));
    let without = |t: &TrafficConfig| TrafficConfig {
        limits: Vec::new(),
        ..t.clone()
    };
    // A new zone, class, tenant or group at the end moves no number; the account knows the others by theirs.
    let moved = |old: &[String], new: &[String]| !new.starts_with(old);
    if (before.position, before.zone) != (after.position, after.zone) {
        Some("front.index, front.siblings and front.zone")
    } else if moved(&old.zones, &new.zones) {
        Some("fleet.zone")
    } else if without(&before) != without(&after) || old.classes != new.classes {
        Some("classes and rungs")
    } else {
        None
    }
}

/// What an earlier life of this front kept of its account.
///
/// # Errors
/// The file is there and can't be read, or holds something else: an account that would begin at nothing unseen.
pub(crate) fn kept(config: &Config) -> io::Result<Option<TrafficReport>> {
    let Some(path) = &config.traffic_file else {
        return Ok(None);
    };
    let wrong = |what: String| io::Error::other(format!("{}: {what}", path.display()));
    let text = match fs::read_to_string(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(wrong(e.to_string())),
        Ok(text) => text,
    };
    let report: TrafficReport =
        serde_json::from_str(&text).map_err(|e| wrong(format!("no account of traffic: {e}")))?;
    if report.front != config.settings.front_index {
        return Err(wrong(format!(
            "is the account of front {}, not of this one",
            report.front
        )));
    }
    Ok(Some(report))
}

impl Traffic {
    pub(crate) fn new(config: &Config, kept: Option<&TrafficReport>) -> Traffic {
        let (mut desk, names) = (TrafficController::new(terms(config)), names(config));
        if let Some(report) = kept {
            desk.restore(&report.saved_flows(&names));
        }
        let groups = config
            .titles
            .values()
            .map(|t| (t.number, t.group))
            .collect();
        let (front, zone) = (config.settings.front_index, config.settings.zone);
        Traffic {
            desk,
            names,
            front,
            zone,
            groups,
            settling: false,
        }
    }

    /// The name of a server's zone; empty where it is not listed.
    pub(crate) fn hall(&self, server: ServerId) -> &str {
        let zone = self
            .desk
            .zone(server.0)
            .and_then(|zone| self.names.zones.get(usize::from(zone)));
        zone.map_or("", String::as_str)
    }

    pub(crate) fn attempt(
        &mut self,
        id: AttemptId,
        number: u8,
        server: ServerId,
        order: &SetUpOrder,
    ) {
        let group = self.groups.get(&order.title).copied().unwrap_or(0);
        let (server, class, tenant, rung) = (server.0, order.class, order.tenant, order.rung);
        self.desk.attempt_started(AttemptUsage {
            id: id.0,
            number,
            server,
            class,
            tenant,
            group,
            rung,
        });
    }

    /// What a server counted of this front's sessions, by their numbers, and of what crosses to its zone.
    pub(crate) fn counted(
        &mut self,
        server: ServerId,
        sent: &[(AttemptId, u64)],
        crossing: &[event_stream::CrossZoneRate],
    ) {
        let now = clock::now();
        sent.iter()
            .for_each(|(attempt, bytes)| self.desk.bytes_counted(attempt.0, *bytes, now));
        let own = self.names.zones.get(usize::from(self.zone));
        let mut kb: BTreeMap<u8, f64> = BTreeMap::new();
        for c in crossing
            .iter()
            .filter(|c| Some(&c.to) == own && c.rate.is_finite())
        {
            if let Some(class) = self.names.classes.iter().position(|name| *name == c.class) {
                *kb.entry(class as u8).or_default() += c.rate / 1000.0;
            }
        }
        self.desk.usage_reported(server.0, kb, now);
    }

    /// Other budgets, and zones that were added; what was counted and is owed stays.
    pub(crate) fn change(&mut self, config: &Config) {
        self.desk.reconfigure(terms(config));
        self.names.zones.clone_from(&config.zones);
    }

    /// Begins a round of settling.
    pub(crate) fn begin_round(&mut self) {
        self.settling = true;
    }

    /// Settles some; whether there is more to do.
    pub(crate) fn settle_some(&mut self) -> bool {
        if self.settling {
            self.settling = !self.desk.settle_usage(clock::now(), STEP);
        }
        self.settling
    }

    /// The report as JSON.
    pub(crate) fn report(&mut self) -> String {
        let report = TrafficReport::of(
            &mut self.desk,
            self.front,
            self.zone,
            &self.names,
            clock::now(),
        );
        serde_json::to_string(&report).unwrap_or_default()
    }
}
