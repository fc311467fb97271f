//! Reads a scenario from protobuf text format and checks its values.
use super::{fleet_config, FaultKind, Scenario, ScheduledFault};
use crate::fault_mode::ResponseFault;
use crankpaddle_config::Problem;
use crankpaddle_textproto::Checks;
use schema::fault::Kind as RawKind;
use std::fmt;
use std::time::Duration;

#[allow(missing_docs, unreachable_pub)] // Generated from a schema that has comments of its own.
mod schema {
    include!(concat!(env!("OUT_DIR"), "/crankpaddle.lab.v1.rs"));
}

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/day.binpb"));
const DAY_MESSAGE: &str = "crankpaddle.lab.v1.Day";
/// The sum of the classes' shares may differ from 1 by this much because of rounding.
const SHARE_TOLERANCE: f64 = 1e-6;
const MISSING_KIND: &str = "has no kind: hang, fast_errors, crash, vanish, slow, burst, crowd, list_late, list_gone, stall, \
                       drain, bill_and_reset, trickle or astray";

/// Reads and checks a script. `fleet` returns the text of a fleet's configuration by its name.
///
/// # Errors
/// All problems of the script, in the order of the file.
pub fn parse<E: fmt::Display>(
    text: &str,
    fleet: impl Fn(&str) -> Result<String, E>,
) -> Result<Scenario, Vec<Problem>> {
    let mut checks = Checks::new(text);
    let raw = checks.parse_message::<schema::Day>(DESCRIPTORS, DAY_MESSAGE, "");
    let scenario = raw.map(|raw| {
        check_required(&mut checks, &raw);
        let fleet_text = fleet(&raw.fleet).unwrap_or_else(|error| {
            checks.report_problem("fleet", error.to_string());
            String::new()
        });
        check_day(&mut checks, &raw, fleet_text)
    });
    checks.into_result(scenario)
}

fn check_required(checks: &mut Checks<'_>, raw: &schema::Day) {
    checks.require(raw.servers.is_some(), "servers", "is missing");
    checks.require(raw.traffic.is_some(), "traffic", "is missing");
    checks.require(!raw.name.is_empty(), "name", "is missing");
}

/// The properties of a fleet that a script refers to.
struct FleetProperties {
    zones: Vec<String>,
    classes: usize,
    cells: u32,
}

fn check_fleet(checks: &mut Checks<'_>, fleet: &str) -> FleetProperties {
    match fleet_config(fleet) {
        Ok(config) => FleetProperties {
            classes: config.classes.len(),
            cells: config.settings.cells,
            zones: config.zones,
        },
        Err(problems) => {
            let first = problems.first().map(ToString::to_string);
            let first = first.unwrap_or_default();
            checks.report_problem("fleet", format!("is not a valid configuration: {first}"));
            FleetProperties {
                zones: vec![],
                classes: 0,
                cells: 1,
            }
        }
    }
}

/// Parses a duration; reports a problem at `path` where it is invalid.
fn duration(checks: &mut Checks<'_>, path: &str, text: &str) -> Duration {
    Duration::from_nanos(checks.time(path, text))
}

fn check_server_count(checks: &mut Checks<'_>, count: u32, cells: u32) -> u32 {
    let count = checks.count("servers.count", count, 1, 500);
    if count < cells {
        checks.report_problem(
            "servers.count",
            format!("is {count}, but the fleet's {cells} cells need at least one server each"),
        );
    }
    count
}

fn check_shares(checks: &mut Checks<'_>, share: &[f64], classes: usize) {
    let sum = share.iter().sum::<f64>();
    let fits = classes == share.len() && (sum - 1.0).abs() < SHARE_TOLERANCE;
    checks.require(
        fits,
        "traffic.share",
        "must have one value for each class, with the sum 1",
    );
}

fn check_day(
    checks: &mut Checks<'_>,
    raw: &schema::Day,
    fleet_without_budgets: String,
) -> Scenario {
    let servers = raw.servers.clone().unwrap_or_default();
    let traffic = raw.traffic.clone().unwrap_or_default();
    let fleet = format!("{fleet_without_budgets}{}", raw.budgets);
    let fleet_properties = check_fleet(checks, &fleet);
    let server_count = check_server_count(checks, servers.count, fleet_properties.cells);
    check_shares(checks, &traffic.share, fleet_properties.classes);
    let scope = FaultScope {
        zones: &fleet_properties.zones,
        servers: server_count,
        fronts: checks.count("fronts", raw.fronts, 1, 200),
        day_length: duration(checks, "length", &raw.length),
    };
    let faults = check_faults(checks, &raw.fault, &scope);
    Scenario {
        name: raw.name.clone(),
        length: scope.day_length,
        fronts: scope.fronts,
        fleet,
        fleet_without_budgets,
        servers: server_count,
        cores: checks.count("servers.cores", servers.cores, 1, 256),
        set_up_work: duration(checks, "servers.set_up_work", &servers.set_up_work),
        bandwidth_spread: checks.number_in_range("servers.uneven", servers.uneven, 0.0, 0.9),
        segment_length: duration(checks, "servers.segment", &servers.segment),
        rate: checks.number_in_range("traffic.rate", traffic.rate, 0.001, 1e6),
        class_shares: traffic.share.clone(),
        mean_watch_time: duration(checks, "traffic.watch", &traffic.watch),
        zipf_exponent: checks.number_in_range("traffic.zipf", traffic.zipf, 0.0, 5.0),
        return_fraction: checks.number_in_range("traffic.returns", traffic.returns, 0.0, 1.0),
        mean_return_delay: duration(checks, "traffic.back_after", &traffic.back_after),
        retry_after_fraction: checks.number_in_range("traffic.honour", traffic.honour, 0.0, 1.0),
        reconnect_fraction: checks.number_in_range(
            "traffic.reconnect",
            traffic.reconnect,
            0.0,
            1.0,
        ),
        faults,
        list_delay: duration(checks, "list_delay", &raw.list_delay),
    }
}

fn check_faults(
    checks: &mut Checks<'_>,
    raw: &[schema::Fault],
    scope: &FaultScope<'_>,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    for (index, fault) in raw.iter().enumerate() {
        let path = format!("fault[{index}]");
        faults.push(
            FaultCheck {
                checks,
                path,
                scope,
            }
            .check(fault),
        );
    }
    faults
}

/// The parts of a scenario that a fault may refer to.
struct FaultScope<'a> {
    zones: &'a [String],
    servers: u32,
    fronts: u32,
    day_length: Duration,
}

struct FaultCheck<'a, 't> {
    checks: &'a mut Checks<'t>,
    /// Path of the fault in the script.
    path: String,
    scope: &'a FaultScope<'a>,
}

impl FaultCheck<'_, '_> {
    fn check(mut self, raw: &schema::Fault) -> ScheduledFault {
        let at_path = self.field("at");
        let at = duration(self.checks, &at_path, &raw.at);
        let length_path = self.field("length");
        let length = duration(self.checks, &length_path, &raw.length);
        let in_day = at < self.scope.day_length;
        self.checks
            .require(in_day, &at_path, "is after the day's end");
        let servers = self.servers(raw);
        let names_servers = !needs_servers(raw.kind.as_ref()) || !servers.is_empty();
        self.checks
            .require(names_servers, &self.path, "names no server and no zone");
        let kind = self.kind(raw.kind.as_ref());
        ScheduledFault {
            at,
            length,
            servers,
            kind,
        }
    }

    fn field(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    /// Checks a value from 0 to 1.
    fn fraction(&mut self, field: &str, value: f64) -> f64 {
        let path = self.field(field);
        self.checks.number_in_range(&path, value, 0.0, 1.0)
    }

    /// Numbers of the servers that the fault names by number and by zone.
    fn servers(&mut self, raw: &schema::Fault) -> Vec<u32> {
        let FaultScope { zones, servers, .. } = *self.scope;
        let mut servers_of_fault = raw.server.clone();
        if servers_of_fault.iter().any(|server| *server >= servers) {
            let path = self.field("server");
            let allowed = format!("allowed: 0 to {}", servers - 1);
            self.checks.report_problem(&path, allowed);
        }
        if raw.zone.is_empty() {
            return servers_of_fault;
        }
        if let Some(zone) = zones.iter().position(|name| *name == raw.zone) {
            servers_of_fault
                .extend((0..servers).filter(|server| *server as usize % zones.len() == zone));
        } else {
            let path = self.field("zone");
            let known = zones.join(", ");
            let what = format!("{:?} is not a zone: {known}", raw.zone);
            self.checks.report_problem(&path, what);
        }
        servers_of_fault
    }

    fn kind(&mut self, raw: Option<&RawKind>) -> FaultKind {
        let Some(raw) = raw else {
            self.checks.report_problem(&self.path, MISSING_KIND);
            return FaultKind::Hang;
        };
        match raw {
            RawKind::Hang(_) => FaultKind::Hang,
            RawKind::FastErrors(f) => {
                FaultKind::FastErrors(self.fraction("fast_errors.part", f.part))
            }
            RawKind::Crash(_) => FaultKind::Crash,
            RawKind::Vanish(_) => FaultKind::Vanish,
            RawKind::Slow(f) => FaultKind::Slow(self.checks.number_in_range(
                &self.field("slow.by"),
                f.by,
                1.0,
                100.0,
            )),
            RawKind::Burst(f) => {
                let path = self.field("burst.times");
                FaultKind::Burst(self.checks.number_in_range(&path, f.times, 0.0, 100.0))
            }
            RawKind::Crowd(f) => {
                FaultKind::LoadSurge(f.title as usize, self.fraction("crowd.part", f.part))
            }
            RawKind::ListLate(f) => {
                let path = self.field("list_late.by");
                FaultKind::ListLate(duration(self.checks, &path, &f.by))
            }
            RawKind::ListGone(_) => FaultKind::ListGone,
            RawKind::Stall(f) => self.stall(f),
            RawKind::Drain(_) => FaultKind::Drain,
            RawKind::BillAndReset(f) => {
                FaultKind::BillAndReset(self.fraction("bill_and_reset.part", f.part))
            }
            RawKind::Trickle(_) => FaultKind::Trickle,
            RawKind::Astray(f) => self.response_fault(f),
        }
    }

    fn stall(&mut self, raw: &schema::Stall) -> FaultKind {
        let path = self.field("stall.front");
        let known = raw.front.iter().all(|front| *front < self.scope.fronts);
        self.checks.require(
            known,
            &path,
            "names a front that the scenario does not have",
        );
        FaultKind::Stall(raw.front.clone())
    }

    fn response_fault(&mut self, raw: &schema::Astray) -> FaultKind {
        let late_path = self.field("astray.late");
        let late = if raw.late.is_empty() {
            Duration::ZERO
        } else {
            duration(self.checks, &late_path, &raw.late)
        };
        FaultKind::ResponseFault(ResponseFault {
            late,
            lost: self.fraction("astray.lost", raw.lost),
            duplicated: self.fraction("astray.doubled", raw.doubled),
        })
    }
}

/// Whether a fault must name servers. The other kinds affect all servers, fronts, players or the list service.
fn needs_servers(kind: Option<&RawKind>) -> bool {
    !matches!(
        kind,
        Some(
            RawKind::Slow(_)
                | RawKind::Burst(_)
                | RawKind::Crowd(_)
                | RawKind::ListLate(_)
                | RawKind::ListGone(_)
                | RawKind::Stall(_)
        )
    )
}
