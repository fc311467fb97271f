//! Requests about the sessions of a simulated server: inventory, change of rung and tear-down.
use super::session::SimulatedSession;
use super::{lock, SimulatedFleet, SimulatedServer};
use crate::record::Seen;
use crankpaddle_http::head;
use crankpaddle_http::problem::Problem;
use crankpaddle_net::clock;
use crankpaddle_server_protocol::sessions::{RungBody, TearDownResult};
use crankpaddle_time::Time;
use std::sync::atomic::Ordering;
use std::time::Duration;

const JSON: [(&str, &str); 1] = [("content-type", "application/json")];

impl SimulatedServer {
    /// The response with the inventory of one front's sessions.
    pub(super) fn inventory(&self, fleet: &SimulatedFleet, query: &str) -> Vec<u8> {
        let front = query.strip_prefix("front=").unwrap_or("");
        let sessions = lock(&self.sessions);
        for name in lock(&self.fenced).iter() {
            fleet.recorder.record(Seen::Disowned { name: name.clone() });
        }
        let of_front = |plays: bool| {
            let belongs =
                move |session: &SimulatedSession| session.front == front && session.plays == plays;
            sessions.iter().filter(move |(_, session)| belongs(session))
        };
        let active = of_front(true)
            .map(|(name, session)| session.inventory_entry(name))
            .collect();
        let in_progress = of_front(false).map(|(name, _)| name.clone()).collect();
        let age_ms = self.age().as_millis() as u64;
        let inventory = lock(&self.set_up_log).inventory(front, age_ms, active, in_progress);
        let body = serde_json::to_vec(&inventory).unwrap_or_default();
        head::response(200, &JSON, &body)
    }

    /// Time since the server's process was restarted; the time since the start of the clock where it never was.
    pub(super) fn age(&self) -> Duration {
        let started_at = Time(self.started_at.load(Ordering::Acquire));
        clock::now().duration_since(started_at)
    }

    /// Changes the rung of a session and returns the response.
    pub(super) fn set_rung(&self, fleet: &SimulatedFleet, name: &str, body: &[u8]) -> Vec<u8> {
        let rung = match super::read_json::<RungBody>(body) {
            Ok(RungBody { rung }) => rung,
            Err(problem) => return problem,
        };
        let mut sessions = lock(&self.sessions);
        let Some(session) = sessions.get_mut(name) else {
            return Problem::new(404, "no such session").response(&[]);
        };
        session.rung = rung;
        let rate = fleet.rate(session.class, rung);
        lock(&fleet.model).set_rate(self.id as usize, session.stream, rate);
        drop(sessions);
        fleet.recorder.record(Seen::Rung {
            name: name.to_owned(),
            rung,
        });
        head::response(204, &[], b"")
    }

    /// Ends a session and returns the response, which states the media bytes sent. If the session was not billed, it will not
    /// run later either.
    pub(super) fn tear_down(&self, fleet: &SimulatedFleet, name: &str) -> Vec<u8> {
        if !lock(&self.set_up_log).was_billed(name) {
            lock(&self.fenced).insert(name.to_owned());
        }
        let Some(sent_bytes) = self.end(fleet, name) else {
            // A set-up with this name that arrives later must not run.
            lock(&self.ended_early).insert(name.to_owned());
            return head::response(204, &[], b"");
        };
        let body = serde_json::to_vec(&TearDownResult { sent_bytes }).unwrap_or_default();
        head::response(200, &JSON, &body)
    }
}
