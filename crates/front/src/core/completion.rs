//! Ending requests that wait and sessions that play.
use super::request::{AttemptEnd, OutstandingAttempt, RequestPhase};
use super::Core;
use crate::keys::RequestOutcome;
use crate::output::{Answer, Output};
use crankpaddle::{AttemptOutcome, Event, LoadReport, RequestId};

impl AttemptEnd {
    /// An end that was not reported by a server and has no load report.
    pub(super) fn without_report(outcome: AttemptOutcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            report: LoadReport::new(),
        }
    }
}

impl Core {
    /// Ends a playing session and requests its server to tear it down. Returns whether the session played.
    pub(super) fn tear_down(
        &mut self,
        id: RequestId,
        outcome: AttemptOutcome,
        request_outcome: RequestOutcome,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let Some(attempt) = request.playing_attempt() else {
            return false;
        };
        out.push(Output::TearDown(attempt.id, attempt.server));
        self.end_playing(id, AttemptEnd::without_report(outcome), request_outcome)
    }

    /// Ends a playing session in the core's state, without an output to its server. Returns whether the session played.
    pub(super) fn end_playing(
        &mut self,
        id: RequestId,
        end: AttemptEnd,
        request_outcome: RequestOutcome,
    ) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let Some(attempt) = request.playing_attempt() else {
            return false;
        };
        let player = request.player.take();
        self.playing_count -= 1;
        self.conclude_attempt(attempt.id, end, true);
        self.set_ended(id, request_outcome);
        self.detach(id, player, false);
        self.retain_or_remove(id);
        true
    }

    /// Answers a request that waits without an outstanding attempt, and ends it.
    pub(super) fn answer_waiting(&mut self, id: RequestId, answer: Answer, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.is_waiting() {
            return;
        }
        debug_assert!(
            request.waiting_attempt().is_none(),
            "request {} is answered while an attempt is outstanding",
            id.0
        );
        let paid_set_up_may_have_run =
            request.may_have_run && self.is_paid(request.session_request.class);
        // A rejection states that nothing ran, so this is checked once more before the player gets it.
        let answer = match answer {
            Answer::Rejected { .. } if paid_set_up_may_have_run => Answer::Failed(request.failure),
            other => other,
        };
        let outcome = match answer {
            Answer::Rejected { .. } => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        };
        if let Some(call) = request.call {
            out.push(Output::Answer(call, answer));
        }
        self.end_waiting(id, outcome);
    }

    /// Cancels the outstanding attempt of a request that waits, without a retry.
    pub(super) fn withdraw_attempt(
        &mut self,
        id: RequestId,
        attempt: OutstandingAttempt,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::AbandonAttempt(attempt.id, attempt.server));
        self.emit(Event::ClientLeft(id));
        let end = AttemptEnd::without_report(AttemptOutcome::Cancelled);
        self.conclude_attempt(attempt.id, end, true);
    }

    /// Ends a request that waits, without an answer.
    pub(super) fn end_waiting(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.is_waiting() {
            return;
        }
        request.phase = RequestPhase::Ended(outcome);
        request.call = None;
        let player = request.player.take();
        self.waiting_count -= 1;
        self.detach(id, player, true);
        self.retain_or_remove(id);
    }

    fn set_ended(&mut self, id: RequestId, outcome: RequestOutcome) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = RequestPhase::Ended(outcome);
        }
    }
}
