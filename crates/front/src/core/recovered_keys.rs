//! Keys and sessions of previous incarnations that reconciliation with the servers found.
use super::request::{Request, RequestPhase, SessionKey};
use super::Core;
use crate::input::OpenRequest;
use crate::keys::RequestOutcome;
use crate::output::Output;
use crate::timers::TimerEntry;
use crankpaddle::{ServerId, SessionRequest};

impl Core {
    /// Records that it is not known yet whether a paid set-up ran under this key.
    pub(super) fn key_unresolved(&mut self, tenant: u16, key: String) {
        self.unresolved_keys.insert(SessionKey { tenant, key });
    }

    /// Records the outcome of a paid key of a previous incarnation; `None` if its set-up never ran.
    pub(super) fn key_resolved(
        &mut self,
        tenant: u16,
        key: String,
        class: u8,
        outcome: Option<RequestOutcome>,
    ) {
        let key = SessionKey { tenant, key };
        self.unresolved_keys.remove(&key);
        let known = self.keys.get(&key).copied();
        match (outcome, known) {
            (Some(outcome), None) => self.retain_recovered(key, class, outcome),
            // This has no effect on a request that the current incarnation has started under the key and that has not
            // ended.
            (None, Some(id)) => self.remove_ended(id),
            (Some(_), Some(_)) | (None, None) => {}
        }
    }

    fn retain_recovered(&mut self, key: SessionKey, class: u8, outcome: RequestOutcome) {
        let id = self.next_request_id();
        let session_request = SessionRequest {
            request: id,
            tenant: key.tenant,
            class,
            ..SessionRequest::default()
        };
        let mut request = Request::new(session_request, key.key.clone(), None, self.now);
        request.phase = RequestPhase::Ended(outcome);
        request.may_have_run = true;
        self.requests.insert(id, request);
        self.keys.insert(key, id);
        self.retain_or_remove(id);
    }

    /// Tracks a session at a server that a previous incarnation set up. Its viewer may reattach to it for a limited
    /// time.
    pub(super) fn session_found(
        &mut self,
        token: u64,
        open: OpenRequest,
        server: ServerId,
        out: &mut Vec<Output>,
    ) {
        self.unresolved_keys.remove(&SessionKey::from(&open));
        let tracked = self.track_established(open, server);
        if let Some(found) = &tracked {
            let resume_until = self.now + self.config.recovered_resume_window;
            let entry = TimerEntry::ResumeWindow {
                request: found.request,
                disconnects: 0,
            };
            self.timers.set(resume_until, entry);
        }
        out.push(Output::FoundSessionHandled {
            token,
            attempt: tracked.map(|found| found.attempt),
            server,
        });
    }
}
