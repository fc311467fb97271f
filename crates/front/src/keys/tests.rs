//! Decisions on open requests with a known key.
use super::*;

#[test]
fn a_paid_key_never_leads_to_a_second_set_up_once_one_may_have_run() {
    for state in [
        KeyState::Waiting,
        KeyState::Playing,
        KeyState::Ended(RequestOutcome::Failed),
        KeyState::Ended(RequestOutcome::Played),
    ] {
        for idempotency in [None, Some(Idempotency::AtMostOnce)] {
            let decision = decide_reopen(state, idempotency);
            assert!(
                !matches!(
                    decision,
                    ReopenDecision::StartNew | ReopenDecision::StartMigrated
                ),
                "{state:?} {idempotency:?}: {decision:?}"
            );
        }
    }
    assert_eq!(
        decide_reopen(
            KeyState::Ended(RequestOutcome::Rejected),
            Some(Idempotency::AtMostOnce)
        ),
        ReopenDecision::StartNew
    );
}

#[test]
fn an_idempotent_key_starts_a_new_request_once_its_session_has_ended() {
    for outcome in [
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::Played,
    ] {
        assert_eq!(
            decide_reopen(KeyState::Ended(outcome), Some(Idempotency::Idempotent)),
            ReopenDecision::StartNew
        );
    }
    assert_eq!(
        decide_reopen(KeyState::Waiting, Some(Idempotency::Idempotent)),
        ReopenDecision::Join
    );
}
