//! Reports of servers on playing sessions, and the rate caps of sessions.
use super::request::{AttemptEnd, RequestPhase};
use super::Core;
use crate::ids::{AttemptId, PlayerId};
use crate::input::RateCap;
use crate::jitter::jitter;
use crate::keys::RequestOutcome;
use crate::output::{Notification, Output, SessionEndReason};
use crankpaddle::{AttemptOutcome, Event, LoadReport, RequestId, SessionUpdate};

/// Maximum number of retained updates of a session whose set-up is not answered yet; later ones are dropped.
const MAX_EARLY_UPDATES: usize = 8;

impl Core {
    /// Passes a server's update of a session to the policy.
    pub(super) fn session_updated(&mut self, attempt: AttemptId, update: SessionUpdate) {
        let Some((id, request)) = self.request_of(attempt) else {
            return;
        };
        match request.phase {
            RequestPhase::Waiting(_) => {
                // A server may report the load of its link right before its answer. If that update were dropped, the
                // measurement that comes with each set-up would be lost, and the load of links would be estimated
                // wrongly.
                if request.early_updates.len() < MAX_EARLY_UPDATES {
                    request.early_updates.push(update);
                }
            }
            RequestPhase::Playing(playing) => {
                if let SessionUpdate::Rung(rung) = update {
                    request.rung = rung;
                }
                self.emit(Event::SessionUpdated {
                    request: id,
                    server: playing.server,
                    update,
                });
            }
            RequestPhase::Ended(_) => {}
        }
    }

    /// Ends a session whose end its server reported, or whose server was lost.
    pub(super) fn end_session(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: LoadReport,
        out: &mut Vec<Output>,
    ) {
        let Some((id, request)) = self.request_of(attempt) else {
            return;
        };
        let end = AttemptEnd { outcome, report };
        if request.is_waiting() {
            // The answer and the end arrive on two connections, or together. If an end that overtakes its answer were
            // dropped, the session would count as playing forever.
            request.early_end = Some(end);
            return;
        }
        let player = request.player;
        if !self.end_playing(id, end, RequestOutcome::Played) {
            return;
        }
        if let Some(player) = player {
            self.notify_ended(player, id, outcome, out);
        }
    }

    fn notify_ended(
        &self,
        player: PlayerId,
        id: RequestId,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let notification = if outcome == AttemptOutcome::Completed {
            Notification::SessionEnded {
                reason: SessionEndReason::Finished,
                retry_after: None,
            }
        } else {
            Notification::SessionEnded {
                reason: SessionEndReason::ServerLost,
                retry_after: self.overload.retry_after(jitter(id.0)),
            }
        };
        out.push(Output::Notify(player, id, notification));
    }

    /// Sets or lifts the rate cap of a playing session.
    pub(super) fn rate_cap_changed(&mut self, attempt: AttemptId, cap: RateCap) {
        let Some((id, request)) = self.request_of(attempt) else {
            return;
        };
        if request.playing_attempt().is_none() {
            return;
        }
        let max_rung = match cap {
            RateCap::LowestRung => 0,
            RateCap::None => request.session_request.max_rung,
        };
        self.emit(Event::MaxRungChanged {
            request: id,
            max_rung,
        });
    }
}
