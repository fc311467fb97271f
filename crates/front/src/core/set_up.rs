//! Starting attempts at servers.
use super::request::{OutstandingAttempt, Request, RequestPhase};
use super::Core;
use crate::ids::AttemptId;
use crate::input::SendState;
use crate::output::{Output, SetUpOrder};
use crate::timers::TimerEntry;
use crankpaddle::{AttemptOutcome, Event, LoadReport, RequestId, ServerId, Time};
use std::time::Duration;

impl Core {
    /// Whether an outstanding attempt that was not sent yet may still be sent. The driver calls this right before it
    /// sends, because establishing the connection may have taken long, and after [`Core::decide`], so that all inputs
    /// are considered.
    #[must_use]
    pub fn may_send(&self, now: Time, attempt: AttemptId) -> bool {
        let Some(id) = self.attempts.get(&attempt) else {
            return false;
        };
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let is_outstanding = request
            .waiting_attempt()
            .is_some_and(|outstanding| outstanding.id == attempt);
        is_outstanding && now < request.viewer_deadline && self.policy.may_send(now, *id)
    }

    /// Starts an attempt. Without a `timeout` it may last until the request must be answered.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        server: ServerId,
        timeout: Option<Duration>,
        out: &mut Vec<Output>,
    ) {
        if !self.may_start_attempt(request) {
            return self.report_not_sent(request, server);
        }
        let id = self.next_attempt_id();
        let timeout_at = timeout.map(|timeout| self.now + timeout);
        let attempt = OutstandingAttempt {
            id,
            server,
            started_at: self.now,
            send_state: SendState::Sent,
        };
        let Some(waiting) = self.requests.get_mut(&request) else {
            return;
        };
        let number = waiting.attempt_count;
        let order = waiting.begin_attempt(attempt);
        let deadline = waiting.session_request.deadline;
        if let Some(at) = timeout_at {
            self.timers.set(at, TimerEntry::AttemptTimeout(id));
        }
        self.attempts.insert(id, request);
        out.push(Output::StartSetUp {
            attempt: id,
            request,
            number,
            server,
            order,
            deadline: timeout_at.map_or(deadline, |at| at.min(deadline)),
        });
    }

    /// The last check before an attempt is sent, whatever the policy decided. A request has at most one outstanding
    /// attempt, an answered request gets no attempt, and a paid request that may have run gets no further attempt.
    fn may_start_attempt(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let would_run_twice = request.may_have_run && self.is_paid(request.session_request.class);
        request.is_waiting()
            && request.waiting_attempt().is_none()
            && !would_run_twice
            && self.now < request.session_request.deadline
    }

    /// Reports to the policy that its attempt was not sent. Otherwise the policy would count the attempt as outstanding
    /// forever. This also happens if the viewer left between an input and the decision on it.
    fn report_not_sent(&mut self, id: RequestId, server: ServerId) {
        let request = self.requests.get(&id);
        self.emit(Event::AttemptEnded {
            request: id,
            attempt: request.map_or(0, |request| request.attempt_count),
            server,
            outcome: AttemptOutcome::NotSent,
            is_final: !request.is_some_and(Request::is_waiting),
            report: LoadReport::new(),
        });
    }
}

impl Request {
    /// Makes `attempt` the outstanding one, and returns the order for its server.
    fn begin_attempt(&mut self, attempt: OutstandingAttempt) -> SetUpOrder {
        self.attempt_count = self.attempt_count.saturating_add(1);
        self.phase = RequestPhase::Waiting(Some(attempt));
        SetUpOrder {
            key: self.key.clone(),
            class: self.session_request.class,
            tenant: self.session_request.tenant,
            title: self.session_request.title,
            rung: self.rung,
        }
    }
}
