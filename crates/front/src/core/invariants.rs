//! The invariants of a core's state.
use super::request::{Request, RequestPhase};
use super::Core;
use crankpaddle::RequestId;

/// An invariant of a core's state that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvariantViolation {
    /// The count of waiting requests differs from the number of requests that wait.
    #[error("{count} requests are counted as waiting, but {requests} wait")]
    WaitingCount {
        /// The count that the core keeps.
        count: usize,
        /// The number of requests that wait.
        requests: usize,
    },
    /// The count of playing sessions differs from the number of sessions that play.
    #[error("{count} sessions are counted as playing, but {sessions} play")]
    PlayingCount {
        /// The count that the core keeps.
        count: usize,
        /// The number of sessions that play.
        sessions: usize,
    },
    /// A request waits without an outstanding attempt.
    #[error("request {} waits without an outstanding attempt", .0 .0)]
    WaitingWithoutAttempt(RequestId),
    /// A request has ended, but a call waits for its answer or a player is attached to it.
    #[error("request {} has ended, but a call or a player is attached to it", .0 .0)]
    EndedButAttached(RequestId),
    /// The outstanding attempt of a request is not registered, or is registered for another request.
    #[error("the attempt of request {} is not registered for it", .0 .0)]
    UnknownAttempt(RequestId),
    /// A request is attached to a player that does not list it.
    #[error("request {} is attached to a player that does not list it", .0 .0)]
    NotListedByPlayer(RequestId),
    /// The number of attempts differs from the number of requests that wait or play.
    #[error("{attempts} attempts are outstanding, but {requests} requests wait or play")]
    OrphanedAttempts {
        /// The number of outstanding attempts.
        attempts: usize,
        /// The number of requests that wait or play.
        requests: usize,
    },
    /// The players together count more waiting requests than there are.
    #[error("players count {counted_by_players} waiting requests, but {waiting} wait")]
    PlayersWaitingCount {
        /// The sum of the players' counts of waiting requests.
        counted_by_players: usize,
        /// The number of requests that wait.
        waiting: usize,
    },
    /// There are more keys than requests, so at least one key has no request.
    #[error("{keys} keys are known, but only {requests} requests")]
    OrphanedKeys {
        /// The number of known keys.
        keys: usize,
        /// The number of known requests.
        requests: usize,
    },
}

impl Core {
    /// Checks the invariants that must hold after each [`Core::decide`], whatever the inputs were.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
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
        ensure(requests == self.waiting_count, || {
            InvariantViolation::WaitingCount {
                count: self.waiting_count,
                requests,
            }
        })?;
        let sessions = self.count_phase(|phase| matches!(phase, RequestPhase::Playing(_)));
        ensure(sessions == self.playing_count, || {
            InvariantViolation::PlayingCount {
                count: self.playing_count,
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
        let is_attempt_registered = request
            .outstanding_attempt()
            .is_none_or(|attempt| self.attempts.get(&attempt.id) == Some(&id));
        ensure(is_attempt_registered, || {
            InvariantViolation::UnknownAttempt(id)
        })?;
        let is_listed = request.player.is_none_or(|player| {
            self.players
                .get(&player)
                .is_some_and(|player| player.requests.contains(&id))
        });
        ensure(is_listed, || InvariantViolation::NotListedByPlayer(id))
    }

    fn check_attempts(&self) -> Result<(), InvariantViolation> {
        let attempts = self.attempts.len();
        let requests = self.waiting_count + self.playing_count;
        ensure(attempts == requests, || {
            InvariantViolation::OrphanedAttempts { attempts, requests }
        })
    }

    fn check_players(&self) -> Result<(), InvariantViolation> {
        let counted_by_players = self
            .players
            .values()
            .map(|player| player.waiting_count)
            .sum();
        let waiting = self.waiting_count;
        ensure(counted_by_players <= waiting, || {
            InvariantViolation::PlayersWaitingCount {
                counted_by_players,
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
