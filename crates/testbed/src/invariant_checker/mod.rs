//! The six rules of a front, checked against what passed on the sockets and never against a front's own reports.
//!
//! Each rule has a module of its own. A stand-in takes the time where it reads, so a record can be later than its
//! event by [`Rules::tolerance`] at most. A front whose process was stopped is excused for late actions, not for wrong ones.
mod at_most_once;
mod class_limits;
mod drain;
mod evidence;
mod retry_budget;
mod rules;
mod single_answer;
mod slow_start;
mod verdict;

use crate::record::Record;
use evidence::Evidence;
pub use rules::{ClassRule, RetryBudget, Rules};
pub use verdict::{Breach, Verdict};

/// Number of the rule that no paid set-up runs twice.
const AT_MOST_ONCE: u8 = 2;

/// Checks all rules on records that are in the order of their times.
#[must_use]
pub fn judge(rules: &Rules, records: &[Record]) -> Verdict {
    let mut verdict = Verdict::default();
    let evidence = Evidence::collect(rules, records, &mut verdict);
    single_answer::check(&evidence, &mut verdict);
    at_most_once::check(&evidence, &mut verdict);
    drain::check(&evidence, &mut verdict);
    slow_start::check(&evidence, &mut verdict);
    class_limits::check(&evidence, &mut verdict);
    retry_budget::check(&evidence, &mut verdict);
    verdict.breaches.sort_by_key(|breach| breach.at);
    verdict
}
