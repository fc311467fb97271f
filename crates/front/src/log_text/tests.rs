//! Tools may search log lines for these texts, so the tests compare them literally.
use super::*;
use crate::output::{FailureReason, RejectReason, SessionEndReason};

fn text(logged: impl fmt::Debug) -> String {
    format!("{logged:?}")
}

#[test]
fn a_rejection_is_logged_with_its_retry_after_in_nanoseconds() {
    let rejected = |retry_after| Answer::Rejected {
        reason: RejectReason::NoCapacity,
        retry_after,
    };
    assert_eq!(
        text(rejected(Some(Duration::from_millis(500))).log_text()),
        "Rejected(NoCapacity, 500000000)"
    );
    assert_eq!(text(rejected(None).log_text()), "Rejected(NoCapacity, 0)");
    assert_eq!(
        text(Answer::Failed(FailureReason::NoAnswer).log_text()),
        "Failed(NoAnswer)"
    );
}

#[test]
fn the_end_of_a_session_is_logged_with_its_retry_after_in_nanoseconds() {
    let ended = |retry_after| Notification::SessionEnded {
        reason: SessionEndReason::ServerLost,
        retry_after,
    };
    assert_eq!(
        text(ended(Some(Duration::from_nanos(7))).log_text()),
        "SessionEnded(ServerLost, 7)"
    );
    assert_eq!(text(ended(None).log_text()), "SessionEnded(ServerLost, 0)");
    assert_eq!(
        text(Notification::RungChanged(2).log_text()),
        "RungChanged(2)"
    );
}
