//! Retention of the keys of ended requests.
use super::request::{RequestPhase, SessionKey};
use super::Core;
use crate::keys::{self, ReopenDecision, RequestOutcome};
use crate::timers::TimerEntry;
use crankpaddle::RequestId;

impl Core {
    /// Retains an ended request, in bounded memory, if another open request with its key must not be treated as an
    /// ordinary new one. Removes the request otherwise.
    pub(super) fn retain_or_remove(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let RequestPhase::Ended(outcome) = request.phase else {
            return;
        };
        let idempotency = self.idempotency(request.session_request.class);
        let reopen = keys::decide_reopen(request.key_state(), idempotency);
        if outcome != RequestOutcome::Migrated && reopen == ReopenDecision::StartNew {
            return self.remove_ended(id);
        }
        let retained_until = request.viewer_deadline + self.config.key_retention;
        // A session that played for longer than its key is retained would set a timer in the past at its end, and a
        // timer that expired long ago makes the driver of the core assume that the process was stalled.
        if self.config.max_retained_keys == 0 || retained_until <= self.now {
            return self.remove_ended(id);
        }
        self.timers
            .set(retained_until, TimerEntry::KeyRetention(id));
        self.retained_keys.push_back(id);
        self.evict_retained_keys();
    }

    fn evict_retained_keys(&mut self) {
        while self.retained_keys.len() > self.config.max_retained_keys {
            if let Some(oldest) = self.retained_keys.pop_front() {
                self.remove_ended(oldest);
            }
        }
    }

    /// Removes a request that has ended, and its key unless the key names a newer request.
    pub(super) fn remove_ended(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !matches!(request.phase, RequestPhase::Ended(_)) {
            return;
        }
        let key = SessionKey {
            tenant: request.session_request.tenant,
            key: request.key.clone(),
        };
        self.requests.remove(&id);
        if self.keys.get(&key) == Some(&id) {
            self.keys.remove(&key);
        }
    }
}
