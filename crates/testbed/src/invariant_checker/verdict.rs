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
    /// Time of the breach.
    pub at: Time,
    /// Description of the breach.
    pub what: String,
}

/// What the records show.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Calls for a session.
    pub sessions: usize,
    /// Calls with exactly one answer in time, or closed by the player before one.
    pub answered_once: usize,
    /// Bill references that were billed more than once.
    pub billed_twice: usize,
    /// Calls whose session plays.
    pub played: usize,
    /// Calls that were rejected.
    pub refused: usize,
    /// Calls that failed.
    pub failed: usize,
    /// Breaches in the order of time.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// The number of rules, of six, without a breach.
    #[must_use]
    pub fn passed_rule_count(&self) -> usize {
        let broken_rules: BTreeSet<u8> = self.breaches.iter().map(|breach| breach.rule).collect();
        RULE_COUNT - broken_rules.len()
    }

    pub(super) fn add_breach(&mut self, rule: u8, at: Time, what: String) {
        self.breaches.push(Breach { rule, at, what });
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
