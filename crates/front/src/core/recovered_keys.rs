//! Keys and sessions of previous incarnations, as reconciliation with the servers finds them.
use super::request::{Request, RequestPhase, SessionKey};
use super::Core;
use crate::input::OpenRequest;
use crate::keys::RequestOutcome;
use crate::output::Output;
use crate::timers::TimerEntry;
use crankpaddle::{ServerId, SessionRequest};

impl Core {
    /// It is not known yet whether a paid set-up ran under this key.
    pub(super) fn key_unresolved(&mut self, tenant: u16, key: String) {
        self.unresolved_keys.insert(SessionKey { tenant, key });
    }

    /// The outcome of a paid key is known; `None`: it never ran.
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
            // Only an ended request is removed: what this incarnation has begun under the key since is its own.
            (None, Some(id)) => self.remove_ended(id),
            (Some(_), Some(_)) | (None, None) => {}
        }
    }

    fn retain_recovered(&mut self, key: SessionKey, class: u8, outcome: RequestOutcome) {
        let id = self.next_request_id();
        let session = SessionRequest {
            request: id,
            tenant: key.tenant,
            class,
            ..SessionRequest::default()
        };
        let mut request = Request::new(session, key.key.clone(), None, self.now);
        request.phase = RequestPhase::Ended(outcome);
        request.may_have_run = true;
        self.requests.insert(id, request);
        self.keys.insert(key, id);
        self.retain_or_remove(id);
    }

    /// A server holds a session that a previous incarnation set up: it is tracked, and its viewer may reattach.
    pub(super) fn session_found(
        &mut self,
        token: u64,
        open: OpenRequest,
        server: ServerId,
        out: &mut Vec<Output>,
    ) {
        self.unresolved_keys.remove(&SessionKey::from(&open));
        let tracked = self.track_established(open, server);
        if let Some(session) = &tracked {
            let resume_until = self.now + self.config.recovered_resume_window;
            let entry = TimerEntry::ResumeWindow {
                request: session.request,
                disconnects: 0,
            };
            self.timers.set(resume_until, entry);
        }
        out.push(Output::FoundSessionHandled {
            token,
            attempt: tracked.map(|session| session.attempt),
            server,
        });
    }
}
