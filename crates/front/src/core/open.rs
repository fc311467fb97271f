//! New requests for sessions: what a known key amounts to, load shedding, and the answer's deadline.
use super::request::{Request, SessionKey};
use super::startup_recovery::RecoveryDecision;
use super::Core;
use crate::ids::Call;
use crate::input::OpenRequest;
use crate::jitter::jitter;
use crate::keys::{self, ReopenDecision};
use crate::output::{Answer, FailureReason, Output, RejectReason};
use crate::overload::AdmissionDecision;
use crate::recovery_queue::OpenCall;
use crate::timers::TimerEntry;
use crankpaddle::{Event, SessionRequest, Time};
use std::time::Duration;

/// How long the answer to a request may take.
pub(super) struct AnswerLimits {
    /// When the viewer gives up.
    pub(super) viewer_deadline: Time,
    /// When the request must be answered.
    pub(super) deadline: Time,
}

/// How a new request came about.
struct RequestOrigin {
    is_retry: bool,
    is_migration: bool,
}

impl Core {
    /// Opens a session for a request that was just read.
    pub(super) fn open_received(
        &mut self,
        call: Call,
        open: OpenRequest,
        received_at: Time,
        out: &mut Vec<Output>,
    ) {
        let opening = OpenCall {
            call,
            open,
            received_at,
        };
        self.open(opening, received_at, out);
    }

    /// Opens a session. `ready_at` is when the request was ready to be decided: when it was read, or when it left the
    /// recovery queue. Why: a request that was queued for recovery did not wait because this front is slow.
    pub(super) fn open(&mut self, opening: OpenCall, ready_at: Time, out: &mut Vec<Output>) {
        match self.admit_during_recovery(&opening) {
            RecoveryDecision::Serve => {}
            RecoveryDecision::Queued => return,
            RecoveryDecision::Answered(answer) => {
                return out.push(Output::Answer(opening.call, answer));
            }
        }
        let Some(origin) = self.resolve_key(&opening, out) else {
            return;
        };
        if let Some(rejection) = self.shed_load(opening.call, ready_at) {
            return out.push(Output::Answer(opening.call, rejection));
        }
        self.start_request(opening, origin);
    }

    /// Resolves the key of an open. `None`: it is answered, or waits with the request that its key names.
    fn resolve_key(&mut self, opening: &OpenCall, out: &mut Vec<Output>) -> Option<RequestOrigin> {
        let open = &opening.open;
        let first = RequestOrigin {
            is_retry: open.is_retry,
            is_migration: open.is_migration,
        };
        let Some(id) = self.keys.get(&SessionKey::from(open)).copied() else {
            return Some(first);
        };
        let Some(request) = self.requests.get(&id) else {
            return Some(first);
        };
        let origin = match keys::reopen(request.key_state(), self.idempotency(open.class)) {
            ReopenDecision::Join | ReopenDecision::Resume => {
                self.reattach(opening.call, id, out);
                return None;
            }
            ReopenDecision::FailedBefore => {
                let answer = Answer::Failed(request.failure);
                out.push(Output::Answer(opening.call, answer));
                return None;
            }
            ReopenDecision::KeySpent => {
                // Why no rejection: it states that nothing ran, and this ran. A player whose server was lost while it
                // reconnected would learn that it may retry what it has paid.
                let answer = Answer::Failed(FailureReason::KeySpent);
                out.push(Output::Answer(opening.call, answer));
                return None;
            }
            ReopenDecision::StartNew => RequestOrigin {
                is_retry: true,
                ..first
            },
            ReopenDecision::StartMigrated => RequestOrigin {
                is_retry: true,
                is_migration: true,
            },
        };
        self.remove_ended(id);
        Some(origin)
    }

    /// The rejection of a request that the front itself does not admit.
    fn shed_load(&mut self, call: Call, ready_at: Time) -> Option<Answer> {
        let reason = if self.draining {
            RejectReason::ShuttingDown
        } else {
            self.overload_reason(call, ready_at)?
        };
        let jitter = jitter(self.last_request ^ call.player.0.rotate_left(32) ^ call.number);
        Some(Answer::Rejected {
            reason,
            retry_after: self.overload.retry_after(jitter),
        })
    }

    fn overload_reason(&mut self, call: Call, ready_at: Time) -> Option<RejectReason> {
        let pending_of_player = self.waiting_of(call.player);
        let decision = self
            .overload
            .admit(self.now, ready_at, self.waiting, pending_of_player);
        match decision {
            AdmissionDecision::Admit => None,
            AdmissionDecision::TooManyPending => Some(RejectReason::TooManyPending),
            AdmissionDecision::Overloaded => Some(RejectReason::Overload),
        }
    }

    fn start_request(&mut self, opening: OpenCall, origin: RequestOrigin) {
        let OpenCall {
            call,
            open,
            received_at,
        } = opening;
        let id = self.next_request_id();
        let limits = self.answer_limits(&open, received_at);
        let session = SessionRequest {
            is_retry: origin.is_retry,
            is_migration: origin.is_migration,
            ..open.session_request(id, limits.deadline)
        };
        self.keys.insert(SessionKey::from(&open), id);
        let request = Request::new(
            session.clone(),
            open.key,
            Some(call),
            limits.viewer_deadline,
        );
        self.requests.insert(id, request);
        self.waiting += 1;
        self.attach(id, call.player);
        self.timers
            .set(limits.deadline, TimerEntry::AnswerDeadline(id));
        self.emit(Event::SessionRequested(session));
        self.undecided_requests.push(id);
    }

    /// The limits of an answer. The viewer's clock runs from when its message was read, not from when it is handled.
    pub(super) fn answer_limits(&self, open: &OpenRequest, received_at: Time) -> AnswerLimits {
        let class_max_wait = self
            .config
            .max_wait
            .get(usize::from(open.class))
            .copied()
            .unwrap_or(Duration::ZERO);
        let wait = open.max_wait.min(class_max_wait);
        let margin = self.config.answer_margin.min(wait / 2);
        let viewer_deadline = received_at + wait;
        AnswerLimits {
            viewer_deadline,
            deadline: viewer_deadline - margin,
        }
    }
}
