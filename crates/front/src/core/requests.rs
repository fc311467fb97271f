//! Requests of players for existing sessions: reattach, close, adopt.
use super::request::{OutstandingAttempt, Request, RequestPhase, SessionKey};
use super::Core;
use crate::ids::{AttemptId, Call, PlayerId};
use crate::input::OpenRequest;
use crate::keys::RequestOutcome;
use crate::output::{Answer, Notification, Output, SessionEndReason};
use crankpaddle::{AttemptOutcome, Event, RequestId, ServerId};

/// A session that is tracked although this core did not set it up.
pub(super) struct TrackedSession {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
}

impl Core {
    /// Reattaches a player to the request that its key names.
    pub(super) fn resume(&mut self, call: Call, tenant: u16, key: String, out: &mut Vec<Output>) {
        let id = self.keys.get(&SessionKey { tenant, key }).copied();
        let request = id.and_then(|id| self.requests.get(&id));
        let (Some(id), Some(request)) = (id, request) else {
            return out.push(Output::Answer(call, Answer::UnknownSession));
        };
        let answer = match request.phase {
            RequestPhase::Waiting(_) | RequestPhase::Playing(_) => {
                return self.reattach(call, id, out);
            }
            RequestPhase::Ended(RequestOutcome::Failed) => Answer::Failed(request.failure),
            RequestPhase::Ended(_) => Answer::UnknownSession,
        };
        out.push(Output::Answer(call, answer));
    }

    /// Attaches a call, of another connection or the same, to a request that waits or plays.
    pub(super) fn reattach(&mut self, call: Call, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match request.phase {
            RequestPhase::Waiting(_) => {
                if let Some(superseded) = request.call.replace(call) {
                    out.push(Output::Answer(superseded, Answer::Superseded));
                }
            }
            RequestPhase::Playing(attempt) => {
                let established = Answer::Established {
                    session: id,
                    attempt: attempt.id,
                    server: attempt.server,
                    rung: request.rung,
                };
                if let Some(superseded) = request.player.filter(|player| *player != call.player) {
                    let notification = Notification::SessionEnded {
                        reason: SessionEndReason::Superseded,
                        retry_after: None,
                    };
                    out.push(Output::Notify(superseded, id, notification));
                }
                out.push(Output::Answer(call, established));
            }
            RequestPhase::Ended(_) => {
                return out.push(Output::Answer(call, Answer::UnknownSession));
            }
        }
        self.attach(id, call.player);
    }

    /// Ends a session for its player.
    pub(super) fn close(&mut self, call: Call, session: RequestId, out: &mut Vec<Output>) {
        let is_own = self
            .requests
            .get(&session)
            .is_some_and(|request| request.player == Some(call.player));
        let is_closed = is_own
            && self.tear_down(
                session,
                AttemptOutcome::Completed,
                RequestOutcome::Played,
                out,
            );
        let answer = if is_closed {
            Answer::Closed
        } else {
            Answer::UnknownSession
        };
        out.push(Output::Answer(call, answer));
    }

    /// Adopts a session that already plays, for its player.
    pub(super) fn adopt(
        &mut self,
        player: PlayerId,
        open: OpenRequest,
        server: ServerId,
        out: &mut Vec<Output>,
    ) {
        let Some(adopted) = self.track_established(open, server) else {
            return;
        };
        self.attach(adopted.request, player);
        out.push(Output::SessionAdopted {
            player,
            attempt: adopted.attempt,
            server,
        });
    }

    /// Tracks a session that already plays at a server. `None`: its key is known. Why: the same session may be reported twice,
    /// or one that this front set up itself is reported; a second one under its key would be ended twice and counted twice.
    pub(super) fn track_established(
        &mut self,
        open: OpenRequest,
        server: ServerId,
    ) -> Option<TrackedSession> {
        let key = SessionKey::from(&open);
        if self.keys.contains_key(&key) {
            return None;
        }
        let id = self.next_request_id();
        let attempt = OutstandingAttempt {
            id: self.next_attempt_id(),
            server,
            started_at: self.now,
            is_deferred: false,
        };
        let viewer_deadline = self.now + open.max_wait;
        let session = open.session_request(id, viewer_deadline);
        let mut request = Request::new(session.clone(), open.key, None, viewer_deadline);
        request.phase = RequestPhase::Playing(attempt);
        request.rung = self.min_rung(session.class);
        request.attempt_count = 1;
        request.may_have_run = true;
        self.keys.insert(key, id);
        self.requests.insert(id, request);
        self.attempts.insert(attempt.id, id);
        self.playing += 1;
        self.emit(Event::SessionAdopted(session, server));
        Some(TrackedSession {
            request: id,
            attempt: attempt.id,
        })
    }

    fn min_rung(&self, class: u8) -> u8 {
        self.settings
            .classes
            .get(usize::from(class))
            .map_or(0, |class| class.min_rung)
    }
}
