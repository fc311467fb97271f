//! Results of attempts: set-ups that started or ended, time-outs, and answer deadlines.
use super::request::{AttemptEnd, OutstandingAttempt, Request, RequestPhase};
use super::Core;
use crate::ids::{AttemptId, PlayerId};
use crate::input::{SendState, SetUpResult};
use crate::keys::{self, RequestOutcome};
use crate::output::{Answer, FailureReason, Output};
use crankpaddle::{AttemptOutcome, Event, LoadField, LoadReport, RequestId, SessionUpdate};
use crankpaddle_time::nanoseconds;

impl Core {
    /// Handles a server's answer to a set-up, or the end of an attempt without an answer.
    pub(super) fn set_up_completed(
        &mut self,
        attempt: AttemptId,
        result: SetUpResult,
        out: &mut Vec<Output>,
    ) {
        match result {
            SetUpResult::Started(report) => self.set_up_started(attempt, report, out),
            SetUpResult::Ended(outcome, report) => self.attempt_failed(attempt, outcome, report),
        }
    }

    /// Establishes a session whose server answered that it plays.
    fn set_up_started(&mut self, attempt: AttemptId, report: LoadReport, out: &mut Vec<Output>) {
        let now = self.now;
        let Some((id, request)) = self.request_of(attempt) else {
            return;
        };
        let Some(outstanding) = request.waiting_attempt() else {
            return;
        };
        if now >= request.viewer_deadline {
            // The answer is handled after the viewer gave up, perhaps because this process was stalled.
            out.push(Output::AbandonAttempt(attempt, outstanding.server));
            return self.attempt_failed(attempt, AttemptOutcome::Timeout, report);
        }
        request.phase = RequestPhase::Playing(outstanding);
        let call = request.call.take();
        let player = request.player;
        let early_end = request.early_end.take();
        let early_updates = std::mem::take(&mut request.early_updates);
        let established = Answer::Established {
            session: id,
            attempt,
            server: outstanding.server,
            rung: request.rung,
        };
        self.count_established(player);
        if let Some(call) = call {
            let answer = answer_to_set_up(established, early_end.as_ref());
            out.push(Output::Answer(call, answer));
        }
        self.emit_established(id, outstanding);
        self.emit_demand(id, outstanding, report);
        for update in early_updates {
            self.session_updated(attempt, update);
        }
        if let Some(end) = early_end {
            self.apply_early_end(id, attempt, end, out);
        }
    }

    /// Counts a request as playing that was counted as waiting so far.
    fn count_established(&mut self, player: Option<PlayerId>) {
        self.waiting_count -= 1;
        self.playing_count += 1;
        let player = player.and_then(|player| self.players.get_mut(&player));
        if let Some(player) = player {
            player.waiting_count = player.waiting_count.saturating_sub(1);
        }
    }

    fn emit_established(&mut self, id: RequestId, attempt: OutstandingAttempt) {
        let number = self
            .requests
            .get(&id)
            .map_or(0, Request::last_attempt_number);
        self.emit(Event::SessionEstablished {
            request: id,
            attempt: number,
            server: attempt.server,
            setup_time: nanoseconds(self.now.duration_since(attempt.started_at)),
        });
    }

    /// Passes the link and uplink demand in the load report of an answer to the policy.
    fn emit_demand(&mut self, request: RequestId, attempt: OutstandingAttempt, report: LoadReport) {
        for (field, value) in report {
            let update = match field {
                LoadField::LinkDemand | LoadField::LinkUtilization => {
                    SessionUpdate::LinkDemand(value)
                }
                LoadField::UplinkDemand => SessionUpdate::UplinkDemand(value),
                _ => continue,
            };
            self.emit(Event::SessionUpdated {
                request,
                server: attempt.server,
                update,
            });
        }
    }

    /// Applies the end of a session that was received before the answer to its set-up.
    fn apply_early_end(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<Output>,
    ) {
        if end.was_interrupted() {
            self.end_playing(id, end, RequestOutcome::Failed);
        } else {
            self.end_session(attempt, end.outcome, end.report, out);
        }
    }

    /// Records whether an attempt was sent, which decides what its time-out means.
    pub(super) fn send_state_changed(&mut self, attempt: AttemptId, state: SendState) {
        let Some((_, request)) = self.request_of(attempt) else {
            return;
        };
        if let RequestPhase::Waiting(Some(outstanding)) = &mut request.phase {
            outstanding.send_state = state;
        }
    }

    /// Abandons an attempt that was not answered before its time-out.
    pub(super) fn attempt_timed_out(&mut self, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some((id, request)) = self.request_of(attempt) else {
            return;
        };
        let Some(outstanding) = request.waiting_attempt() else {
            return;
        };
        // An attempt that is deferred by a slow disk was not sent. If it were reported as one that may have run, a paid
        // request would fail instead of being retried or rejected.
        let outcome = match outstanding.send_state {
            SendState::Deferred => AttemptOutcome::NotSent,
            SendState::Sent => AttemptOutcome::Timeout,
        };
        out.push(Output::AbandonAttempt(attempt, outstanding.server));
        self.attempt_failed(attempt, outcome, LoadReport::new());
        self.decide(self.now, out);
        self.fail_if_unanswered(id, out);
    }

    /// Answers a request at its deadline, and abandons its attempt.
    pub(super) fn answer_deadline_expired(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Some(attempt) = request.waiting_attempt() {
            self.attempt_timed_out(attempt.id, out);
        }
        self.fail_if_unanswered(id, out);
    }

    /// Fails a request that waits without an outstanding attempt, since nothing else would answer it. This is a
    /// safeguard: the policy is expected to decide on each request at once.
    pub(super) fn fail_if_unanswered(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !matches!(request.phase, RequestPhase::Waiting(None)) {
            return;
        }
        debug_assert!(false, "the policy left request {} without an answer", id.0);
        let failure = request.failure;
        self.emit(Event::ClientLeft(id));
        self.answer_waiting(id, Answer::Failed(failure), out);
    }

    /// Handles the end of an attempt before its session was established. The policy decides whether to retry.
    pub(super) fn attempt_failed(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        let Some((_, request)) = self.request_of(attempt) else {
            return;
        };
        if request.is_waiting() {
            self.conclude_attempt(attempt, AttemptEnd { outcome, report }, false);
        }
    }

    /// The request of an outstanding or playing attempt.
    pub(super) fn request_of(&mut self, attempt: AttemptId) -> Option<(RequestId, &mut Request)> {
        let id = *self.attempts.get(&attempt)?;
        let request = self.requests.get_mut(&id)?;
        Some((id, request))
    }

    /// Removes an attempt, whether it established its session or not, and reports its end to the policy exactly once.
    /// With `is_final`, the policy must not retry.
    pub(super) fn conclude_attempt(&mut self, attempt: AttemptId, end: AttemptEnd, is_final: bool) {
        let Some(id) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(outstanding) = request.outstanding_attempt() else {
            return;
        };
        if request.is_waiting() {
            request.phase = RequestPhase::Waiting(None);
        }
        request.may_have_run |= !keys::proves_never_ran(end.outcome);
        request.failure = failure_reason(end.outcome);
        let number = request.last_attempt_number();
        self.emit(Event::AttemptEnded {
            request: id,
            attempt: number,
            server: outstanding.server,
            outcome: end.outcome,
            is_final,
            report: end.report,
        });
    }
}

/// The answer to a successful set-up: `established`, unless the session was interrupted before the server's answer was
/// handled.
///
/// An interrupted session does not play, and its viewer would wait for it forever. The request is not rejected, because
/// the session ran. A session that has already run to its end is answered as established.
fn answer_to_set_up(established: Answer, early_end: Option<&AttemptEnd>) -> Answer {
    if early_end.is_some_and(AttemptEnd::was_interrupted) {
        Answer::Failed(FailureReason::ConnectionLost)
    } else {
        established
    }
}

fn failure_reason(outcome: AttemptOutcome) -> FailureReason {
    match outcome {
        AttemptOutcome::ServerError => FailureReason::ServerError,
        AttemptOutcome::Reset => FailureReason::ConnectionLost,
        AttemptOutcome::Cancelled => FailureReason::Cancelled,
        _ => FailureReason::NoAnswer,
    }
}
