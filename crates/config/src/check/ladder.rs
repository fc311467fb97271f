//! Checks the section `ladder`: the rungs and the cost of changing between them.
use super::ConfigChecker;
use crate::schema;

const MAX_RUNGS: usize = 64;
/// Minimum utility of a rung. Utilities must be above zero.
const MIN_UTILITY: f64 = 1e-9;

/// The checked section.
pub(super) struct LadderSettings {
    /// Rate of each rung in kB per second, lowest first.
    pub(super) rung_kb: Vec<f64>,
    pub(super) rung_utility: Vec<f64>,
    pub(super) shortfall_cost: f64,
    pub(super) rung_change_cost_seconds: f64,
}

impl LadderSettings {
    /// The number of rungs; one if none is configured, so that the highest rung always has an index.
    pub(super) fn rung_count(&self) -> u32 {
        self.rung_kb.len().max(1) as u32
    }
}

impl ConfigChecker<'_, '_> {
    pub(super) fn ladder(&mut self, ladder: &schema::Ladder) -> LadderSettings {
        self.require(
            (1..=MAX_RUNGS).contains(&ladder.rung.len()),
            "ladder.rung",
            "1 to 64 rungs are allowed",
        );
        let mut rung_kb = Vec::new();
        let mut rung_utility = Vec::new();
        for (index, rung) in ladder.rung.iter().enumerate() {
            let rate_path = format!("ladder.rung[{index}].rate");
            let utility_path = format!("ladder.rung[{index}].worth");
            let rate = self.rate(&rate_path, &rung.rate);
            let utility = self.number_in_range(&utility_path, rung.worth, MIN_UTILITY, 1.0);
            self.require(
                rises(&rung_kb, rate),
                &rate_path,
                "does not rise; allowed: more than the rate of the rung before",
            );
            self.require(
                rises(&rung_utility, utility),
                &utility_path,
                "does not rise; allowed: more than the worth of the rung before",
            );
            rung_kb.push(rate);
            rung_utility.push(utility);
        }
        let shortfall_cost = ladder.shortfall_cost();
        let switch_seconds = ladder.switch_seconds();
        LadderSettings {
            rung_kb,
            rung_utility,
            shortfall_cost: self.number_in_range(
                "ladder.shortfall_cost",
                shortfall_cost,
                0.0,
                100.0,
            ),
            rung_change_cost_seconds: self.number_in_range(
                "ladder.switch_seconds",
                switch_seconds,
                0.0,
                60.0,
            ),
        }
    }
}

/// Whether `next` is greater than the last of the values.
fn rises(values: &[f64], next: f64) -> bool {
    values.last().is_none_or(|last| next > *last)
}
