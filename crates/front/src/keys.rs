//! What a key means that a player sends a second time.
//!
//! A key stands for one session: a player that lost its connection sends it again and must find the wait, the
//! session or the answer that it left, never start a second set-up. Danger: for a paid class a second set-up is a
//! second bill. Harm: a player that reuses one key for everything cannot buy again until the key is forgotten; it is
//! told so.
use crankpaddle::{AttemptOutcome, Idempotency};

/// How a request that is no more ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Refused: nothing ever ran.
    Rejected,
    /// Failed: an attempt may have run.
    Failed,
    /// It played and is over.
    Played,
    /// It was taken off its server by us and its viewer sent back here.
    Migrated,
}

/// Where the request with this key stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// No answer yet.
    Waiting,
    /// It plays.
    Playing,
    /// It is no more.
    Ended(RequestOutcome),
}

/// What to do with another open for the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReopenDecision {
    /// Wait with the request that is under way.
    Join,
    /// Answer with the session that plays.
    Resume,
    /// A new request; the viewer comes again.
    StartNew,
    /// A new request of a session that we moved.
    StartMigrated,
    /// Answer as the first time: it failed, perhaps with effect.
    FailedBefore,
    /// Answer that the key's paid session played and is over.
    KeySpent,
}

/// What another open with a known key amounts to.
pub fn reopen(standing: KeyState, effect: Option<Idempotency>) -> ReopenDecision {
    let free = matches!(effect, Some(Idempotency::Idempotent));
    match standing {
        KeyState::Waiting => ReopenDecision::Join,
        KeyState::Playing => ReopenDecision::Resume,
        KeyState::Ended(RequestOutcome::Rejected) => ReopenDecision::StartNew,
        KeyState::Ended(RequestOutcome::Migrated) => ReopenDecision::StartMigrated,
        KeyState::Ended(RequestOutcome::Failed) if free => ReopenDecision::StartNew,
        KeyState::Ended(RequestOutcome::Failed) => ReopenDecision::FailedBefore,
        KeyState::Ended(RequestOutcome::Played) if free => ReopenDecision::StartNew,
        KeyState::Ended(RequestOutcome::Played) => ReopenDecision::KeySpent,
    }
}

/// Whether an outcome proves that the attempt never ran.
pub fn never_ran(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_paid_key_never_leads_to_a_second_set_up_once_one_may_have_run() {
        for standing in [
            KeyState::Waiting,
            KeyState::Playing,
            KeyState::Ended(RequestOutcome::Failed),
            KeyState::Ended(RequestOutcome::Played),
        ] {
            for effect in [None, Some(Idempotency::AtMostOnce)] {
                let what = reopen(standing, effect);
                assert!(
                    !matches!(
                        what,
                        ReopenDecision::StartNew | ReopenDecision::StartMigrated
                    ),
                    "{standing:?} {effect:?}: {what:?}"
                );
            }
        }
        assert_eq!(
            reopen(
                KeyState::Ended(RequestOutcome::Rejected),
                Some(Idempotency::AtMostOnce)
            ),
            ReopenDecision::StartNew
        );
    }

    #[test]
    fn a_free_key_starts_afresh_when_its_session_is_no_more() {
        for past in [
            RequestOutcome::Rejected,
            RequestOutcome::Failed,
            RequestOutcome::Played,
        ] {
            assert_eq!(
                reopen(KeyState::Ended(past), Some(Idempotency::Idempotent)),
                ReopenDecision::StartNew
            );
        }
        assert_eq!(
            reopen(KeyState::Waiting, Some(Idempotency::Idempotent)),
            ReopenDecision::Join
        );
    }
}
