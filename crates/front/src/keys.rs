//! The meaning of an idempotency key that a player sends again.
//!
//! A key names one session. A player that lost its connection sends the key again and gets its pending request, its
//! session or the earlier answer, but never a second set-up, because for a paid class the viewer would be billed twice.
//! The disadvantage is that a player that uses one key for all its sessions cannot buy another one until the retention
//! of the key is over; the answer states this.
use crankpaddle::{AttemptOutcome, Idempotency};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was rejected. No attempt of it ran.
    Rejected,
    /// The request failed. An attempt of it may have run.
    Failed,
    /// The session was established and has ended.
    Played,
    /// The front ended the session at its server and notified its viewer to open it again.
    Migrated,
}

/// The state of the request that a key names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// The request has no answer yet.
    Waiting,
    /// The session is established and has not ended.
    Playing,
    /// The request or its session has ended.
    Ended(RequestOutcome),
}

/// How to handle another open request with a known key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReopenDecision {
    /// Attach to the pending request.
    Join,
    /// Answer with the session that plays.
    Resume,
    /// Start a new request, as a retry of the viewer.
    StartNew,
    /// Start a new request for a session that the front migrated.
    StartMigrated,
    /// Repeat the earlier answer, which is a failure that may have had an effect.
    FailedBefore,
    /// Answer that the key's paid session has ended.
    KeySpent,
}

/// Decides how to handle another open request with a known key. A class that is not configured has no `idempotency`
/// and counts as paid.
pub(crate) fn decide_reopen(state: KeyState, idempotency: Option<Idempotency>) -> ReopenDecision {
    let is_repeatable = matches!(idempotency, Some(Idempotency::Idempotent));
    match state {
        KeyState::Waiting => ReopenDecision::Join,
        KeyState::Playing => ReopenDecision::Resume,
        KeyState::Ended(RequestOutcome::Rejected) => ReopenDecision::StartNew,
        KeyState::Ended(RequestOutcome::Migrated) => ReopenDecision::StartMigrated,
        KeyState::Ended(RequestOutcome::Failed) if is_repeatable => ReopenDecision::StartNew,
        KeyState::Ended(RequestOutcome::Failed) => ReopenDecision::FailedBefore,
        KeyState::Ended(RequestOutcome::Played) if is_repeatable => ReopenDecision::StartNew,
        KeyState::Ended(RequestOutcome::Played) => ReopenDecision::KeySpent,
    }
}

/// Whether an outcome proves that the attempt never ran, so that a retry cannot set the session up twice.
#[must_use]
pub fn proves_never_ran(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    )
}

#[cfg(test)]
mod tests;
