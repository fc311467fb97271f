//! The configuration of a member.
use std::time::Duration;

/// The configuration of a member of the fleet.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Its name, which is unique in the fleet and stays the same after a restart.
    pub name: String,
    /// The address that it announces to the other members.
    pub address: String,
    /// The wall clock of its host at its start, in milliseconds.
    pub epoch: u64,
    /// A random number drawn at its start, which distinguishes processes that use one name.
    pub incarnation: u64,
    /// The key of the checksum of datagrams. Each fleet has its own key, so that members ignore datagrams of other fleets.
    pub key: [u8; 16],
    /// Addresses of members through which it joins the fleet.
    pub seeds: Vec<String>,
    /// The time between the starts of two probes. It is prolonged while the member's own health is bad.
    pub probe_interval: Duration,
    /// How long to wait for an answer to a direct probe before helpers are asked to probe the member.
    pub probe_timeout: Duration,
    /// The number of helpers that are asked to probe a member that did not answer directly.
    pub indirect_probes: usize,
    /// The maximum number of datagrams sent per second.
    pub datagrams_per_second: f64,
    /// The maximum number of bytes sent per second.
    pub bytes_per_second: f64,
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig {
            name: String::new(),
            address: String::new(),
            epoch: 0,
            incarnation: 0,
            key: [0; 16],
            seeds: Vec::new(),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            indirect_probes: 3,
            datagrams_per_second: 60.0,
            bytes_per_second: 30_000.0,
        }
    }
}
