//! The invariants of a core's state.
use super::request::{Request, RequestPhase};
use super::Core;
use crankpaddle::RequestId;

/// An invariant of a core's state that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// The count of waiting requests differs from the requests that wait.
    #[error("{count} requests are counted as waiting, but {requests} wait")]
    WaitingCount {
        /// The count that the core keeps.
        count: usize,
        /// The requests that wait.
        requests: usize,
    },
    /// The count of playing sessions differs from the sessions that play.
    #[error("{count} sessions are counted as playing, but {sessions} play")]
    PlayingCount {
        /// The count that the core keeps.
        count: usize,
        /// The sessions that play.
        sessions: usize,
    },
    /// A request waits without an outstanding attempt.
    #[error("request {} waits without an outstanding attempt", .0 .0)]
    WaitingWithoutAttempt(RequestId),
    /// A request has ended, but a call waits for its answer or a player is attached to it.
    #[error("request {} has ended, but a call or a player is attached to it", .0 .0)]
    EndedButAttached(RequestId),
    /// The attempt of a request does not lead back to it.
    #[error("the attempt of request {} does not lead back to it", .0 .0)]
    UnknownAttempt(RequestId),
    /// A request is not among those of its player.
    #[error("request {} is not among those of its player", .0 .0)]
    NotWithPlayer(RequestId),
    /// There are attempts that belong to no request that waits or plays.
    #[error("{attempts} attempts are outstanding, but {requests} requests wait or play")]
    OrphanedAttempts {
        /// The outstanding attempts.
        attempts: usize,
        /// The requests that wait or play.
        requests: usize,
    },
    /// Players count more waiting requests than there are.
    #[error("players count {of_players} waiting requests, but {waiting} wait")]
    PlayersWaitingCount {
        /// The sum of the players' counts.
        of_players: usize,
        /// The requests that wait.
        waiting: usize,
    },
    /// There are more keys than requests.
    #[error("{keys} keys are known, but only {requests} requests")]
    OrphanedKeys {
        /// The known keys.
        keys: usize,
        /// The known requests.
        requests: usize,
    },
}

impl Core {
    /// Checks what must hold between any two calls, whatever the inputs were.
    ///
    /// # Errors
    ///
    /// The first invariant that does not hold.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        self.check_counts()?;
        for (id, request) in &self.requests {
            self.check_request(*id, request)?;
        }
        self.check_attempts()?;
        self.check_players()?;
        self.check_keys()
    }

    fn check_counts(&self) -> Result<(), InvariantViolation> {
        let requests = self.count_phase(|phase| matches!(phase, RequestPhase::Waiting(_)));
        ensure(requests == self.waiting, || {
            InvariantViolation::WaitingCount {
                count: self.waiting,
                requests,
            }
        })?;
        let sessions = self.count_phase(|phase| matches!(phase, RequestPhase::Playing(_)));
        ensure(sessions == self.playing, || {
            InvariantViolation::PlayingCount {
                count: self.playing,
                sessions,
            }
        })
    }

    fn count_phase(&self, is_counted: impl Fn(RequestPhase) -> bool) -> usize {
        self.requests
            .values()
            .filter(|request| is_counted(request.phase))
            .count()
    }

    fn check_request(&self, id: RequestId, request: &Request) -> Result<(), InvariantViolation> {
        let is_undecided = matches!(request.phase, RequestPhase::Waiting(None));
        ensure(!is_undecided, || {
            InvariantViolation::WaitingWithoutAttempt(id)
        })?;
        let has_ended = matches!(request.phase, RequestPhase::Ended(_));
        let is_attached = request.call.is_some() || request.player.is_some();
        ensure(!(has_ended && is_attached), || {
            InvariantViolation::EndedButAttached(id)
        })?;
        let attempt_known = request
            .outstanding_attempt()
            .is_none_or(|attempt| self.attempts.get(&attempt.id) == Some(&id));
        ensure(attempt_known, || InvariantViolation::UnknownAttempt(id))?;
        let with_player = request.player.is_none_or(|player| {
            self.players
                .get(&player)
                .is_some_and(|player| player.requests.contains(&id))
        });
        ensure(with_player, || InvariantViolation::NotWithPlayer(id))
    }

    fn check_attempts(&self) -> Result<(), InvariantViolation> {
        let attempts = self.attempts.len();
        let requests = self.waiting + self.playing;
        ensure(attempts == requests, || {
            InvariantViolation::OrphanedAttempts { attempts, requests }
        })
    }

    fn check_players(&self) -> Result<(), InvariantViolation> {
        let of_players = self.players.values().map(|player| player.waiting).sum();
        let waiting = self.waiting;
        ensure(of_players <= waiting, || {
            InvariantViolation::PlayersWaitingCount {
                of_players,
                waiting,
            }
        })
    }

    fn check_keys(&self) -> Result<(), InvariantViolation> {
        let keys = self.keys.len();
        let requests = self.requests.len();
        ensure(keys <= requests, || InvariantViolation::OrphanedKeys {
            keys,
            requests,
        })
    }
}

fn ensure(
    holds: bool,
    violation: impl FnOnce() -> InvariantViolation,
) -> Result<(), InvariantViolation> {
    if holds {
        Ok(())
    } else {
        Err(violation())
    }
}
