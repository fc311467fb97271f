//! Rule 6: the retries of a front stay within its budget, where one is set.
use super::evidence::Evidence;
use super::rules::RetryBudget;
use super::verdict::Verdict;
use crate::record::{Record, Seen};
use crankpaddle_time::Time;
use std::collections::{BTreeMap, HashMap};

const RULE: u8 = 6;

struct Checker<'a, 'e> {
    budget: RetryBudget,
    verdict: &'e mut Verdict,
    /// Number of requests whose first attempt has not been sent yet, by billing reference.
    unsent_requests: HashMap<&'a str, usize>,
    /// Number of the front that received the latest request with a billing reference.
    front_by_bill: HashMap<&'a str, u32>,
    /// Times of requests by front.
    requests: BTreeMap<u32, Vec<Time>>,
    /// Times of retries by front.
    retries: BTreeMap<u32, Vec<Time>>,
}

/// Adds the breaches of this rule to `verdict`.
pub(super) fn check(evidence: &Evidence<'_>, verdict: &mut Verdict) {
    let Some(budget) = evidence.rules.retry_budget else {
        return;
    };
    let mut checker = Checker {
        budget,
        verdict,
        unsent_requests: HashMap::new(),
        front_by_bill: HashMap::new(),
        requests: BTreeMap::new(),
        retries: BTreeMap::new(),
    };
    for Record { at, seen } in evidence.records {
        match seen {
            Seen::OpenSent { front, bill, .. } => checker.on_request(*at, *front, bill),
            Seen::SetUp { bill, .. } => checker.on_set_up(*at, bill),
            _ => {}
        }
    }
}

impl<'a> Checker<'a, '_> {
    fn on_request(&mut self, at: Time, front: u32, bill: &'a str) {
        *self.unsent_requests.entry(bill).or_default() += 1;
        self.requests.entry(front).or_default().push(at);
        self.front_by_bill.insert(bill, front);
    }

    fn on_set_up(&mut self, at: Time, bill: &str) {
        let Some(front) = self.front_by_bill.get(bill).copied() else {
            return;
        };
        if let Some(unsent) = self
            .unsent_requests
            .get_mut(bill)
            .filter(|count| **count > 0)
        {
            *unsent -= 1; // The first attempt of a request is not a retry.
            return;
        }
        self.retries.entry(front).or_default().push(at);
        let retry_count = self.count_in_window(&self.retries, front, at);
        let request_count = self.count_in_window(&self.requests, front, at);
        let allowed =
            self.budget.min_retries + self.budget.retries_per_request * request_count as f64;
        if retry_count as f64 > allowed {
            let description =
                format!("front {front}: {retry_count} further attempts, {allowed:.1} allowed");
            self.verdict.add_breach(RULE, at, description);
        }
    }

    fn count_in_window(&self, times: &BTreeMap<u32, Vec<Time>>, front: u32, now: Time) -> usize {
        let times_of_front = times.get(&front).into_iter().flatten();
        times_of_front
            .filter(|at| now.duration_since(**at) <= self.budget.window)
            .count()
    }
}
