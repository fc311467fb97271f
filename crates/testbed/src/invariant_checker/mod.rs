//! Checks the six rules that fronts must keep. The only evidence is the traffic that simulated servers, the list service and
//! players recorded at their sockets; a front's own reports are never used.
//!
//! Each rule has a module of its own. Simulated servers and players record an event when they read it from the socket, so a
//! record can be up to [`Rules::tolerance`] later than the event. A front whose process was stopped is excused for late
//! actions, but not for wrong ones.
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
pub use rules::{ClassLimits, RetryBudget, Rules};
pub use verdict::{Breach, Verdict};

/// Number of the rule that no paid set-up runs twice. Two modules report its breaches.
const AT_MOST_ONCE: u8 = 2;

/// Checks all rules. The records must be sorted by time.
#[must_use]
pub fn check_invariants(rules: &Rules, records: &[Record]) -> Verdict {
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
