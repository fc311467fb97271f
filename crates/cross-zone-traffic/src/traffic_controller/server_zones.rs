//! The servers that a front knows: their zones, which of them are up, and when each was last received from.
use crankpaddle_time::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The servers that a front knows.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerZones {
    zone_by_server: HashMap<u32, u8>,
    up_by_zone: BTreeMap<u8, BTreeSet<u32>>,
    last_received: HashMap<u32, Time>,
}

impl ServerZones {
    /// The zone that a server is listed in.
    pub(super) fn zone(&self, server: u32) -> Option<u8> {
        self.zone_by_server.get(&server).copied()
    }

    /// Lists a server in a zone; returns the zone that it was listed in before, if that is another.
    pub(super) fn assign(&mut self, server: u32, zone: u8) -> Option<u8> {
        let previous = self.zone_by_server.insert(server, zone)?;
        (previous != zone).then_some(previous)
    }

    /// Marks a server of a zone as up or not; returns whether that is a change.
    pub(super) fn set_up(&mut self, server: u32, zone: u8, is_up: bool) -> bool {
        let servers = self.up_by_zone.entry(zone).or_default();
        if is_up {
            servers.insert(server)
        } else {
            servers.remove(&server)
        }
    }

    /// The servers of a zone that are up.
    pub(super) fn servers_up(&self, zone: u8) -> BTreeSet<u32> {
        self.up_by_zone.get(&zone).cloned().unwrap_or_default()
    }

    /// Whether a server of a zone is up.
    pub(super) fn has_server_up(&self, zone: u8) -> bool {
        self.up_by_zone
            .get(&zone)
            .is_some_and(|servers| !servers.is_empty())
    }

    /// Whether a server is up in one of these zones.
    pub(super) fn is_up_in(&self, server: u32, zones: &BTreeSet<u8>) -> bool {
        self.zone(server)
            .filter(|zone| zones.contains(zone))
            .and_then(|zone| self.up_by_zone.get(&zone))
            .is_some_and(|servers| servers.contains(&server))
    }

    /// The listed servers that are not among these.
    pub(super) fn not_in(&self, servers: &BTreeSet<u32>) -> Vec<u32> {
        self.zone_by_server
            .keys()
            .filter(|server| !servers.contains(*server))
            .copied()
            .collect()
    }

    pub(super) fn record_received(&mut self, server: u32, now: Time) {
        self.last_received.insert(server, now);
    }

    /// When a server was last received from.
    pub(super) fn last_received(&self, server: u32) -> Option<Time> {
        self.last_received.get(&server).copied()
    }
}
