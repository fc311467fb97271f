//! Sessions at a stand-in server: set up, billed, told of, changed, ended.
use super::{lock, Fleet, Server, Session, LOOK, MILLISECOND};
use crate::model::Taken;
use crate::record::{Reply, Seen};
use crankpaddle_http::head;
use crankpaddle_http::orca;
use crankpaddle_http::problem::Problem;
use crankpaddle_net::{clock, sleep, Socket};
use crankpaddle_server_protocol::session_inventory;
use crankpaddle_server_protocol::sessions::{RungBody, SetUpBody, TearDownResult, FULL};
use serde::de::DeserializeOwned;
use std::sync::atomic::Ordering;
use std::sync::Arc;

impl Server {
    /// Sets a session up; `None` where the connection ends without an answer.
    pub(super) fn set_up(
        self: &Arc<Server>,
        fleet: &Arc<Fleet>,
        socket: &Socket,
        name: &str,
        body: &[u8],
    ) -> Option<Vec<u8>> {
        let order: SetUpBody = match read(body) {
            Ok(order) => order,
            Err(problem) => return Some(problem),
        };
        let name = name.to_owned();
        fleet.recorder.see(Seen::SetUp {
            name: name.clone(),
            server: self.id,
            front: order.front.clone(),
            bill: order.bill.clone(),
            class: order.class.clone(),
            title: order.title.clone(),
            rung: order.rung,
            zone: order.zone.clone(),
        });
        let reply = |reply| {
            fleet.recorder.see(Seen::Replied {
                name: name.clone(),
                reply,
            });
        };
        let (mode, class) = (
            self.mode(),
            fleet.config.classes.iter().position(|c| *c == order.class),
        );
        let known = lock(&self.sessions).contains_key(&name) || lock(&self.ended).remove(&name);
        let Some(class) = class.filter(|_| !known) else {
            reply(Reply::Error);
            return Some(
                Problem::of(409, "the name is taken, ended, or its class unknown").response(&[]),
            );
        };
        if fleet.dice() < mode.errors {
            reply(Reply::Error);
            return Some(Problem::of(500, "set-up failed").response(&[]));
        }
        let stream = fleet.streams.fetch_add(1, Ordering::Relaxed);
        let taken = lock(&fleet.model).set_up(
            self.id as usize,
            stream,
            fleet.rate(class, order.rung),
            clock::now(),
        );
        let done = match taken {
            Taken::DoneAt(time) => time,
            Taken::Full => {
                reply(Reply::Full);
                let problem = Problem {
                    kind: FULL.into(),
                    ..Problem::of(503, "no room")
                };
                return Some(problem.response(&[]));
            }
            Taken::Falls => {
                fleet.recorder.see(Seen::Fell { server: self.id });
                reply(Reply::Reset);
                self.go_down(fleet);
                return None;
            }
        };
        let session = Session {
            stream,
            bill: order.bill.clone(),
            tenant: order.tenant.clone(),
            title: order.title.clone(),
            front: order.front.clone(),
            zone: order.zone.clone(),
            class,
            class_name: order.class.clone(),
            rung: order.rung,
            bytes: 0,
            plays: false,
            due: 0,
        };
        lock(&self.sessions).insert(name.clone(), session);
        let paid = fleet.config.settings.classes[class].idempotency
            == crankpaddle::Idempotency::AtMostOnce;
        let mut billed = false;
        // Work, and in a hang what never ends; either way the front may close meanwhile.
        while clock::now() < done || self.mode().hangs || self.mode().vanished {
            if mode.hangs && clock::now() >= done && !billed && paid {
                // Danger that this plays: it ran, and nobody is told.
                billed = true;
                self.bill(fleet, &name, &order);
            }
            if !self.up.load(Ordering::Acquire) || !socket.is_idle() {
                let down = !self.up.load(Ordering::Acquire);
                reply(if down { Reply::Reset } else { Reply::Left });
                self.end(fleet, &name);
                return None;
            }
            sleep(LOOK);
        }
        // An end that came meanwhile is final: what was not billed by then never is.
        let sessions = lock(&self.sessions);
        if !sessions.contains_key(&name) {
            reply(Reply::Left);
            return Some(Problem::of(409, "ended before it was set up").response(&[]));
        }
        if paid && !billed {
            self.bill(fleet, &name, &order);
        }
        drop(sessions);
        if fleet.dice() < mode.bills_and_resets {
            reply(Reply::Reset);
            self.end(fleet, &name);
            socket.close();
            return None;
        }
        let still = lock(&self.sessions)
            .get_mut(&name)
            .map(|s| s.plays = true)
            .is_some();
        reply(if still { Reply::Plays } else { Reply::Left });
        if !still {
            return Some(Problem::of(409, "ended before it was set up").response(&[]));
        }
        let (link, uplink) = {
            let model = lock(&fleet.model);
            (
                model.link_demand(self.id as usize),
                model.uplink_demand(self.id as usize),
            )
        };
        let metrics = orca::write(&[
            ("named_metrics.link_asked", link),
            ("named_metrics.uplink_asked", uplink),
        ]);
        Some(head::response(201, &[(orca::FIELD, &metrics)], b""))
    }

    pub(super) fn bill(&self, fleet: &Fleet, name: &str, order: &SetUpBody) {
        lock(&self.ledger).ran(name, order);
        fleet.recorder.see(Seen::Billed {
            name: name.to_owned(),
            bill: order.bill.clone(),
        });
    }

    /// What it knows of one front.
    pub(super) fn inventory(&self, fleet: &Fleet, query: &str) -> Vec<u8> {
        let front = query.strip_prefix("front=").unwrap_or("");
        let active = |(name, s): (&String, &Session)| session_inventory::InventorySession {
            session: name.clone(),
            bill: s.bill.clone(),
            tenant: s.tenant.clone(),
            class: s.class_name.clone(),
            title: s.title.clone(),
            rung: s.rung,
        };
        let sessions = lock(&self.sessions);
        for name in lock(&self.fenced).iter() {
            fleet.recorder.see(Seen::Disowned { name: name.clone() });
        }
        let of_front = |plays: bool| {
            sessions
                .iter()
                .filter(move |(_, s)| s.front == front && s.plays == plays)
        };
        let active = of_front(true).map(active).collect();
        let under_way = of_front(false).map(|(name, _)| name.clone()).collect();
        let age = clock::now().saturating_sub(self.started.load(Ordering::Acquire));
        let inventory = lock(&self.ledger).inventory(front, age / MILLISECOND, active, under_way);
        let body = serde_json::to_vec(&inventory).unwrap_or_default();
        head::response(200, &[("content-type", "application/json")], &body)
    }

    pub(super) fn set_rung(&self, fleet: &Fleet, name: &str, body: &[u8]) -> Vec<u8> {
        let rung = match read::<RungBody>(body) {
            Ok(RungBody { rung }) => rung,
            Err(problem) => return problem,
        };
        let mut sessions = lock(&self.sessions);
        let Some(session) = sessions.get_mut(name) else {
            return Problem::of(404, "no such session").response(&[]);
        };
        session.rung = rung;
        lock(&fleet.model).set_rate(
            self.id as usize,
            session.stream,
            fleet.rate(session.class, rung),
        );
        drop(sessions);
        fleet.recorder.see(Seen::Rung {
            name: name.to_owned(),
            rung,
        });
        head::response(204, &[], b"")
    }

    pub(super) fn tear_down(&self, fleet: &Fleet, name: &str) -> Vec<u8> {
        if !lock(&self.ledger).has(name) {
            lock(&self.fenced).insert(name.to_owned());
        }
        let Some(sent_bytes) = self.end(fleet, name) else {
            // A set-up under this name that comes later finds that it was ended before.
            lock(&self.ended).insert(name.to_owned());
            return head::response(204, &[], b"");
        };
        let body = serde_json::to_vec(&TearDownResult { sent_bytes }).unwrap_or_default();
        head::response(200, &[("content-type", "application/json")], &body)
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Vec<u8>> {
    serde_json::from_slice(body).map_err(|e| Problem::of(400, e.to_string()).response(&[]))
}
