//! Cases as files: protobuf text format, checked with line, column and what is allowed.
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_textproto::{Checks, Problem};
use std::collections::HashMap;

#[allow(missing_docs, unreachable_pub)] // Generated; the schema has comments of its own.
mod schema {
    include!(concat!(env!("OUT_DIR"), "/crankpaddle.fleet.v1.rs"));
}

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/case.binpb"));

/// The built-in cases by name.
pub const CASES: [(&str, &str); 23] = [
    ("calm", include_str!("../cases/calm.textproto")),
    ("deaths", include_str!("../cases/deaths.textproto")),
    ("loss", include_str!("../cases/loss.textproto")),
    ("rough", include_str!("../cases/rough.textproto")),
    ("stopped", include_str!("../cases/stopped.textproto")),
    ("partition", include_str!("../cases/partition.textproto")),
    ("apart", include_str!("../cases/apart.textproto")),
    ("deaf", include_str!("../cases/deaf.textproto")),
    ("oneway", include_str!("../cases/oneway.textproto")),
    ("restart", include_str!("../cases/restart.textproto")),
    ("seeds", include_str!("../cases/seeds.textproto")),
    ("growth", include_str!("../cases/growth.textproto")),
    ("flood", include_str!("../cases/flood.textproto")),
    ("narrow", include_str!("../cases/narrow.textproto")),
    ("board", include_str!("../cases/board.textproto")),
    ("mixed", include_str!("../cases/mixed.textproto")),
    ("replace", include_str!("../cases/replace.textproto")),
    ("power", include_str!("../cases/power.textproto")),
    ("power-calm", include_str!("../cases/power-calm.textproto")),
    (
        "power-fronts",
        include_str!("../cases/power-fronts.textproto"),
    ),
    ("power-hall", include_str!("../cases/power-hall.textproto")),
    ("power-few", include_str!("../cases/power-few.textproto")),
    (
        "power-disks",
        include_str!("../cases/power-disks.textproto"),
    ),
];

/// Fronts of a fleet of any size.
#[derive(Clone, Debug, PartialEq)]
pub struct Fronts {
    others: bool, // All but those that are listed.
    listed: Vec<Part>,
}

#[derive(Clone, Debug, PartialEq)]
enum Part {
    All,
    Range(usize, usize), // With both.
    Every(usize, usize), // Every so many, from this one.
    Of(f64, f64),        // A part of the fleet, without its end.
    Group(Box<Fronts>),
}

impl Fronts {
    /// All of them.
    pub fn all() -> Fronts {
        Fronts {
            others: false,
            listed: vec![Part::All],
        }
    }

    /// Whether the front of this number is one of them, in a fleet of so many.
    pub fn has(&self, front: usize, fleet: usize) -> bool {
        let within = |part: &Part| match part {
            Part::All => true,
            Part::Range(a, b) => (*a..=*b).contains(&front),
            Part::Every(from, by) => front >= *from && (front - from).is_multiple_of(*by),
            Part::Of(a, b) => {
                (front as f64) >= a * fleet as f64 && (front as f64) < b * fleet as f64
            }
            Part::Group(fronts) => fronts.has(front, fleet),
        };
        self.listed.iter().any(within) != self.others
    }

    /// Their numbers in a fleet of so many.
    pub fn of(&self, fleet: usize) -> Vec<usize> {
        (0..fleet).filter(|i| self.has(*i, fleet)).collect()
    }

    fn parse(text: &str, groups: &HashMap<String, Fronts>) -> Result<Fronts, String> {
        let (others, list) = text
            .strip_prefix('!')
            .map_or((false, text), |rest| (true, rest));
        let part = |item: &str| -> Option<Part> {
            let number = |text: &str| text.parse::<usize>().ok();
            let percent = |text: &str| {
                let n: f64 = text.strip_suffix('%')?.parse().ok()?;
                (0.0..=100.0).contains(&n).then_some(n / 100.0)
            };
            if item == "all" {
                Some(Part::All)
            } else if let Some(group) = groups.get(item) {
                Some(Part::Group(Box::new(group.clone())))
            } else if let Some((from, by)) = item.split_once('/') {
                Some(Part::Every(number(from)?, number(by).filter(|by| *by > 0)?))
            } else if let Some((a, b)) = item.split_once('-') {
                match (percent(a), percent(b)) {
                    (Some(a), Some(b)) => Some(Part::Of(a, b)),
                    _ => Some(Part::Range(number(a)?, number(b)?)),
                }
            } else {
                number(item).map(|n| Part::Range(n, n))
            }
        };
        let listed = list
            .split(',')
            .map(str::trim)
            .filter(|item| *item != "none");
        let listed: Result<Vec<Part>, String> = listed
            .map(|item| {
                part(item).ok_or_else(|| {
                    let names: Vec<&str> = groups.keys().map(String::as_str).collect();
                    let groups =
                        if names.is_empty() { String::new() } else { format!(", {}", names.join(", ")) };
                    format!("{item:?} names no fronts; allowed: all, none, 3, 3-7, 0/10, 0%-50%{groups}")
                })
            })
            .collect();
        Ok(Fronts {
            others,
            listed: listed?,
        })
    }
}

/// What is done to a fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// They start, from nothing.
    Start(Fronts),
    /// They end without a word.
    Kill(Fronts),
    /// They end in order.
    End(Fronts),
    /// They stand still.
    Stop(Fronts),
    /// They go on.
    GoOn(Fronts),
    /// They are killed and started anew after a time, nanoseconds.
    Restart(Fronts, u64),
    /// The net is like this from now on.
    Net {
        /// Part that is lost.
        loss: f64,
        /// Part that is doubled.
        doubled: f64,
        /// Least and most time on the way; `None`: the usual one.
        delay: Option<(u64, u64)>,
        /// Bytes a second from one to another.
        bandwidth: f64,
    },
    /// Nothing passes from these to those.
    Cut {
        /// These.
        from: Fronts,
        /// Those.
        to: Fronts,
        /// Not even the other way.
        both: bool,
    },
    /// All cuts are undone.
    Heal,
    /// Their datagrams arrive so many times.
    Flood(Fronts, u32),
    /// A front writes on its board.
    Write(usize),
    /// What only processes have: power, disks, servers with books.
    Power(Power),
    /// From their next start on they run the other build (`true`), or the first.
    Runs(Fronts, bool),
}

/// What is done to hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Power {
    /// These fronts, these servers and (`true`) the list service stop in one instant.
    Off(Fronts, Fronts, bool),
    /// They are back.
    On(Fronts, Fronts, bool),
    /// Disks are copied as they are.
    Copy(Fronts),
    /// Disks are found like this.
    Disk(Fronts, Spoil),
    /// Servers lose their books.
    LoseBooks(Fronts),
}

/// How a disk is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// As it was.
    Intact,
    /// Empty.
    Empty,
    /// As it was copied.
    Old,
    /// Torn.
    Torn,
}

/// How long something may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    within: u64,
    more: u64,
}

impl Bound {
    /// In a fleet of so many, nanoseconds.
    pub fn of(&self, fleet: usize) -> u64 {
        self.within + (self.more as f64 * (fleet as f64).log10().max(1.0)) as u64
    }
}

/// What is claimed.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// Each of the first takes each of the second for this.
    See(Fronts, Fronts, MemberState, Bound),
    /// Accusations by the first of any but the second since the mark: so many, and so many a front.
    Accused(Fronts, Fronts, u32, f64),
    /// Each stands so with the others.
    Stands(Fronts, LocalHealth, Bound),
    /// Each of the first hears of another life of each of the second.
    News(Fronts, Fronts, Bound),
    /// This part of the others holds what was written; its age is right within a time.
    Holds(f64, Bound, u64),
    /// Of those who lost a paid session (`true`), or any, when the power went, this part has one again or left, since the mark.
    Back(bool, f64, Bound),
}

/// A step of a case.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Something is done.
    Act(Act),
    /// Time passes.
    Run(u64),
    /// Accusations and news count from here on.
    Mark,
    /// Something is claimed.
    Claim(String, Claim),
}

/// A checked case.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Its name.
    pub name: String,
    /// What happens.
    pub what: String,
    /// Fronts that run at first.
    pub first: Fronts,
    /// Fronts that all look for at first.
    pub seeds: Fronts,
    /// What is done and claimed, in order.
    pub steps: Vec<Step>,
    /// The day whose traffic and servers it is played with.
    pub day: String,
    /// Whether fronts have disks, and players come back with their keys.
    pub disks: bool,
}

impl Case {
    /// Whether it writes on the board, which only runs in virtual time do yet.
    pub fn needs_board(&self) -> bool {
        self.steps
            .iter()
            .any(|step| matches!(step, Step::Act(Act::Write(_))))
    }

    /// Whether it needs processes with disks.
    pub fn needs_disks(&self) -> bool {
        self.disks
            || self
                .steps
                .iter()
                .any(|step| matches!(step, Step::Act(Act::Power(_))))
    }
}

/// Checks a case.
///
/// # Errors
/// All that is wrong in it, in the order of the file.
pub fn parse(text: &str) -> Result<Case, Vec<Problem>> {
    let mut checks = Checks::new(text);
    let raw = checks.structure::<schema::Case>(DESCRIPTORS, "crankpaddle.fleet.v1.Case", "");
    let case = raw.map(|raw| {
        Reader {
            c: &mut checks,
            groups: HashMap::new(),
        }
        .case(&raw)
    });
    checks.verdict(case)
}

struct Reader<'c, 't> {
    c: &'c mut Checks<'t>,
    groups: HashMap<String, Fronts>,
}

impl Reader<'_, '_> {
    fn case(&mut self, raw: &schema::Case) -> Case {
        self.c.must(!raw.name.is_empty(), "name", "is missing");
        for (i, group) in raw.group.iter().enumerate() {
            let fronts = self.fronts(&format!("group[{i}].fronts"), &group.fronts);
            self.groups.insert(group.name.clone(), fronts);
        }
        let or = |text: &str, default: &str| {
            if text.is_empty() {
                default.to_owned()
            } else {
                text.to_owned()
            }
        };
        let (first, seeds) = (or(&raw.first, "all"), or(&raw.seeds, "0"));
        let steps = raw
            .step
            .iter()
            .enumerate()
            .map(|(i, step)| self.step(&format!("step[{i}]"), step))
            .collect();
        Case {
            name: raw.name.clone(),
            what: raw.what.clone(),
            first: self.fronts("first", &first),
            seeds: self.fronts("seeds", &seeds),
            steps,
            day: or(&raw.day, "calm"),
            disks: raw.disks,
        }
    }

    fn fronts(&mut self, path: &str, text: &str) -> Fronts {
        Fronts::parse(text, &self.groups).unwrap_or_else(|what| {
            self.c.wrong(path, what);
            Fronts::all()
        })
    }

    fn bound(&mut self, path: &str, raw: &Option<schema::Bound>) -> Bound {
        let Some(raw) = raw else {
            self.c.wrong(path, "has no bound");
            return Bound { within: 0, more: 0 };
        };
        let within = self.c.time(&format!("{path}.bound.within"), &raw.within);
        let more = if raw.more.is_empty() {
            0
        } else {
            self.c.time(&format!("{path}.bound.more"), &raw.more)
        };
        Bound { within, more }
    }

    fn net(&mut self, path: &str, raw: &schema::Net) -> Act {
        let part = |c: &mut Checks<'_>, field: &str, value: f64| {
            c.within(&format!("{path}.{field}"), value, 0.0, 1.0)
        };
        let (loss, doubled) = (
            part(self.c, "loss", raw.loss),
            part(self.c, "doubled", raw.doubled),
        );
        let delay = (!raw.most.is_empty()).then(|| {
            let least = if raw.least.is_empty() {
                0
            } else {
                self.c.time(&format!("{path}.least"), &raw.least)
            };
            let most = self.c.time(&format!("{path}.most"), &raw.most);
            self.c.must(
                least <= most,
                &format!("{path}.least"),
                "is more than the most",
            );
            (least, most.max(least))
        });
        let bandwidth = match raw.bandwidth.as_str() {
            "" => f64::INFINITY,
            // Danger: rates are read in kB a second, and this is in bytes.
            text => self.c.rate(&format!("{path}.bandwidth"), text) * 1000.0,
        };
        Act::Net {
            loss,
            doubled,
            delay,
            bandwidth,
        }
    }

    fn step(&mut self, at: &str, raw: &schema::Step) -> Step {
        use schema::step::Kind as Raw;
        let path = |field: &str| format!("{at}.{field}");
        match &raw.kind {
            None => {
                self.c
                    .wrong(at, "says nothing; see the schema for its kinds");
                Step::Mark
            }
            Some(Raw::Start(f)) => Step::Act(Act::Start(self.fronts(&path("start"), f))),
            Some(Raw::Kill(f)) => Step::Act(Act::Kill(self.fronts(&path("kill"), f))),
            Some(Raw::End(f)) => Step::Act(Act::End(self.fronts(&path("end"), f))),
            Some(Raw::Stop(f)) => Step::Act(Act::Stop(self.fronts(&path("stop"), f))),
            Some(Raw::GoOn(f)) => Step::Act(Act::GoOn(self.fronts(&path("go_on"), f))),
            Some(Raw::Restart(r)) => {
                let fronts = self.fronts(&path("restart.fronts"), &r.fronts);
                Step::Act(Act::Restart(
                    fronts,
                    self.c.time(&path("restart.after"), &r.after),
                ))
            }
            Some(Raw::Net(net)) => Step::Act(self.net(&path("net"), net)),
            Some(Raw::Cut(cut)) => Step::Act(Act::Cut {
                from: self.fronts(&path("cut.from"), &cut.from),
                to: self.fronts(&path("cut.to"), &cut.to),
                both: !cut.one_way,
            }),
            Some(Raw::Heal(_)) => Step::Act(Act::Heal),
            Some(Raw::Flood(f)) => {
                let fronts = self.fronts(&path("flood.fronts"), &f.fronts);
                Step::Act(Act::Flood(
                    fronts,
                    self.c.count(&path("flood.times"), f.times, 1, 1000),
                ))
            }
            Some(Raw::Run(time)) => Step::Run(self.c.time(&path("run"), time)),
            Some(Raw::Mark(_)) => Step::Mark,
            Some(Raw::Write(front)) => Step::Act(Act::Write(*front as usize)),
            Some(Raw::See(see)) => {
                let (seeing, of) = (
                    self.fronts(&path("see.at"), &see.at),
                    self.fronts(&path("see.of"), &see.of),
                );
                let state = match see.state() {
                    schema::State::Alive => MemberState::Alive,
                    schema::State::Suspect => MemberState::Suspect,
                    schema::State::Gone => MemberState::Dead,
                    schema::State::Left => MemberState::Left,
                    schema::State::Unstated => {
                        self.c
                            .wrong(&path("see"), "has no state: ALIVE, SUSPECT, GONE or LEFT");
                        MemberState::Alive
                    }
                };
                let bound = self.bound(&path("see"), &see.bound);
                self.claim(
                    &path("see"),
                    &see.claim,
                    Claim::See(seeing, of, state, bound),
                )
            }
            Some(Raw::Accused(a)) => {
                let by = self.fronts(&path("accused.by"), &a.by);
                let but = if a.but.is_empty() { "none" } else { &a.but };
                let but = self.fronts(&path("accused.but"), but);
                let each = self
                    .c
                    .within(&path("accused.a_front"), a.a_front, 0.0, 1000.0);
                self.claim(
                    &path("accused"),
                    &a.claim,
                    Claim::Accused(by, but, a.most, each),
                )
            }
            Some(Raw::Stands(s)) => {
                let standing = match s.r#as() {
                    schema::Standing::Alone => LocalHealth::Alone,
                    schema::Standing::Connected => LocalHealth::Connected,
                    schema::Standing::Doubtful => LocalHealth::Degraded,
                    schema::Standing::CutOff => LocalHealth::Isolated,
                    schema::Standing::Replaced => LocalHealth::Replaced,
                    schema::Standing::Unknown => {
                        self.c.wrong(
                            &path("stands"),
                            "has no as: ALONE, CONNECTED, DOUBTFUL, CUT_OFF or REPLACED",
                        );
                        LocalHealth::Alone
                    }
                };
                let (who, bound) = (
                    self.fronts(&path("stands.at"), &s.at),
                    self.bound(&path("stands"), &s.bound),
                );
                self.claim(
                    &path("stands"),
                    &s.claim,
                    Claim::Stands(who, standing, bound),
                )
            }
            Some(Raw::News(n)) => {
                let (by, of) = (
                    self.fronts(&path("news.at"), &n.at),
                    self.fronts(&path("news.of"), &n.of),
                );
                let bound = self.bound(&path("news"), &n.bound);
                self.claim(&path("news"), &n.claim, Claim::News(by, of, bound))
            }
            Some(Raw::PowerOff(p)) => {
                let (fronts, servers) = self.power(&path("power_off"), p);
                Step::Act(Act::Power(Power::Off(fronts, servers, p.list)))
            }
            Some(Raw::PowerOn(p)) => {
                let (fronts, servers) = self.power(&path("power_on"), p);
                Step::Act(Act::Power(Power::On(fronts, servers, p.list)))
            }
            Some(Raw::Runs(r)) => Step::Act(Act::Runs(
                self.fronts(&path("runs.fronts"), &r.fronts),
                r.other,
            )),
            Some(Raw::CopyDisks(f)) => {
                Step::Act(Act::Power(Power::Copy(self.fronts(&path("copy_disks"), f))))
            }
            Some(Raw::LoseBooks(f)) => Step::Act(Act::Power(Power::LoseBooks(
                self.fronts(&path("lose_books"), f),
            ))),
            Some(Raw::Disk(d)) => {
                let spoil = match d.is() {
                    schema::Spoil::Intact => Spoil::Intact,
                    schema::Spoil::Empty => Spoil::Empty,
                    schema::Spoil::Old => Spoil::Old,
                    schema::Spoil::Torn => Spoil::Torn,
                };
                Step::Act(Act::Power(Power::Disk(
                    self.fronts(&path("disk.fronts"), &d.fronts),
                    spoil,
                )))
            }
            Some(Raw::Back(b)) => {
                let part = self.c.within(&path("back.part"), b.part, 0.01, 1.0);
                let bound = self.bound(&path("back"), &b.bound);
                self.claim(&path("back"), &b.claim, Claim::Back(b.paid, part, bound))
            }
            Some(Raw::Holds(h)) => {
                let part = self.c.within(&path("holds.part"), h.part, 0.0, 1.0);
                let bound = self.bound(&path("holds"), &h.bound);
                let age = self.c.time(&path("holds.age_within"), &h.age_within);
                self.claim(&path("holds"), &h.claim, Claim::Holds(part, bound, age))
            }
        }
    }

    fn power(&mut self, path: &str, raw: &schema::Power) -> (Fronts, Fronts) {
        let or_none = |text: &str| {
            if text.is_empty() {
                "none".to_owned()
            } else {
                text.to_owned()
            }
        };
        let fronts = self.fronts(&format!("{path}.fronts"), &or_none(&raw.fronts));
        (
            fronts,
            self.fronts(&format!("{path}.servers"), &or_none(&raw.servers)),
        )
    }

    fn claim(&mut self, path: &str, name: &str, claim: Claim) -> Step {
        self.c
            .must(!name.is_empty(), path, "has no claim to be named by");
        Step::Claim(name.to_owned(), claim)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fronts_are_named_by_number_range_step_part_group_and_what_is_left() {
        let dead = Fronts::parse("0/4,9", &HashMap::new()).unwrap();
        let groups: HashMap<String, Fronts> = [("dead".to_owned(), dead)].into();
        for (text, of) in [
            ("all", vec![0, 1, 2, 3, 4, 5, 6, 7, 8, 9]),
            ("none", vec![]),
            ("3", vec![3]),
            ("7-12", vec![7, 8, 9]),
            ("1/3", vec![1, 4, 7]),
            ("0%-25%", vec![0, 1, 2]),
            ("25%-50%", vec![3, 4]),
            ("dead", vec![0, 4, 8, 9]),
            ("!dead,1", vec![2, 3, 5, 6, 7]),
        ] {
            assert_eq!(Fronts::parse(text, &groups).unwrap().of(10), of, "{text}");
        }
        for bad in ["", "x", "3/0", "5%-200%", "-", "!!3"] {
            assert!(
                Fronts::parse(bad, &groups)
                    .unwrap_err()
                    .contains("allowed: all"),
                "{bad}"
            );
        }
    }

    #[test]
    fn the_built_in_cases_are_well_formed() {
        for (name, text) in CASES {
            let case = parse(text).unwrap_or_else(|p| panic!("{name}: {p:?}"));
            assert_eq!(case.name, name);
            assert!(
                case.steps.iter().any(|s| matches!(s, Step::Claim(..))),
                "{name} claims nothing"
            );
        }
    }

    #[test]
    fn a_bandwidth_is_in_bytes_a_second_whatever_its_unit() {
        for (text, is) in [("500B/s", 500.0), ("4kB/s", 4000.0)] {
            let case = parse(&format!(
                "name: \"x\" step {{ net {{ bandwidth: {text:?} }} }}"
            ))
            .unwrap();
            let Step::Act(Act::Net { bandwidth, .. }) = case.steps[0] else {
                panic!("{:?}", case.steps)
            };
            assert!((bandwidth - is).abs() < 1e-6, "{text}: {bandwidth}");
        }
    }

    #[test]
    fn what_is_wrong_is_said_with_its_place() {
        let (_, good) = CASES[1];
        for (from, to, said) in [
            ("kill: \"dead\"", "kill: \"deaf\"", "names no fronts"),
            ("state: GONE", "", "has no state"),
            (
                "within: \"8s\"",
                "within: \"8 parsecs\"",
                "step[3].see.bound.within",
            ),
            ("kill: \"dead\"", "kil: \"dead\"", "kil"),
            ("claim: \"each death is known to all\"", "", "has no claim"),
        ] {
            assert!(good.contains(from), "{from}");
            let problems = parse(&good.replacen(from, to, 1)).unwrap_err();
            assert!(
                problems.iter().any(|p| p.what.contains(said) && p.line > 1),
                "{from}: {problems:?}"
            );
        }
    }
}
