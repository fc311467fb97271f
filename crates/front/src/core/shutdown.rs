//! Shutdown of the front.
use super::request::{OutstandingAttempt, RequestPhase};
use super::Core;
use crate::jitter::jitter;
use crate::keys::RequestOutcome;
use crate::output::{Answer, FailureReason, Notification, Output, RejectReason, SessionEndReason};
use crankpaddle::{AttemptOutcome, Event, RequestId};

impl Core {
    /// Answers all requests that wait, ends all sessions, and admits no new requests.
    pub(super) fn stop(&mut self, out: &mut Vec<Output>) {
        self.draining = true;
        for queued in self.recovery_queue.take_all() {
            self.answer_queued(&queued.received_open, out);
        }
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in requests {
            self.stop_request(id, out);
        }
    }

    fn stop_request(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match request.phase {
            RequestPhase::Waiting(Some(attempt)) => self.stop_attempt(id, attempt, out),
            RequestPhase::Waiting(None) => self.stop_undecided(id, out),
            RequestPhase::Playing(_) => self.stop_session(id, out),
            RequestPhase::Ended(_) => {}
        }
    }

    fn stop_attempt(&mut self, id: RequestId, attempt: OutstandingAttempt, out: &mut Vec<Output>) {
        let call = self.requests.get(&id).and_then(|request| request.call);
        self.withdraw_attempt(id, attempt, out);
        if let Some(call) = call {
            let answer = Answer::Failed(FailureReason::Cancelled);
            out.push(Output::Answer(call, answer));
        }
        self.end_waiting(id, RequestOutcome::Failed);
    }

    /// Stops a request that waits without an attempt, because the policy has not decided on it yet.
    fn stop_undecided(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let may_have_run = self
            .requests
            .get(&id)
            .is_some_and(|request| request.may_have_run);
        self.emit(Event::ClientLeft(id));
        let answer = if may_have_run {
            Answer::Failed(FailureReason::Cancelled)
        } else {
            Answer::Rejected {
                reason: RejectReason::ShuttingDown,
                retry_after: self.overload.retry_after(jitter(id.0)),
            }
        };
        self.answer_waiting(id, answer, out);
    }

    fn stop_session(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let player = self.requests.get(&id).and_then(|request| request.player);
        let retry_after = self.overload.retry_after(jitter(id.0));
        self.tear_down(id, AttemptOutcome::Cancelled, RequestOutcome::Played, out);
        if let Some(player) = player {
            let notification = Notification::SessionEnded {
                reason: SessionEndReason::ShuttingDown,
                retry_after,
            };
            out.push(Output::Notify(player, id, notification));
        }
    }
}
