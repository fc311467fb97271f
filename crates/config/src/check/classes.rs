//! Checks the sections `class`: the objectives and limits of each class of viewers.
use super::ladder::LadderSettings;
use super::ConfigChecker;
use crate::schema;
use crankpaddle::{Idempotency, RetryScope, SessionClass};
use std::time::Duration;

/// The classes, indexed by class number.
pub(super) struct Classes {
    pub(super) names: Vec<String>,
    pub(super) classes: Vec<SessionClass>,
    /// Maximum time that a viewer of each class waits for an answer.
    pub(super) max_wait: Vec<Duration>,
}

impl ConfigChecker<'_, '_> {
    pub(super) fn classes(&mut self, raw: &[schema::Class], ladder: &LadderSettings) -> Classes {
        let names: Vec<&str> = raw.iter().map(|class| class.name.as_str()).collect();
        let names = self.unique_names("class", ".name", &names);
        let mut classes = Vec::with_capacity(raw.len());
        let mut max_wait = Vec::with_capacity(raw.len());
        for (index, class) in raw.iter().enumerate() {
            let checked = self.class(index, class, ladder.rung_count());
            let latency_objective = Duration::from_nanos(checked.latency_objective);
            max_wait.push(self.max_wait(index, class, latency_objective));
            classes.push(checked);
        }
        Classes {
            names,
            classes,
            max_wait,
        }
    }

    fn class(&mut self, index: usize, class: &schema::Class, rungs: u32) -> SessionClass {
        let path = |field: &str| format!("class[{index}].{field}");
        let (idempotency, retry_window) = self.idempotency(index, class);
        let latency_objective = self.time(&path("aim"), class.aim());
        let max_rung = self.count(&path("top"), class.top.unwrap_or(rungs - 1), 0, rungs - 1);
        let min_rung = self.count(&path("floor"), class.floor, 0, max_rung);
        SessionClass {
            latency_objective,
            idempotency,
            retry_window,
            priority_weight: self.number_in_range(&path("worth"), class.worth(), 1e-9, 1e9),
            min_rung: min_rung as u8,
            max_rung: max_rung as u8,
            rate_factor: self.number_in_range(&path("rate_factor"), class.rate_factor(), 1e-3, 1e3),
            max_sessions_per_title: class.seats,
            live: class.live,
        }
    }

    /// Returns whether set-ups of the class may be retried, and the time in nanoseconds within which they may be; zero if it
    /// is not bounded.
    fn idempotency(&mut self, index: usize, class: &schema::Class) -> (Idempotency, u64) {
        match class.effect() {
            schema::Effect::Free => (Idempotency::Idempotent, 0),
            schema::Effect::Paid => (Idempotency::AtMostOnce, 0),
            schema::Effect::Guarded => {
                let path = format!("class[{index}].repeat_within");
                let retry_window = self.time(&path, &class.repeat_within);
                let scope = retry_scope(class.group());
                (Idempotency::IdempotentWithin(scope), retry_window)
            }
            schema::Effect::Unspecified => {
                let path = format!("class[{index}].effect");
                self.report_problem(&path, "is missing; allowed: FREE, GUARDED, PAID");
                (Idempotency::AtMostOnce, 0)
            }
        }
    }

    fn max_wait(
        &mut self,
        index: usize,
        class: &schema::Class,
        latency_objective: Duration,
    ) -> Duration {
        let path = format!("class[{index}].give_up");
        let max_wait = self.duration(&path, class.give_up());
        self.require(
            max_wait >= latency_objective || class.give_up().is_empty(),
            &path,
            "is under aim: viewers would stop waiting before the latency objective",
        );
        max_wait
    }
}

fn retry_scope(group: schema::Group) -> RetryScope {
    match group {
        schema::Group::All => RetryScope::All,
        schema::Group::Zone => RetryScope::Zone,
        schema::Group::Cell => RetryScope::Cell,
    }
}
