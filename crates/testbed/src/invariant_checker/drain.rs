//! Rule 3: a draining or removed server gets no new session after the drain grace.
use super::evidence::Evidence;
use super::verdict::Verdict;
use crate::record::{Record, Seen};
use crankpaddle_time::Time;
use std::collections::HashMap;

const RULE: u8 = 3;

/// Adds the breaches of this rule to `verdict`.
pub(super) fn check(evidence: &Evidence<'_>, verdict: &mut Verdict) {
    // When a front was first notified that a server takes no new sessions, by front and server.
    let mut unready_since: HashMap<(&str, u32), Time> = HashMap::new();
    for Record { at, seen } in evidence.records {
        match seen {
            Seen::Listed {
                front,
                server,
                ready: true,
            } => {
                unready_since.remove(&(front.as_str(), *server));
            }
            Seen::Listed {
                front,
                server,
                ready: false,
            } => {
                unready_since.entry((front, *server)).or_insert(*at);
            }
            Seen::SetUp {
                front,
                server,
                name,
                ..
            } => {
                let Some(since) = unready_since.get(&(front.as_str(), *server)) else {
                    continue;
                };
                if *at > last_allowed(evidence, front, *since) + evidence.rules.tolerance {
                    let delay_ms = at.duration_since(*since).as_millis();
                    let description = format!(
                        "session {name} was sent to server {server} {delay_ms} ms after its drain"
                    );
                    verdict.add_breach(RULE, *at, description);
                }
            }
            _ => {}
        }
    }
}

/// The end of the drain grace. A front that was stopped during the grace may not have read the notification, so its grace
/// starts again when it resumes.
fn last_allowed(evidence: &Evidence<'_>, front: &str, since: Time) -> Time {
    let grace = evidence.rules.drain_grace;
    let end_of_grace = since + grace;
    let stalls = evidence.stalls_of_name(front).iter();
    stalls
        .filter(|stall| stall.from <= end_of_grace && stall.until >= since)
        .map(|stall| stall.until + grace)
        .fold(end_of_grace, Time::max)
}
