//! What a former life began: taken up at the start, settled with the servers, and what they kept of it.
use super::durable_setup::Paid;
use super::{EventLoop, Live, MILLISECOND};
use crate::inventory_client;
use crate::recovered_state::Kept;
use crankpaddle_api::describe::{Fleet, Former};
use crankpaddle_config::Config;
use crankpaddle_front::{
    keys::RequestOutcome, AttemptId, Endpoint, EndpointListKind, Input, Lifecycle, OpenRequest,
    PreviousShutdown, RecoveryStage, ServerId, SessionUpdate, SetUpOrder, StageEvidence,
    StagedRecovery, Time,
};
use crankpaddle_net::clock;
use crankpaddle_recovery::reconciliation::{ReconciliationStep, Resolution};
use crankpaddle_recovery::{Intent, IntentLedger, IntentOutcome, Key, Reconciliation};
use crankpaddle_server_protocol::session_inventory::SessionInventory;
use crankpaddle_store::StoreWriter;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;

fn number(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

fn tenant(config: &Config, name: &str) -> Option<u16> {
    if name.is_empty() && config.tenants.is_empty() {
        return Some(0);
    }
    number(&config.tenants, name).map(|n| n as u16)
}

impl EventLoop {
    /// Takes up what was kept: the core hears how service returns, and of each paid key of former lives.
    pub(super) fn begin(&mut self, kept: Kept) {
        let now = clock::now();
        let Some(wanted) = &self.shared.config.store else {
            return;
        };
        let mut returning = StagedRecovery::new(wanted.steps, now);
        returning.start_reading(now);
        returning.state_read(now, kept.past.shutdown);
        let sound = kept.past.shutdown != PreviousShutdown::Unknown;
        self.core
            .begin_recovery(returning, sound, kept.past.fleet_size);
        let shared = self.shared.clone();
        let done = move |token, result: Result<(), &crankpaddle_store::Error>| {
            shared.tell(crate::shared::Msg::Stored(AttemptId(token), result.is_ok()));
        };
        let terms = &self.shared.config.terms;
        let intents = &kept.past.intents.0;
        let former = match kept.past.shutdown {
            PreviousShutdown::Unknown => Former::Unknown,
            PreviousShutdown::Clean => Former::EndedInOrder,
            PreviousShutdown::Killed => Former::Killed,
            PreviousShutdown::PowerLost => Former::PowerLost,
        };
        let told = Fleet {
            name: wanted.name.clone(),
            epoch: kept.past.epoch.0,
            former,
            ..Fleet::default()
        };
        self.paid = Some(Paid {
            ledger: IntentLedger::new(
                terms.key_retention / MILLISECOND,
                terms.max_retained_keys,
                intents,
            ),
            writer: kept.store.map(|store| StoreWriter::start(store, done)),
            settling: Reconciliation::new(intents),
            began: now,
            ran: kept.past.uptime_ms.0,
            pending: HashMap::new(),
            rosters: Vec::new(),
            finds: Vec::new(),
            finding: HashMap::new(),
            found: 0,
            starts: BTreeMap::new(),
            open: kept.past.shutdown != PreviousShutdown::Clean,
            looks: 0,
            fleet: 0,
            told,
            failing: false,
        });
        for (key, intent) in intents {
            match intent.outcome {
                IntentOutcome::InFlight | IntentOutcome::Established => {
                    let Some(tenant) = tenant(&self.shared.config, &key.tenant) else {
                        continue;
                    };
                    self.tell_core(Input::KeyUnresolved {
                        tenant,
                        key: key.bill.clone(),
                    });
                }
                IntentOutcome::Completed => {
                    self.ran_before(key, &intent.class, Some(RequestOutcome::Played));
                }
                IntentOutcome::Failed => {
                    self.ran_before(key, &intent.class, Some(RequestOutcome::Failed));
                }
            }
        }
        if kept.past.shutdown == PreviousShutdown::Clean {
            self.give_up_waiting();
        }
    }

    pub(super) fn ran_before(&mut self, key: &Key, class: &str, past: Option<RequestOutcome>) {
        let config = &self.shared.config;
        let Some(tenant) = tenant(config, &key.tenant) else {
            return;
        };
        // A class that is configured no more counts as paid.
        let class = number(&config.classes, class).map_or(u8::MAX, |n| n as u8);
        self.tell_core(Input::KeyResolved {
            tenant,
            key: key.bill.clone(),
            class,
            past,
        });
    }

    /// Whether lists wait until it is known which servers are cold.
    pub(super) fn waits_for_servers(
        &mut self,
        kind: EndpointListKind,
        listings: &[Endpoint],
    ) -> bool {
        let Some(kept) = self.paid.as_mut().filter(|kept| kept.open) else {
            return false;
        };
        kept.rosters.push((kind, listings.to_vec()));
        let there: Vec<u32> = listings
            .iter()
            .filter(|l| l.lifecycle != Lifecycle::Removed)
            .map(|l| l.server.0)
            .collect();
        if !there.is_empty() {
            let steps = kept.settling.update_servers(there);
            self.tell_core(Input::EndpointsKnown);
            self.take_steps(steps);
        }
        true
    }

    pub(super) fn take_steps(&mut self, steps: Vec<ReconciliationStep>) {
        for step in steps {
            let server = match &step {
                ReconciliationStep::RequestInventory(server)
                | ReconciliationStep::Fence { server, .. } => ServerId(*server),
            };
            let Some(address) = self
                .servers
                .get(&server)
                .and_then(|s| s.link.as_ref())
                .map(|l| l.address)
            else {
                self.settling(|s| s.server_unreachable(server.0));
                continue;
            };
            match step {
                ReconciliationStep::RequestInventory(_) => {
                    inventory_client::ask(self.shared.clone(), server, address);
                }
                ReconciliationStep::Fence { attempt_name, .. } => {
                    inventory_client::fence(self.shared.clone(), server, address, attempt_name);
                }
            }
        }
        self.look_whether_settled();
    }

    pub(super) fn settling<T: Default>(
        &mut self,
        does: impl FnOnce(&mut Reconciliation) -> T,
    ) -> T {
        self.paid
            .as_mut()
            .map(|kept| does(&mut kept.settling))
            .unwrap_or_default()
    }

    pub(super) fn look_whether_settled(&mut self) {
        if self
            .paid
            .as_ref()
            .is_some_and(|kept| kept.open && kept.settling.is_complete())
        {
            self.tell_core(Input::ReconciliationCompleted);
        }
    }

    pub(super) fn fenced(&mut self, server: ServerId, name: &str, ended: bool) {
        let step = self.settling(|s| {
            if !ended {
                s.server_unreachable(server.0);
                return None;
            }
            s.fence_confirmed(server.0, name)
        });
        self.take_steps(step.into_iter().collect());
    }

    pub(super) fn book(&mut self, server: ServerId, book: Option<SessionInventory>) {
        let Some(book) = book else {
            self.settling(|s| s.server_unreachable(server.0));
            return self.look_whether_settled();
        };
        let start = clock::now().saturating_sub(book.age_ms.saturating_mul(MILLISECOND));
        if let (Some(state), Some(boot)) = (self.servers.get_mut(&server), book.boots.last()) {
            state.contact.lives(boot);
        }
        let shared = self.shared.clone();
        let told = book.into_recovery();
        let outcome = self.settling(|s| {
            s.receive_inventory(server.0, &told, |name| {
                shared.names.attempt_of(name).is_some()
            })
        });
        tracing::info!(
            server = server.0,
            age_ms = (clock::now() - start) / MILLISECOND,
            verdicts = ?outcome.resolutions,
            "a server told what it holds"
        );
        let late = self.paid.as_mut().is_some_and(|kept| {
            let before = kept.starts.insert(server, start);
            !kept.open && before.is_none()
        });
        if late {
            // Taken for cold since all was settled; it may be younger than that.
            self.started(server, start);
        }
        outcome
            .resolutions
            .into_iter()
            .for_each(|verdict| self.verdict(verdict));
        self.take_steps(outcome.steps);
    }

    pub(super) fn verdict(&mut self, verdict: Resolution) {
        let Some(kept) = &mut self.paid else { return };
        let ran = kept.ran();
        let keep = self.shared.config.terms.key_retention / MILLISECOND;
        let (key, fate) = match verdict {
            Resolution::Adopt {
                server,
                session: held,
            } => {
                kept.finds.push((ServerId(server), held));
                if !kept.open {
                    self.take_up_finds();
                }
                return;
            }
            Resolution::TearDown {
                server,
                attempt_name: name,
            } => {
                tracing::info!(
                    server,
                    "a session whose viewer was told that it failed is ended"
                );
                return self.end_found(ServerId(server), &name);
            }
            Resolution::Completed(key) => (key, IntentOutcome::Completed),
            Resolution::Unprovable(key) => (key, IntentOutcome::Failed),
            Resolution::NeverRan(key) => {
                let write = kept.ledger.remove_never_ran(&key);
                kept.keep(write);
                return self.ran_before(&key, "", None);
            }
        };
        let write = match kept.ledger.get(&key) {
            Some(_) => kept.ledger.set_outcome(&key, fate, ran),
            None => {
                let (class, name, boot) = Default::default();
                let until = ran.saturating_add(keep);
                Some(kept.ledger.insert_recovered(
                    key.clone(),
                    Intent {
                        class,
                        server: 0,
                        attempt_name: name,
                        server_incarnation: boot,
                        outcome: fate,
                        retained_until: until,
                    },
                ))
            }
        };
        kept.keep(write);
        let past = if fate == IntentOutcome::Completed {
            RequestOutcome::Played
        } else {
            RequestOutcome::Failed
        };
        self.ran_before(&key, "", Some(past));
    }

    /// Service took a step on its way back.
    pub(super) fn stepped(&mut self, stage: RecoveryStage, why: StageEvidence) {
        tracing::info!(?stage, ?why, "service returns");
        if stage >= RecoveryStage::PaidOnly && self.paid.as_ref().is_some_and(|kept| kept.open) {
            self.settled();
        }
    }

    /// What could be settled is: the core hears which servers there are, what they hold, and which keys are lost; then it serves.
    pub(super) fn settled(&mut self) {
        let Some(kept) = &mut self.paid else { return };
        kept.open = false;
        let (now, starts) = (clock::now(), kept.starts.clone());
        // Danger: after a power loss each server is cold, and a kept list says that it started long ago. What has not told its age
        // itself counts as started now. Harm: a warm server out of reach is spared for as long as one that starts.
        let told = |listing: &mut Endpoint| {
            listing.started_at = starts
                .get(&listing.server)
                .map_or(listing.started_at.max(Time(now)), |start| Time(*start));
        };
        for (kind, mut listings) in std::mem::take(&mut kept.rosters) {
            listings.iter_mut().for_each(told);
            self.tell_core(Input::EndpointList(kind, listings));
        }
        self.give_up_waiting();
        self.take_up_finds();
        self.tell_core(Input::ServiceResumed);
    }

    /// Paid keys of which nobody told count as run.
    pub(super) fn give_up_waiting(&mut self) {
        for key in self.settling(Reconciliation::time_out) {
            tracing::warn!(
                bill = key.bill,
                "nobody tells whether a paid set-up of a former life ran; it counts as run"
            );
            self.ran_before(&key, "", Some(RequestOutcome::Failed));
        }
    }

    pub(super) fn take_up_finds(&mut self) {
        let finds = self
            .paid
            .as_mut()
            .map(|kept| std::mem::take(&mut kept.finds))
            .unwrap_or_default();
        for (server, held) in finds {
            let config = &self.shared.config;
            let class = number(&config.classes, &held.class);
            let known = class
                .zip(tenant(config, &held.key.tenant))
                .zip(config.titles.get(&held.title));
            let Some(((class, tenant), title)) = known else {
                tracing::warn!(
                    server = server.0,
                    class = held.class,
                    title = held.title,
                    "a server holds what is configured no more"
                );
                self.end_found(server, &held.name);
                continue;
            };
            let open = OpenRequest {
                key: held.key.bill.clone(),
                viewer: u64::from_str_radix(held.key.bill.get(..16).unwrap_or("0"), 16)
                    .unwrap_or(0),
                class: class as u8,
                tenant,
                title: title.number,
                first_cell: title.first_cell,
                cell_count: title.copies,
                max_rung: u8::MAX,
                ..OpenRequest::default()
            };
            let Some(kept) = &mut self.paid else { return };
            kept.found += 1;
            let token = kept.found;
            kept.finding.insert(token, (server, held));
            self.tell_core(Input::SessionFound {
                token,
                open,
                server,
            });
        }
    }

    pub(super) fn end_found(&self, server: ServerId, name: &str) {
        if let Some(link) = self.servers.get(&server).and_then(|s| s.link.as_ref()) {
            link.tear_down(&self.shared, name);
        }
    }

    /// The core holds a session that a server kept, or has no use for it.
    pub(super) fn found(&mut self, token: u64, attempt: Option<AttemptId>) {
        let Some((server, held)) = self
            .paid
            .as_mut()
            .and_then(|kept| kept.finding.remove(&token))
        else {
            return;
        };
        let link = self.servers.get(&server).and_then(|s| s.link.clone());
        let (Some(attempt), Some(link)) = (attempt, link) else {
            return self.end_found(server, &held.name);
        };
        tracing::info!(
            attempt = attempt.0,
            server = server.0,
            rung = held.rung,
            "a session of a former life goes on"
        );
        let config = &self.shared.config;
        let class = number(&config.classes, &held.class).unwrap_or(0);
        let order = SetUpOrder {
            key: held.key.bill.clone(),
            class: class as u8,
            tenant: tenant(config, &held.key.tenant).unwrap_or(0),
            title: config.titles.get(&held.title).map_or(0, |t| t.number),
            rung: held.rung,
        };
        let paid = config
            .settings
            .classes
            .get(class)
            .is_some_and(|c| c.idempotency == crankpaddle::Idempotency::AtMostOnce);
        link.held.fetch_add(1, Ordering::AcqRel);
        link.subscribe(&self.shared);
        self.names.insert(held.name.clone(), attempt);
        let now = clock::now();
        self.traffic.attempt(attempt, 0, server, &order);
        self.traffic.desk.session_established(attempt.0, now);
        let state = self.servers.entry(server).or_default();
        state.contact.started(attempt, held.name.clone(), now);
        let boot = state.contact.boot().unwrap_or_default().to_owned();
        if let Some(kept) = self.paid.as_mut().filter(|_| paid) {
            let (class, name, until) = (held.class.clone(), held.name.clone(), u64::MAX);
            let intent = Intent {
                class,
                server: server.0,
                attempt_name: name,
                server_incarnation: boot,
                outcome: IntentOutcome::Established,
                retained_until: until,
            };
            let write = kept.ledger.insert_recovered(held.key.clone(), intent);
            kept.keep([write]);
        }
        self.live.insert(
            attempt,
            Live {
                server,
                name: held.name,
                link,
                out: Arc::default(),
            },
        );
        self.tell_core(Input::SessionUpdated(
            attempt,
            SessionUpdate::Rung(held.rung),
        ));
    }

    /// A server may be back that could not be asked.
    pub(super) fn may_be_back(&mut self, server: ServerId) {
        let step = self.settling(|s| s.server_reachable(server.0));
        self.take_steps(step.into_iter().collect());
    }
}
