//! Checks the section `rules`: retries, slow start, overload and prices.
use super::ConfigChecker;
use crate::schema;

const MAX_ATTEMPTS: u32 = 200;

/// The checked section. Times are in nanoseconds.
pub(super) struct RuleSettings {
    pub(super) over_quota_weight: f64,
    pub(super) max_attempts: u32,
    pub(super) max_retry_after: u64,
    pub(super) slow_start_duration: u64,
    pub(super) slow_start_min_factor: f64,
    pub(super) overload_multiple: f64,
    pub(super) overload_window: u64,
    pub(super) retry_budget: RetryBudget,
    pub(super) cross_zone_price: f64,
}

/// The limit of retries. The default does not limit them.
#[derive(Default)]
pub(super) struct RetryBudget {
    /// Retries that are allowed in a window at any request rate. `None` if retries are not limited.
    pub(super) min: Option<f64>,
    /// Further retries that are allowed per request received in the window.
    pub(super) ratio: f64,
    /// Length of the window in nanoseconds.
    pub(super) window: u64,
}

impl ConfigChecker<'_, '_> {
    pub(super) fn rules(&mut self, rules: &schema::Rules) -> RuleSettings {
        RuleSettings {
            retry_budget: self.retry_budget(rules.retry.as_ref()),
            over_quota_weight: self.number_in_range(
                "rules.over_share_worth",
                rules.over_share_worth(),
                0.0,
                1.0,
            ),
            max_attempts: self.count("rules.attempts", rules.attempts(), 1, MAX_ATTEMPTS),
            max_retry_after: self.time("rules.stay_away", rules.stay_away()),
            slow_start_duration: self.time("rules.cold", rules.cold()),
            slow_start_min_factor: self.number_in_range(
                "rules.cold_share",
                rules.cold_share(),
                0.001,
                1.0,
            ),
            overload_multiple: self.number_in_range(
                "rules.fall_multiple",
                rules.fall_multiple(),
                0.1,
                1000.0,
            ),
            overload_window: self.time("rules.fall", rules.fall()),
            cross_zone_price: self.number_in_range(
                "rules.cross_zone_price",
                rules.cross_zone_price(),
                0.0,
                1.0,
            ),
        }
    }

    fn retry_budget(&mut self, retry: Option<&schema::Retry>) -> RetryBudget {
        let Some(retry) = retry else {
            return RetryBudget::default();
        };
        RetryBudget {
            min: Some(self.number_in_range("rules.retry.floor", retry.floor, 0.0, 1e9)),
            ratio: self.number_in_range("rules.retry.share", retry.share, 0.0, 10.0),
            window: self.time("rules.retry.window", &retry.window),
        }
    }
}
