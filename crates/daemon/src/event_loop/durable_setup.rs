//! Paid set-ups on disk before they leave, and what becomes of those that a former life began.
use super::{EventLoop, MILLISECOND};
use crate::attempt_sender::{self, Out};
use crankpaddle_api::describe::Fleet;
use crankpaddle_front::{
    AttemptId, AttemptOutcome, Endpoint, EndpointListKind, Input, RecoveryStage, ServerId,
    SetUpOrder, SetUpResult,
};
use crankpaddle_net::clock;
use crankpaddle_recovery::intents::AttemptResult;
use crankpaddle_recovery::reconciliation::InventorySession;
use crankpaddle_recovery::{IntentLedger, Key, Reconciliation, StoreWrite};
use crankpaddle_store::{StoreWriter, WriteRequest as ToDisk};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Ended keys that are forgotten in one look.
const PRUNED: usize = 200;
/// How long all lives ran is kept so often, in looks of a second.
const TELL_RAN: u64 = 10;

/// A paid set-up that waits for the disk.
pub(super) struct Pending {
    address: SocketAddr,
    bytes: Vec<u8>,
    out: Arc<Out>,
}

pub(super) struct Paid {
    pub(super) ledger: IntentLedger,
    pub(super) writer: Option<StoreWriter>, // None: the disk failed at the start.
    pub(super) settling: Reconciliation,
    pub(super) began: u64,
    pub(super) ran: u64, // Of former lives, milliseconds.
    pub(super) pending: HashMap<AttemptId, Pending>,
    pub(super) rosters: Vec<(EndpointListKind, Vec<Endpoint>)>, // Heard before all was settled.
    pub(super) finds: Vec<(ServerId, InventorySession)>,
    pub(super) finding: HashMap<u64, (ServerId, InventorySession)>,
    pub(super) found: u64,
    pub(super) starts: BTreeMap<ServerId, u64>, // By servers' own word.
    pub(super) open: bool,                      // Not settled yet.
    pub(super) looks: u64,
    pub(super) fleet: u32,
    pub(super) told: Fleet, // What does not change.
    pub(super) failing: bool,
}

impl Paid {
    pub(super) fn keep(&self, writes: impl IntoIterator<Item = StoreWrite>) {
        let writes: Vec<StoreWrite> = writes.into_iter().collect();
        if let Some(writer) = self.writer.as_ref().filter(|_| !writes.is_empty()) {
            writer.submit(ToDisk {
                writes,
                token: None,
            });
        }
    }

    /// How long all lives ran, milliseconds.
    pub(super) fn ran(&self) -> u64 {
        self.ran + clock::now().saturating_sub(self.began) / MILLISECOND
    }

    /// The last word: this life ends in order. The thread that writes it is to be waited for.
    pub(super) fn finish(self, in_order: bool) -> Option<std::thread::JoinHandle<()>> {
        let ran = self.ran();
        let writer = self.writer?;
        let last = [
            Some(StoreWrite::Uptime(ran)),
            in_order.then_some(StoreWrite::CleanShutdown),
        ];
        writer.submit(ToDisk {
            writes: last.into_iter().flatten().collect(),
            token: None,
        });
        Some(writer.finish())
    }
}

impl EventLoop {
    /// Sends an attempt: at once, or if it is paid, when it is on disk that it may have left.
    pub(super) fn send(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        order: &SetUpOrder,
        to: SocketAddr,
        bytes: Vec<u8>,
        out: Arc<Out>,
    ) {
        let effect = self
            .shared
            .config
            .settings
            .classes
            .get(usize::from(order.class))
            .map(|c| c.idempotency);
        let paid = effect == Some(crankpaddle::Idempotency::AtMostOnce);
        let Some(kept) = self.paid.as_mut().filter(|_| paid) else {
            return attempt_sender::send(self.shared.clone(), attempt, to, bytes, out);
        };
        let config = &self.shared.config;
        let of = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_default();
        let tenant = of(&config.tenants, usize::from(order.tenant));
        let key = Key {
            tenant,
            bill: order.key.clone(),
        };
        let boot = self
            .servers
            .get(&server)
            .and_then(|s| s.contact.boot())
            .unwrap_or_default()
            .to_owned();
        let name = self.shared.names.attempt(attempt);
        let intent = kept.ledger.begin_attempt(
            key,
            of(&config.classes, usize::from(order.class)),
            server.0,
            name,
            boot,
        );
        kept.pending.insert(
            attempt,
            Pending {
                address: to,
                bytes,
                out,
            },
        );
        let order = ToDisk {
            writes: vec![intent],
            token: Some(attempt.0),
        };
        if !kept
            .writer
            .as_ref()
            .is_some_and(|writer| writer.submit(order))
        {
            self.shared.tell(crate::shared::Msg::Stored(attempt, false));
        }
        self.tell_core(Input::SendDeferred(attempt, true));
    }

    /// It is on disk that an attempt may have left, or it can't be written.
    pub(super) fn stored(&mut self, attempt: AttemptId, written: bool) {
        let Some(kept) = &mut self.paid else { return };
        kept.failing = !written;
        let Some(pending) = kept.pending.remove(&attempt) else {
            return;
        }; // It was given up meanwhile.
        if written {
            self.tell_core(Input::SendDeferred(attempt, false));
            attempt_sender::send(
                self.shared.clone(),
                attempt,
                pending.address,
                pending.bytes,
                pending.out,
            );
        } else {
            // Danger: a paid set-up that leaves unwritten is forgotten by a power loss and sold again. It never leaves.
            self.set_up_came_out(Input::SetUpCompleted(
                attempt,
                SetUpResult::Ended(AttemptOutcome::NotSent, Vec::new()),
            ));
        }
    }

    /// An attempt or session of this name came to something.
    pub(super) fn came_out(&mut self, attempt: AttemptId, name: &str, how: AttemptResult) {
        let Some(kept) = &mut self.paid else { return };
        // What still waited for the disk has not left, and never will.
        let how = if kept.pending.remove(&attempt).is_some() {
            AttemptResult::NeverRan
        } else {
            how
        };
        let ran = kept.ran();
        let write = kept.ledger.attempt_ended(name, how, ran);
        kept.keep(write);
    }

    pub(super) fn look_at_paid(&mut self) {
        let wanted = self.core.stage() < RecoveryStage::Normal
            || self.settling(|s| s.unresolved_count()) > 0;
        let out_of_reach: Vec<ServerId> = if wanted {
            self.servers.keys().copied().collect()
        } else {
            Vec::new()
        };
        out_of_reach
            .into_iter()
            .for_each(|server| self.may_be_back(server));
        let Some(kept) = &mut self.paid else { return };
        kept.looks += 1;
        let ran = kept.ran();
        let mut writes = kept.ledger.prune(ran, PRUNED);
        if kept.looks.is_multiple_of(TELL_RAN) {
            writes.push(StoreWrite::Uptime(ran));
        }
        let fleet = self.core.replica_count();
        if self.core.stage() == RecoveryStage::Normal && fleet != kept.fleet {
            kept.fleet = fleet;
            writes.push(StoreWrite::FleetSize(fleet));
        }
        kept.keep(writes);
    }
}
