//! New requests for sessions: known keys, load shedding and answer deadlines.
use super::request::{Request, SessionKey};
use super::startup_recovery::RecoveryDecision;
use super::Core;
use crate::ids::PlayerCall;
use crate::input::OpenRequest;
use crate::jitter::jitter;
use crate::keys::{self, ReopenDecision};
use crate::output::{Answer, FailureReason, Output, RejectReason};
use crate::overload::AdmissionDecision;
use crate::recovery_queue::ReceivedOpen;
use crate::timers::TimerEntry;
use crankpaddle::{Event, SessionRequest, Time};
use std::time::Duration;

/// The times that limit the answer to a request.
pub(super) struct AnswerDeadlines {
    /// When the viewer gives up.
    pub(super) viewer_deadline: Time,
    /// When the request must be answered, before the viewer gives up.
    pub(super) answer_deadline: Time,
}

/// Whether a new request repeats an earlier one of its viewer.
struct RequestOrigin {
    is_retry: bool,
    is_migration: bool,
}

impl Core {
    /// Opens a session for a request that was just read.
    pub(super) fn open_received(
        &mut self,
        call: PlayerCall,
        open: OpenRequest,
        received_at: Time,
        out: &mut Vec<Output>,
    ) {
        let received_open = ReceivedOpen {
            call,
            open,
            received_at,
        };
        self.open(received_open, received_at, out);
    }

    /// Opens a session. `ready_at` is when the core could first decide on the request: when it was read, or when it
    /// left the recovery queue. Overload is measured from then, because the time in the recovery queue does not show
    /// that this front is slow.
    pub(super) fn open(
        &mut self,
        received_open: ReceivedOpen,
        ready_at: Time,
        out: &mut Vec<Output>,
    ) {
        match self.admit_during_recovery(&received_open) {
            RecoveryDecision::Serve => {}
            RecoveryDecision::Queued => return,
            RecoveryDecision::Answered(answer) => {
                return out.push(Output::Answer(received_open.call, answer));
            }
        }
        let Some(origin) = self.resolve_key(&received_open, out) else {
            return;
        };
        if let Some(rejection) = self.admission_rejection(received_open.call, ready_at) {
            return out.push(Output::Answer(received_open.call, rejection));
        }
        self.start_request(received_open, origin);
    }

    /// Looks the key of the request up. Returns `None` if the call was answered or joined the request with this key,
    /// and otherwise the origin of a new request.
    fn resolve_key(
        &mut self,
        received_open: &ReceivedOpen,
        out: &mut Vec<Output>,
    ) -> Option<RequestOrigin> {
        let open = &received_open.open;
        let stated_origin = RequestOrigin {
            is_retry: open.is_retry,
            is_migration: open.is_migration,
        };
        let Some(id) = self.keys.get(&SessionKey::from(open)).copied() else {
            return Some(stated_origin);
        };
        let Some(request) = self.requests.get(&id) else {
            return Some(stated_origin);
        };
        let origin = match keys::decide_reopen(request.key_state(), self.idempotency(open.class)) {
            ReopenDecision::Join | ReopenDecision::Resume => {
                self.reattach(received_open.call, id, out);
                return None;
            }
            ReopenDecision::FailedBefore => {
                let answer = Answer::Failed(request.failure);
                out.push(Output::Answer(received_open.call, answer));
                return None;
            }
            ReopenDecision::KeySpent => {
                // A rejection would state that nothing ran, but this session ran. A player that reconnects after its
                // server was lost would conclude that it may retry a paid request.
                let answer = Answer::Failed(FailureReason::KeySpent);
                out.push(Output::Answer(received_open.call, answer));
                return None;
            }
            ReopenDecision::StartNew => RequestOrigin {
                is_retry: true,
                ..stated_origin
            },
            ReopenDecision::StartMigrated => RequestOrigin {
                is_retry: true,
                is_migration: true,
            },
        };
        self.remove_ended(id);
        Some(origin)
    }

    /// The rejection of a request that the front does not admit because it shuts down or is overloaded; `None` if it
    /// admits the request.
    fn admission_rejection(&mut self, call: PlayerCall, ready_at: Time) -> Option<Answer> {
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

    fn overload_reason(&mut self, call: PlayerCall, ready_at: Time) -> Option<RejectReason> {
        let pending_of_player = self.waiting_count_of(call.player);
        let decision =
            self.overload
                .admit(self.now, ready_at, self.waiting_count, pending_of_player);
        match decision {
            AdmissionDecision::Admit => None,
            AdmissionDecision::TooManyPending => Some(RejectReason::TooManyPending),
            AdmissionDecision::Overloaded => Some(RejectReason::Overload),
        }
    }

    fn start_request(&mut self, received_open: ReceivedOpen, origin: RequestOrigin) {
        let ReceivedOpen {
            call,
            open,
            received_at,
        } = received_open;
        let id = self.next_request_id();
        let deadlines = self.answer_deadlines(&open, received_at);
        let session_request = SessionRequest {
            is_retry: origin.is_retry,
            is_migration: origin.is_migration,
            ..open.session_request(id, deadlines.answer_deadline)
        };
        self.keys.insert(SessionKey::from(&open), id);
        let request = Request::new(
            session_request.clone(),
            open.key,
            Some(call),
            deadlines.viewer_deadline,
        );
        self.requests.insert(id, request);
        self.waiting_count += 1;
        self.attach(id, call.player);
        self.timers
            .set(deadlines.answer_deadline, TimerEntry::AnswerDeadline(id));
        self.emit(Event::SessionRequested(session_request));
        self.undecided_requests.push(id);
    }

    /// Computes the deadlines of an answer. The viewer's wait counts from when its message was read, not from when the
    /// message is handled.
    pub(super) fn answer_deadlines(
        &self,
        open: &OpenRequest,
        received_at: Time,
    ) -> AnswerDeadlines {
        let class_max_wait = self
            .config
            .max_wait
            .get(usize::from(open.class))
            .copied()
            .unwrap_or(Duration::ZERO);
        let wait = open.max_wait.min(class_max_wait);
        let margin = self.config.answer_margin.min(wait / 2);
        let viewer_deadline = received_at + wait;
        AnswerDeadlines {
            viewer_deadline,
            answer_deadline: viewer_deadline - margin,
        }
    }
}
