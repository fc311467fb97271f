//! Attempts: how they come out, and what servers say of sessions.
use super::{jitter, Core, EARLY_NOTES};
use crate::input::{Answer, AttemptId, FailureReason, Notification, Output, SessionEndReason};
use crate::keys::{self, KeyState, RequestOutcome};
use crankpaddle::{AttemptOutcome, Event, LoadField, LoadReport, RequestId, SessionUpdate, Time};

impl Core {
    pub(super) fn started(
        &mut self,
        now: Time,
        attempt: AttemptId,
        report: LoadReport,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let (KeyState::Waiting, Some((_, server, sent))) = (r.standing, r.out) else {
            return;
        };
        if now >= r.gives_up {
            // Read too late, perhaps because we stood still: the viewer is gone.
            out.push(Output::AbandonAttempt(attempt, server));
            return self.attempt_ended(attempt, AttemptOutcome::Timeout, report);
        }
        r.standing = KeyState::Playing;
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
            .is_some_and(|(outcome, _)| *outcome != AttemptOutcome::Completed);
        let plays = Answer::Established {
            session: id,
            attempt,
            server,
            rung,
        };
        let answer = if cut {
            Answer::Failed(FailureReason::ConnectionLost)
        } else {
            plays
        };
        out.extend(call.map(|c| Output::Answer(c, answer)));
        let (took, request) = (now.0.saturating_sub(sent.0), id);
        self.events.push_back(Event::SessionEstablished {
            request,
            attempt: number,
            server,
            setup_time: took,
        });
        for (field, value) in report {
            let note = match field {
                LoadField::LinkDemand | LoadField::LinkUtilization => {
                    SessionUpdate::LinkDemand(value)
                }
                LoadField::UplinkDemand => SessionUpdate::UplinkDemand(value),
                _ => continue,
            };
            self.events.push_back(Event::SessionUpdated {
                request,
                server,
                update: note,
            });
        }
        notes.into_iter().for_each(|note| self.note(attempt, note));
        match early {
            Some((outcome, report)) if cut => {
                self.end_playing(id, outcome, report, RequestOutcome::Failed, None);
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
            .filter(|r| r.standing == KeyState::Playing)
        else {
            return;
        };
        let top = if lowered { 0 } else { r.ask.max_rung };
        self.events.push_back(Event::MaxRungChanged {
            request,
            max_rung: top,
        });
    }

    pub(super) fn timed_out(&mut self, now: Time, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        if let (KeyState::Waiting, Some((_, server, _))) = (r.standing, r.out) {
            // Danger: what a slow disk held back has not left; told as one that may have run, a paid request would fail for it.
            let outcome = if r.kept_back {
                AttemptOutcome::NotSent
            } else {
                AttemptOutcome::Timeout
            };
            out.push(Output::AbandonAttempt(attempt, server));
            self.attempt_ended(attempt, outcome, LoadReport::new());
            self.decide(now, out);
            self.left_unanswered(id, out);
        }
    }

    pub(super) fn overdue(&mut self, now: Time, id: RequestId, out: &mut Vec<Output>) {
        let Some(r) = self
            .requests
            .get(&id)
            .filter(|r| r.standing == KeyState::Waiting)
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
    pub(super) fn left_unanswered(&mut self, id: RequestId, out: &mut Vec<Output>) {
        if self
            .requests
            .get(&id)
            .is_some_and(|r| r.standing == KeyState::Waiting && r.out.is_none())
        {
            debug_assert!(false, "the module left request {} without an answer", id.0);
            self.events.push_back(Event::ClientLeft(id));
            let failure = self.requests[&id].failure;
            self.answer_waiting(id, Answer::Failed(failure), out);
        }
    }

    pub(super) fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        let waits = |id| {
            self.requests
                .get(id)
                .is_some_and(|r| r.standing == KeyState::Waiting)
        };
        if self.attempts.get(&attempt).is_some_and(waits) {
            self.attempt_over(attempt, outcome, false, report);
        }
    }

    /// An attempt is no more, played or not: the module hears of it once.
    pub(super) fn attempt_over(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        closed: bool,
        report: LoadReport,
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
            AttemptOutcome::ServerError => FailureReason::ServerError,
            AttemptOutcome::Reset => FailureReason::ConnectionLost,
            AttemptOutcome::Cancelled => FailureReason::Cancelled,
            _ => FailureReason::NoAnswer,
        };
        let number = r.attempts.saturating_sub(1);
        self.events.push_back(Event::AttemptEnded {
            request,
            attempt: number,
            server,
            outcome,
            is_final: closed,
            report,
        });
    }

    pub(super) fn note(&mut self, attempt: AttemptId, note: SessionUpdate) {
        let Some(request) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get_mut(&request) else {
            return;
        };
        if r.standing == KeyState::Waiting {
            // Danger: a server may tell of its link right before its answer. Dropped, the one fresh figure that each
            // set-up brings would be lost, and links be believed lighter or heavier than they are.
            if r.early_notes.len() < EARLY_NOTES {
                r.early_notes.push(note);
            }
            return;
        }
        if let Some((_, server, _)) = r.out {
            if let SessionUpdate::Rung(rung) = note {
                r.rung = rung;
            }
            self.events.push_back(Event::SessionUpdated {
                request,
                server,
                update: note,
            });
        }
    }

    /// A server says that a session is over, or is lost with all it had.
    pub(super) fn over(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: LoadReport,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if r.standing == KeyState::Waiting {
            // Danger: the answer and the end come over two connections, or together. An end that overtakes its answer
            // would be lost, and the session would play for ever.
            r.early = Some((outcome, report));
            return;
        }
        let player = r.player;
        if self.end_playing(id, outcome, report, RequestOutcome::Played, None) {
            let reason = if outcome == AttemptOutcome::Completed {
                SessionEndReason::Finished
            } else {
                SessionEndReason::ServerLost
            };
            let advice = if outcome == AttemptOutcome::Completed {
                0
            } else {
                self.overload.retry_after(jitter(id.0))
            };
            out.extend(
                player.map(|p| Output::Notify(p, id, Notification::SessionEnded(reason, advice))),
            );
        }
    }
}
