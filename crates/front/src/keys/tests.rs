//! What another open with a known key amounts to.
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
