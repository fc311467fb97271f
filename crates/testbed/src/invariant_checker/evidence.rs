//! Indexes over the records that several rules use: sessions by name, and when fronts were stopped or killed.
use super::rules::Rules;
use super::verdict::Verdict;
use super::AT_MOST_ONCE;
use crate::record::{Record, Seen};
use crankpaddle_time::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A session as its set-up request described it.
pub(super) struct RecordedSession<'a> {
    pub(super) server: u32,
    pub(super) front: &'a str,
    pub(super) bill: &'a str,
    pub(super) class: &'a str,
    pub(super) title: &'a str,
}

/// A period in which a front's process was stopped, both ends included.
#[derive(Clone, Copy)]
pub(super) struct Stall {
    pub(super) from: Time,
    pub(super) until: Time,
}

/// The records with indexes over them.
///
/// Players know a front by its number, servers by its name. The two are matched through the billing reference that both
/// record.
pub(super) struct Evidence<'a> {
    pub(super) rules: &'a Rules,
    pub(super) records: &'a [Record],
    sessions: HashMap<&'a str, RecordedSession<'a>>,
    stalls_by_name: BTreeMap<&'a str, Vec<Stall>>,
    stalls_by_number: BTreeMap<u32, Vec<Stall>>,
    deaths_by_number: BTreeMap<u32, Vec<Time>>,
    /// Number of the front that received a request, by the billing reference of the request.
    number_by_bill: HashMap<&'a str, u32>,
    /// Names that servers recorded for a front, by its number.
    names_by_number: BTreeMap<u32, BTreeSet<&'a str>>,
}

impl<'a> Evidence<'a> {
    /// Indexes the records. Adds a breach to `verdict` for each session name that was used by two set-ups.
    pub(super) fn collect(
        rules: &'a Rules,
        records: &'a [Record],
        verdict: &mut Verdict,
    ) -> Evidence<'a> {
        let mut evidence = Evidence {
            rules,
            records,
            sessions: HashMap::new(),
            stalls_by_name: BTreeMap::new(),
            stalls_by_number: BTreeMap::new(),
            deaths_by_number: BTreeMap::new(),
            number_by_bill: HashMap::new(),
            names_by_number: BTreeMap::new(),
        };
        for Record { at, seen } in records {
            evidence.index(*at, seen, verdict);
        }
        evidence.index_stalls_by_name();
        evidence
    }

    fn index(&mut self, at: Time, seen: &'a Seen, verdict: &mut Verdict) {
        match seen {
            Seen::OpenSent { front, bill, .. } => {
                self.number_by_bill.insert(bill, *front);
            }
            Seen::SetUp {
                name,
                server,
                front,
                bill,
                class,
                title,
                ..
            } => {
                let session = RecordedSession {
                    server: *server,
                    front,
                    bill,
                    class,
                    title,
                };
                if self.sessions.insert(name, session).is_some() {
                    verdict.add_breach(AT_MOST_ONCE, at, format!("session {name} was sent twice"));
                }
                if let Some(number) = self.number_by_bill.get(bill.as_str()) {
                    self.names_by_number
                        .entry(*number)
                        .or_default()
                        .insert(front);
                }
            }
            Seen::Died { front } => self.deaths_by_number.entry(*front).or_default().push(at),
            Seen::Stalled { front, stopped } => self.index_stall(at, *front, *stopped),
            _ => {}
        }
    }

    fn index_stall(&mut self, at: Time, front: u32, stopped: bool) {
        let stalls = self.stalls_by_number.entry(front).or_default();
        if stopped {
            stalls.push(Stall {
                from: at,
                until: Time::MAX,
            });
        } else if let Some(last) = stalls.last_mut() {
            // A resumed front first has to read what arrived while it was stopped.
            last.until = at + self.rules.tolerance;
        }
    }

    /// Indexes the stalls by the names under which servers know the stopped fronts.
    fn index_stalls_by_name(&mut self) {
        for (number, stalls) in &self.stalls_by_number {
            for name in self.names_by_number.get(number).into_iter().flatten() {
                self.stalls_by_name.entry(name).or_default().extend(stalls);
            }
        }
    }

    /// The session of a set-up, by its name at the server.
    pub(super) fn session(&self, name: &str) -> Option<&RecordedSession<'a>> {
        self.sessions.get(name)
    }

    /// The stalls of the front that servers know by this name.
    pub(super) fn stalls_of_name(&self, front: &str) -> &[Stall] {
        self.stalls_by_name.get(front).map_or(&[], Vec::as_slice)
    }

    /// Whether the front was stopped at some time of `from..=until`.
    pub(super) fn was_stalled(&self, front: u32, from: Time, until: Time) -> bool {
        self.stalls_by_number.get(&front).is_some_and(|stalls| {
            stalls
                .iter()
                .any(|stall| stall.from <= until && stall.until >= from)
        })
    }

    /// Whether the front's process was killed at some time of `from..=until`.
    pub(super) fn died(&self, front: u32, from: Time, until: Time) -> bool {
        let period = from..=until;
        self.deaths_by_number
            .get(&front)
            .is_some_and(|deaths| deaths.iter().any(|at| period.contains(at)))
    }
}
