//! Scripted scenarios: a fleet, its traffic and its faults, as files in protobuf text format.
//!
//! `check` reads a file and reports every problem with its line, column and what is allowed.
mod check;

use crate::fault_mode::ResponseFault;
pub use check::parse;
use crankpaddle_config::{Config, Problem};
use crankpaddle_time::nanoseconds;
use std::time::Duration;

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// The built-in fleet: a configuration of fronts without the front block.
pub const FLEET: &str = include_str!("../../days/fleet.textproto");

/// The built-in fleet with this name: `fleet`, or `slow-to-warm`, whose servers have a longer slow start.
#[must_use]
pub fn built_in_fleet(name: &str) -> Option<String> {
    match name {
        "fleet" => Some(FLEET.to_owned()),
        "slow-to-warm" => Some(
            FLEET
                .replace("cold: \"8s\"", "cold: \"20s\"")
                .replace("cold_share: 0.4", "cold_share: 0.2")
                .replace("fall_multiple: 2.5", "fall_multiple: 1.6"),
        ),
        _ => None,
    }
}

/// Names and texts of the built-in scenarios.
pub const BUILT_IN_SCENARIOS: [(&str, &str); 7] = [
    ("calm", include_str!("../../days/calm.textproto")),
    ("trouble", include_str!("../../days/trouble.textproto")),
    ("smoke", include_str!("../../days/smoke.textproto")),
    ("quiet", include_str!("../../days/quiet.textproto")),
    ("hall", include_str!("../../days/hall.textproto")),
    ("astray", include_str!("../../days/astray.textproto")),
    ("night", include_str!("../../days/night.textproto")),
];

/// The kind of a fault, with its parameters.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Servers accept set-ups but don't answer them.
    Hang,
    /// Servers answer this fraction of the set-ups with an immediate error.
    FastErrors(f64),
    /// The servers' processes stop, and start again at the end of the fault.
    Crash,
    /// Servers neither receive nor send, and restart at the end of the fault.
    Vanish,
    /// The bandwidth of all links and uplinks is divided by this.
    Slow(f64),
    /// The rate of new players is multiplied by this.
    Burst(f64),
    /// The title with this number is requested by this additional fraction of the players.
    LoadSurge(usize, f64),
    /// The delay of the list service is increased by this time.
    ListLate(Duration),
    /// The list service does not answer.
    ListGone,
    /// The processes of the fronts with these numbers are stopped.
    Stall(Vec<u32>),
    /// Servers are listed as draining; their sessions end at the end of the fault.
    Drain,
    /// Servers bill this fraction of the set-ups and reset the connection before the answer.
    BillAndReset(f64),
    /// Servers send their responses byte by byte, one a second.
    Trickle,
    /// The messages that servers send without a request are late, lost or duplicated.
    ResponseFault(ResponseFault),
}

/// A fault of a scenario and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Start of the fault, as the time since the start of the scenario.
    pub at: Duration,
    /// How long the fault lasts.
    pub length: Duration,
    /// Numbers of the servers that have the fault; empty for kinds that affect no single server.
    pub servers: Vec<u32>,
    /// What the fault does.
    pub kind: FaultKind,
}

/// A scenario whose values have been checked.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Time in which players arrive.
    pub length: Duration,
    /// Number of front processes.
    pub fronts: u32,
    /// Text of the fronts' configuration, without the front block.
    pub fleet: String,
    /// The same text without budgets for cross-zone traffic.
    pub fleet_without_budgets: String,
    /// Number of simulated servers.
    pub servers: u32,
    /// Number of cores of each server.
    pub cores: u32,
    /// Processor time that a set-up takes at a server after its slow start.
    pub set_up_work: Duration,
    /// The bandwidths of links and uplinks differ from the configured ones by up to this fraction.
    pub bandwidth_spread: f64,
    /// Playing time of a media segment.
    pub segment_length: Duration,
    /// Number of new sessions a second, without bursts.
    pub rate: f64,
    /// Fraction of the sessions that are of each class; the index is the class number.
    pub class_shares: Vec<f64>,
    /// Mean time that a session is watched.
    pub mean_watch_time: Duration,
    /// The n-th title is requested in proportion to 1 / n^`zipf_exponent`.
    pub zipf_exponent: f64,
    /// Fraction of the viewers that return after a rejection or a failure.
    pub return_fraction: f64,
    /// Mean time until they return where they don't follow a Retry-After.
    pub mean_return_delay: Duration,
    /// Fraction of the returning viewers that follow a Retry-After.
    pub retry_after_fraction: f64,
    /// Fraction of the players that disconnect during an attempt and reconnect.
    pub reconnect_fraction: f64,
    /// The faults, in the order of the script.
    pub faults: Vec<ScheduledFault>,
    /// Delay with which the list service sends changes, without faults.
    pub list_delay: Duration,
}

/// The front's block of a configuration, for the front with number `index` of `siblings` fronts.
#[must_use]
pub fn front_block(
    index: u32,
    siblings: u32,
    zone: &str,
    list_service: &str,
    cache: &str,
) -> String {
    format!(
        "front {{\n  index: {index}\n  siblings: {siblings}\n  zone: {zone:?}\n  listen: \"127.0.0.1:0\"\n  \
         list_service: {list_service:?}\n  list_cache: {cache:?}\n}}\n"
    )
}

/// Checks a configuration that lacks the front block, by adding the block of an arbitrary front.
///
/// # Errors
/// The problems of the configuration.
pub fn fleet_config(fleet: &str) -> Result<Config, Vec<Problem>> {
    // The front block must name a zone of the fleet. The text is not parsed yet, so the first zone is searched for in it.
    let first_zone = fleet
        .split("zone:")
        .nth(1)
        .and_then(|rest| rest.split('"').nth(1))
        .unwrap_or("");
    crankpaddle_config::parse(&format!(
        "{fleet}\n{}",
        front_block(0, 1, first_zone, "127.0.0.1:1", "")
    ))
}

impl ScheduledFault {
    fn is_active(&self, at: Duration) -> bool {
        (self.at..self.at + self.length).contains(&at)
    }
}

impl Scenario {
    /// Number of new sessions a second at a time since the start of the scenario. A load surge adds none.
    #[must_use]
    pub fn rate_at(&self, at: Duration) -> f64 {
        let active = self.faults.iter().filter(|fault| fault.is_active(at));
        let factors = active.map(|fault| match fault.kind {
            FaultKind::Burst(times) => times,
            _ => 1.0,
        });
        self.rate * factors.product::<f64>()
    }

    /// The load surge at a time since the start of the scenario: the number of its title and the fraction of the players that
    /// it adds to it.
    #[must_use]
    pub fn load_surge_at(&self, at: Duration) -> Option<(usize, f64)> {
        self.faults
            .iter()
            .filter(|fault| fault.is_active(at))
            .find_map(|fault| match fault.kind {
                FaultKind::LoadSurge(title, fraction) => Some((title, fraction)),
                _ => None,
            })
    }

    /// Time in which players arrive, in seconds.
    #[must_use]
    pub fn seconds(&self) -> f64 {
        nanoseconds(self.length) as f64 / NANOSECONDS_PER_SECOND
    }
}

#[cfg(test)]
mod tests;
