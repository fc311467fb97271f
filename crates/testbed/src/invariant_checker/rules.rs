//! The limits that the invariant checker applies, taken from a configuration.
use crankpaddle::Idempotency;
use crankpaddle_config::Config;
use std::time::Duration;

/// The limits of one class of sessions.
#[derive(Clone, Debug)]
pub struct ClassLimits {
    /// Name of the class as servers receive it.
    pub name: String,
    /// Whether a set-up is billed, so that it may run at most once.
    pub paid: bool,
    /// Number of the lowest rung that a session of this class may play at.
    pub lowest_rung: u8,
    /// Maximum number of sessions of one title at a front at the same time; 0 means no limit.
    pub max_sessions_per_title: u32,
}

/// How many retries a front may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries allowed in a window regardless of the number of requests.
    pub min_retries: f64,
    /// Number of additional retries allowed for each request received in the window.
    pub retries_per_request: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// The limits of all rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The classes' limits; the index is the class number.
    pub classes: Vec<ClassLimits>,
    /// A front may send sessions to a draining or removed server for this long after it was notified.
    pub drain_grace: Duration,
    /// Length of a restarted server's slow start.
    pub slow_start_duration: Duration,
    /// Fraction of the full set-up rate that a server accepts at the beginning of its slow start.
    pub slow_start_min_factor: f64,
    /// A server in slow start is overloaded by more set-ups within `overload_window` than this multiple of the rate that it
    /// accepts at that time.
    pub overload_multiple: f64,
    /// Length of the sliding window in which the set-ups for `overload_multiple` are counted.
    pub overload_window: Duration,
    /// The budget for retries of each front; `None` means no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Maximum time by which a record may be later than its event because of scheduling delays.
    pub tolerance: Duration,
}

impl Rules {
    /// The limits of a configuration. The drain grace is a parameter because a front's configuration has no such setting.
    pub fn of(config: &Config, drain_grace: Duration, tolerance: Duration) -> Rules {
        let settings = &config.settings;
        let class_limits = |(name, class): (&String, &crankpaddle::SessionClass)| ClassLimits {
            name: name.clone(),
            paid: class.idempotency == Idempotency::AtMostOnce,
            lowest_rung: class.min_rung,
            max_sessions_per_title: class.max_sessions_per_title,
        };
        let named_classes = config.classes.iter().zip(&settings.classes);
        let retry_budget = settings.retry_budget_min.map(|min_retries| RetryBudget {
            min_retries,
            retries_per_request: settings.retry_budget_ratio,
            window: Duration::from_nanos(settings.retry_budget_window),
        });
        Rules {
            classes: named_classes.map(class_limits).collect(),
            drain_grace,
            slow_start_duration: Duration::from_nanos(settings.slow_start_duration),
            slow_start_min_factor: settings.slow_start_min_factor,
            overload_multiple: settings.overload_multiple,
            overload_window: Duration::from_nanos(settings.overload_window),
            retry_budget,
            tolerance,
        }
    }
}
