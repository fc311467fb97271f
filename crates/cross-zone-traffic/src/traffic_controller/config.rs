//! The configuration of a front's traffic controller.
use crate::budget::FrontPosition;
use crate::cross_zone_admission::CrossZoneLimit;
use std::time::Duration;

/// The properties of a class that matter for its traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficClass {
    /// Whether it has priority over budgets.
    pub is_paid: bool,
    /// Its rate at each rung, kB a second.
    pub rung_rates_kb: Vec<f64>,
}

/// The configuration of a front's traffic controller.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficConfig {
    /// Which front it is.
    pub position: FrontPosition,
    /// Its zone, which is that of its viewers.
    pub zone: u8,
    /// Classes by number.
    pub classes: Vec<TrafficClass>,
    /// Budgets for the traffic from other zones to its own.
    pub limits: Vec<CrossZoneLimit>,
    /// How old the counts and reports of servers are when they arrive.
    pub report_delay: Duration,
}

impl TrafficConfig {
    /// The rate of a class at a rung, kB a second; 0 for a class or rung that is not configured.
    pub(super) fn rate_kb(&self, class: u8, rung: u8) -> f64 {
        self.classes
            .get(usize::from(class))
            .and_then(|class| class.rung_rates_kb.get(usize::from(rung)))
            .copied()
            .unwrap_or(0.0)
    }
}
