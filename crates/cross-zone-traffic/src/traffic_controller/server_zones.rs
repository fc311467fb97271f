//! The servers that a front knows: their zones, whether they are up, and when each one last sent a message.
use crankpaddle_time::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tracks the zone, the state and the last message of each server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerZones {
    zone_by_server: HashMap<u32, u8>,
    servers_up_by_zone: BTreeMap<u8, BTreeSet<u32>>,
    last_message_at: HashMap<u32, Time>,
}

impl ServerZones {
    /// The zone in which a server is listed.
    pub(super) fn zone_of(&self, server: u32) -> Option<u8> {
        self.zone_by_server.get(&server).copied()
    }

    /// Lists a server in a zone. Returns its previous zone if that was a different one.
    pub(super) fn assign_zone(&mut self, server: u32, zone: u8) -> Option<u8> {
        let previous = self.zone_by_server.insert(server, zone)?;
        (previous != zone).then_some(previous)
    }

    /// Marks a server of a zone as up or down. Returns whether its state changed.
    pub(super) fn set_up(&mut self, server: u32, zone: u8, is_up: bool) -> bool {
        let servers = self.servers_up_by_zone.entry(zone).or_default();
        if is_up {
            servers.insert(server)
        } else {
            servers.remove(&server)
        }
    }

    /// Returns the servers of a zone that are up.
    pub(super) fn servers_up(&self, zone: u8) -> BTreeSet<u32> {
        self.servers_up_by_zone
            .get(&zone)
            .cloned()
            .unwrap_or_default()
    }

    /// Whether at least one server of a zone is up.
    pub(super) fn has_server_up(&self, zone: u8) -> bool {
        self.servers_up_by_zone
            .get(&zone)
            .is_some_and(|servers| !servers.is_empty())
    }

    /// Whether a server is up and listed in one of `zones`.
    pub(super) fn is_up_in(&self, server: u32, zones: &BTreeSet<u8>) -> bool {
        self.zone_of(server)
            .filter(|zone| zones.contains(zone))
            .and_then(|zone| self.servers_up_by_zone.get(&zone))
            .is_some_and(|servers| servers.contains(&server))
    }

    /// The known servers that are missing from `servers`.
    pub(super) fn missing_from(&self, servers: &BTreeSet<u32>) -> Vec<u32> {
        self.zone_by_server
            .keys()
            .filter(|server| !servers.contains(*server))
            .copied()
            .collect()
    }

    /// Records that a message from a server arrived.
    pub(super) fn record_message(&mut self, server: u32, now: Time) {
        self.last_message_at.insert(server, now);
    }

    /// When the last message from a server arrived; `None` before the first one.
    pub(super) fn last_message_at(&self, server: u32) -> Option<Time> {
        self.last_message_at.get(&server).copied()
    }
}
