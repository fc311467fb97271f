//! Players: what they open, take up, close and leave.
use super::{jitter, Core, Request};
use crate::input::{
    Answer, AttemptId, Call, FailureReason, Notification, OpenRequest, Output, PlayerId,
    RejectReason, SessionEndReason,
};
use crate::keys::{self, KeyState, ReopenDecision, RequestOutcome};
use crate::overload::AdmissionDecision;
use crate::timers::Due;
use crankpaddle::{AttemptOutcome, Event, LoadReport, RequestId, ServerId, SessionRequest, Time};

impl Core {
    pub(super) fn open(
        &mut self,
        now: Time,
        call: Call,
        open: OpenRequest,
        received: Time,
        held_until: Option<Time>,
        out: &mut Vec<Output>,
    ) {
        if let Some(answer) = self.not_yet(now, call, &open, received) {
            out.extend(answer.map(|answer| Output::Answer(call, answer)));
            return;
        }
        let effect = self
            .settings
            .classes
            .get(usize::from(open.class))
            .map(|c| c.idempotency);
        let named = (open.tenant, open.key.clone());
        let known = self.keys.get(&named).copied();
        let (mut again, mut moved) = (open.is_retry, open.is_migration);
        if let Some((id, r)) = known.and_then(|id| Some((id, self.requests.get(&id)?))) {
            match keys::reopen(r.standing, effect) {
                ReopenDecision::Join | ReopenDecision::Resume => {
                    return self.take_up(call, id, out)
                }
                ReopenDecision::FailedBefore => {
                    return out.push(Output::Answer(call, Answer::Failed(r.failure)))
                }
                ReopenDecision::KeySpent => {
                    // Danger: a refusal says that nothing ran, and this ran. A player whose server was lost while
                    // it reconnected would be told that it may ask again for what it has paid.
                    return out.push(Output::Answer(
                        call,
                        Answer::Failed(FailureReason::KeySpent),
                    ));
                }
                ReopenDecision::StartNew => again = true,
                ReopenDecision::StartMigrated => (again, moved) = (true, true),
            }
            self.forget(id);
        }
        let dice = jitter(self.last_request ^ call.player.0.rotate_left(32) ^ call.number);
        if self.draining {
            let advice = self.overload.retry_after(dice);
            return out.push(Output::Answer(
                call,
                Answer::Rejected(RejectReason::ShuttingDown, advice),
            ));
        }
        let of_player = self.players.get(&call.player).map_or(0, |p| p.waiting);
        // Danger: who was held until service returned did not wait because this front is slow.
        let looked_at = held_until.unwrap_or(received);
        let refusal = match self.overload.admit(now, looked_at, self.waiting, of_player) {
            AdmissionDecision::Admit => None,
            AdmissionDecision::TooManyPending => Some(RejectReason::TooManyPending),
            AdmissionDecision::Overloaded => Some(RejectReason::Overload),
        };
        if let Some(why) = refusal {
            let advice = self.overload.retry_after(dice);
            return out.push(Output::Answer(call, Answer::Rejected(why, advice)));
        }
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let (gives_up, deadline) = self.patience(&open, received);
        let ask = SessionRequest {
            is_retry: again,
            is_migration: moved,
            ..open.ask(id, deadline)
        };
        self.keys.insert(named.clone(), id);
        let request = Request::new(ask.clone(), named.1, Some(call), gives_up);
        self.requests.insert(id, request);
        self.waiting += 1;
        self.attach(id, call.player);
        self.timers.set(deadline, Due::Answer(id));
        self.events.push_back(Event::SessionRequested(ask));
        self.opened.push(id);
    }

    /// When a viewer gives up, and when it must be answered. Its clock runs from when its message came, not from when it is looked at.
    pub(super) fn patience(&self, open: &OpenRequest, received: Time) -> (Time, Time) {
        let bound = self
            .terms
            .max_wait
            .get(usize::from(open.class))
            .copied()
            .unwrap_or(0);
        let patience = open.max_wait.min(bound);
        let gives_up = Time(received.0.saturating_add(patience));
        let margin = self.terms.answer_margin.min(patience / 2);
        (gives_up, Time(gives_up.0 - margin))
    }

    /// Another connection, or the same again, wants what this request gives.
    pub(super) fn take_up(&mut self, call: Call, id: RequestId, out: &mut Vec<Output>) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let before = r.player;
        match (r.standing, r.out) {
            (KeyState::Waiting, _) => {
                let other = r.call.replace(call);
                out.extend(other.map(|c| Output::Answer(c, Answer::Superseded)));
            }
            (KeyState::Playing, Some((attempt, server, _))) => {
                let taken = Notification::SessionEnded(SessionEndReason::Superseded, 0);
                out.extend(
                    before
                        .filter(|p| *p != call.player)
                        .map(|p| Output::Notify(p, id, taken)),
                );
                let plays = Answer::Established {
                    session: id,
                    attempt,
                    server,
                    rung: r.rung,
                };
                out.push(Output::Answer(call, plays));
            }
            _ => return out.push(Output::Answer(call, Answer::UnknownSession)),
        }
        self.attach(id, call.player);
    }

    pub(super) fn resume(&mut self, call: Call, tenant: u16, key: String, out: &mut Vec<Output>) {
        let known = self.keys.get(&(tenant, key)).copied();
        let Some((id, r)) = known.and_then(|id| Some((id, self.requests.get(&id)?))) else {
            return out.push(Output::Answer(call, Answer::UnknownSession));
        };
        match r.standing {
            KeyState::Waiting | KeyState::Playing => self.take_up(call, id, out),
            KeyState::Ended(RequestOutcome::Failed) => {
                out.push(Output::Answer(call, Answer::Failed(r.failure)));
            }
            KeyState::Ended(_) => out.push(Output::Answer(call, Answer::UnknownSession)),
        }
    }

    pub(super) fn close(&mut self, call: Call, session: RequestId, out: &mut Vec<Output>) {
        let own = self
            .requests
            .get(&session)
            .is_some_and(|r| r.player == Some(call.player));
        let closed = own
            && self.end_playing(
                session,
                AttemptOutcome::Completed,
                LoadReport::new(),
                RequestOutcome::Played,
                Some(out),
            );
        out.push(Output::Answer(
            call,
            if closed {
                Answer::Closed
            } else {
                Answer::UnknownSession
            },
        ));
    }

    /// A session that plays already is held from now on.
    pub(super) fn adopt(
        &mut self,
        now: Time,
        player: PlayerId,
        open: OpenRequest,
        server: ServerId,
        out: &mut Vec<Output>,
    ) {
        if let Some((id, attempt)) = self.plays_already(now, open, server) {
            self.attach(id, player);
            out.push(Output::SessionAdopted {
                player,
                attempt,
                server,
            });
        }
    }

    /// A session plays already. Danger: the same is told twice, or one that this front set up itself is told again; a second one under
    /// its key would be ended twice and counted twice. `None`: its key is known.
    pub(super) fn plays_already(
        &mut self,
        now: Time,
        open: OpenRequest,
        server: ServerId,
    ) -> Option<(RequestId, AttemptId)> {
        let named = (open.tenant, open.key.clone());
        if self.keys.contains_key(&named) {
            return None;
        }
        self.last_request += 1;
        self.last_attempt += 1;
        let (id, attempt) = (RequestId(self.last_request), AttemptId(self.last_attempt));
        let gives_up = Time(now.0.saturating_add(open.max_wait));
        let ask = open.ask(id, gives_up);
        let mut request = Request::new(ask.clone(), open.key, None, gives_up);
        request.standing = KeyState::Playing;
        request.rung = self
            .settings
            .classes
            .get(usize::from(ask.class))
            .map_or(0, |c| c.min_rung);
        (request.attempts, request.out, request.ran) = (1, Some((attempt, server, now)), true);
        self.keys.insert(named, id);
        self.requests.insert(id, request);
        self.attempts.insert(attempt, id);
        self.playing += 1;
        self.events.push_back(Event::SessionAdopted(ask, server));
        Some((id, attempt))
    }

    /// A player wants nothing any more of what it has here.
    pub(super) fn leave(&mut self, player: PlayerId, out: &mut Vec<Output>) {
        self.held.drop_of(player);
        let ids = self
            .players
            .get(&player)
            .map(|p| p.requests.clone())
            .unwrap_or_default();
        ids.into_iter().for_each(|id| self.left(id, out));
    }

    pub(super) fn player_gone(&mut self, now: Time, player: PlayerId) {
        self.held.drop_of(player);
        let Some(gone) = self.players.remove(&player) else {
            return;
        };
        for id in gone.requests {
            let Some(r) = self.requests.get_mut(&id) else {
                continue;
            };
            (r.player, r.call, r.away) = (None, None, r.away + 1);
            let until = Time(now.0.saturating_add(self.terms.resume_window));
            self.timers.set(until, Due::Away(id, r.away));
        }
    }

    /// A player did not come back for its session.
    pub(super) fn stayed_away(&mut self, id: RequestId, loss: u32, out: &mut Vec<Output>) {
        if self
            .requests
            .get(&id)
            .is_some_and(|r| r.player.is_none() && r.away == loss)
        {
            self.left(id, out);
        }
    }

    /// The viewer of this request is no more: what waits is withdrawn, what plays is ended.
    pub(super) fn left(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        match (r.standing, r.out) {
            (KeyState::Waiting, Some((attempt, server, _))) => {
                out.push(Output::AbandonAttempt(attempt, server));
                self.events.push_back(Event::ClientLeft(id));
                self.attempt_over(attempt, AttemptOutcome::Cancelled, true, LoadReport::new());
                self.close_waiting(id, RequestOutcome::Failed);
            }
            // Its attempt, if there was one, just ended, and the module has not decided yet what becomes of it.
            (KeyState::Waiting, None) => {
                self.events.push_back(Event::ClientLeft(id));
                self.close_waiting(id, RequestOutcome::Failed);
            }
            (KeyState::Playing, _) => {
                self.end_playing(
                    id,
                    AttemptOutcome::Cancelled,
                    LoadReport::new(),
                    RequestOutcome::Played,
                    Some(out),
                );
            }
            (KeyState::Ended(_), _) => {}
        }
    }

    pub(super) fn attach(&mut self, id: RequestId, player: PlayerId) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let (before, waits) = (r.player.replace(player), r.standing == KeyState::Waiting);
        if before == Some(player) {
            return;
        }
        self.detach(id, before, waits);
        let joined = self.players.entry(player).or_default();
        joined.requests.insert(id);
        joined.waiting += usize::from(waits);
    }

    pub(super) fn detach(&mut self, id: RequestId, player: Option<PlayerId>, waits: bool) {
        let Some((player, p)) = player.and_then(|p| Some((p, self.players.get_mut(&p)?))) else {
            return;
        };
        p.requests.remove(&id);
        p.waiting = p.waiting.saturating_sub(usize::from(waits));
        if p.requests.is_empty() {
            self.players.remove(&player);
        }
    }
}
