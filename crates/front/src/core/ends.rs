//! Ends: of sessions, of waits, of what is kept of keys, and of the front.
use super::{spread, Core};
use crate::keys::{self, Past, Reopen, Standing};
use crate::messages::{Answer, Effect, Failure, Notice, OverReason, Refusal};
use crate::timers::Due;
use crankpaddle::{Event, Outcome, Report, RequestId, Time};

impl Core {
    /// Ends a playing session; with `teardown` its server is told. False if it does not play.
    pub(super) fn end_playing(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        report: Report,
        past: Past,
        teardown: Option<&mut Vec<Effect>>,
    ) -> bool {
        let Some(r) = self.requests.get_mut(&id) else {
            return false;
        };
        let (Standing::Playing, Some((attempt, server, _))) = (r.standing, r.out) else {
            return false;
        };
        if let Some(out) = teardown {
            out.push(Effect::TearDown(attempt, server));
        }
        r.standing = Standing::Past(past);
        let player = r.player.take();
        self.playing -= 1;
        self.attempt_over(attempt, outcome, true, report);
        self.detach(id, player, false);
        self.keep_or_forget(id);
        true
    }

    pub(super) fn answer_waiting(&mut self, id: RequestId, answer: Answer, out: &mut Vec<Effect>) {
        let Some(r) = self
            .requests
            .get_mut(&id)
            .filter(|r| r.standing == Standing::Waiting)
        else {
            return;
        };
        debug_assert!(r.out.is_none(), "an answer while an attempt is out");
        let single = self
            .settings
            .classes
            .get(usize::from(r.ask.class))
            .map(|c| c.effect)
            == Some(crankpaddle::Effect::SingleShot);
        // The last guard before the player: a refusal says that nothing ran.
        let answer = match answer {
            Answer::Refused(..) if single && r.ran => Answer::Failed(r.failure),
            other => other,
        };
        let past = if matches!(answer, Answer::Refused(..)) {
            Past::Refused
        } else {
            Past::Failed
        };
        let call = r.call.take();
        out.extend(call.map(|c| Effect::Answer(c, answer)));
        self.close_waiting(id, past);
    }

    pub(super) fn close_waiting(&mut self, id: RequestId, past: Past) {
        let Some(r) = self
            .requests
            .get_mut(&id)
            .filter(|r| r.standing == Standing::Waiting)
        else {
            return;
        };
        r.standing = Standing::Past(past);
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
        let Standing::Past(past) = r.standing else {
            return;
        };
        let effect = self
            .settings
            .classes
            .get(usize::from(r.ask.class))
            .map(|c| c.effect);
        if past != Past::Moved && keys::reopen(r.standing, effect) == Reopen::Afresh {
            return self.forget(id);
        }
        // Danger: a timer set for a time long past makes whoever drives the core believe that it stood still. A session
        // that played for longer than its key is kept would set one at its end.
        let until = r.gives_up.0.saturating_add(self.terms.keep_keys);
        if self.terms.keys_kept == 0 || until <= self.now.0 {
            return self.forget(id);
        }
        self.timers.set(Time(until), Due::Forget(id));
        self.kept.push_back(id);
        while self.kept.len() > self.terms.keys_kept {
            if let Some(oldest) = self.kept.pop_front() {
                self.forget(oldest);
            }
        }
    }

    pub(super) fn forget(&mut self, id: RequestId) {
        if !self
            .requests
            .get(&id)
            .is_some_and(|r| matches!(r.standing, Standing::Past(_)))
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

    pub(super) fn stop(&mut self, out: &mut Vec<Effect>) {
        self.draining = true;
        for held in self.held.take_all() {
            let advice = self
                .overload
                .advice(spread(held.call.player.0 ^ held.call.number));
            out.push(Effect::Answer(
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
                (Standing::Waiting, Some((attempt, server, _))) => {
                    out.push(Effect::Abandon(attempt, server));
                    self.events.push_back(Event::Left(id));
                    self.attempt_over(attempt, Outcome::Cancelled, true, Report::new());
                    out.extend(call.map(|c| Effect::Answer(c, Answer::Failed(Failure::Withdrawn))));
                    self.close_waiting(id, Past::Failed);
                }
                (Standing::Playing, _) => {
                    let advice = self.overload.advice(spread(id.0));
                    self.end_playing(
                        id,
                        Outcome::Cancelled,
                        Report::new(),
                        Past::Played,
                        Some(out),
                    );
                    let over = Notice::Over(OverReason::Stopping, advice);
                    out.extend(player.map(|p| Effect::Notify(p, id, over)));
                }
                // The module has not decided yet what becomes of it.
                (Standing::Waiting, None) => {
                    self.events.push_back(Event::Left(id));
                    let advice = self.overload.advice(spread(id.0));
                    let answer = if r.ran {
                        Answer::Failed(Failure::Withdrawn)
                    } else {
                        Answer::Refused(Refusal::Stopping, advice)
                    };
                    self.answer_waiting(id, answer, out);
                }
                (Standing::Past(_), _) => {}
            }
        }
    }
}
