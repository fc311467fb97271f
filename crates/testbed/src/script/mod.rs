//! Scripted days: a fleet, its traffic and its faults, as files in protobuf text format.
//!
//! `check` reads a file and reports every problem with its line, column and what is allowed.
mod check;

use crate::fault_mode::ResponseFault;
pub use check::parse;
use crankpaddle_config::{Config, Problem};
use crankpaddle_time::nanoseconds;
use std::time::Duration;

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// The built-in fleet: a configuration without its front block.
pub const FLEET: &str = include_str!("../../days/fleet.textproto");

/// A built-in fleet by its name: the usual one, or one whose servers have a long slow start.
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

/// The built-in days by name.
pub const DAYS: [(&str, &str); 7] = [
    ("calm", include_str!("../../days/calm.textproto")),
    ("trouble", include_str!("../../days/trouble.textproto")),
    ("smoke", include_str!("../../days/smoke.textproto")),
    ("quiet", include_str!("../../days/quiet.textproto")),
    ("hall", include_str!("../../days/hall.textproto")),
    ("astray", include_str!("../../days/astray.textproto")),
    ("night", include_str!("../../days/night.textproto")),
];

/// What a fault does.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Servers accept set-ups and answer nothing.
    Hang,
    /// Servers fail this part of the set-ups at once.
    FastErrors(f64),
    /// The servers' processes stop, and start again with the fault's end.
    Crash,
    /// Servers neither receive nor send, and start again with the fault's end.
    Vanish,
    /// The bandwidth of all links is divided by this.
    Slow(f64),
    /// The rate of new players is multiplied by this.
    Burst(f64),
    /// This part of the players wants this title, by number.
    LoadSurge(usize, f64),
    /// The list service is late by this much more.
    ListLate(Duration),
    /// The list service does not answer.
    ListGone,
    /// The processes of these fronts are stopped.
    Stall(Vec<u32>),
    /// Servers are listed as draining; their sessions end with the fault.
    Drain,
    /// Servers bill this part of the set-ups and reset the connection before the answer.
    BillAndReset(f64),
    /// Servers send responses byte by byte.
    Trickle,
    /// The messages that servers send on their own are late, lost or duplicated.
    ResponseFault(ResponseFault),
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Its begin, from the start of the day.
    pub at: Duration,
    /// Its length.
    pub length: Duration,
    /// The servers it falls on.
    pub servers: Vec<u32>,
    /// What it does.
    pub kind: Kind,
}

/// A checked day.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// Time in which players arrive.
    pub length: Duration,
    /// Number of fronts.
    pub fronts: u32,
    /// Text of the fronts' configuration, without the front block.
    pub fleet: String,
    /// The same without budgets for traffic between zones.
    pub fleet_without_budgets: String,
    /// Number of servers.
    pub servers: u32,
    /// Cores of each server.
    pub cores: u32,
    /// Processor time of a set-up.
    pub work: Duration,
    /// Part by which the bandwidths of links differ.
    pub uneven: f64,
    /// Length of a segment.
    pub segment: Duration,
    /// New sessions a second.
    pub rate: f64,
    /// Part of the sessions of each class.
    pub share: Vec<f64>,
    /// Mean time watched.
    pub watch: Duration,
    /// Exponent of the titles' popularity.
    pub zipf: f64,
    /// Part of the viewers that return after a rejection or a failure.
    pub returns: f64,
    /// Mean time until they return without a Retry-After.
    pub return_after: Duration,
    /// Part of them that follows a Retry-After.
    pub follows_retry_after: f64,
    /// Part of the players that reconnect during an attempt.
    pub reconnect: f64,
    /// Its faults.
    pub faults: Vec<Fault>,
    /// Delay of the list service.
    pub list_delay: Duration,
}

/// The front's block of a configuration, for one of `siblings` fronts.
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

/// Checks the fleet's part of a configuration as that of some front.
///
/// # Errors
/// The problems of the configuration.
pub fn fleet_config(fleet: &str) -> Result<Config, Vec<Problem>> {
    // Why: a front needs a zone, and before parsing only the text has one; the first that is named will do.
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

impl Fault {
    fn is_active(&self, at: Duration) -> bool {
        (self.at..self.at + self.length).contains(&at)
    }
}

impl Day {
    /// New sessions a second at a time of the day; a load surge adds none.
    #[must_use]
    pub fn rate_at(&self, at: Duration) -> f64 {
        let active = self.faults.iter().filter(|fault| fault.is_active(at));
        let factors = active.map(|fault| match fault.kind {
            Kind::Burst(times) => times,
            _ => 1.0,
        });
        self.rate * factors.product::<f64>()
    }

    /// The load surge at a time of the day: its title and its part of the players.
    #[must_use]
    pub fn load_surge_at(&self, at: Duration) -> Option<(usize, f64)> {
        self.faults
            .iter()
            .filter(|fault| fault.is_active(at))
            .find_map(|fault| match fault.kind {
                Kind::LoadSurge(title, part) => Some((title, part)),
                _ => None,
            })
    }

    /// Seconds in which players arrive.
    #[must_use]
    pub fn seconds(&self) -> f64 {
        nanoseconds(self.length) as f64 / NANOSECONDS_PER_SECOND
    }
}

#[cfg(test)]
mod tests;
