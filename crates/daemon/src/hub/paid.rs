//! Paid set-ups on disk before they leave, and what becomes of those that a former life began.
use super::{Hub, MILLISECOND};
use crate::attempts::{self, Out};
use crankpaddle_api::describe::Fleet;
use crankpaddle_front::{
    AttemptId, Input, Listing, Order, Outcome, RosterKind, ServerId, SetUp, Stage,
};
use crankpaddle_net::clock;
use crankpaddle_recovery::intents::Came;
use crankpaddle_recovery::settle::Held;
use crankpaddle_recovery::{Key, Ledger, Settling, Write};
use crankpaddle_store::{Order as ToDisk, Writer};
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
    pub(super) ledger: Ledger,
    pub(super) writer: Option<Writer>, // None: the disk failed at the start.
    pub(super) settling: Settling,
    pub(super) began: u64,
    pub(super) ran: u64, // Of former lives, milliseconds.
    pub(super) pending: HashMap<AttemptId, Pending>,
    pub(super) rosters: Vec<(RosterKind, Vec<Listing>)>, // Heard before all was settled.
    pub(super) finds: Vec<(ServerId, Held)>,
    pub(super) finding: HashMap<u64, (ServerId, Held)>,
    pub(super) found: u64,
    pub(super) starts: BTreeMap<ServerId, u64>, // By servers' own word.
    pub(super) open: bool,                      // Not settled yet.
    pub(super) looks: u64,
    pub(super) fleet: u32,
    pub(super) told: Fleet, // What does not change.
    pub(super) failing: bool,
}

impl Paid {
    pub(super) fn keep(&self, writes: impl IntoIterator<Item = Write>) {
        let writes: Vec<Write> = writes.into_iter().collect();
        if let Some(writer) = self.writer.as_ref().filter(|_| !writes.is_empty()) {
            writer.order(ToDisk {
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
        let last = [Some(Write::Ran(ran)), in_order.then_some(Write::InOrder)];
        writer.order(ToDisk {
            writes: last.into_iter().flatten().collect(),
            token: None,
        });
        Some(writer.finish())
    }
}

impl Hub {
    /// Sends an attempt: at once, or if it is paid, when it is on disk that it may have left.
    pub(super) fn send(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        order: &Order,
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
            .map(|c| c.effect);
        let paid = effect == Some(crankpaddle::Effect::SingleShot);
        let Some(kept) = self.paid.as_mut().filter(|_| paid) else {
            return attempts::send(self.shared.clone(), attempt, to, bytes, out);
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
        let intent = kept.ledger.intend(
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
            .is_some_and(|writer| writer.order(order))
        {
            self.shared.tell(crate::shared::Msg::Stored(attempt, false));
        }
        self.tell_core(Input::KeptBack(attempt, true));
    }

    /// It is on disk that an attempt may have left, or it can't be written.
    pub(super) fn stored(&mut self, attempt: AttemptId, written: bool) {
        let Some(kept) = &mut self.paid else { return };
        kept.failing = !written;
        let Some(pending) = kept.pending.remove(&attempt) else {
            return;
        }; // It was given up meanwhile.
        if written {
            self.tell_core(Input::KeptBack(attempt, false));
            attempts::send(
                self.shared.clone(),
                attempt,
                pending.address,
                pending.bytes,
                pending.out,
            );
        } else {
            // Danger: a paid set-up that leaves unwritten is forgotten by a power loss and sold again. It never leaves.
            self.set_up_came_out(Input::SetUp(
                attempt,
                SetUp::Ended(Outcome::Moot, Vec::new()),
            ));
        }
    }

    /// An attempt or session of this name came to something.
    pub(super) fn came_out(&mut self, attempt: AttemptId, name: &str, how: Came) {
        let Some(kept) = &mut self.paid else { return };
        // What still waited for the disk has not left, and never will.
        let how = if kept.pending.remove(&attempt).is_some() {
            Came::NeverRan
        } else {
            how
        };
        let ran = kept.ran();
        let write = kept.ledger.came_out(name, how, ran);
        kept.keep(write);
    }

    pub(super) fn look_at_paid(&mut self) {
        let wanted = self.core.stage() < Stage::Normal || self.settling(|s| s.open()) > 0;
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
            writes.push(Write::Ran(ran));
        }
        let fleet = self.core.siblings();
        if self.core.stage() == Stage::Normal && fleet != kept.fleet {
            kept.fleet = fleet;
            writes.push(Write::Fleet(fleet));
        }
        kept.keep(writes);
    }
}
