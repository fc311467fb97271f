//! Checks the section `peers`: how a front finds its peers and is found by them.
use super::ConfigChecker;
use crate::{schema, Peers};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum probe interval. A peer could not answer within a shorter one.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(20);
const BYTES_PER_KB: f64 = 1000.0;

impl ConfigChecker<'_, '_> {
    pub(super) fn peers(&mut self, sections: &[schema::Peers]) -> Option<Peers> {
        self.require(
            sections.len() <= 1,
            "peers[1]",
            "is given more than once; allowed: one section peers",
        );
        let peers = sections.first()?;
        let path = |field: &str| format!("peers[0].{field}");
        self.replica_name(&path("name"), &peers.name);
        let probe_every = self.duration(&path("probe_every"), peers.probe_every());
        self.require(
            probe_every >= MIN_PROBE_INTERVAL,
            &path("probe_every"),
            "is under 20 ms: no peer could answer in time",
        );
        Some(Peers {
            name: peers.name.clone(),
            listen: self.address(&path("listen"), &peers.listen),
            address: self.advertised_address(peers),
            seeds: self.seeds(peers),
            key_file: self.key_file(&path("key_file"), &peers.key_file),
            datagrams: self.count(&path("datagrams"), peers.datagrams(), 10, 100_000),
            bytes: (self.rate(&path("bytes"), peers.bytes()) * BYTES_PER_KB) as usize,
            probe_every,
            address_overrides: self.peer_addresses(peers),
        })
    }

    fn advertised_address(&mut self, peers: &schema::Peers) -> Option<SocketAddr> {
        if peers.address.is_empty() {
            return None;
        }
        Some(self.address("peers[0].address", &peers.address))
    }

    fn seeds(&mut self, peers: &schema::Peers) -> Vec<SocketAddr> {
        let mut seeds = Vec::with_capacity(peers.seed.len());
        for (index, seed) in peers.seed.iter().enumerate() {
            seeds.push(self.address(&format!("peers[0].seed[{index}]"), seed));
        }
        seeds
    }

    /// Returns the addresses to use instead of those that peers advertise, by the peer's name.
    fn peer_addresses(&mut self, peers: &schema::Peers) -> HashMap<String, SocketAddr> {
        let names: Vec<&str> = peers.way.iter().map(|way| way.name.as_str()).collect();
        self.unique_names("peers[0].way", ".name", &names);
        let mut addresses = HashMap::with_capacity(peers.way.len());
        for (index, way) in peers.way.iter().enumerate() {
            let address = self.address(&format!("peers[0].way[{index}].address"), &way.address);
            addresses.insert(way.name.clone(), address);
        }
        addresses
    }
}
