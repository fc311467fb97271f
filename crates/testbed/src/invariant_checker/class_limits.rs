//! Rule 5: sessions stay at or above their class's lowest rung and within its limit for a title.
use super::evidence::{Evidence, RecordedSession};
use super::rules::ClassLimits;
use super::verdict::Verdict;
use crate::record::{Record, Reply, Seen};
use crankpaddle_time::Time;
use std::collections::{BTreeSet, HashMap};

const RULE: u8 = 5;

/// The sessions of one class and title at one front. They share the class's limit of sessions for a title.
#[derive(PartialEq, Eq, Hash)]
struct TitleSessions<'a> {
    front: &'a str,
    class: &'a str,
    title: &'a str,
}

impl<'a> TitleSessions<'a> {
    fn of(session: &RecordedSession<'a>) -> TitleSessions<'a> {
        TitleSessions {
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
    active: HashMap<TitleSessions<'a>, BTreeSet<&'a str>>,
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
                if let Some(limits) = self.check_rung(at, name, *rung) {
                    self.check_session_count(at, name, limits);
                }
            }
            Seen::Rung { name, rung } => {
                self.check_rung(at, name, *rung);
            }
            Seen::Ended { name, .. } => self.remove_session(name),
            Seen::Replied { name, reply } if *reply != Reply::Plays => self.remove_session(name),
            _ => {}
        }
    }

    fn breach(&mut self, at: Time, description: String) {
        self.verdict.add_breach(RULE, at, description);
    }

    /// Checks that a session's rung is not below its class's lowest. Returns the limits of the class; `None` where the session
    /// or its class is unknown.
    fn check_rung(&mut self, at: Time, name: &str, rung: u8) -> Option<&'a ClassLimits> {
        let class = self.evidence.session(name)?.class;
        let mut classes = self.evidence.rules.classes.iter();
        let Some(limits) = classes.find(|limits| limits.name == class) else {
            self.breach(at, format!("session {name} is of unknown class {class:?}"));
            return None;
        };
        let lowest_rung = limits.lowest_rung;
        if rung < lowest_rung {
            let description =
                format!("session {name} at rung {rung}, under the floor {lowest_rung}");
            self.breach(at, description);
        }
        Some(limits)
    }

    /// Adds a new session and checks that its class's limit of sessions for a title is kept.
    fn check_session_count(&mut self, at: Time, name: &'a str, limits: &ClassLimits) {
        let Some(session) = self.evidence.session(name) else {
            return;
        };
        if limits.max_sessions_per_title == 0 {
            return;
        }
        let names = self.active.entry(TitleSessions::of(session)).or_default();
        names.insert(name);
        let count = names.len();
        if count > limits.max_sessions_per_title as usize {
            let description = format!(
                "{count} sessions of {:?}, {} seats",
                session.title, limits.max_sessions_per_title
            );
            self.breach(at, description);
        }
    }

    fn remove_session(&mut self, name: &str) {
        let Some(session) = self.evidence.session(name) else {
            return;
        };
        if let Some(names) = self.active.get_mut(&TitleSessions::of(session)) {
            names.remove(name);
        }
    }
}
