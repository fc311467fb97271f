//! Reads a case from protobuf text format, checked with line, column and what is allowed.
use super::{Action, Bound, Build, Case, Claim, DelayRange, DiskState, Fronts, HostAction, Step};
use crankpaddle_membership::{LocalHealth, MemberState};
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

/// Actions.
impl Parser<'_, '_> {
    fn restart(&mut self, path: &str, raw: &schema::Restart) -> Action {
        let fronts = self.fronts(&format!("{path}.fronts"), &raw.fronts);
        let after = self.time(&format!("{path}.after"), &raw.after);
        Action::Restart { fronts, after }
    }

    fn net(&mut self, path: &str, raw: &schema::Net) -> Action {
        Action::SetNetwork {
            loss: self.part(&format!("{path}.loss"), raw.loss),
            duplicated: self.part(&format!("{path}.doubled"), raw.doubled),
            delay: self.delay(path, raw),
            bandwidth: self.bandwidth(&format!("{path}.bandwidth"), &raw.bandwidth),
        }
    }

    fn delay(&mut self, path: &str, raw: &schema::Net) -> Option<DelayRange> {
        if raw.most.is_empty() {
            return None;
        }
        let least = format!("{path}.least");
        let min = self.optional_time(&least, &raw.least);
        let max = self.time(&format!("{path}.most"), &raw.most);
        self.checks
            .must(min <= max, &least, "is more than the most");
        Some(DelayRange {
            min,
            max: max.max(min),
        })
    }

    fn bandwidth(&mut self, path: &str, text: &str) -> f64 {
        if text.is_empty() {
            return f64::INFINITY;
        }
        self.checks.rate(path, text) * BYTES_PER_KILOBYTE
    }

    fn cut(&mut self, path: &str, raw: &schema::Cut) -> Action {
        Action::Partition {
            from: self.fronts(&format!("{path}.from"), &raw.from),
            to: self.fronts(&format!("{path}.to"), &raw.to),
            both_ways: !raw.one_way,
        }
    }

    fn flood(&mut self, path: &str, raw: &schema::Flood) -> Action {
        let fronts = self.fronts(&format!("{path}.fronts"), &raw.fronts);
        let copies = self
            .checks
            .count(&format!("{path}.times"), raw.times, 1, 1000);
        Action::Flood { fronts, copies }
    }

    fn select_build(&mut self, path: &str, raw: &schema::Runs) -> Action {
        let build = if raw.other {
            Build::Other
        } else {
            Build::First
        };
        Action::SelectBuild {
            fronts: self.fronts(&format!("{path}.fronts"), &raw.fronts),
            build,
        }
    }

    fn power_off(&mut self, path: &str, raw: &schema::Power) -> HostAction {
        HostAction::PowerOff {
            fronts: self.fronts(&format!("{path}.fronts"), or_default(&raw.fronts, "none")),
            servers: self.fronts(&format!("{path}.servers"), or_default(&raw.servers, "none")),
            list_service: raw.list,
        }
    }

    fn power_on(&mut self, path: &str, raw: &schema::Power) -> HostAction {
        HostAction::PowerOn {
            fronts: self.fronts(&format!("{path}.fronts"), or_default(&raw.fronts, "none")),
            servers: self.fronts(&format!("{path}.servers"), or_default(&raw.servers, "none")),
            list_service: raw.list,
        }
    }

    fn disk(&mut self, path: &str, raw: &schema::Disk) -> HostAction {
        let state = match raw.is() {
            schema::Spoil::Intact => DiskState::Intact,
            schema::Spoil::Empty => DiskState::Empty,
            schema::Spoil::Old => DiskState::Outdated,
            schema::Spoil::Torn => DiskState::Torn,
        };
        HostAction::SetDisks {
            fronts: self.fronts(&format!("{path}.fronts"), &raw.fronts),
            state,
        }
    }
}

/// Claims.
impl Parser<'_, '_> {
    fn claim(&mut self, path: &str, name: &str, claim: Claim) -> Step {
        self.checks
            .must(!name.is_empty(), path, "has no claim to be named by");
        Step::Claim {
            name: name.to_owned(),
            claim,
        }
    }

    fn see(&mut self, path: &str, raw: &schema::See) -> Step {
        let claim = Claim::See {
            viewers: self.fronts(&format!("{path}.at"), &raw.at),
            viewed: self.fronts(&format!("{path}.of"), &raw.of),
            state: self.member_state(path, raw.state()),
            bound: self.bound(path, raw.bound.as_ref()),
        };
        self.claim(path, &raw.claim, claim)
    }

    fn member_state(&mut self, path: &str, raw: schema::State) -> MemberState {
        match raw {
            schema::State::Alive => MemberState::Alive,
            schema::State::Suspect => MemberState::Suspect,
            schema::State::Gone => MemberState::Dead,
            schema::State::Left => MemberState::Left,
            schema::State::Unstated => {
                self.checks
                    .wrong(path, "has no state: ALIVE, SUSPECT, GONE or LEFT");
                MemberState::Alive
            }
        }
    }

    fn accused(&mut self, path: &str, raw: &schema::Accused) -> Step {
        let claim = Claim::Accused {
            accusers: self.fronts(&format!("{path}.by"), &raw.by),
            except: self.fronts(&format!("{path}.but"), or_default(&raw.but, "none")),
            allowed: raw.most,
            allowed_per_front: self.checks.within(
                &format!("{path}.a_front"),
                raw.a_front,
                0.0,
                1000.0,
            ),
        };
        self.claim(path, &raw.claim, claim)
    }

    fn local_health(&mut self, path: &str, raw: &schema::Stands) -> Step {
        let health = match raw.r#as() {
            schema::Standing::Alone => LocalHealth::Alone,
            schema::Standing::Connected => LocalHealth::Connected,
            schema::Standing::Doubtful => LocalHealth::Degraded,
            schema::Standing::CutOff => LocalHealth::Isolated,
            schema::Standing::Replaced => LocalHealth::Replaced,
            schema::Standing::Unknown => {
                self.checks.wrong(
                    path,
                    "has no as: ALONE, CONNECTED, DOUBTFUL, CUT_OFF or REPLACED",
                );
                LocalHealth::Alone
            }
        };
        let claim = Claim::LocalHealth {
            fronts: self.fronts(&format!("{path}.at"), &raw.at),
            health,
            bound: self.bound(path, raw.bound.as_ref()),
        };
        self.claim(path, &raw.claim, claim)
    }

    fn restarted(&mut self, path: &str, raw: &schema::News) -> Step {
        let claim = Claim::Restarted {
            viewers: self.fronts(&format!("{path}.at"), &raw.at),
            restarted: self.fronts(&format!("{path}.of"), &raw.of),
            bound: self.bound(path, raw.bound.as_ref()),
        };
        self.claim(path, &raw.claim, claim)
    }

    fn recovered(&mut self, path: &str, raw: &schema::Back) -> Step {
        let claim = Claim::Recovered {
            paid: raw.paid,
            part: self
                .checks
                .within(&format!("{path}.part"), raw.part, 0.01, 1.0),
            bound: self.bound(path, raw.bound.as_ref()),
        };
        self.claim(path, &raw.claim, claim)
    }

    fn entry_known(&mut self, path: &str, raw: &schema::Holds) -> Step {
        let claim = Claim::EntryKnown {
            part: self.part(&format!("{path}.part"), raw.part),
            bound: self.bound(path, raw.bound.as_ref()),
            max_age_error: self.time(&format!("{path}.age_within"), &raw.age_within),
        };
        self.claim(path, &raw.claim, claim)
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
