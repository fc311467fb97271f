//! Invariants of attempts. They bound what may be sent, when and where, whatever server was selected.
use crate::interface::{Idempotency, Lifecycle, RequestId, RetryScope, SessionClass, SessionRequest, Time};
use crate::outliers::open_slot;
use crate::state::{PlacementPolicy, ServerRecord, SessionRecord, SessionState, TimeArithmetic};

impl PlacementPolicy {
    /// Whether an attempt that waits for its connection may still be sent: its deadline has not passed, its
    /// server accepts new sessions, and in slow start its admission slot is still open.
    pub fn may_send(&self, now: Time, request: RequestId) -> bool {
        let Some(session) = self.sessions.get(&request) else { return false };
        if session.client_left || now >= session.request.deadline {
            return false;
        }
        let Some(id) = session.server() else { return false };
        let Some(server) = self.servers.get(&id) else { return false };
        let slot = || open_slot(&self.settings, server, id, now);
        let in_slot = || slot().is_some_and(|start| start <= session.rung_set_at);
        server.endpoint.lifecycle == Lifecycle::Ready && (now >= server.slow_start_until || in_slot())
    }

    /// Whether a request may be attempted now: it is pending, in time, safe to repeat and within all limits.
    pub(crate) fn may_attempt(&mut self, now: Time, request: RequestId) -> bool {
        let window_start = now.0.saturating_sub(self.settings.retry_budget_window);
        self.request_times.retain(|at| at.0 >= window_start);
        self.retry_times.retain(|at| at.0 >= window_start);
        let Some(session) = self.sessions.get(&request) else { return false };
        let Some(class) = self.class(session.request.class) else { return false };
        let is_pending = !session.client_left && session.state == SessionState::Pending;
        is_pending
            && now < session.request.deadline
            && may_execute_again(now, class, session)
            && self.title_limit_allows(class, &session.request)
            && session.attempted.len() < self.settings.max_attempts.max(1) as usize
            && (session.attempted.is_empty() || self.retry_budget_left())
    }

    /// Whether the limit on concurrent sessions of a title allows another one.
    fn title_limit_allows(&self, class: &SessionClass, request: &SessionRequest) -> bool {
        let limit = class.max_sessions_per_title as usize;
        limit == 0 || self.sessions_of_title(request.class, request.title) < limit
    }

    fn retry_budget_left(&self) -> bool {
        let by_ratio = self.settings.retry_budget_ratio * self.request_times.len() as f64;
        let budget = self.settings.retry_budget_min.map_or(f64::INFINITY, |min| min + by_ratio);
        (self.retry_times.len() + 1) as f64 <= budget
    }

    /// Whether a server is in the retry scope: the zone or cell of the attempt that may have been executed.
    pub(crate) fn in_retry_scope(&self, session: &SessionRecord, server: &ServerRecord) -> bool {
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

/// Whether another attempt is safe: no earlier one can have been executed, or the class allows a repetition.
fn may_execute_again(now: Time, class: &SessionClass, session: &SessionRecord) -> bool {
    let Some(execution) = session.possible_execution else { return true };
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::AtMostOnce => false,
        Idempotency::IdempotentWithin(_) => now.since(execution.sent_at) < class.retry_window,
    }
}
