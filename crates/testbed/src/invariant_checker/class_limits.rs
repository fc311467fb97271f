//! Rule 5: sessions stay at or above their class's lowest rung and within its limit for a title.
use super::evidence::{Evidence, RecordedSession};
use super::rules::ClassRule;
use super::verdict::Verdict;
use crate::record::{Record, Reply, Seen};
use crankpaddle_time::Time;
use std::collections::{BTreeSet, HashMap};

const RULE: u8 = 5;

/// The sessions of one class and title at one front. They share the class's limit of sessions for a title.
#[derive(PartialEq, Eq, Hash)]
struct SeatPool<'a> {
    front: &'a str,
    class: &'a str,
    title: &'a str,
}

impl<'a> SeatPool<'a> {
    fn of(session: &RecordedSession<'a>) -> SeatPool<'a> {
        SeatPool {
            front: session.front,
            class: session.class,
            title: session.title,
        }
    }
}

struct Checker<'a, 'e> {
    evidence: &'e Evidence<'a>,
    verdict: &'e mut Verdict,
    /// Names of the sessions that are set up or play.
    active: HashMap<SeatPool<'a>, BTreeSet<&'a str>>,
}

/// Adds the breaches of this rule to `verdict`.
pub(super) fn check(evidence: &Evidence<'_>, verdict: &mut Verdict) {
    let mut checker = Checker {
        evidence,
        verdict,
        active: HashMap::new(),
    };
    for Record { at, seen } in evidence.records {
        checker.observe(*at, seen);
    }
}

impl<'a> Checker<'a, '_> {
    fn observe(&mut self, at: Time, seen: &'a Seen) {
        match seen {
            Seen::SetUp { name, rung, .. } => {
                if let Some(rule) = self.check_rung(at, name, *rung) {
                    self.check_seats(at, name, rule);
                }
            }
            Seen::Rung { name, rung } => {
                self.check_rung(at, name, *rung);
            }
            Seen::Ended { name, .. } => self.release_seat(name),
            Seen::Replied { name, reply } if *reply != Reply::Plays => self.release_seat(name),
            _ => {}
        }
    }

    fn breach(&mut self, at: Time, description: String) {
        self.verdict.add_breach(RULE, at, description);
    }

    /// Checks that a session's rung is not below its class's lowest. Returns the limits of the class; `None` where the session
    /// or its class is unknown.
    fn check_rung(&mut self, at: Time, name: &str, rung: u8) -> Option<&'a ClassRule> {
        let class = self.evidence.session(name)?.class;
        let mut classes = self.evidence.rules.classes.iter();
        let Some(rule) = classes.find(|rule| rule.name == class) else {
            self.breach(at, format!("session {name} is of unknown class {class:?}"));
            return None;
        };
        let floor = rule.floor;
        if rung < floor {
            let description = format!("session {name} at rung {rung}, under the floor {floor}");
            self.breach(at, description);
        }
        Some(rule)
    }

    /// Adds a new session and checks that its class's limit of sessions for a title is kept.
    fn check_seats(&mut self, at: Time, name: &'a str, rule: &ClassRule) {
        let Some(session) = self.evidence.session(name) else {
            return;
        };
        if rule.seats == 0 {
            return;
        }
        let seats = self.active.entry(SeatPool::of(session)).or_default();
        seats.insert(name);
        let count = seats.len();
        if count > rule.seats as usize {
            let description = format!(
                "{count} sessions of {:?}, {} seats",
                session.title, rule.seats
            );
            self.breach(at, description);
        }
    }

    fn release_seat(&mut self, name: &str) {
        let Some(session) = self.evidence.session(name) else {
            return;
        };
        if let Some(seats) = self.active.get_mut(&SeatPool::of(session)) {
            seats.remove(name);
        }
    }
}
