//! The configuration of a front's traffic controller.
use crate::budget::FrontPosition;
use crate::cross_zone_admission::CrossZoneLimit;
use std::time::Duration;

/// The properties of a class that affect its traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficClass {
    /// Whether sessions of this class may exceed the budgets.
    pub is_paid: bool,
    /// Rate at each rung, in kB per second, lowest rung first.
    pub rung_rates_kb: Vec<f64>,
}

/// The configuration of a front's traffic controller.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficConfig {
    /// Index of this front among all fronts.
    pub position: FrontPosition,
    /// Zone of this front, which is also the zone of its viewers.
    pub zone: u8,
    /// The classes, indexed by class number.
    pub classes: Vec<TrafficClass>,
    /// Budgets for the traffic from other zones to this front's zone.
    pub limits: Vec<CrossZoneLimit>,
    /// How old the counts and reports of servers are when they arrive.
    pub report_delay: Duration,
}

impl TrafficConfig {
    /// The rate of a class at a rung, in kB per second; 0 if the class or rung is not configured.
    pub(super) fn rate_kb(&self, class: u8, rung: u8) -> f64 {
        self.classes
            .get(usize::from(class))
            .and_then(|class| class.rung_rates_kb.get(usize::from(rung)))
            .copied()
            .unwrap_or(0.0)
    }
}
