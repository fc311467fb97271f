//! The meaning of an idempotency key that a player sends again.
//!
//! A key names one session: a player that lost its connection sends the key again and gets its pending request, its
//! session or the earlier answer, but never a second set-up. Why: for a paid class a second set-up is a second bill.
//! The price: a player that uses one key for all sessions cannot buy another one until the key's retention is over;
//! the answer states this.
use crankpaddle::{AttemptOutcome, Idempotency};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was rejected: no attempt ever ran.
    Rejected,
    /// It failed: an attempt may have run.
    Failed,
    /// It was established and has ended.
    Played,
    /// The front ended it at its server and notified its viewer to open it again.
    Migrated,
}

/// The state of the request that a key names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// It has no answer yet.
    Waiting,
    /// Its session plays.
    Playing,
    /// It has ended.
    Ended(RequestOutcome),
}

/// How to handle another open with a known key.
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
    /// Repeat the earlier answer: it failed, perhaps with an effect.
    FailedBefore,
    /// Answer that the key's paid session has ended.
    KeySpent,
}

/// Decides on another open with a known key. Without a configured class (`None`) the set-up counts as paid.
pub(crate) fn reopen(state: KeyState, idempotency: Option<Idempotency>) -> ReopenDecision {
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

/// Whether an outcome proves that the attempt never ran.
#[must_use]
pub fn never_ran(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    )
}

#[cfg(test)]
mod tests;
