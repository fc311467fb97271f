//! The limits that the invariant checker applies, taken from a configuration.
use crankpaddle::Idempotency;
use crankpaddle_config::Config;
use std::time::Duration;

/// The limits of one class of sessions.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Name of the class as servers receive it.
    pub name: String,
    /// Whether a set-up is billed, so that it may run at most once.
    pub paid: bool,
    /// The lowest rung a session of this class may play at.
    pub floor: u8,
    /// Sessions of one title that a front may have at the same time; 0: no limit.
    pub seats: u32,
}

/// How many retries a front may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in a window without regard to the requests.
    pub floor: f64,
    /// Retries allowed on top for each request received in the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// The limits of all rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Classes in the order of their numbers.
    pub classes: Vec<ClassRule>,
    /// A server gets no new session later than this after a front was notified that it is draining or removed.
    pub drain_grace: Duration,
    /// Length of a restarted server's slow start.
    pub slow_start_duration: Duration,
    /// Part of the full rate that a server can take at the beginning of its slow start.
    pub slow_start_min_factor: f64,
    /// A server in slow start is overloaded when it gets more than this multiple of its present rate ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub overload_window: Duration,
    /// The budget for retries; `None` where there is no limit.
    pub retry: Option<RetryBudget>,
    /// Tolerance for clocks and scheduling: a record may be this much later than the event.
    pub tolerance: Duration,
}

impl Rules {
    /// The limits that a configuration states. No configuration has a drain grace: the stand-ins' operator chooses it.
    pub fn of(config: &Config, drain_grace: Duration, tolerance: Duration) -> Rules {
        let settings = &config.settings;
        let class_rule = |(name, class): (&String, &crankpaddle::Class)| ClassRule {
            name: name.clone(),
            paid: class.idempotency == Idempotency::AtMostOnce,
            floor: class.min_rung,
            seats: class.max_sessions_per_title,
        };
        let named_classes = config.classes.iter().zip(&settings.classes);
        let retry = settings.retry_budget_min.map(|floor| RetryBudget {
            floor,
            ratio: settings.retry_budget_ratio,
            window: Duration::from_nanos(settings.retry_budget_window),
        });
        Rules {
            classes: named_classes.map(class_rule).collect(),
            drain_grace,
            slow_start_duration: Duration::from_nanos(settings.slow_start_duration),
            slow_start_min_factor: settings.slow_start_min_factor,
            overload_multiple: settings.overload_multiple,
            overload_window: Duration::from_nanos(settings.overload_window),
            retry,
            tolerance,
        }
    }
}
