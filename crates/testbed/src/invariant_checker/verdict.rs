//! The result of a check: counts of calls and the breaches found.
use crankpaddle_time::Time;
use std::collections::BTreeSet;
use std::fmt;

const RULE_COUNT: usize = 6;

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Number of the rule, 1 to 6.
    pub rule: u8,
    /// Time of the record that completes the breach; for a missing answer, the player's deadline.
    pub at: Time,
    /// Description that names the call, bill, session, server or front involved.
    pub what: String,
}

/// The result of checking the records: counts of calls and all breaches.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Number of open requests that players sent.
    pub sessions: usize,
    /// Number of calls without a breach of rule 1: answered exactly once and in time, or excused.
    pub answered_once: usize,
    /// Number of billing references that were billed more than once.
    pub billed_twice: usize,
    /// Number of calls that were answered with a playing session.
    pub played: usize,
    /// Number of calls that were rejected before a set-up ran.
    pub refused: usize,
    /// Number of calls that failed; their set-ups may have run.
    pub failed: usize,
    /// The breaches of all rules, sorted by time.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// The number of rules, of six, without a breach.
    #[must_use]
    pub fn passed_rule_count(&self) -> usize {
        let broken_rules: BTreeSet<u8> = self.breaches.iter().map(|breach| breach.rule).collect();
        RULE_COUNT - broken_rules.len()
    }

    pub(super) fn add_breach(&mut self, rule: u8, at: Time, description: String) {
        self.breaches.push(Breach {
            rule,
            at,
            what: description,
        });
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Verdict {
            sessions,
            answered_once,
            billed_twice,
            ..
        } = self;
        let passed = self.passed_rule_count();
        write!(
            formatter,
            "sessions {sessions}, answered once {answered_once}, billed twice {billed_twice}, "
        )?;
        write!(formatter, "rules kept {passed}/6")
    }
}
