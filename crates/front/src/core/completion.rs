//! Ends: of sessions, of waits, of what is kept of keys, and of the front.
use super::{jitter, Core};
use crate::input::{Answer, FailureReason, Notification, Output, RejectReason, SessionEndReason};
use crate::keys::{self, KeyState, ReopenDecision, RequestOutcome};
use crate::timers::Due;
use crankpaddle::{AttemptOutcome, Event, LoadReport, RequestId, Time};

impl Core {
    /// Ends a playing session; with `teardown` its server is told. False if it does not play.
    pub(super) fn end_playing(
        &mut self,
        id: RequestId,
        outcome: AttemptOutcome,
        report: LoadReport,
        past: RequestOutcome,
        teardown: Option<&mut Vec<Output>>,
    ) -> bool {
        let Some(r) = self.requests.get_mut(&id) else {
            return false;
        };
        let (KeyState::Playing, Some((attempt, server, _))) = (r.standing, r.out) else {
            return false;
        };
        if let Some(out) = teardown {
            out.push(Output::TearDown(attempt, server));
        }
        r.standing = KeyState::Ended(past);
        let player = r.player.take();
        self.playing -= 1;
        self.attempt_over(attempt, outcome, true, report);
        self.detach(id, player, false);
        self.keep_or_forget(id);
        true
    }

    pub(super) fn answer_waiting(&mut self, id: RequestId, answer: Answer, out: &mut Vec<Output>) {
        let Some(r) = self
            .requests
            .get_mut(&id)
            .filter(|r| r.standing == KeyState::Waiting)
        else {
            return;
        };
        debug_assert!(r.out.is_none(), "an answer while an attempt is out");
        let single = self
            .settings
            .classes
            .get(usize::from(r.ask.class))
            .map(|c| c.idempotency)
            == Some(crankpaddle::Idempotency::AtMostOnce);
        // The last guard before the player: a refusal says that nothing ran.
        let answer = match answer {
            Answer::Rejected(..) if single && r.ran => Answer::Failed(r.failure),
            other => other,
        };
        let past = if matches!(answer, Answer::Rejected(..)) {
            RequestOutcome::Rejected
        } else {
            RequestOutcome::Failed
        };
        let call = r.call.take();
        out.extend(call.map(|c| Output::Answer(c, answer)));
        self.close_waiting(id, past);
    }

    pub(super) fn close_waiting(&mut self, id: RequestId, past: RequestOutcome) {
        let Some(r) = self
            .requests
            .get_mut(&id)
            .filter(|r| r.standing == KeyState::Waiting)
        else {
            return;
        };
        r.standing = KeyState::Ended(past);
        r.call = None;
        let player = r.player.take();
        self.waiting -= 1;
        self.detach(id, player, true);
        self.keep_or_forget(id);
    }

    /// What a key stood for is kept while it matters that it is not set up again, in bounded memory.
    pub(super) fn keep_or_forget(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let KeyState::Ended(past) = r.standing else {
            return;
        };
        let effect = self
            .settings
            .classes
            .get(usize::from(r.ask.class))
            .map(|c| c.idempotency);
        if past != RequestOutcome::Migrated
            && keys::reopen(r.standing, effect) == ReopenDecision::StartNew
        {
            return self.forget(id);
        }
        // Danger: a timer set for a time long past makes whoever drives the core believe that it stood still. A session
        // that played for longer than its key is kept would set one at its end.
        let until = r.gives_up.0.saturating_add(self.terms.key_retention);
        if self.terms.max_retained_keys == 0 || until <= self.now.0 {
            return self.forget(id);
        }
        self.timers.set(Time(until), Due::Forget(id));
        self.kept.push_back(id);
        while self.kept.len() > self.terms.max_retained_keys {
            if let Some(oldest) = self.kept.pop_front() {
                self.forget(oldest);
            }
        }
    }

    pub(super) fn forget(&mut self, id: RequestId) {
        if !self
            .requests
            .get(&id)
            .is_some_and(|r| matches!(r.standing, KeyState::Ended(_)))
        {
            return;
        }
        if let Some(r) = self.requests.remove(&id) {
            let named = (r.ask.tenant, r.key);
            if self.keys.get(&named) == Some(&id) {
                self.keys.remove(&named);
            }
        }
    }

    pub(super) fn stop(&mut self, out: &mut Vec<Output>) {
        self.draining = true;
        for held in self.held.take_all() {
            let advice = self
                .overload
                .retry_after(jitter(held.call.player.0 ^ held.call.number));
            out.push(Output::Answer(
                held.call,
                self.not_served(&held.open, advice),
            ));
        }
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(r) = self.requests.get(&id) else {
                continue;
            };
            let (player, call, at) = (r.player, r.call, r.out);
            match (r.standing, at) {
                (KeyState::Waiting, Some((attempt, server, _))) => {
                    out.push(Output::AbandonAttempt(attempt, server));
                    self.events.push_back(Event::ClientLeft(id));
                    self.attempt_over(attempt, AttemptOutcome::Cancelled, true, LoadReport::new());
                    out.extend(
                        call.map(|c| Output::Answer(c, Answer::Failed(FailureReason::Cancelled))),
                    );
                    self.close_waiting(id, RequestOutcome::Failed);
                }
                (KeyState::Playing, _) => {
                    let advice = self.overload.retry_after(jitter(id.0));
                    self.end_playing(
                        id,
                        AttemptOutcome::Cancelled,
                        LoadReport::new(),
                        RequestOutcome::Played,
                        Some(out),
                    );
                    let over = Notification::SessionEnded(SessionEndReason::ShuttingDown, advice);
                    out.extend(player.map(|p| Output::Notify(p, id, over)));
                }
                // The module has not decided yet what becomes of it.
                (KeyState::Waiting, None) => {
                    self.events.push_back(Event::ClientLeft(id));
                    let advice = self.overload.retry_after(jitter(id.0));
                    let answer = if r.ran {
                        Answer::Failed(FailureReason::Cancelled)
                    } else {
                        Answer::Rejected(RejectReason::ShuttingDown, advice)
                    };
                    self.answer_waiting(id, answer, out);
                }
                (KeyState::Ended(_), _) => {}
            }
        }
    }
}
