//! Rule 2: no paid set-up runs twice, and no request has two attempts in flight.
use super::evidence::Evidence;
use super::verdict::Verdict;
use super::AT_MOST_ONCE;
use crate::record::{PlayerReply, Record, Reply, Seen};
use crankpaddle_time::Time;
use std::collections::HashMap;

/// Two attempts that were in flight together, from the time the second was sent.
struct Overlap<'a> {
    first: &'a str,
    second: &'a str,
    since: Time,
}

/// What is known about the set-ups of one bill reference.
#[derive(Default)]
struct BillState<'a> {
    billed_count: usize,
    may_have_run: bool,
    in_flight: Option<&'a str>,
    overlap: Option<Overlap<'a>>,
}

/// What a player requested.
struct Request<'a> {
    bill: &'a str,
    class: u8,
}

struct Checker<'a, 'e> {
    evidence: &'e Evidence<'a>,
    verdict: &'e mut Verdict,
    bills: HashMap<&'a str, BillState<'a>>,
    requests: HashMap<u64, Request<'a>>,
}

/// Adds the count of bills that were billed twice and the breaches of this rule to `verdict`.
pub(super) fn check(evidence: &Evidence<'_>, verdict: &mut Verdict) {
    let mut checker = Checker {
        evidence,
        verdict,
        bills: HashMap::new(),
        requests: HashMap::new(),
    };
    for Record { at, seen } in evidence.records {
        checker.observe(*at, seen);
    }
    checker.report_open_overlaps();
}

impl<'a> Checker<'a, '_> {
    fn observe(&mut self, at: Time, seen: &'a Seen) {
        match seen {
            Seen::OpenSent {
                call, bill, class, ..
            } => {
                let request = Request {
                    bill,
                    class: *class,
                };
                self.requests.insert(*call, request);
            }
            Seen::SetUp {
                name, bill, class, ..
            } => self.on_set_up(at, name, bill, class),
            Seen::Billed { bill, .. } => self.on_billed(at, bill),
            Seen::Replied { name, reply } => self.on_replied(name, *reply, at),
            Seen::Disowned { name } => self.on_disowned(name),
            Seen::CallAnswered {
                call,
                reply: PlayerReply::Refused,
            } => self.on_rejected(at, *call),
            _ => {}
        }
    }

    fn breach(&mut self, at: Time, what: String) {
        self.verdict.add_breach(AT_MOST_ONCE, at, what);
    }

    fn on_set_up(&mut self, at: Time, name: &'a str, bill: &'a str, class: &str) {
        let mut classes = self.evidence.rules.classes.iter();
        let is_paid = classes.any(|rule| rule.paid && rule.name == class);
        let state = self.bills.entry(bill).or_default();
        let resent = is_paid && state.may_have_run;
        if let Some(first) = state.in_flight.replace(name) {
            state.overlap = Some(Overlap {
                first,
                second: name,
                since: at,
            });
        }
        if resent {
            let what = format!("bill {bill} was sent again though it may have run");
            self.breach(at, what);
        }
    }

    fn on_billed(&mut self, at: Time, bill: &'a str) {
        let state = self.bills.entry(bill).or_default();
        state.billed_count += 1;
        if state.billed_count == 2 {
            self.verdict.billed_twice += 1;
            self.breach(at, format!("bill {bill} was billed twice"));
        }
    }

    fn on_replied(&mut self, name: &str, reply: Reply, at: Time) {
        let Some(session) = self.evidence.session(name) else {
            return;
        };
        let state = self.bills.entry(session.bill).or_default();
        state.may_have_run |= reply != Reply::Full;
        state.in_flight = state.in_flight.filter(|attempt| *attempt != name);
        let ended_overlap = state.overlap.take_if(|overlap| overlap.first == name);
        let Some(Overlap {
            first,
            second,
            since,
        }) = ended_overlap
        else {
            return;
        };
        // Why: a front may see the end of a connection before the stand-in records it, or may have closed it itself
        // and the stand-in reads that later; both stay within the tolerance.
        let disconnected = matches!(reply, Reply::Left | Reply::Reset);
        if !disconnected || at.duration_since(since) > self.evidence.rules.tolerance {
            let what = format!("attempts {first} and {second} were out together");
            self.breach(since, what);
        }
    }

    /// The server stated that the set-up, which has ended, did not run; only a bill proves otherwise.
    fn on_disowned(&mut self, name: &str) {
        let Some(session) = self.evidence.session(name) else {
            return;
        };
        let state = self.bills.entry(session.bill).or_default();
        state.may_have_run &= state.billed_count > 0;
    }

    fn on_rejected(&mut self, at: Time, call: u64) {
        let Some(Request { bill, class }) = self.requests.get(&call) else {
            return;
        };
        let class_rule = self.evidence.rules.classes.get(usize::from(*class));
        let is_paid = class_rule.is_some_and(|rule| rule.paid);
        let state = self.bills.get(bill);
        if is_paid && state.is_some_and(|s| s.may_have_run || s.in_flight.is_some()) {
            let what = format!("call {call} was refused though bill {bill} may have run");
            self.breach(at, what);
        }
    }

    /// Overlaps whose first attempt has no recorded end.
    fn report_open_overlaps(self) {
        for (bill, state) in self.bills {
            if let Some(Overlap {
                first,
                second,
                since,
            }) = state.overlap
            {
                let what = format!("bill {bill}: attempts {first} and {second} were out together");
                self.verdict.add_breach(AT_MOST_ONCE, since, what);
            }
        }
    }
}
