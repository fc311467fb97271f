//! Rule 5: sessions stay at or above their class's lowest rung and within its limit for a title.
use super::evidence::{Evidence, Session};
use super::rules::ClassRule;
use super::verdict::Verdict;
use crate::record::{Record, Reply, Seen};
use crankpaddle_time::Time;
use std::collections::{BTreeSet, HashMap};

const RULE: u8 = 5;

/// What the limit of sessions applies to.
#[derive(PartialEq, Eq, Hash)]
struct SeatPool<'a> {
    front: &'a str,
    class: &'a str,
    title: &'a str,
}

impl<'a> SeatPool<'a> {
    fn of(session: &Session<'a>) -> SeatPool<'a> {
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
    /// Names of the active sessions.
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

    fn breach(&mut self, at: Time, what: String) {
        self.verdict.add_breach(RULE, at, what);
    }

    /// Checks a session's rung; the limits of its class where session and class are known.
    fn check_rung(&mut self, at: Time, name: &str, rung: u8) -> Option<&'a ClassRule> {
        let class = self.evidence.session(name)?.class;
        let mut classes = self.evidence.rules.classes.iter();
        let Some(rule) = classes.find(|rule| rule.name == class) else {
            self.breach(at, format!("session {name} is of unknown class {class:?}"));
            return None;
        };
        let floor = rule.floor;
        if rung < floor {
            let what = format!("session {name} at rung {rung}, under the floor {floor}");
            self.breach(at, what);
        }
        Some(rule)
    }

    /// Counts a new session against the limit of its class for a title.
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
            let what = format!(
                "{count} sessions of {:?}, {} seats",
                session.title, rule.seats
            );
            self.breach(at, what);
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
