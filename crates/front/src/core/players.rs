//! Attaching requests to players, and handling players that disconnect or leave.
use super::request::RequestPhase;
use super::Core;
use crate::ids::PlayerId;
use crate::keys::RequestOutcome;
use crate::output::Output;
use crate::timers::TimerEntry;
use crankpaddle::{AttemptOutcome, Event, RequestId};

impl Core {
    /// Withdraws the pending requests of a player and ends its sessions.
    pub(super) fn leave(&mut self, player: PlayerId, out: &mut Vec<Output>) {
        self.recovery_queue.remove_player(player);
        let Some(leaving) = self.players.get(&player) else {
            return;
        };
        for id in leaving.requests.clone() {
            self.withdraw(id, out);
        }
    }

    /// Handles the close of a player's connection. The player's requests continue until the resume window is over.
    pub(super) fn player_disconnected(&mut self, player: PlayerId) {
        self.recovery_queue.remove_player(player);
        let Some(disconnected) = self.players.remove(&player) else {
            return;
        };
        let resume_until = self.now + self.config.resume_window;
        for id in disconnected.requests {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            request.player = None;
            request.call = None;
            request.disconnects += 1;
            let entry = TimerEntry::ResumeWindow {
                request: id,
                disconnects: request.disconnects,
            };
            self.timers.set(resume_until, entry);
        }
    }

    /// Ends a request if its player did not reattach within the resume window. `disconnects` identifies the disconnect
    /// that started the window.
    pub(super) fn resume_window_expired(
        &mut self,
        id: RequestId,
        disconnects: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.player.is_none() && request.disconnects == disconnects {
            self.withdraw(id, out);
        }
    }

    /// Ends a request whose viewer has left. Cancels its attempt if it waits, and tears its session down if it plays.
    fn withdraw(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match request.phase {
            RequestPhase::Waiting(Some(attempt)) => {
                self.withdraw_attempt(id, attempt, out);
                self.end_waiting(id, RequestOutcome::Failed);
            }
            // The request is new or its attempt has just ended, and the policy has not decided on it yet.
            RequestPhase::Waiting(None) => {
                let outcome = if request.may_have_run {
                    RequestOutcome::Failed
                } else {
                    RequestOutcome::Rejected // Its key may be used again.
                };
                self.emit(Event::ClientLeft(id));
                self.end_waiting(id, outcome);
            }
            RequestPhase::Playing(_) => {
                self.tear_down(id, AttemptOutcome::Cancelled, RequestOutcome::Played, out);
            }
            RequestPhase::Ended(_) => {}
        }
    }

    /// Number of requests of the player that wait for an answer.
    pub(super) fn waiting_count_of(&self, player: PlayerId) -> usize {
        self.players
            .get(&player)
            .map_or(0, |player| player.waiting_count)
    }

    /// Attaches a request to a player, and detaches it from the previous one.
    pub(super) fn attach(&mut self, id: RequestId, player: PlayerId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let previous = request.player.replace(player);
        if previous == Some(player) {
            return;
        }
        let is_waiting = request.is_waiting();
        self.detach(id, previous, is_waiting);
        let attached = self.players.entry(player).or_default();
        attached.requests.insert(id);
        attached.waiting_count += usize::from(is_waiting);
    }

    /// Removes a request from the list of its player. `was_waiting` states whether the player counted it as waiting.
    pub(super) fn detach(&mut self, id: RequestId, player: Option<PlayerId>, was_waiting: bool) {
        let Some(player_id) = player else {
            return;
        };
        let Some(player) = self.players.get_mut(&player_id) else {
            return;
        };
        player.requests.remove(&id);
        player.waiting_count = player
            .waiting_count
            .saturating_sub(usize::from(was_waiting));
        if player.requests.is_empty() {
            self.players.remove(&player_id);
        }
    }
}
