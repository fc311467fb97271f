//! The life of an attempt after it was started: the result of its set-up, the end of its session, its release.
use super::{EventLoop, LiveAttempt};
use crankpaddle_cross_zone_traffic::traffic_controller::AttemptEnd;
use crankpaddle_front::{keys, AttemptId, AttemptOutcome, Input, SetUpResult};
use crankpaddle_net::clock;
use crankpaddle_recovery::intents::AttemptResult;

impl EventLoop {
    /// Handles a server's answer to a set-up, or the failure of the attempt. An attempt that was released meanwhile
    /// is ignored.
    pub(super) fn set_up_completed(&mut self, attempt: AttemptId, result: SetUpResult) {
        let Some(live) = self.attempts.get(&attempt) else {
            return;
        };
        let server = live.server;
        let name = live.name.clone();
        tracing::debug!(
            attempt_id = attempt.0,
            server_id = server.0,
            ?result,
            "set-up completed"
        );
        self.record_attempt_result(attempt, &name, proven_result(&result));
        match &result {
            SetUpResult::Started(_) => {
                let now = clock::now();
                let state = self.servers.entry(server).or_default();
                state.connection.session_started(attempt, name, now);
                self.traffic.controller.session_established(attempt.0, now);
            }
            SetUpResult::Ended(outcome, _) => {
                if *outcome == AttemptOutcome::ConnectFailed {
                    self.traffic.controller.server_lost(server.0);
                }
                self.release(attempt, AttemptEnd::Completed);
            }
        }
        self.handle_core_input(Input::SetUpCompleted(attempt, result));
    }

    /// Handles the end of a session at its server.
    pub(super) fn end_session(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        end: AttemptEnd,
    ) {
        self.handle_core_input(Input::SessionEnded(attempt, outcome, Vec::new()));
        // The event stream may report the end of a session before the answer to its set-up arrives. The attempt is
        // then still in flight and is released when that answer is handled.
        if self.is_established(attempt) {
            self.release(attempt, end);
        }
    }

    fn is_established(&self, attempt: AttemptId) -> bool {
        let server = self.attempts.get(&attempt).map(|live| live.server);
        server
            .and_then(|server| self.servers.get(&server))
            .is_some_and(|state| state.connection.has_session(attempt))
    }

    /// Removes an attempt or session that is over at its server, and returns it unless it was removed before.
    pub(super) fn release(&mut self, attempt: AttemptId, end: AttemptEnd) -> Option<LiveAttempt> {
        let live = self.attempts.remove(&attempt)?;
        self.attempt_ids.remove(&live.name);
        self.record_attempt_result(attempt, &live.name, AttemptResult::Ended);
        self.traffic
            .controller
            .attempt_ended(attempt.0, end, clock::now());
        if let Some(state) = self.servers.get_mut(&live.server) {
            state.connection.session_ended(attempt);
        }
        live.link.attempt_released(clock::now());
        Some(live)
    }
}

/// What the result of a set-up proves about whether the server executed it.
fn proven_result(result: &SetUpResult) -> AttemptResult {
    match result {
        SetUpResult::Started(_) => AttemptResult::Established,
        SetUpResult::Ended(outcome, _) if keys::proves_never_ran(*outcome) => {
            AttemptResult::NeverRan
        }
        SetUpResult::Ended(..) => AttemptResult::Ended,
    }
}
