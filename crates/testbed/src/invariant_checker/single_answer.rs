//! Rule 1: every request gets exactly one answer before its player gives up.
use super::evidence::Evidence;
use super::verdict::Verdict;
use crate::record::{PlayerReply, Record, Seen};
use crankpaddle_time::Time;
use std::collections::BTreeMap;

const RULE: u8 = 1;

struct CallAnswer {
    at: Time,
    reply: PlayerReply,
}

/// An open request with everything that its player received for it.
struct Call {
    sent_at: Time,
    front: u32,
    /// The player gives up at this time.
    deadline: Time,
    answers: Vec<CallAnswer>,
    /// Whether the player's connection closed before an answer.
    disconnected: bool,
}

/// Adds the counts of calls and the breaches of this rule to `verdict`.
pub(super) fn check(evidence: &Evidence<'_>, verdict: &mut Verdict) {
    let calls = collect_calls(evidence, verdict);
    verdict.sessions = calls.len();
    for (id, call) in &calls {
        if let Some((at, description)) = breach_of(evidence, *id, call) {
            verdict.add_breach(RULE, at, description);
        } else {
            count_outcome(call, verdict);
        }
    }
}

/// The calls by their id. Adds a breach to `verdict` for each answer to a call that was never made.
fn collect_calls(evidence: &Evidence<'_>, verdict: &mut Verdict) -> BTreeMap<u64, Call> {
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    for Record { at, seen } in evidence.records {
        match seen {
            Seen::OpenSent {
                call,
                front,
                deadline,
                ..
            } => {
                let opened = Call {
                    sent_at: *at,
                    front: *front,
                    deadline: *deadline,
                    answers: vec![],
                    disconnected: false,
                };
                calls.insert(*call, opened);
            }
            Seen::CallAnswered { call, reply } => {
                let answer = CallAnswer {
                    at: *at,
                    reply: *reply,
                };
                if let Some(open) = calls.get_mut(call) {
                    open.answers.push(answer);
                } else {
                    let description = format!("an answer to call {call}, which was never made");
                    verdict.add_breach(RULE, *at, description);
                }
            }
            Seen::Disconnected { call } => {
                if let Some(open) = calls.get_mut(call) {
                    open.disconnected = true;
                }
            }
            _ => {}
        }
    }
    calls
}

/// Time and description of the breach; `None` where the call was answered once and in time, or is excused.
fn breach_of(evidence: &Evidence<'_>, id: u64, call: &Call) -> Option<(Time, String)> {
    let tolerance = evidence.rules.tolerance;
    match &call.answers[..] {
        [] => {
            // A killed front owes no answers. Its death can be recorded shortly before a call that was sent to it, so the
            // tolerance applies here too.
            let earliest_death = call.sent_at - tolerance;
            let excused =
                call.disconnected || evidence.died(call.front, earliest_death, call.deadline);
            (!excused).then(|| (call.deadline, format!("call {id} was never answered")))
        }
        [answer] => {
            let excused = evidence.was_stalled(call.front, call.sent_at, call.deadline);
            if answer.at <= call.deadline + tolerance || excused {
                return None;
            }
            let delay_ms = answer.at.duration_since(call.deadline).as_millis();
            let description =
                format!("call {id} was answered {delay_ms} ms after its viewer gave up");
            Some((answer.at, description))
        }
        [_, second, ..] => {
            let count = call.answers.len();
            Some((second.at, format!("call {id} was answered {count} times")))
        }
    }
}

fn count_outcome(call: &Call, verdict: &mut Verdict) {
    verdict.answered_once += 1;
    match call.answers.first().map(|answer| answer.reply) {
        Some(PlayerReply::Plays) => verdict.played += 1,
        Some(PlayerReply::Refused) => verdict.refused += 1,
        Some(PlayerReply::Failed) => verdict.failed += 1,
        Some(PlayerReply::Superseded | PlayerReply::Error) | None => {}
    }
}
