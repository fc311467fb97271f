//! Reconciliation of the paid set-ups that a previous incarnation left unresolved, and of the sessions that servers still hold
//! for it.
//!
//! Each listed server is queried for its inventory: the sessions of this front that it holds, and the paid keys that it ran.
//!
//! A single inventory does not prove that an attempt never ran, because its set-up may still be in transit and run after the
//! inventory was taken. So an attempt that is missing in the inventory is fenced: the front ends it by its name, and the server
//! rejects its set-up if that arrives later. Then the inventory is requested once more. If the attempt is missing again, it
//! never ran. An inventory that does not cover the server's incarnation to which the attempt was sent proves nothing, and the
//! key counts as run.
mod inventory;
mod outcome;

pub use inventory::{InventorySession, SessionInventory};
pub use outcome::{InventoryOutcome, ReconciliationRequest, Resolution, ServerCounts};

use crate::intents::{Intent, IntentOutcome, Key};
use std::collections::{BTreeMap, BTreeSet};

/// The state of the reconciliation with one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ServerState {
    /// Its inventory was requested, or attempts are being fenced there.
    Pending,
    /// Its last inventory left nothing to be requested.
    Reconciled,
    /// It was unreachable or did not answer.
    Unreachable,
}

/// An attempt of a previous incarnation whose outcome is not resolved yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnresolvedAttempt {
    key: Key,
    server: u32,
    /// The server's incarnation that was known when the attempt was sent; empty if none was known.
    server_incarnation: String,
    was_established: bool,
    /// The server confirmed that the attempt can't run any more.
    fenced: bool,
    /// The wait for inventories ended and a failure was reported to the viewer. An inventory may still resolve the attempt.
    timed_out: bool,
}

impl UnresolvedAttempt {
    fn new(key: &Key, intent: &Intent) -> UnresolvedAttempt {
        UnresolvedAttempt {
            key: key.clone(),
            server: intent.server,
            server_incarnation: intent.server_incarnation.clone(),
            was_established: intent.outcome == IntentOutcome::Established,
            fenced: false,
            timed_out: false,
        }
    }

    /// What an inventory proves that does not list the attempt; `None` if it proves nothing before the attempt is fenced.
    fn resolve_absent(
        &self,
        inventory: &SessionInventory,
        completed: &BTreeSet<&Key>,
    ) -> Option<Resolution> {
        if self.was_established {
            return Some(Resolution::Completed(self.key.clone()));
        }
        if completed.contains(&self.key) || !self.is_covered_by(inventory) {
            return Some(Resolution::Unprovable(self.key.clone()));
        }
        self.fenced.then(|| Resolution::NeverRan(self.key.clone()))
    }

    fn is_covered_by(&self, inventory: &SessionInventory) -> bool {
        !self.server_incarnation.is_empty()
            && inventory.incarnations.contains(&self.server_incarnation)
    }
}

/// The state of the reconciliation with all servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Reconciliation {
    /// The attempts that no inventory has resolved, by name.
    unresolved: BTreeMap<String, UnresolvedAttempt>,
    servers: BTreeMap<u32, ServerState>,
    /// The names of the attempts whose fence is not confirmed yet, by server.
    pending_fences: BTreeMap<u32, BTreeSet<String>>,
}

impl Reconciliation {
    /// Starts a reconciliation of those recovered intents whose attempt is active.
    pub fn new(recovered: &[(Key, Intent)]) -> Reconciliation {
        let unresolved = recovered
            .iter()
            .filter(|(_, intent)| intent.outcome.is_active())
            .map(|(key, intent)| {
                (
                    intent.attempt_name.clone(),
                    UnresolvedAttempt::new(key, intent),
                )
            });
        Reconciliation {
            unresolved: unresolved.collect(),
            ..Reconciliation::default()
        }
    }

    /// The number of attempts of previous incarnations that no inventory has resolved.
    #[must_use]
    pub fn unresolved_count(&self) -> usize {
        self.unresolved.len()
    }

    /// The number of listed servers in each state of their reconciliation.
    #[must_use]
    pub fn server_counts(&self) -> ServerCounts {
        let count = |wanted| {
            let states = self.servers.values();
            states.filter(|state| **state == wanted).count()
        };
        ServerCounts {
            reconciled: count(ServerState::Reconciled),
            unreachable: count(ServerState::Unreachable),
            pending: count(ServerState::Pending),
        }
    }

    /// Whether each listed server is reconciled or unreachable.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let any_pending = self
            .servers
            .values()
            .any(|state| *state == ServerState::Pending);
        self.pending_fences.is_empty() && !any_pending
    }

    /// Adds listed servers. Returns the inventory requests for those that are new.
    pub fn update_servers(
        &mut self,
        servers: impl IntoIterator<Item = u32>,
    ) -> Vec<ReconciliationRequest> {
        let mut requests = Vec::new();
        for server in servers {
            if self.servers.contains_key(&server) {
                continue;
            }
            self.servers.insert(server, ServerState::Pending);
            requests.push(ReconciliationRequest::RequestInventory(server));
        }
        requests
    }

    /// Records that a server is unreachable or did not answer. Its unconfirmed fences are dropped.
    pub fn server_unreachable(&mut self, server: u32) {
        self.pending_fences.remove(&server);
        self.replace_state(server, ServerState::Pending, ServerState::Unreachable);
    }

    /// Records that a server may be reachable again. Returns the inventory request if it was unreachable before.
    #[must_use]
    pub fn server_reachable(&mut self, server: u32) -> Option<ReconciliationRequest> {
        self.replace_state(server, ServerState::Unreachable, ServerState::Pending)
            .then_some(ReconciliationRequest::RequestInventory(server))
    }

    /// Changes the state of a server from `from` to `to`. Returns false if it is in another state.
    fn replace_state(&mut self, server: u32, from: ServerState, to: ServerState) -> bool {
        match self.servers.get_mut(&server) {
            Some(state) if *state == from => {
                *state = to;
                true
            }
            _ => false,
        }
    }

    /// Ends the wait for inventories: unresolved attempts count as run from now on. Returns the keys that did not count as run
    /// before.
    #[must_use]
    pub fn time_out(&mut self) -> Vec<Key> {
        let mut timed_out = Vec::new();
        for attempt in self.unresolved.values_mut() {
            if attempt.timed_out {
                continue;
            }
            attempt.timed_out = true;
            timed_out.push(attempt.key.clone());
        }
        timed_out
    }

    /// Records that a server confirmed a fence, so that the attempt can't run any more. Returns the next inventory request, or
    /// `None` while other fences at that server are not confirmed.
    pub fn fence_confirmed(
        &mut self,
        server: u32,
        attempt_name: &str,
    ) -> Option<ReconciliationRequest> {
        if let Some(attempt) = self.unresolved.get_mut(attempt_name) {
            attempt.fenced = true;
        }
        let pending = self.pending_fences.get_mut(&server)?;
        pending.remove(attempt_name);
        if !pending.is_empty() {
            return None;
        }
        self.pending_fences.remove(&server);
        Some(ReconciliationRequest::RequestInventory(server))
    }

    /// Applies a server's inventory. `is_own` returns whether the present incarnation chose the name of an attempt. Such
    /// attempts are not reconciled.
    pub fn receive_inventory(
        &mut self,
        server: u32,
        inventory: &SessionInventory,
        is_own: impl Fn(&str) -> bool,
    ) -> InventoryOutcome {
        let mut outcome = InventoryOutcome::default();
        let mut resolved_keys = BTreeSet::new();
        self.resolve_listed_sessions(server, inventory, &is_own, &mut resolved_keys, &mut outcome);
        self.fence_unknown_attempts(server, inventory, &is_own, &mut outcome);
        self.resolve_absent_attempts(server, inventory, &mut resolved_keys, &mut outcome);
        self.report_completed_keys(inventory, &resolved_keys, &mut outcome);
        if outcome.requests.is_empty() {
            self.servers.insert(server, ServerState::Reconciled);
        }
        outcome
    }

    /// Adopts each listed session of a previous incarnation, or tears it down if a failure was reported to its viewer.
    fn resolve_listed_sessions(
        &mut self,
        server: u32,
        inventory: &SessionInventory,
        is_own: &impl Fn(&str) -> bool,
        resolved_keys: &mut BTreeSet<Key>,
        outcome: &mut InventoryOutcome,
    ) {
        for session in &inventory.sessions {
            if is_own(&session.name) {
                continue;
            }
            let attempt = self.unresolved.remove(&session.name);
            resolved_keys.insert(session.key.clone());
            outcome
                .resolutions
                .push(if attempt.is_some_and(|attempt| attempt.timed_out) {
                    Resolution::TearDown {
                        server,
                        attempt_name: session.name.clone(),
                    }
                } else {
                    Resolution::Adopt {
                        server,
                        session: session.clone(),
                    }
                });
        }
    }

    /// Fences the set-ups in progress for which there is no intent.
    ///
    /// The intent may have been lost with the disk. The set-up would run after this inventory was taken, and its key would be
    /// sold again. Once it is fenced, either it has ended or the next inventory shows that it ran.
    fn fence_unknown_attempts(
        &mut self,
        server: u32,
        inventory: &SessionInventory,
        is_own: &impl Fn(&str) -> bool,
        outcome: &mut InventoryOutcome,
    ) {
        for attempt_name in &inventory.in_progress {
            if !is_own(attempt_name) && !self.unresolved.contains_key(attempt_name) {
                self.fence(server, attempt_name.clone(), outcome);
            }
        }
    }

    /// Resolves or fences the unresolved attempts at this server that its inventory does not list.
    fn resolve_absent_attempts(
        &mut self,
        server: u32,
        inventory: &SessionInventory,
        resolved_keys: &mut BTreeSet<Key>,
        outcome: &mut InventoryOutcome,
    ) {
        let completed: BTreeSet<&Key> = inventory.completed.iter().collect();
        let attempts_here: Vec<(String, UnresolvedAttempt)> = self
            .unresolved
            .iter()
            .filter(|(_, attempt)| attempt.server == server)
            .map(|(attempt_name, attempt)| (attempt_name.clone(), attempt.clone()))
            .collect();
        for (attempt_name, attempt) in attempts_here {
            let Some(resolution) = attempt.resolve_absent(inventory, &completed) else {
                self.fence(server, attempt_name, outcome);
                continue;
            };
            self.unresolved.remove(&attempt_name);
            resolved_keys.insert(attempt.key);
            outcome.resolutions.push(resolution);
        }
    }

    /// Reports the completed keys that this inventory has not resolved and that are not unresolved at another server.
    ///
    /// The disk may have lost its last writes, or all of them. A key that a server ran is not set up again, whatever was
    /// persisted.
    fn report_completed_keys(
        &self,
        inventory: &SessionInventory,
        resolved_keys: &BTreeSet<Key>,
        outcome: &mut InventoryOutcome,
    ) {
        let unresolved_keys: BTreeSet<&Key> = self
            .unresolved
            .values()
            .map(|attempt| &attempt.key)
            .collect();
        for key in &inventory.completed {
            if !resolved_keys.contains(key) && !unresolved_keys.contains(key) {
                outcome.resolutions.push(Resolution::Completed(key.clone()));
            }
        }
    }

    fn fence(&mut self, server: u32, attempt_name: String, outcome: &mut InventoryOutcome) {
        self.pending_fences
            .entry(server)
            .or_default()
            .insert(attempt_name.clone());
        outcome.requests.push(ReconciliationRequest::Fence {
            server,
            attempt_name,
        });
    }
}

#[cfg(test)]
mod tests;
