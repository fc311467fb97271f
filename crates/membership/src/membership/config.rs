//! The configuration of a member.
use std::time::Duration;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Its name, the same after a restart.
    pub name: String,
    /// The address that it announces to the other members.
    pub address: String,
    /// Its host's wall clock at its start, milliseconds.
    pub epoch: u64,
    /// Drawn at random at its start.
    pub incarnation: u64,
    /// The key of the datagrams' checksum: each fleet has its own, so that no other fleet mixes in.
    pub key: [u8; 16],
    /// Addresses of members to join through.
    pub seeds: Vec<String>,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time to wait for an answer to a direct probe.
    pub probe_timeout: Duration,
    /// Members asked to probe on this member's behalf.
    pub indirect_probes: usize,
    /// The most datagrams sent in a second.
    pub datagrams_per_second: f64,
    /// The most bytes sent in a second.
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
