//! Applies the directory's list of servers: converts its entries, and reports changes to the core.
use super::server::ServerRecord;
use super::wire_time::from_milliseconds;
use super::EventLoop;
use crate::health::ServerHealth;
use crankpaddle_front::{Endpoint, EndpointListKind, Input, Lifecycle, ServerId, Time};
use crankpaddle_net::clock;
use crankpaddle_node_protocol::directory::{ServerEntry, ServerList, ServerState};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A server whose zone, kind or cell the settings do not name.
#[derive(Clone, PartialEq, Eq)]
pub(super) struct IncompatibleServer {
    name: String,
    reason: UnknownValue,
}

/// The field of a directory entry whose value the settings do not name.
#[derive(Clone, Copy, PartialEq, Eq)]
struct UnknownValue {
    field: &'static str,
}

/// An endpoint list, split into servers that fit the settings and those that do not.
struct PartitionedList {
    endpoints: BTreeMap<ServerId, ServerEntry>,
    incompatible: Vec<IncompatibleServer>,
}

impl EventLoop {
    /// Applies an endpoint list and reports the changes to the core.
    pub(super) fn update_endpoints(&mut self, list: ServerList, kind: EndpointListKind) {
        let now = clock::now();
        let PartitionedList {
            endpoints: listed,
            incompatible,
        } = self.partition_list(list);
        if !self.accept_list(incompatible, listed.is_empty()) {
            return;
        }
        let previous = std::mem::take(&mut self.endpoints);
        let mut changes = Vec::new();
        for (id, entry) in &previous {
            if !listed.contains_key(id) {
                changes.extend(self.removed_endpoint(*id, entry));
                self.server_unlisted(*id);
            }
        }
        for (id, entry) in &listed {
            let before = previous.get(id);
            if before != Some(entry) || kind != EndpointListKind::Delta {
                changes.extend(self.endpoint_from_entry(*id, entry));
                self.server_listed(*id, entry, now);
            }
        }
        self.end_replaced_servers(&listed);
        self.endpoints = listed;
        self.notify_of_changes(kind, changes);
        self.retry_adoptions(now);
    }

    fn removed_endpoint(&self, id: ServerId, entry: &ServerEntry) -> Option<Endpoint> {
        let endpoint = self.endpoint_from_entry(id, entry).ok()?;
        Some(Endpoint {
            lifecycle: Lifecycle::Removed,
            ..endpoint
        })
    }

    fn notify_of_changes(&mut self, kind: EndpointListKind, changes: Vec<Endpoint>) {
        let draining: Vec<ServerId> = changes
            .iter()
            .filter(|endpoint| endpoint.lifecycle == Lifecycle::Draining)
            .map(|endpoint| endpoint.server)
            .collect();
        if !changes.is_empty() {
            self.notify_core(Input::EndpointList(kind, changes));
        }
        for server in draining {
            self.requeue_connecting(server);
        }
    }

    /// When the server with this name was started, if the endpoint list in force contains it.
    pub(super) fn listed_server_start(&self, name: &str) -> Option<Time> {
        let entry = self.endpoints.get(&server_id_from_name(name))?;
        (entry.name == name).then(|| started_at(entry))
    }

    /// Whether the last list received has a server with this name that does not fit the settings.
    pub(super) fn is_incompatible(&self, name: &str) -> bool {
        self.incompatible_servers
            .iter()
            .any(|server| server.name == name)
    }

    fn partition_list(&self, list: ServerList) -> PartitionedList {
        let mut endpoints: BTreeMap<ServerId, ServerEntry> = BTreeMap::new();
        let mut incompatible = Vec::new();
        for entry in list.entries {
            let id = server_id_from_name(&entry.name);
            if let Err(reason) = self.endpoint_from_entry(id, &entry) {
                incompatible.push(IncompatibleServer {
                    name: entry.name,
                    reason,
                });
                continue;
            }
            if endpoints.contains_key(&id) {
                tracing::error!(
                    server_name = entry.name,
                    "duplicate server id in endpoint list"
                );
                continue;
            }
            endpoints.insert(id, entry);
        }
        PartitionedList {
            endpoints,
            incompatible,
        }
    }

    /// Whether a list may be applied. `has_no_endpoints` tells that it has no servers besides the incompatible ones. These are
    /// logged when they differ from those of the previous list.
    ///
    /// A server with a zone, kind or cell that the settings do not name may belong to another deployment, so it gets no set-ups
    /// until the settings name them. A list that has only such servers comes from another deployment's directory, and would end
    /// all sessions here if it were applied.
    fn accept_list(
        &mut self,
        incompatible: Vec<IncompatibleServer>,
        has_no_endpoints: bool,
    ) -> bool {
        let is_rejected =
            has_no_endpoints && !incompatible.is_empty() && !self.endpoints.is_empty();
        if self.incompatible_servers != incompatible {
            log_incompatible(&incompatible, is_rejected);
        }
        self.incompatible_servers = incompatible;
        !is_rejected
    }

    /// Converts a directory entry into the core's endpoint. Fails if the settings do not name its zone, kind or cell.
    fn endpoint_from_entry(
        &self,
        server: ServerId,
        entry: &ServerEntry,
    ) -> Result<Endpoint, UnknownValue> {
        let fleet = &self.shared.config.fleet;
        let zone = index_of(&fleet.zones, &entry.zone).ok_or(UnknownValue { field: "zone" })?;
        let kind = index_of(&fleet.kinds, &entry.kind).ok_or(UnknownValue { field: "kind" })?;
        if u32::from(entry.cell) >= fleet.settings.cells {
            return Err(UnknownValue { field: "cell" });
        }
        Ok(Endpoint {
            server,
            zone: zone as u8,
            kind: kind as u16,
            cell: entry.cell,
            lifecycle: match entry.state {
                ServerState::Ready => Lifecycle::Ready,
                ServerState::Draining => Lifecycle::Draining,
            },
            weight: entry.weight,
            started_at: started_at(entry),
        })
    }

    /// Adds or updates the record of a server in the endpoint list.
    ///
    /// The entry is compared with the record, not with the previous list: a server that died and was started anew may have been
    /// missing from the lists in between, while its record was kept for its sessions.
    fn server_listed(&mut self, id: ServerId, entry: &ServerEntry, now: Time) {
        let started_at = started_at(entry);
        if let Some(server) = self.servers.get(&id) {
            let has_moved = server.address != entry.address;
            if has_moved || server.started_at < started_at {
                self.new_incarnation(id, started_at, has_moved);
            }
        }
        let update_interval = self.update_interval();
        let server = self.servers.entry(id).or_insert_with(|| {
            ServerRecord::new(entry.address, ServerHealth::new(now, update_interval))
        });
        server.address = entry.address;
        server.started_at = started_at;
        server.is_listed = true;
    }

    /// Ends the sessions at servers that are not listed and whose address another server has: their processes are gone. Links to
    /// them may be open all the same, because they lead to the other server.
    fn end_replaced_servers(&mut self, listed: &BTreeMap<ServerId, ServerEntry>) {
        let addresses: HashSet<SocketAddr> = listed.values().map(|entry| entry.address).collect();
        let replaced: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, server)| !server.is_listed && addresses.contains(&server.address))
            .map(|(id, _)| *id)
            .collect();
        for id in replaced {
            self.server_lost(id);
        }
    }

    /// The interval between a server's updates of a session; `None` if the settings have 0.
    fn update_interval(&self) -> Option<Duration> {
        let interval = self.shared.config.fleet.settings.update_interval;
        (interval > 0).then_some(Duration::from_nanos(interval))
    }

    /// Marks a server that was removed from the endpoint list. Its links stay open until the server closes them, but no new
    /// connection is made, as its address may be another server's by now.
    fn server_unlisted(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.is_listed = false;
        self.cancel_connects(id);
        let has_no_links = self
            .servers
            .get(&id)
            .is_some_and(|server| server.links.is_empty());
        if has_no_links {
            self.server_lost(id);
        }
    }
}

fn log_incompatible(servers: &[IncompatibleServer], is_rejected: bool) {
    for server in servers {
        tracing::error!(
            server_name = server.name,
            field = server.reason.field,
            "incompatible server in endpoint list skipped"
        );
    }
    if is_rejected {
        tracing::error!(
            reason = "no server fits the settings: the list is another deployment's",
            "endpoint list rejected; the current list stays in force"
        );
    }
}

/// The index of a name in the settings; 0 for any name if the settings name none.
fn index_of(names: &[String], name: &str) -> Option<usize> {
    if names.is_empty() {
        return Some(0);
    }
    names.iter().position(|known| known == name)
}

/// When a server's incarnation started; the origin of the clock if the list has 0.
fn started_at(entry: &ServerEntry) -> Time {
    Time::ZERO + from_milliseconds(entry.started_ms)
}

/// The ids of all servers in a list.
pub(super) fn server_ids(list: &ServerList) -> BTreeSet<ServerId> {
    list.entries
        .iter()
        .map(|entry| server_id_from_name(&entry.name))
        .collect()
}

/// Offset basis of the 32-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
/// Prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

/// The id that the core uses for a server: the 8 hex digits after the last dash of its name. Any other name is hashed, so that
/// all fronts use the same id.
pub(super) fn server_id_from_name(name: &str) -> ServerId {
    let digits = name.rsplit('-').next().filter(|digits| digits.len() == 8);
    let number = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok());
    ServerId(number.unwrap_or_else(|| fnv1a(name)))
}

fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
