//! Retention of the keys of ended requests.
use super::request::{RequestPhase, SessionKey};
use super::Core;
use crate::keys::{self, ReopenDecision, RequestOutcome};
use crate::timers::TimerEntry;
use crankpaddle::RequestId;

impl Core {
    /// Retains an ended request while its key must not be set up again, in bounded memory; removes it otherwise.
    pub(super) fn retain_or_remove(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let RequestPhase::Ended(outcome) = request.phase else {
            return;
        };
        let idempotency = self.idempotency(request.session.class);
        let reopen = keys::reopen(request.key_state(), idempotency);
        if outcome != RequestOutcome::Migrated && reopen == ReopenDecision::StartNew {
            return self.remove_ended(id);
        }
        let retained_until = request.viewer_deadline + self.config.key_retention;
        // Why: a timer set for a time long past makes the driver of the core assume a stall. A session that played for
        // longer than its key is retained would set one at its end.
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

    /// Removes a request that has ended, and its key.
    pub(super) fn remove_ended(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !matches!(request.phase, RequestPhase::Ended(_)) {
            return;
        }
        let key = SessionKey {
            tenant: request.session.tenant,
            key: request.key.clone(),
        };
        self.requests.remove(&id);
        if self.keys.get(&key) == Some(&id) {
            self.keys.remove(&key);
        }
    }
}
