//! Rule 4: the fronts together must not overload a server in slow start. Set-ups count against them only if most of them came
//! from fronts that knew of the restart.
use super::evidence::Evidence;
use super::rules::Rules;
use super::verdict::Verdict;
use crate::record::{Record, Reply, Seen};
use crankpaddle_time::{nanoseconds, Time};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

const RULE: u8 = 4;

/// The latest start of a server's process.
struct ProcessStart {
    at: Time,
    /// Maximum number of streams.
    places: f64,
}

struct SentSetUp<'a> {
    at: Time,
    front: &'a str,
}

struct Checker<'a, 'e> {
    evidence: &'e Evidence<'a>,
    verdict: &'e mut Verdict,
    starts: HashMap<u32, ProcessStart>,
    /// Set-ups within the overload window, by server.
    recent_set_ups: HashMap<u32, Vec<SentSetUp<'a>>>,
    /// Pairs of a server and a front that knows of its restart: the list service sent the server's state to the front, or a
    /// connection from the front to it was reset.
    informed: BTreeSet<(u32, &'a str)>,
}

/// Adds the breaches of this rule to `verdict`.
pub(super) fn check(evidence: &Evidence<'_>, verdict: &mut Verdict) {
    let mut checker = Checker {
        evidence,
        verdict,
        starts: HashMap::new(),
        recent_set_ups: HashMap::new(),
        informed: BTreeSet::new(),
    };
    for Record { at, seen } in evidence.records {
        checker.observe(*at, seen);
    }
}

impl<'a> Checker<'a, '_> {
    fn observe(&mut self, at: Time, seen: &'a Seen) {
        match seen {
            Seen::Started { server, places } => {
                let places = *places;
                self.starts.insert(*server, ProcessStart { at, places });
                self.recent_set_ups.remove(server);
            }
            Seen::Listed { front, server, .. } => {
                self.informed.insert((*server, front));
            }
            Seen::Replied {
                name,
                reply: Reply::Reset,
            } => {
                if let Some(session) = self.evidence.session(name) {
                    self.informed.insert((session.server, session.front));
                }
            }
            Seen::SetUp { server, front, .. } => self.on_set_up(at, *server, front),
            Seen::Fell { server } => {
                let description = format!("cold server {server} fell over");
                self.verdict.add_breach(RULE, at, description);
            }
            _ => {}
        }
    }

    fn on_set_up(&mut self, at: Time, server: u32, front: &'a str) {
        let rules = self.evidence.rules;
        let Some(start) = self.starts.get(&server) else {
            return;
        };
        let age = at.duration_since(start.at);
        if age >= rules.slow_start_duration {
            return;
        }
        let sent = self.recent_set_ups.entry(server).or_default();
        sent.push(SentSetUp { at, front });
        sent.retain(|set_up| at.duration_since(set_up.at) < rules.overload_window);
        let count = sent.len();
        let allowed = allowed_set_ups(rules, start.places, age);
        let informed_count = sent
            .iter()
            .filter(|set_up| self.informed.contains(&(server, set_up.front)))
            .count();
        if count as f64 > allowed && 2 * informed_count > count {
            sent.clear();
            let description =
                format!("cold server {server} was sent {count} set-ups, {allowed:.1} allowed");
            self.verdict.add_breach(RULE, at, description);
        }
    }
}

/// Number of set-ups that a server accepts within the overload window, `age` after its start.
fn allowed_set_ups(rules: &Rules, places: f64, age: Duration) -> f64 {
    let slow_start = nanoseconds(rules.slow_start_duration) as f64;
    let elapsed_fraction = nanoseconds(age) as f64 / slow_start;
    let warm_up_progress =
        rules.slow_start_min_factor + (1.0 - rules.slow_start_min_factor) * elapsed_fraction;
    let rate = places / slow_start * warm_up_progress;
    rules.overload_multiple * rate * nanoseconds(rules.overload_window) as f64 + 1.0
}
