//! Attempts: how they come out, and what servers say of sessions.
use super::{spread, Core, EARLY_NOTES};
use crate::keys::{self, Past, Standing};
use crate::messages::{Answer, AttemptId, Effect, Failure, Notice, OverReason};
use crankpaddle::{Event, LoadField, Note, Outcome, Report, RequestId, Time};

impl Core {
    pub(super) fn started(
        &mut self,
        now: Time,
        attempt: AttemptId,
        report: Report,
        out: &mut Vec<Effect>,
    ) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let (Standing::Waiting, Some((_, server, sent))) = (r.standing, r.out) else {
            return;
        };
        if now >= r.gives_up {
            // Read too late, perhaps because we stood still: the viewer is gone.
            out.push(Effect::Abandon(attempt, server));
            return self.attempt_ended(attempt, Outcome::Timeout, report);
        }
        r.standing = Standing::Playing;
        let (rung, call, player) = (r.rung, r.call.take(), r.player);
        let (early, notes, number) = (
            r.early.take(),
            std::mem::take(&mut r.early_notes),
            r.attempts - 1,
        );
        self.waiting -= 1;
        self.playing += 1;
        if let Some(p) = player.and_then(|p| self.players.get_mut(&p)) {
            p.waiting = p.waiting.saturating_sub(1);
        }
        // Danger: what was cut can't be said to play; a viewer would wait for what never comes. It ran, so it has failed. One
        // that came to its end has played.
        let cut = early
            .as_ref()
            .is_some_and(|(outcome, _)| *outcome != Outcome::Ok);
        let plays = Answer::Plays {
            session: id,
            attempt,
            server,
            rung,
        };
        let answer = if cut {
            Answer::Failed(Failure::Broken)
        } else {
            plays
        };
        out.extend(call.map(|c| Effect::Answer(c, answer)));
        let (took, request) = (now.0.saturating_sub(sent.0), id);
        self.events.push_back(Event::Playing {
            request,
            attempt: number,
            server,
            took,
        });
        for (field, value) in report {
            let note = match field {
                LoadField::LinkAsked | LoadField::LinkUtil => Note::Link(value),
                LoadField::UplinkAsked => Note::Uplink(value),
                _ => continue,
            };
            self.events.push_back(Event::Note {
                request,
                server,
                note,
            });
        }
        notes.into_iter().for_each(|note| self.note(attempt, note));
        match early {
            Some((outcome, report)) if cut => {
                self.end_playing(id, outcome, report, Past::Failed, None);
            }
            Some((outcome, report)) => self.over(attempt, outcome, report, out),
            None => {}
        }
    }

    pub(super) fn kept_back(&mut self, attempt: AttemptId, kept_back: bool) {
        let request = self
            .attempts
            .get(&attempt)
            .and_then(|id| self.requests.get_mut(id));
        request.into_iter().for_each(|r| r.kept_back = kept_back);
    }

    pub(super) fn lowered(&mut self, attempt: AttemptId, lowered: bool) {
        let Some(request) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self
            .requests
            .get(&request)
            .filter(|r| r.standing == Standing::Playing)
        else {
            return;
        };
        let top = if lowered { 0 } else { r.ask.top };
        self.events.push_back(Event::Top { request, top });
    }

    pub(super) fn timed_out(&mut self, now: Time, attempt: AttemptId, out: &mut Vec<Effect>) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        if let (Standing::Waiting, Some((_, server, _))) = (r.standing, r.out) {
            // Danger: what a slow disk held back has not left; told as one that may have run, a paid request would fail for it.
            let outcome = if r.kept_back {
                Outcome::Moot
            } else {
                Outcome::Timeout
            };
            out.push(Effect::Abandon(attempt, server));
            self.attempt_ended(attempt, outcome, Report::new());
            self.decide(now, out);
            self.left_unanswered(id, out);
        }
    }

    pub(super) fn overdue(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(r) = self
            .requests
            .get(&id)
            .filter(|r| r.standing == Standing::Waiting)
        else {
            return;
        };
        if let Some((attempt, _, _)) = r.out {
            self.timed_out(now, attempt, out);
        }
        self.left_unanswered(id, out);
    }

    /// Danger: a request that waits with no attempt out would never be answered. The module answers each at once;
    /// should it ever not, the core does.
    pub(super) fn left_unanswered(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        if self
            .requests
            .get(&id)
            .is_some_and(|r| r.standing == Standing::Waiting && r.out.is_none())
        {
            debug_assert!(false, "the module left request {} without an answer", id.0);
            self.events.push_back(Event::Left(id));
            let failure = self.requests[&id].failure;
            self.answer_waiting(id, Answer::Failed(failure), out);
        }
    }

    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, outcome: Outcome, report: Report) {
        let waits = |id| {
            self.requests
                .get(id)
                .is_some_and(|r| r.standing == Standing::Waiting)
        };
        if self.attempts.get(&attempt).is_some_and(waits) {
            self.attempt_over(attempt, outcome, false, report);
        }
    }

    /// An attempt is no more, played or not: the module hears of it once.
    pub(super) fn attempt_over(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        closed: bool,
        report: Report,
    ) {
        let Some(request) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        let Some((_, server, _)) = r.out.take() else {
            return;
        };
        r.ran |= !keys::never_ran(outcome);
        r.failure = match outcome {
            Outcome::Error => Failure::ServerError,
            Outcome::Reset => Failure::Broken,
            Outcome::Cancelled => Failure::Withdrawn,
            _ => Failure::NoAnswer,
        };
        let number = r.attempts.saturating_sub(1);
        self.events.push_back(Event::Ended {
            request,
            attempt: number,
            server,
            outcome,
            closed,
            report,
        });
    }

    pub(super) fn note(&mut self, attempt: AttemptId, note: Note) {
        let Some(request) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        if r.standing == Standing::Waiting {
            // Danger: a server may tell of its link right before its answer. Dropped, the one fresh figure that each
            // set-up brings would be lost, and links be believed lighter or heavier than they are.
            if r.early_notes.len() < EARLY_NOTES {
                r.early_notes.push(note);
            }
            return;
        }
        if let Some((_, server, _)) = r.out {
            if let Note::Rung(rung) = note {
                r.rung = rung;
            }
            self.events.push_back(Event::Note {
                request,
                server,
                note,
            });
        }
    }

    /// A server says that a session is over, or is lost with all it had.
    pub(super) fn over(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        report: Report,
        out: &mut Vec<Effect>,
    ) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if r.standing == Standing::Waiting {
            // Danger: the answer and the end come over two connections, or together. An end that overtakes its answer
            // would be lost, and the session would play for ever.
            r.early = Some((outcome, report));
            return;
        }
        let player = r.player;
        if self.end_playing(id, outcome, report, Past::Played, None) {
            let reason = if outcome == Outcome::Ok {
                OverReason::Finished
            } else {
                OverReason::ServerLost
            };
            let advice = if outcome == Outcome::Ok {
                0
            } else {
                self.overload.advice(spread(id.0))
            };
            out.extend(player.map(|p| Effect::Notify(p, id, Notice::Over(reason, advice))));
        }
    }
}
