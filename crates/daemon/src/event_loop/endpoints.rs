//! Handles endpoint lists: passes them to the core, opens links to new servers, and saves a copy on disk.
use super::EventLoop;
use crate::server_link::ServerLink;
use crankpaddle_front::{Endpoint, EndpointListKind, Input, Lifecycle};
use crankpaddle_server_protocol::list::{EndpointEntry, EndpointListBody};

impl EventLoop {
    pub(super) fn endpoint_list_received(
        &mut self,
        kind: EndpointListKind,
        list: &EndpointListBody,
    ) {
        self.is_list_unavailable = false;
        if !self.endpoints.apply(kind, list) {
            return;
        }
        self.list_writer.write(self.endpoints.text());
        tracing::info!(
            ?kind,
            serial = list.serial,
            entries = list.servers.len(),
            "endpoint list received"
        );
        let endpoints = self.resolve_endpoints(&list.servers);
        self.apply_endpoints(kind, endpoints);
    }

    pub(super) fn endpoint_list_unavailable(&mut self) {
        self.is_list_unavailable = true;
        self.apply_endpoints(EndpointListKind::Failed, Vec::new());
    }

    /// Converts list entries to the core's endpoints; entries of an unknown zone or kind are logged and left out.
    pub(super) fn resolve_endpoints(&self, entries: &[EndpointEntry]) -> Vec<Endpoint> {
        let config = &self.shared.config;
        let mut endpoints = Vec::with_capacity(entries.len());
        for entry in entries {
            match entry.to_endpoint(&config.zones, &config.kinds) {
                Some(endpoint) => endpoints.push(endpoint),
                None => tracing::warn!(
                    server_id = entry.id,
                    zone = entry.zone,
                    kind = entry.kind,
                    "endpoint of unknown zone or kind ignored"
                ),
            }
        }
        endpoints
    }

    /// Applies endpoints to links and traffic accounting, and passes them to the core unless they are deferred.
    pub(super) fn apply_endpoints(&mut self, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        for endpoint in &endpoints {
            self.apply_endpoint(endpoint);
        }
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            let listed = endpoints.iter().map(|endpoint| endpoint.server.0).collect();
            self.traffic.controller.retain_endpoints(&listed);
        }
        if !self.defer_endpoints(kind, &endpoints) {
            self.handle_core_input(Input::EndpointList(kind, endpoints));
        }
    }

    /// Opens a link to a listed server; one whose address changed gets a new link.
    fn apply_endpoint(&mut self, endpoint: &Endpoint) {
        let is_present = endpoint.lifecycle != Lifecycle::Removed;
        let mut entries = self.endpoints.servers().iter();
        let entry = entries.find(|entry| entry.id == endpoint.server.0);
        let address = entry.map(|entry| entry.address);
        let state = self.servers.entry(endpoint.server).or_default();
        self.traffic
            .controller
            .endpoint_listed(endpoint.server.0, endpoint.zone, is_present);
        let linked_address = state.link.as_ref().map(|link| link.address);
        if let Some(address) = address.filter(|_| is_present) {
            if linked_address != Some(address) {
                state.link = Some(ServerLink::start(&self.shared, endpoint.server, address));
            }
        }
    }
}
