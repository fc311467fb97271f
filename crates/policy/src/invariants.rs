//! Guards on attempts: whatever was chosen, they bound what may be sent, when and where.
use crate::interface::{Class, Idempotency, Lifecycle, RequestId, RetryScope, SessionRequest, Time};
use crate::outliers::admission_slot;
use crate::state::{Nanoseconds, PlacementPolicy, Server, Session, SessionState};

impl PlacementPolicy {
    /// Whether an attempt that waits for its connection may still be sent: its server takes new work, and its
    /// admission slot in slow start and its time have not passed.
    pub fn may_send(&self, now: Time, request: RequestId) -> bool {
        let Some(session) = self.sessions.get(&request) else { return false };
        if session.client_left || now >= session.request.deadline {
            return false;
        }
        let Some(id) = session.server() else { return false };
        let Some(server) = self.servers.get(&id) else { return false };
        let slot = || admission_slot(&self.settings, server, id, now);
        let in_slot = || slot().is_some_and(|start| start <= session.rung_set_at);
        server.endpoint.lifecycle == Lifecycle::Ready && (now >= server.slow_start_until || in_slot())
    }

    /// Whether a request may be attempted: one attempt at a time, in time, within limits, run once only.
    pub(crate) fn may_attempt(&mut self, now: Time, request: RequestId) -> bool {
        let window_start = now.0.saturating_sub(self.settings.retry_budget_window);
        self.request_times.retain(|at| at.0 >= window_start);
        self.retry_times.retain(|at| at.0 >= window_start);
        let Some(session) = self.sessions.get(&request) else { return false };
        let Some(class) = self.class(session.request.class) else { return false };
        let waiting = !session.client_left && session.state == SessionState::Pending;
        waiting
            && now < session.request.deadline
            && may_execute_again(now, class, session)
            && self.title_has_seat(class, &session.request)
            && session.attempted.len() < self.settings.max_attempts.max(1) as usize
            && (session.attempted.is_empty() || self.retry_budget_left())
    }

    /// Whether the cap on sessions of one title leaves a place.
    fn title_has_seat(&self, class: &Class, request: &SessionRequest) -> bool {
        let seats = class.max_sessions_per_title as usize;
        seats == 0 || self.sessions_of_title(request.class, request.title) < seats
    }

    fn retry_budget_left(&self) -> bool {
        let by_ratio = self.settings.retry_budget_ratio * self.request_times.len() as f64;
        let budget = self.settings.retry_budget_min.map_or(f64::INFINITY, |least| least + by_ratio);
        (self.retry_times.len() + 1) as f64 <= budget
    }

    /// A class with a retry scope is sent again only within that of the attempt that may have been executed.
    pub(crate) fn in_retry_scope(&self, session: &Session, server: &Server) -> bool {
        let Some(execution) = session.possible_execution else { return true };
        let Some(first) = self.servers.get(&execution.server) else { return true };
        let (first, other) = (&first.endpoint, &server.endpoint);
        match self.class(session.request.class).map(|class| class.idempotency) {
            Some(Idempotency::IdempotentWithin(RetryScope::Zone)) => first.zone == other.zone,
            Some(Idempotency::IdempotentWithin(RetryScope::Cell)) => first.cell == other.cell,
            _ => true,
        }
    }
}

/// Whether a further attempt does no harm: no earlier one can have been executed, or the class allows it.
fn may_execute_again(now: Time, class: &Class, session: &Session) -> bool {
    let Some(execution) = session.possible_execution else { return true };
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::AtMostOnce => false,
        Idempotency::IdempotentWithin(_) => now.since(execution.sent_at) < class.retry_window,
    }
}
