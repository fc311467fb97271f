//! Paid set-ups: the intent is on disk before the attempt is sent, and the result is written when it is known.
use super::EventLoop;
use crate::attempt_sender::{self, SetUpRequest};
use crate::config_lookup::{is_paid_class, name_at};
use crate::message::EventLoopMessage;
use crankpaddle_front::{
    AttemptId, AttemptOutcome, Input, RecoveryStage, SendState, ServerId, SetUpOrder, SetUpResult,
};
use crankpaddle_recovery::intents::AttemptResult;
use crankpaddle_recovery::{Key, Reconciliation, StoreWrite};
use crankpaddle_store::WriteRequest;

/// Most keys of ended set-ups that are pruned in one round of maintenance, so that no round takes long.
const MAX_PRUNED_KEYS_PER_ROUND: usize = 200;
/// Maintenance rounds between two writes of the uptime. A power loss loses the uptime since the last write, which
/// is a few seconds.
const ROUNDS_PER_UPTIME_WRITE: u64 = 10;

impl EventLoop {
    /// Sends an attempt. If the class is paid and a store is configured, the attempt waits until its intent is on
    /// disk; otherwise it is sent at once.
    pub(super) fn send_attempt(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        order: &SetUpOrder,
        request: SetUpRequest,
    ) {
        let is_paid = is_paid_class(&self.shared.config, usize::from(order.class));
        if self.durable.is_none() || !is_paid {
            return attempt_sender::send(self.shared.clone(), attempt, request);
        }
        if !self.submit_intent(attempt, server, order, request) {
            self.shared.send(EventLoopMessage::IntentWritten {
                attempt,
                is_durable: false,
            });
        }
        self.handle_core_input(Input::SendStateChanged(attempt, SendState::Deferred));
    }

    /// Queues the write of an intent. Returns whether it can be written.
    fn submit_intent(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        order: &SetUpOrder,
        request: SetUpRequest,
    ) -> bool {
        let config = &self.shared.config;
        let key = Key {
            tenant: name_at(&config.tenants, usize::from(order.tenant)),
            bill: order.key.clone(),
        };
        let class = name_at(&config.classes, usize::from(order.class));
        let incarnation = self.incarnation_of(server);
        let name = self.shared.names.attempt_name(attempt);
        let Some(durable) = &mut self.durable else {
            return false;
        };
        let intent = durable
            .ledger
            .begin_attempt(key, class, server.0, name, incarnation);
        durable.pending_sends.insert(attempt, request);
        let write = WriteRequest {
            writes: vec![intent],
            token: Some(attempt.0),
        };
        let writer = durable.writer.as_ref();
        writer.is_some_and(|writer| writer.submit(write))
    }

    /// The last known incarnation of a server; empty if none is known.
    pub(super) fn incarnation_of(&self, server: ServerId) -> String {
        let state = self.servers.get(&server);
        let incarnation = state.and_then(|state| state.connection.incarnation());
        incarnation.unwrap_or_default().to_owned()
    }

    /// Sends the attempt once its intent is on disk; if the write failed, the attempt is never sent.
    pub(super) fn intent_written(&mut self, attempt: AttemptId, is_durable: bool) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        durable.is_write_failing = !is_durable;
        let Some(request) = durable.pending_sends.remove(&attempt) else {
            return; // The attempt was abandoned meanwhile.
        };
        if is_durable {
            self.handle_core_input(Input::SendStateChanged(attempt, SendState::Sent));
            attempt_sender::send(self.shared.clone(), attempt, request);
        } else {
            // Without the intent on disk, a power loss would erase all knowledge of the attempt, and the same key
            // could be set up and billed a second time.
            let result = SetUpResult::Ended(AttemptOutcome::NotSent, Vec::new());
            self.set_up_completed(attempt, result);
        }
    }

    /// Records the result of an attempt, or the end of its session, in the ledger and the store.
    pub(super) fn record_attempt_result(
        &mut self,
        attempt: AttemptId,
        name: &str,
        result: AttemptResult,
    ) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        // An attempt whose intent was not on disk yet was never sent, and is not sent any more.
        let was_pending = durable.pending_sends.remove(&attempt).is_some();
        let result = if was_pending {
            AttemptResult::NeverRan
        } else {
            result
        };
        let uptime = durable.uptime();
        let write = durable.ledger.attempt_ended(name, result, uptime);
        durable.write(write);
    }

    /// Runs one round of maintenance of the store: retries servers, prunes keys, writes the uptime and the fleet
    /// size.
    pub(super) fn maintain_durable_state(&mut self) {
        self.retry_unreachable_servers();
        let Some(durable) = &mut self.durable else {
            return;
        };
        durable.maintenance_rounds += 1;
        let uptime = durable.uptime();
        let mut writes = durable.ledger.prune(uptime, MAX_PRUNED_KEYS_PER_ROUND);
        if durable
            .maintenance_rounds
            .is_multiple_of(ROUNDS_PER_UPTIME_WRITE)
        {
            writes.push(StoreWrite::Uptime(uptime));
        }
        let fleet_size = self.core.replica_count();
        let is_normal = self.core.recovery_stage() == RecoveryStage::Normal;
        if is_normal && fleet_size != durable.stored_fleet_size {
            durable.stored_fleet_size = fleet_size;
            writes.push(StoreWrite::FleetSize(fleet_size));
        }
        durable.write(writes);
    }

    /// Retries the reconciliation with unreachable servers while recovery lasts or paid keys are unresolved.
    fn retry_unreachable_servers(&mut self) {
        let is_recovering = self.core.recovery_stage() < RecoveryStage::Normal;
        let unresolved = self.reconcile(|state: &mut Reconciliation| state.unresolved_count());
        if !is_recovering && unresolved == 0 {
            return;
        }
        let servers: Vec<ServerId> = self.servers.keys().copied().collect();
        for server in servers {
            self.retry_reconciliation(server);
        }
    }
}
