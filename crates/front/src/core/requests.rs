//! Inputs of players about existing sessions: reattaching, closing and adoption.
use super::request::{OutstandingAttempt, Request, RequestPhase, SessionKey};
use super::Core;
use crate::ids::{AttemptId, PlayerCall, PlayerId};
use crate::input::{OpenRequest, SendState};
use crate::keys::RequestOutcome;
use crate::output::{Answer, Notification, Output, SessionEndReason};
use crankpaddle::{AttemptOutcome, Event, RequestId, ServerId};

/// The ids of a session that is tracked although this core did not set it up.
pub(super) struct TrackedSession {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
}

impl Core {
    /// Reattaches a player to the request with the given key.
    pub(super) fn resume(
        &mut self,
        call: PlayerCall,
        tenant: u16,
        key: String,
        out: &mut Vec<Output>,
    ) {
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

    /// Attaches a call, from the same or another connection, to a request that waits or plays. The call that waited for
    /// the answer so far, or the player of the session so far, is superseded.
    pub(super) fn reattach(&mut self, call: PlayerCall, id: RequestId, out: &mut Vec<Output>) {
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

    /// Ends a session, if it belongs to the player of the call.
    pub(super) fn close(&mut self, call: PlayerCall, session: RequestId, out: &mut Vec<Output>) {
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

    /// Tracks a session that already plays, and attaches it to its player.
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

    /// Tracks a session that already plays at a server. Returns `None` if its key is already known.
    ///
    /// A session may be reported twice, and so may one that this front set up itself. If it were tracked a second time,
    /// it would be counted and ended twice.
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
            send_state: SendState::Sent,
        };
        let viewer_deadline = self.now + open.max_wait;
        let session_request = open.session_request(id, viewer_deadline);
        let mut request = Request::new(session_request.clone(), open.key, None, viewer_deadline);
        request.phase = RequestPhase::Playing(attempt);
        request.rung = self
            .class_settings(session_request.class)
            .map_or(0, |class| class.min_rung);
        request.attempt_count = 1;
        request.may_have_run = true;
        self.keys.insert(key, id);
        self.requests.insert(id, request);
        self.attempts.insert(attempt.id, id);
        self.playing_count += 1;
        self.emit(Event::SessionAdopted(session_request, server));
        Some(TrackedSession {
            request: id,
            attempt: attempt.id,
        })
    }
}
