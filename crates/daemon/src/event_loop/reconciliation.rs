//! Reconciliation with the servers: determines which set-ups of a previous incarnation ran, and which of its sessions
//! are still established.
use super::durable_state::{DeferredList, DurableState, FoundSession, RecoveryPhase};
use super::EventLoop;
use crate::inventory_client;
use crankpaddle_front::{
    keys::RequestOutcome, Endpoint, EndpointListKind, Input, Lifecycle, RecoveryStage, ServerId,
    StageEvidence, Time,
};
use crankpaddle_net::clock;
use crankpaddle_recovery::intents::whole_milliseconds;
use crankpaddle_recovery::reconciliation::{ReconciliationRequest, Resolution};
use crankpaddle_recovery::{IntentOutcome, Key, Reconciliation};
use crankpaddle_server_protocol::session_inventory::SessionInventory;
use std::time::Duration;

impl EventLoop {
    /// Defers an endpoint list during reconciliation, while it is not known which servers are warming up. Returns
    /// whether it was deferred.
    pub(super) fn defer_endpoints(&mut self, kind: EndpointListKind, listed: &[Endpoint]) -> bool {
        let Some(durable) = &mut self.durable else {
            return false;
        };
        let RecoveryPhase::Reconciling(deferred) = &mut durable.phase else {
            return false;
        };
        deferred.lists.push(DeferredList {
            kind,
            endpoints: listed.to_vec(),
        });
        let present: Vec<u32> = listed
            .iter()
            .filter(|endpoint| endpoint.lifecycle != Lifecycle::Removed)
            .map(|endpoint| endpoint.server.0)
            .collect();
        if !present.is_empty() {
            let requests = durable.reconciliation.update_servers(present);
            self.handle_core_input(Input::EndpointsKnown);
            self.send_reconciliation_requests(requests);
        }
        true
    }

    /// Applies a change to the reconciliation and returns its result, or the default value of the result if no store
    /// is configured.
    pub(super) fn reconcile<T: Default>(
        &mut self,
        change: impl FnOnce(&mut Reconciliation) -> T,
    ) -> T {
        match &mut self.durable {
            Some(durable) => change(&mut durable.reconciliation),
            None => T::default(),
        }
    }

    fn send_reconciliation_requests(
        &mut self,
        requests: impl IntoIterator<Item = ReconciliationRequest>,
    ) {
        for request in requests {
            self.send_reconciliation_request(request);
        }
        self.check_reconciliation_complete();
    }

    fn send_reconciliation_request(&mut self, request: ReconciliationRequest) {
        let server = match &request {
            ReconciliationRequest::RequestInventory(server)
            | ReconciliationRequest::Fence { server, .. } => ServerId(*server),
        };
        let state = self.servers.get(&server);
        let Some(link) = state.and_then(|state| state.link.as_ref()) else {
            self.reconcile(|state| state.server_unreachable(server.0));
            return;
        };
        let shared = self.shared.clone();
        match request {
            ReconciliationRequest::RequestInventory(_) => {
                inventory_client::request_inventory(shared, server, link.address);
            }
            ReconciliationRequest::Fence { attempt_name, .. } => {
                inventory_client::fence_attempt(shared, server, link.address, attempt_name);
            }
        }
    }

    fn check_reconciliation_complete(&mut self) {
        let Some(durable) = &self.durable else { return };
        if durable.is_reconciling() && durable.reconciliation.is_complete() {
            self.handle_core_input(Input::ReconciliationCompleted);
        }
    }

    /// Handles a server's response to the fence of an attempt. Without a confirmation the server counts as
    /// unreachable, and is tried again later.
    pub(super) fn fence_completed(
        &mut self,
        server: ServerId,
        attempt_name: &str,
        is_confirmed: bool,
    ) {
        let request = self.reconcile(|state| {
            if !is_confirmed {
                state.server_unreachable(server.0);
                return None;
            }
            state.fence_confirmed(server.0, attempt_name)
        });
        self.send_reconciliation_requests(request);
    }

    /// Requests the inventory of a server again if it was unreachable before.
    pub(super) fn retry_reconciliation(&mut self, server: ServerId) {
        let request = self.reconcile(|state| state.server_reachable(server.0));
        self.send_reconciliation_requests(request);
    }

    pub(super) fn inventory_unavailable(&mut self, server: ServerId) {
        self.reconcile(|state| state.server_unreachable(server.0));
        self.check_reconciliation_complete();
    }

    pub(super) fn inventory_received(&mut self, server: ServerId, inventory: SessionInventory) {
        let started_at = clock::now() - Duration::from_millis(inventory.age_ms);
        if let (Some(state), Some(incarnation)) =
            (self.servers.get_mut(&server), inventory.boots.last())
        {
            state.connection.incarnation_reported(incarnation);
        }
        let shared = self.shared.clone();
        let inventory = inventory.into_recovery();
        let outcome = self.reconcile(|state| {
            state.receive_inventory(server.0, &inventory, |name| {
                shared.names.attempt_of(name).is_some()
            })
        });
        tracing::info!(
            server_id = server.0,
            age_ms = whole_milliseconds(clock::now().duration_since(started_at)),
            resolutions = ?outcome.resolutions,
            "session inventory received"
        );
        self.record_server_start(server, started_at);
        for resolution in outcome.resolutions {
            self.apply_resolution(resolution);
        }
        self.send_reconciliation_requests(outcome.requests);
    }

    /// Records when a server started. If service resumed before the server's first inventory arrived, its start was
    /// assumed to be the moment of the resumption; it may have started later, so the core gets the reported time.
    fn record_server_start(&mut self, server: ServerId, started_at: Time) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        let is_first = durable.server_starts.insert(server, started_at).is_none();
        if is_first && !durable.is_reconciling() {
            self.server_started(server, started_at);
        }
    }

    fn apply_resolution(&mut self, resolution: Resolution) {
        match resolution {
            Resolution::Adopt { server, session } => self.session_found(FoundSession {
                server: ServerId(server),
                session,
            }),
            Resolution::TearDown {
                server,
                attempt_name: session_name,
            } => {
                tracing::info!(
                    server_id = server,
                    reason = "its viewer was notified that it failed",
                    "session of a previous incarnation torn down"
                );
                self.tear_down_found_session(ServerId(server), &session_name);
            }
            Resolution::Completed(key) => {
                self.resolve_key(&key, IntentOutcome::Completed, RequestOutcome::Played);
            }
            Resolution::Unprovable(key) => {
                self.resolve_key(&key, IntentOutcome::Failed, RequestOutcome::Failed);
            }
            Resolution::NeverRan(key) => self.release_key(&key),
        }
    }

    /// Releases the key of a set-up that never ran, so that it can be opened again.
    fn release_key(&mut self, key: &Key) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        let write = durable.ledger.remove_never_ran(key);
        durable.write(write);
        self.key_resolved(key, "", None);
    }

    /// Records that the set-up of a key ran or may have run, so that the key can't be opened again. The ledger gets
    /// an entry even if it had none for the key.
    fn resolve_key(&mut self, key: &Key, outcome: IntentOutcome, request_outcome: RequestOutcome) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        let uptime = durable.uptime();
        let write = durable.ledger.resolve(key, outcome, uptime);
        durable.write(write);
        self.key_resolved(key, "", Some(request_outcome));
    }

    /// Handles the entry of a recovery stage. Service resumes with the first stage that serves paid classes.
    pub(super) fn recovery_stage_reached(&mut self, stage: RecoveryStage, evidence: StageEvidence) {
        tracing::info!(?stage, reason = ?evidence, "recovery stage reached");
        let durable = self.durable.as_ref();
        let is_reconciling = durable.is_some_and(DurableState::is_reconciling);
        if is_reconciling && stage >= RecoveryStage::PaidOnly {
            self.resume_service();
        }
    }

    /// Resumes service after reconciliation: passes the deferred endpoint lists, the keys that remain unresolved and
    /// the found sessions to the core, in this order.
    fn resume_service(&mut self) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        let phase = std::mem::replace(&mut durable.phase, RecoveryPhase::Resumed);
        let RecoveryPhase::Reconciling(deferred) = phase else {
            return;
        };
        let server_starts = durable.server_starts.clone();
        let now = clock::now();
        for DeferredList {
            kind,
            mut endpoints,
        } in deferred.lists
        {
            for endpoint in &mut endpoints {
                // A server without an inventory counts as started now: after a power loss all servers are warming
                // up, while a cached list may state that they started long ago. The cost is a needless slow start
                // for a server that is warmed up but was unreachable.
                let reported = server_starts.get(&endpoint.server).copied();
                endpoint.started_at = reported.unwrap_or(endpoint.started_at.max(now));
            }
            self.handle_core_input(Input::EndpointList(kind, endpoints));
        }
        self.expire_unresolved_keys();
        for found in deferred.sessions {
            self.adopt_found_session(found);
        }
        self.handle_core_input(Input::ServiceResumed);
    }
}
