//! The set-up of a session at a stand-in server, with the faults that a scenario switches on.
use super::session::Session;
use super::{lock, Fleet, Server};
use crate::fault_mode::Mode;
use crate::model::SetUpResult;
use crate::record::{Reply, Seen};
use crankpaddle_http::head;
use crankpaddle_http::orca;
use crankpaddle_http::problem::Problem;
use crankpaddle_net::{clock, sleep, CloseReason, Socket};
use crankpaddle_server_protocol::sessions::{SetUpBody, FULL};
use crankpaddle_time::Time;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// How often a set-up in progress checks whether the front has closed the connection.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How a set-up ended whose session does not play.
enum Unsuccessful {
    /// With this response.
    Answered(Vec<u8>),
    /// Without a response: the connection is over.
    Disconnected,
}

/// A set-up in progress.
struct SetUp<'a> {
    server: &'a Arc<Server>,
    fleet: &'a Arc<Fleet>,
    socket: &'a Socket,
    name: &'a str,
    order: SetUpBody,
    /// The server's faults when the set-up arrived.
    mode: Mode,
}

impl Server {
    /// Sets a session up; `None` where the connection ends without an answer.
    pub(super) fn set_up(
        self: &Arc<Server>,
        fleet: &Arc<Fleet>,
        socket: &Socket,
        name: &str,
        body: &[u8],
    ) -> Option<Vec<u8>> {
        let order: SetUpBody = match super::read_json(body) {
            Ok(order) => order,
            Err(problem) => return Some(problem),
        };
        fleet.recorder.see(Seen::SetUp {
            name: name.to_owned(),
            server: self.id,
            front: order.front.clone(),
            bill: order.bill.clone(),
            class: order.class.clone(),
            title: order.title.clone(),
            rung: order.rung,
            zone: order.zone.clone(),
        });
        let set_up = SetUp {
            server: self,
            fleet,
            socket,
            name,
            order,
            mode: self.mode(),
        };
        match set_up.run() {
            Ok(response) | Err(Unsuccessful::Answered(response)) => Some(response),
            Err(Unsuccessful::Disconnected) => None,
        }
    }

    /// Writes a bill for a session: from now on it counts as run.
    fn bill(&self, fleet: &Fleet, name: &str, order: &SetUpBody) {
        lock(&self.set_up_log).ran(name, order);
        fleet.recorder.see(Seen::Billed {
            name: name.to_owned(),
            bill: order.bill.clone(),
        });
    }
}

impl SetUp<'_> {
    fn run(&self) -> Result<Vec<u8>, Unsuccessful> {
        let class = self.check_request()?;
        let stream = self.fleet.next_stream.fetch_add(1, Ordering::Relaxed);
        let done_at = self.reserve(stream, class)?;
        let session = Session::new(stream, class, &self.order);
        lock(&self.server.sessions).insert(self.name.to_owned(), session);
        let idempotency = self.fleet.config.settings.classes[class].idempotency;
        let paid = idempotency == crankpaddle::Idempotency::AtMostOnce;
        let billed = self.work_until(done_at, paid)?;
        self.bill_unless_ended(paid && !billed)?;
        self.maybe_reset()?;
        self.start_playing()?;
        Ok(self.created())
    }

    fn record_reply(&self, reply: Reply) {
        self.fleet.recorder.see(Seen::Replied {
            name: self.name.to_owned(),
            reply,
        });
    }

    fn answer(&self, reply: Reply, problem: &Problem) -> Unsuccessful {
        self.record_reply(reply);
        Unsuccessful::Answered(problem.response(&[]))
    }

    fn ended_early(&self) -> Unsuccessful {
        let problem = Problem::new(409, "ended before it was set up");
        self.answer(Reply::Left, &problem)
    }

    /// The number of the class, where the name is free and no error is injected.
    fn check_request(&self) -> Result<usize, Unsuccessful> {
        let mut classes = self.fleet.config.classes.iter();
        let class = classes.position(|class| *class == self.order.class);
        let name_used = lock(&self.server.sessions).contains_key(self.name)
            || lock(&self.server.ended_early).remove(self.name);
        let Some(class) = class.filter(|_| !name_used) else {
            let problem = Problem::new(409, "the name is taken, ended, or its class unknown");
            return Err(self.answer(Reply::Error, &problem));
        };
        if self.fleet.draw() < self.mode.errors {
            let problem = Problem::new(500, "set-up failed");
            return Err(self.answer(Reply::Error, &problem));
        }
        Ok(class)
    }

    /// Reserves capacity; the time at which the work of the set-up is done.
    fn reserve(&self, stream: u64, class: usize) -> Result<Time, Unsuccessful> {
        let rate = self.fleet.rate(class, self.order.rung);
        let taken =
            lock(&self.fleet.model).set_up(self.server.id as usize, stream, rate, clock::now());
        match taken {
            SetUpResult::DoneAt(time) => Ok(time),
            SetUpResult::Full => {
                let problem = Problem {
                    kind: FULL.into(),
                    ..Problem::new(503, "no room")
                };
                Err(self.answer(Reply::Full, &problem))
            }
            SetUpResult::Overloaded => {
                let server = self.server.id;
                self.fleet.recorder.see(Seen::Fell { server });
                self.record_reply(Reply::Reset);
                self.server.go_down(self.fleet);
                Err(Unsuccessful::Disconnected)
            }
        }
    }

    /// Waits until the work is done, or for as long as the server hangs; whether the set-up was billed meanwhile.
    fn work_until(&self, done_at: Time, paid: bool) -> Result<bool, Unsuccessful> {
        let mut billed = false;
        while clock::now() < done_at || self.server.mode().hangs || self.server.mode().vanished {
            if self.mode.hangs && clock::now() >= done_at && !billed && paid {
                // Why: this is the fault under test, a session that ran although nobody is notified.
                billed = true;
                self.server.bill(self.fleet, self.name, &self.order);
            }
            if !self.server.up.load(Ordering::Acquire) || !self.socket.is_idle() {
                let down = !self.server.up.load(Ordering::Acquire);
                self.record_reply(if down { Reply::Reset } else { Reply::Left });
                self.server.end(self.fleet, self.name);
                return Err(Unsuccessful::Disconnected);
            }
            sleep(CONNECTION_CHECK_INTERVAL);
        }
        Ok(billed)
    }

    /// Bills the session where `due`. An end that arrived meanwhile is final: the session is not billed any more.
    fn bill_unless_ended(&self, due: bool) -> Result<(), Unsuccessful> {
        // Why: the lock keeps an end from arriving between the check and the bill.
        let sessions = lock(&self.server.sessions);
        if !sessions.contains_key(self.name) {
            return Err(self.ended_early());
        }
        if due {
            self.server.bill(self.fleet, self.name, &self.order);
        }
        drop(sessions);
        Ok(())
    }

    /// The fault that a session is billed and its connection reset.
    fn maybe_reset(&self) -> Result<(), Unsuccessful> {
        if self.fleet.draw() >= self.mode.bills_and_resets {
            return Ok(());
        }
        self.record_reply(Reply::Reset);
        self.server.end(self.fleet, self.name);
        self.socket.close(CloseReason::NotNeeded);
        Err(Unsuccessful::Disconnected)
    }

    fn start_playing(&self) -> Result<(), Unsuccessful> {
        if !self.mark_playing() {
            return Err(self.ended_early());
        }
        self.record_reply(Reply::Plays);
        Ok(())
    }

    /// Whether the session still exists; it plays then.
    fn mark_playing(&self) -> bool {
        let mut sessions = lock(&self.server.sessions);
        let session = sessions.get_mut(self.name);
        session.is_some_and(|session| {
            session.plays = true;
            true
        })
    }

    /// The response, with the load of link and uplink.
    fn created(&self) -> Vec<u8> {
        let server = self.server.id as usize;
        let model = lock(&self.fleet.model);
        let link = model.link_demand(server);
        let uplink = model.uplink_demand(server);
        drop(model);
        let metrics = orca::write(&[
            ("named_metrics.link_asked", link),
            ("named_metrics.uplink_asked", uplink),
        ]);
        head::response(201, &[(orca::FIELD, &metrics)], b"")
    }
}
