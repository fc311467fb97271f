//! Reads a case from protobuf text format, checked with line, column and what is allowed.
mod actions;
mod claims;

use super::{Action, Bound, Case, Fronts, HostAction, Step};
use crankpaddle_textproto::{Checks, Problem};
use std::collections::HashMap;
use std::time::Duration;

#[allow(missing_docs, unreachable_pub)] // Generated; the schema has comments of its own.
mod schema {
    include!(concat!(env!("OUT_DIR"), "/crankpaddle.fleet.v1.rs"));
}

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/case.binpb"));
/// Rates are read in kilobytes a second; the network counts in bytes.
const BYTES_PER_KILOBYTE: f64 = 1000.0;

/// Reads and checks a case.
///
/// # Errors
/// All problems of the text, in their order.
pub fn parse(text: &str) -> Result<Case, Vec<Problem>> {
    let mut checks = Checks::new(text);
    let raw = checks.structure::<schema::Case>(DESCRIPTORS, "crankpaddle.fleet.v1.Case", "");
    let case = raw.map(|raw| {
        let mut parser = Parser {
            checks: &mut checks,
            groups: HashMap::new(),
        };
        parser.case(&raw)
    });
    checks.verdict(case)
}

struct Parser<'c, 't> {
    checks: &'c mut Checks<'t>,
    groups: HashMap<String, Fronts>,
}

impl Parser<'_, '_> {
    fn case(&mut self, raw: &schema::Case) -> Case {
        self.checks.must(!raw.name.is_empty(), "name", "is missing");
        for (index, group) in raw.group.iter().enumerate() {
            let fronts = self.fronts(&format!("group[{index}].fronts"), &group.fronts);
            self.groups.insert(group.name.clone(), fronts);
        }
        let mut steps = Vec::new();
        for (index, step) in raw.step.iter().enumerate() {
            steps.push(self.step(&format!("step[{index}]"), step));
        }
        Case {
            name: raw.name.clone(),
            description: raw.what.clone(),
            first: self.fronts("first", or_default(&raw.first, "all")),
            seeds: self.fronts("seeds", or_default(&raw.seeds, "0")),
            steps,
            day: or_default(&raw.day, "calm").to_owned(),
            disks: raw.disks,
        }
    }

    fn step(&mut self, at: &str, raw: &schema::Step) -> Step {
        use schema::step::Kind as Raw;
        let Some(kind) = &raw.kind else {
            self.checks
                .wrong(at, "says nothing; see the schema for its kinds");
            return Step::Mark;
        };
        let path = |field: &str| format!("{at}.{field}");
        let action = match kind {
            Raw::Run(time) => return Step::Run(self.time(&path("run"), time)),
            Raw::Mark(_) => return Step::Mark,
            Raw::See(raw) => return self.see(&path("see"), raw),
            Raw::Accused(raw) => return self.accused(&path("accused"), raw),
            Raw::Stands(raw) => return self.local_health(&path("stands"), raw),
            Raw::News(raw) => return self.restarted(&path("news"), raw),
            Raw::Back(raw) => return self.recovered(&path("back"), raw),
            Raw::Holds(raw) => return self.entry_known(&path("holds"), raw),
            Raw::Start(text) => Action::Start(self.fronts(&path("start"), text)),
            Raw::Kill(text) => Action::Kill(self.fronts(&path("kill"), text)),
            Raw::End(text) => Action::ShutDown(self.fronts(&path("end"), text)),
            Raw::Stop(text) => Action::Pause(self.fronts(&path("stop"), text)),
            Raw::GoOn(text) => Action::Resume(self.fronts(&path("go_on"), text)),
            Raw::Restart(raw) => self.restart(&path("restart"), raw),
            Raw::Net(raw) => self.net(&path("net"), raw),
            Raw::Cut(raw) => self.cut(&path("cut"), raw),
            Raw::Heal(_) => Action::Heal,
            Raw::Flood(raw) => self.flood(&path("flood"), raw),
            Raw::Write(front) => Action::WriteEntry {
                front: *front as usize,
            },
            Raw::Runs(raw) => self.select_build(&path("runs"), raw),
            Raw::PowerOff(raw) => Action::Host(self.power_off(&path("power_off"), raw)),
            Raw::PowerOn(raw) => Action::Host(self.power_on(&path("power_on"), raw)),
            Raw::CopyDisks(text) => Action::Host(HostAction::CopyDisks(
                self.fronts(&path("copy_disks"), text),
            )),
            Raw::Disk(raw) => Action::Host(self.disk(&path("disk"), raw)),
            Raw::LoseBooks(text) => {
                let servers = self.fronts(&path("lose_books"), text);
                Action::Host(HostAction::LoseSessionInventories(servers))
            }
        };
        Step::Action(action)
    }

    fn fronts(&mut self, path: &str, text: &str) -> Fronts {
        match Fronts::parse(text, &self.groups) {
            Ok(fronts) => fronts,
            Err(error) => {
                self.checks.wrong(path, error.to_string());
                Fronts::all()
            }
        }
    }

    fn bound(&mut self, path: &str, raw: Option<&schema::Bound>) -> Bound {
        let Some(raw) = raw else {
            self.checks.wrong(path, "has no bound");
            return Bound {
                base: Duration::ZERO,
                per_decade: Duration::ZERO,
            };
        };
        Bound {
            base: self.time(&format!("{path}.bound.within"), &raw.within),
            per_decade: self.optional_time(&format!("{path}.bound.more"), &raw.more),
        }
    }

    fn time(&mut self, path: &str, text: &str) -> Duration {
        Duration::from_nanos(self.checks.time(path, text))
    }

    /// A time; zero where none is stated.
    fn optional_time(&mut self, path: &str, text: &str) -> Duration {
        if text.is_empty() {
            return Duration::ZERO;
        }
        self.time(path, text)
    }

    /// A part from 0 to 1.
    fn part(&mut self, path: &str, value: f64) -> f64 {
        self.checks.within(path, value, 0.0, 1.0)
    }
}

/// A field's text, or the default where it is empty.
fn or_default<'a>(text: &'a str, default: &'a str) -> &'a str {
    if text.is_empty() {
        default
    } else {
        text
    }
}
