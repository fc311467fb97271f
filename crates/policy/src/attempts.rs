//! Applies the outcomes of attempts to their servers, sessions and requests.
use crate::interface::{AttemptOutcome, RequestId, ServerId, SessionRequest, Time};
use crate::policy::STALL_THRESHOLD_NS;
use crate::state::{
    Accounting, Actions, EndedAttempt, PlacementPolicy, SessionChange, SessionState, TimeArithmetic, SECOND,
};

const SETUP_TIME_WEIGHT: f64 = 0.05; // Weight of a new set-up time in the moving average.
const MAX_SETUP_TIME_NS: f64 = SECOND as f64; // Longer set-up times count as this in the average.

impl PlacementPolicy {
    /// Takes over a session that was established before this replica started.
    pub(crate) fn session_adopted(&mut self, now: Time, request: SessionRequest, server: ServerId) {
        let id = request.request;
        if self.sessions.contains_key(&id) {
            return;
        }
        let lowest = self.class(request.class).map_or(0, |class| class.min_rung);
        self.insert_session(now, request);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.state = SessionState::Established(server);
            session.rung = lowest;
        }
        // Counts the arrivals that keep one session running on average (Little's law).
        self.arrivals.requests += self.arrivals.seconds / self.mean_session_seconds();
        self.account_for(now, id, Accounting::Add);
    }

    /// Records the success of an attempt.
    pub(crate) fn session_established(&mut self, request: RequestId, id: ServerId, setup_time: u64) {
        let counted = (setup_time as f64).min(MAX_SETUP_TIME_NS);
        self.mean_setup_time += SETUP_TIME_WEIGHT * (counted - self.mean_setup_time);
        if let Some(session) = self.sessions.get_mut(&request) {
            session.establish(self.now);
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.record_success(self.now, self.settings.slow_start_duration);
    }

    /// Handles the end of an attempt: its session is over, or its request is attempted again or answered.
    pub(crate) fn attempt_ended(&mut self, now: Time, ended: &EndedAttempt, actions: &mut Actions) {
        let (request, id, outcome) = (ended.request, ended.server, ended.outcome);
        let known = self.sessions.get(&request).is_some_and(|session| session.server() == Some(id));
        self.record_outcome(now, id, outcome);
        if !known {
            return;
        }
        self.account_for(now, request, Accounting::Remove);
        self.session_changes.push_back(SessionChange { at: now, delta: -1.0 });
        self.apply_report(now, id, &ended.report);
        let Some(session) = self.sessions.get_mut(&request) else { return };
        let was_established = session.is_established();
        session.end_attempt(id, outcome);
        let completed = outcome == AttemptOutcome::Completed;
        if !(was_established || session.client_left || ended.is_final || completed) {
            self.attempt_or_answer(request, false, actions);
            return;
        }
        if was_established && completed {
            self.completed_sessions += 1.0;
        }
        let session = self.sessions.remove(&request);
        if let Some(session) = session.filter(|_| was_established && outcome == AttemptOutcome::Reset) {
            // The viewer of a lost session requests again: count that arrival at the other holders at once.
            self.count_arrival(&session.request);
        }
        self.promote(now, id, actions);
    }

    /// Records what an outcome implies about the server.
    fn record_outcome(&mut self, now: Time, id: ServerId, outcome: AttemptOutcome) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        match outcome {
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                server.record_connection_failure(now, 2 * self.settings.slow_start_duration);
                server.record_failure(now);
            }
            AttemptOutcome::ServerError => server.record_failure(now),
            // A time-out right after a stall of this process may be of its own making.
            AttemptOutcome::Timeout if now.since(self.stall_detected_at) > STALL_THRESHOLD_NS => {
                server.record_failure(now);
            }
            AttemptOutcome::Rejected => {
                let min_fill = self.settings.server_rejection_threshold.min(1.0);
                server.link.increase_to(min_fill);
            }
            _ => {}
        }
    }
}
