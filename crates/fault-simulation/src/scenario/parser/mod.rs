//! Reads a case from protobuf text format. Each problem is reported with its line, its column and the values that are allowed.
mod actions;
mod claims;

use super::{CaseAction, CaseStep, FleetCase, FrontSet, HostAction, TimeBound};
use crankpaddle_textproto::{Checks, Problem};
use std::collections::HashMap;
use std::time::Duration;

#[allow(missing_docs, unreachable_pub)] // The types are generated; `proto/case.proto` documents them.
mod schema {
    include!(concat!(env!("OUT_DIR"), "/crankpaddle.fleet.v1.rs"));
}

const DESCRIPTOR_SET: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/case.binpb"));
/// Rates are read in kilobytes per second, but the network conditions hold bytes per second.
const BYTES_PER_KILOBYTE: f64 = 1000.0;

/// Reads a case from its text and checks it.
///
/// # Errors
/// The text has problems; all of them are returned, in the order of the text.
pub fn parse_case(text: &str) -> Result<FleetCase, Vec<Problem>> {
    let mut checks = Checks::new(text);
    let raw = checks.parse_message::<schema::Case>(DESCRIPTOR_SET, "crankpaddle.fleet.v1.Case", "");
    let case = raw.map(|raw| {
        let mut parser = Parser {
            checks: &mut checks,
            groups: HashMap::new(),
        };
        parser.case(&raw)
    });
    checks.into_result(case)
}

/// Converts a case and collects its problems in `checks`. A field with a problem gets any valid value, which is never used
/// because the case is rejected as a whole.
struct Parser<'c, 't> {
    checks: &'c mut Checks<'t>,
    groups: HashMap<String, FrontSet>,
}

impl Parser<'_, '_> {
    fn case(&mut self, raw: &schema::Case) -> FleetCase {
        self.checks
            .require(!raw.name.is_empty(), "name", "is missing");
        for (index, group) in raw.group.iter().enumerate() {
            let fronts = self.fronts(&format!("group[{index}].fronts"), &group.fronts);
            self.groups.insert(group.name.clone(), fronts);
        }
        let mut steps = Vec::new();
        for (index, step) in raw.step.iter().enumerate() {
            steps.push(self.step(&format!("step[{index}]"), step));
        }
        FleetCase {
            name: raw.name.clone(),
            description: raw.what.clone(),
            initial_fronts: self.fronts("first", or_default(&raw.first, "all")),
            seeds: self.fronts("seeds", or_default(&raw.seeds, "0")),
            steps,
            day: or_default(&raw.day, "calm").to_owned(),
            has_disks: raw.disks,
        }
    }

    fn step(&mut self, step_path: &str, raw: &schema::Step) -> CaseStep {
        use schema::step::Kind as Raw;
        let Some(kind) = &raw.kind else {
            self.checks.report_problem(
                step_path,
                "is empty: an action, a claim, run or mark is needed",
            );
            return CaseStep::BeginMeasurement;
        };
        let field_path = |field: &str| format!("{step_path}.{field}");
        let action = match kind {
            Raw::Run(time) => return CaseStep::Run(self.time(&field_path("run"), time)),
            Raw::Mark(_) => return CaseStep::BeginMeasurement,
            Raw::See(raw) => return self.members_seen_as(&field_path("see"), raw),
            Raw::Accused(raw) => return self.false_accusations(&field_path("accused"), raw),
            Raw::Stands(raw) => return self.local_health(&field_path("stands"), raw),
            Raw::News(raw) => return self.restarts_seen(&field_path("news"), raw),
            Raw::Back(raw) => return self.sessions_recovered(&field_path("back"), raw),
            Raw::Holds(raw) => return self.entry_known(&field_path("holds"), raw),
            Raw::Start(text) => CaseAction::Start(self.fronts(&field_path("start"), text)),
            Raw::Kill(text) => CaseAction::Kill(self.fronts(&field_path("kill"), text)),
            Raw::End(text) => CaseAction::ShutDown(self.fronts(&field_path("end"), text)),
            Raw::Stop(text) => CaseAction::Pause(self.fronts(&field_path("stop"), text)),
            Raw::GoOn(text) => CaseAction::Resume(self.fronts(&field_path("go_on"), text)),
            Raw::Restart(raw) => self.restart(&field_path("restart"), raw),
            Raw::Net(raw) => self.set_network(&field_path("net"), raw),
            Raw::Cut(raw) => self.partition(&field_path("cut"), raw),
            Raw::Heal(_) => CaseAction::Heal,
            Raw::Flood(raw) => self.flood(&field_path("flood"), raw),
            Raw::Write(front) => CaseAction::WriteEntry {
                front: *front as usize,
            },
            Raw::Runs(raw) => self.select_build(&field_path("runs"), raw),
            Raw::PowerOff(raw) => CaseAction::Host(self.power_off(&field_path("power_off"), raw)),
            Raw::PowerOn(raw) => CaseAction::Host(self.power_on(&field_path("power_on"), raw)),
            Raw::CopyDisks(text) => CaseAction::Host(HostAction::CopyDisks(
                self.fronts(&field_path("copy_disks"), text),
            )),
            Raw::Disk(raw) => CaseAction::Host(self.disk(&field_path("disk"), raw)),
            Raw::LoseBooks(text) => {
                let servers = self.fronts(&field_path("lose_books"), text);
                CaseAction::Host(HostAction::LoseSessionInventories(servers))
            }
        };
        CaseStep::Action(action)
    }

    fn fronts(&mut self, path: &str, text: &str) -> FrontSet {
        match FrontSet::parse(text, &self.groups) {
            Ok(fronts) => fronts,
            Err(error) => {
                self.checks.report_problem(path, error.to_string());
                FrontSet::all()
            }
        }
    }

    fn bound(&mut self, path: &str, raw: Option<&schema::Bound>) -> TimeBound {
        let Some(raw) = raw else {
            self.checks.report_problem(path, "has no bound");
            return TimeBound {
                base: Duration::ZERO,
                per_decade: Duration::ZERO,
            };
        };
        TimeBound {
            base: self.time(&format!("{path}.bound.within"), &raw.within),
            per_decade: self.optional_time(&format!("{path}.bound.more"), &raw.more),
        }
    }

    fn time(&mut self, path: &str, text: &str) -> Duration {
        Duration::from_nanos(self.checks.time(path, text))
    }

    /// Reads a time; zero if the field is empty.
    fn optional_time(&mut self, path: &str, text: &str) -> Duration {
        if text.is_empty() {
            return Duration::ZERO;
        }
        self.time(path, text)
    }

    /// Checks that a value is a fraction from 0 to 1.
    fn fraction(&mut self, path: &str, value: f64) -> f64 {
        self.checks.number_in_range(path, value, 0.0, 1.0)
    }
}

/// The text of a field, or the default if the field is empty.
fn or_default<'a>(text: &'a str, default: &'a str) -> &'a str {
    if text.is_empty() {
        default
    } else {
        text
    }
}
