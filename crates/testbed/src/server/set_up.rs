//! The set-up of a session at a simulated server, with the faults that a scenario switches on.
use super::session::SimulatedSession;
use super::{lock, SimulatedFleet, SimulatedServer};
use crate::fault_mode::ServerFaults;
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

/// Interval at which a set-up in progress checks whether its connection is closed or the process has stopped.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How a set-up ended after which the session does not play.
enum Unsuccessful {
    /// The set-up was answered with this response.
    Answered(Vec<u8>),
    /// The connection ended without a response.
    Disconnected,
}

/// A set-up in progress.
struct SetUp<'a> {
    server: &'a Arc<SimulatedServer>,
    fleet: &'a Arc<SimulatedFleet>,
    socket: &'a Socket,
    /// Name of the session.
    name: &'a str,
    request: SetUpBody,
    /// The server's faults when the set-up arrived.
    faults: ServerFaults,
}

impl SimulatedServer {
    /// Sets a session up and returns the response. `None` where the connection ends without a response.
    pub(super) fn set_up(
        self: &Arc<SimulatedServer>,
        fleet: &Arc<SimulatedFleet>,
        socket: &Socket,
        name: &str,
        body: &[u8],
    ) -> Option<Vec<u8>> {
        let request: SetUpBody = match super::read_json(body) {
            Ok(request) => request,
            Err(problem) => return Some(problem),
        };
        fleet.recorder.record(Seen::SetUp {
            name: name.to_owned(),
            server: self.id,
            front: request.front.clone(),
            bill: request.bill.clone(),
            class: request.class.clone(),
            title: request.title.clone(),
            rung: request.rung,
            zone: request.zone.clone(),
        });
        let set_up = SetUp {
            server: self,
            fleet,
            socket,
            name,
            request,
            faults: self.faults(),
        };
        match set_up.run() {
            Ok(response) | Err(Unsuccessful::Answered(response)) => Some(response),
            Err(Unsuccessful::Disconnected) => None,
        }
    }

    /// Bills a session. From now on its set-up counts as one that ran.
    fn bill(&self, fleet: &SimulatedFleet, name: &str, request: &SetUpBody) {
        lock(&self.set_up_log).log_billed(name, request);
        fleet.recorder.record(Seen::Billed {
            name: name.to_owned(),
            bill: request.bill.clone(),
        });
    }
}

impl SetUp<'_> {
    /// Runs the set-up and returns the response of a session that plays.
    fn run(&self) -> Result<Vec<u8>, Unsuccessful> {
        let class = self.check_request()?;
        let stream = self.fleet.next_stream.fetch_add(1, Ordering::Relaxed);
        let done_at = self.reserve(stream, class)?;
        let session = SimulatedSession::new(stream, class, &self.request);
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
        self.fleet.recorder.record(Seen::Replied {
            name: self.name.to_owned(),
            reply,
        });
    }

    /// Records how the set-up ended and returns it with the problem as its response.
    fn answer(&self, reply: Reply, problem: &Problem) -> Unsuccessful {
        self.record_reply(reply);
        Unsuccessful::Answered(problem.response(&[]))
    }

    /// The result of a set-up whose session was torn down meanwhile.
    fn ended_early(&self) -> Unsuccessful {
        let problem = Problem::new(409, "ended before it was set up");
        self.answer(Reply::Left, &problem)
    }

    /// Checks class and name, and injects errors. Returns the number of the class.
    fn check_request(&self) -> Result<usize, Unsuccessful> {
        let mut classes = self.fleet.config.classes.iter();
        let class = classes.position(|class| *class == self.request.class);
        let name_used = lock(&self.server.sessions).contains_key(self.name)
            || lock(&self.server.ended_early).remove(self.name);
        let Some(class) = class.filter(|_| !name_used) else {
            let problem = Problem::new(409, "the name is taken, ended, or its class unknown");
            return Err(self.answer(Reply::Error, &problem));
        };
        if self.fleet.draw() < self.faults.errors {
            let problem = Problem::new(500, "set-up failed");
            return Err(self.answer(Reply::Error, &problem));
        }
        Ok(class)
    }

    /// Reserves capacity and returns the time at which the work of the set-up will be done.
    fn reserve(&self, stream: u64, class: usize) -> Result<Time, Unsuccessful> {
        let rate = self.fleet.rate(class, self.request.rung);
        let result =
            lock(&self.fleet.model).set_up(self.server.id as usize, stream, rate, clock::now());
        match result {
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
                self.fleet.recorder.record(Seen::Fell { server });
                self.record_reply(Reply::Reset);
                self.server.stop(self.fleet);
                Err(Unsuccessful::Disconnected)
            }
        }
    }

    /// Waits until the work is done, and beyond that for as long as the server hangs or is unreachable. Returns whether the
    /// set-up was billed meanwhile.
    fn work_until(&self, done_at: Time, paid: bool) -> Result<bool, Unsuccessful> {
        let mut billed = false;
        while clock::now() < done_at || self.server.faults().hangs || self.server.faults().vanished
        {
            if self.faults.hangs && clock::now() >= done_at && !billed && paid {
                // This is the fault that a hanging server simulates: the session runs, but no front is notified.
                billed = true;
                self.server.bill(self.fleet, self.name, &self.request);
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

    /// Bills the session if `due`. A session that was torn down meanwhile is not billed any more.
    fn bill_unless_ended(&self, due: bool) -> Result<(), Unsuccessful> {
        // The lock is held so that the session can't be torn down between the check and the bill.
        let sessions = lock(&self.server.sessions);
        if !sessions.contains_key(self.name) {
            return Err(self.ended_early());
        }
        if due {
            self.server.bill(self.fleet, self.name, &self.request);
        }
        drop(sessions);
        Ok(())
    }

    /// Injects the fault that the connection is reset after the session was billed.
    fn maybe_reset(&self) -> Result<(), Unsuccessful> {
        if self.fleet.draw() >= self.faults.bills_and_resets {
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

    /// Marks the session as playing. Returns whether it still exists.
    fn mark_playing(&self) -> bool {
        let mut sessions = lock(&self.server.sessions);
        let session = sessions.get_mut(self.name);
        session.is_some_and(|session| {
            session.plays = true;
            true
        })
    }

    /// The response of a session that plays, with the load of the server's link and uplink.
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
