//! Rule 2: no paid set-up runs twice, and no request has two attempts in flight.
use super::evidence::Evidence;
use super::verdict::Verdict;
use super::AT_MOST_ONCE;
use crate::record::{PlayerReply, Record, Reply, Seen};
use crankpaddle_time::Time;
use std::collections::HashMap;

/// Two attempts for one bill that were in flight at the same time.
struct Overlap<'a> {
    first: &'a str,
    second: &'a str,
    /// When the second attempt was sent.
    since: Time,
}

/// The set-ups that were sent under one billing reference.
#[derive(Default)]
struct BillState<'a> {
    billed_count: usize,
    /// Whether a set-up ended in a way that does not rule out that it ran.
    may_have_run: bool,
    /// Session name of the latest attempt, until it ends.
    in_flight: Option<&'a str>,
    /// Set until the first of the two attempts ends.
    overlap: Option<Overlap<'a>>,
}

/// A player's open request: its billing reference and the number of its class.
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

    fn breach(&mut self, at: Time, description: String) {
        self.verdict.add_breach(AT_MOST_ONCE, at, description);
    }

    fn on_set_up(&mut self, at: Time, name: &'a str, bill: &'a str, class: &str) {
        let mut classes = self.evidence.rules.classes.iter();
        let is_paid = classes.any(|limits| limits.paid && limits.name == class);
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
            let description = format!("bill {bill} was sent again though it may have run");
            self.breach(at, description);
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
        // A front can know of the end of a connection before the simulated server records it, also when the front closed
        // the connection itself. The server's record follows within the tolerance.
        let disconnected = matches!(reply, Reply::Left | Reply::Reset);
        if !disconnected || at.duration_since(since) > self.evidence.rules.tolerance {
            let description = format!("attempts {first} and {second} were out together");
            self.breach(since, description);
        }
    }

    /// The server stated that an ended set-up never ran. This is believed unless the set-up was billed.
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
        let class_limits = self.evidence.rules.classes.get(usize::from(*class));
        let is_paid = class_limits.is_some_and(|limits| limits.paid);
        let state = self.bills.get(bill);
        if is_paid && state.is_some_and(|state| state.may_have_run || state.in_flight.is_some()) {
            let description = format!("call {call} was refused though bill {bill} may have run");
            self.breach(at, description);
        }
    }

    /// Reports the overlaps whose first attempt has no recorded end.
    fn report_open_overlaps(self) {
        for (bill, state) in self.bills {
            if let Some(Overlap {
                first,
                second,
                since,
            }) = state.overlap
            {
                let description =
                    format!("bill {bill}: attempts {first} and {second} were out together");
                self.verdict.add_breach(AT_MOST_ONCE, since, description);
            }
        }
    }
}
