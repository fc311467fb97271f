//! The state of paid set-ups and of recovery; the event loop has it only if a store is configured.
use crate::attempt_sender::SetUpRequest;
use crankpaddle_api::describe::Fleet;
use crankpaddle_front::{AttemptId, Endpoint, EndpointListKind, ServerId, Time};
use crankpaddle_net::clock;
use crankpaddle_recovery::reconciliation::InventorySession;
use crankpaddle_recovery::{IntentLedger, Reconciliation, StoreWrite};
use crankpaddle_store::{StoreWriter, WriteRequest};
use std::collections::{BTreeMap, HashMap};
use std::thread::JoinHandle;
use std::time::Duration;

/// An endpoint list that arrived before reconciliation was complete.
pub(super) struct DeferredList {
    pub(super) kind: EndpointListKind,
    pub(super) endpoints: Vec<Endpoint>,
}

/// A session of a previous incarnation that a server still holds.
pub(super) struct FoundSession {
    pub(super) server: ServerId,
    pub(super) session: InventorySession,
}

/// Endpoint lists and sessions that arrived during reconciliation and are handled when service resumes.
#[derive(Default)]
pub(super) struct DeferredInputs {
    pub(super) lists: Vec<DeferredList>,
    pub(super) sessions: Vec<FoundSession>,
}

/// The phase of recovery, as far as the event loop depends on it.
pub(super) enum RecoveryPhase {
    /// It is not known yet which sessions and set-ups of previous incarnations servers hold. Endpoint lists and
    /// found sessions are deferred.
    Reconciling(DeferredInputs),
    /// Service has resumed: endpoint lists and found sessions are handled as they arrive.
    Resumed,
}

/// State of paid set-ups, in memory and in the store.
pub(super) struct DurableState {
    pub(super) ledger: IntentLedger,
    /// `None` if the disk failed at the start; paid set-ups are then rejected.
    pub(super) writer: Option<StoreWriter>,
    pub(super) reconciliation: Reconciliation,
    /// When this incarnation started.
    pub(super) started_at: Time,
    /// Total uptime of all previous incarnations.
    pub(super) previous_uptime: Duration,
    /// Paid set-ups whose intent is not on disk yet.
    pub(super) pending_sends: HashMap<AttemptId, SetUpRequest>,
    pub(super) phase: RecoveryPhase,
    /// Found sessions that were offered to the core and not accepted or rejected yet, by token.
    pub(super) sessions_in_adoption: HashMap<u64, FoundSession>,
    /// The last token used in `sessions_in_adoption`.
    pub(super) last_token: u64,
    /// When servers started, computed from the age that their inventories state.
    pub(super) server_starts: BTreeMap<ServerId, Time>,
    pub(super) maintenance_rounds: u64,
    pub(super) stored_fleet_size: u32,
    /// The fields of the `GET /fleet` reply that do not change in this incarnation.
    pub(super) base_status: Fleet,
    /// Whether the last write of an intent failed.
    pub(super) is_write_failing: bool,
}

impl DurableState {
    /// Queues writes without waiting for them: no set-up depends on when they are on disk.
    pub(super) fn write(&self, writes: impl IntoIterator<Item = StoreWrite>) {
        let writes: Vec<StoreWrite> = writes.into_iter().collect();
        if writes.is_empty() {
            return;
        }
        if let Some(writer) = &self.writer {
            writer.submit(WriteRequest {
                writes,
                token: None,
            });
        }
    }

    pub(super) fn is_reconciling(&self) -> bool {
        matches!(self.phase, RecoveryPhase::Reconciling(_))
    }

    /// Total uptime of all incarnations, this one included.
    pub(super) fn uptime(&self) -> Duration {
        self.previous_uptime + clock::now().duration_since(self.started_at)
    }

    /// Queues the last writes: the uptime and, if the shutdown is clean, a record of that. Returns the writer thread,
    /// which the caller joins.
    pub(super) fn finish(self, is_clean: bool) -> Option<JoinHandle<()>> {
        let mut writes = vec![StoreWrite::Uptime(self.uptime())];
        if is_clean {
            writes.push(StoreWrite::CleanShutdown);
        }
        let writer = self.writer?;
        writer.submit(WriteRequest {
            writes,
            token: None,
        });
        Some(writer.finish())
    }
}
