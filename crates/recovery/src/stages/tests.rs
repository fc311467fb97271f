use super::*;
use proptest::prelude::*;

const TIMEOUTS: StageTimeouts = StageTimeouts {
    reconciliation_timeout: Duration::from_nanos(100),
    paid_quiet_period: Duration::from_nanos(20),
    paid_only_timeout: Duration::from_nanos(300),
    warm_up_duration: Duration::from_nanos(1000),
};

/// A recovery after a power loss that has reached this stage, which is reconciling or paid-only.
fn recovery_in(stage: RecoveryStage) -> StagedRecovery {
    let mut recovery = StagedRecovery::new(TIMEOUTS, Time(0));
    recovery.start_reading(Time(1));
    recovery.state_read(Time(2), PreviousShutdown::PowerLost);
    if stage > RecoveryStage::Reconciling {
        recovery.endpoints_known(Time(3));
        recovery.reconciliation_completed(Time(4));
    }
    recovery
}

fn transition(at: Time, stage: RecoveryStage, evidence: StageEvidence) -> StageTransition {
    StageTransition {
        at,
        stage,
        evidence,
    }
}

#[test]
fn after_a_graceful_shutdown_service_is_normal_at_once() {
    let mut recovery = StagedRecovery::new(TIMEOUTS, Time(0));
    recovery.state_read(Time(1), PreviousShutdown::Clean);
    assert_eq!(
        (
            recovery.stage(),
            recovery.next_expiry(),
            recovery.admit(Time(1), false)
        ),
        (RecoveryStage::Normal, None, RecoveryAdmission::Serve)
    );
    assert_eq!(
        StagedRecovery::not_needed(Time(5)).stage(),
        RecoveryStage::Normal
    );
}

#[test]
fn all_requests_are_queued_until_reconciled_and_then_only_paid_ones_are_served() {
    let mut recovery = recovery_in(RecoveryStage::Reconciling);
    assert_eq!(
        (
            recovery.admit(Time(3), true),
            recovery.admit(Time(3), false)
        ),
        (RecoveryAdmission::Queue, RecoveryAdmission::Queue)
    );
    recovery.reconciliation_completed(Time(3));
    assert_eq!(
        recovery.stage(),
        RecoveryStage::Reconciling,
        "no server is listed yet, so none was queried"
    );
    recovery.endpoints_known(Time(5));
    assert_eq!(
        (recovery.stage(), recovery.admit(Time(5), true)),
        (RecoveryStage::PaidOnly, RecoveryAdmission::Serve)
    );
    assert_eq!(
        recovery.admit(Time(5), false),
        RecoveryAdmission::RetryLater {
            min_delay: Duration::from_nanos(300),
            spread: Duration::from_nanos(1000)
        }
    );
    recovery.paid_rejected(Time(10), Duration::from_nanos(7));
    recovery.expire(Time(36));
    assert_eq!(
        recovery.stage(),
        RecoveryStage::PaidOnly,
        "a retry is expected at 17, and the quiet period of 20 ends at 37"
    );
    recovery.expire(Time(37));
    assert_eq!(
        recovery.transitions().last(),
        Some(&transition(
            Time(37),
            RecoveryStage::AllClasses,
            StageEvidence::PaidDemandServed
        ))
    );
    recovery.expire(Time(1037));
    assert_eq!(
        recovery.transitions().last(),
        Some(&transition(
            Time(1037),
            RecoveryStage::Normal,
            StageEvidence::WarmedUp
        ))
    );
}

#[test]
fn reconciling_and_paid_only_time_out_without_evidence() {
    let mut recovery = recovery_in(RecoveryStage::Reconciling);
    recovery.endpoints_known(Time(50));
    assert_eq!(recovery.next_expiry(), Some(Time(150)));
    recovery.expire(Time(149));
    assert_eq!(recovery.stage(), RecoveryStage::Reconciling);
    recovery.expire(Time(150));
    assert_eq!(recovery.stage(), RecoveryStage::PaidOnly);
    for now in 150..450 {
        recovery.paid_rejected(Time(now), Duration::ZERO);
        recovery.expire(Time(now));
        assert_eq!(recovery.stage(), RecoveryStage::PaidOnly);
    }
    recovery.expire(Time(450));
    assert_eq!(
        recovery.transitions().last(),
        Some(&transition(
            Time(450),
            RecoveryStage::AllClasses,
            StageEvidence::TimedOut
        ))
    );
}

#[test]
fn without_an_endpoint_list_requests_are_queued_only_for_the_reconciliation_timeout() {
    let recovery = recovery_in(RecoveryStage::Reconciling);
    assert_eq!(recovery.admit(Time(101), true), RecoveryAdmission::Queue);
    assert!(matches!(
        recovery.admit(Time(102), true),
        RecoveryAdmission::RetryLater { .. }
    ));
}

proptest! {
    /// Whatever happens, no earlier stage is entered again, and once servers are listed the normal stage is reached.
    #[test]
    fn stages_only_advance_and_end_in_normal(events in proptest::collection::vec((0u8..5, 0u64..60), 0..80)) {
        let mut recovery = recovery_in(RecoveryStage::Reconciling);
        let mut now = Time(2);
        for (kind, delay) in events {
            let delay = Duration::from_nanos(delay);
            now += delay;
            let stage_before = recovery.stage();
            match kind {
                0 => recovery.endpoints_known(now),
                1 => recovery.reconciliation_completed(now),
                2 => recovery.paid_rejected(now, delay),
                3 => recovery.state_read(now, PreviousShutdown::PowerLost),
                _ => recovery.expire(now),
            }
            prop_assert!(recovery.stage() >= stage_before);
            prop_assert!(recovery.next_expiry().is_none_or(|expiry| expiry > now) || kind == 2 || kind == 3);
        }
        recovery.endpoints_known(now);
        for _ in 0..3 {
            now += Duration::from_nanos(2000);
            recovery.expire(now);
        }
        prop_assert_eq!(recovery.stage(), RecoveryStage::Normal);
        prop_assert!(recovery
            .transitions()
            .windows(2)
            .all(|pair| pair[0].at <= pair[1].at && pair[0].stage < pair[1].stage));
    }
}
