//! Staged recovery of a core after a power loss: which requests are queued, which classes are served first, and how
//! keys of previous incarnations are handled.
mod common;
use common::*;
use crankpaddle_front::keys::RequestOutcome;
use crankpaddle_front::*;
use std::time::Duration;

struct Harness {
    core: Core,
    now: u64,
    outputs: Vec<Output>,
    calls: u64,
}

/// Creates a core that knows no servers yet. Its previous incarnation ended by `previous_shutdown`, in a fleet of
/// `previous_fronts` fronts.
fn recovering_harness(previous_shutdown: PreviousShutdown, previous_fronts: u32) -> Harness {
    let now = 1000 * SECOND;
    let config = CoreConfig {
        max_wait: vec![Duration::from_secs(5), Duration::from_secs(4)],
        answer_margin: Duration::from_millis(100),
        resume_window: Duration::from_secs(3),
        recovered_resume_window: Duration::from_secs(10),
        max_pending: 20,
        max_pending_per_player: 5,
        key_retention: Duration::from_secs(60),
        max_retained_keys: 100,
    };
    let timeouts = crankpaddle_recovery::StageTimeouts {
        reconciliation_timeout: Duration::from_nanos(3 * SECOND),
        paid_quiet_period: Duration::from_nanos(SECOND),
        paid_only_timeout: Duration::from_nanos(10 * SECOND),
        warm_up_duration: Duration::from_nanos(10 * SECOND),
    };
    let mut core = Core::new(settings(), config, 7, Time(now));
    let mut staged_recovery = StagedRecovery::new(timeouts, Time(now));
    staged_recovery.state_read(Time(now), previous_shutdown);
    core.begin_recovery(
        staged_recovery,
        previous_shutdown != PreviousShutdown::Unknown,
        ConservativeBound::new(previous_fronts),
    );
    Harness {
        core,
        now,
        outputs: vec![],
        calls: 0,
    }
}

impl Harness {
    fn handle(&mut self, input: Input) -> Vec<Output> {
        self.core.handle(Time(self.now), input, &mut self.outputs);
        self.core.check_invariants().unwrap();
        std::mem::take(&mut self.outputs)
    }

    /// Advances the clock, and handles each timer when it expires.
    fn advance(&mut self, nanoseconds: u64) -> Vec<Output> {
        let until = self.now + nanoseconds;
        let mut all = Vec::new();
        while let Some(next) = self.core.next_expiry().filter(|at| at.0 <= until) {
            self.now = next.0.max(self.now);
            self.core.expire(Time(self.now), &mut self.outputs);
            self.core.check_invariants().unwrap();
            all.append(&mut self.outputs);
        }
        self.now = until;
        all
    }

    fn open(&mut self, key: &str, class: u8) -> (PlayerCall, Vec<Output>) {
        self.calls += 1;
        let call = PlayerCall {
            player: PlayerId(self.calls),
            number: 1,
        };
        let open = OpenRequest {
            key: key.into(),
            class,
            cell_count: 3,
            max_rung: 1,
            max_wait: Duration::MAX,
            ..OpenRequest::default()
        };
        let received = Time(self.now);
        (
            call,
            self.handle(Input::Open {
                call,
                request: open,
                received_at: received,
            }),
        )
    }

    fn list_endpoints(&mut self) {
        let endpoint = |number: u32| Endpoint {
            server: ServerId(number),
            cell: number as u16,
            lifecycle: Lifecycle::Ready,
            weight: 1.0,
            ..Endpoint::default()
        };
        self.handle(Input::EndpointList(
            EndpointListKind::Full,
            (0..6).map(endpoint).collect(),
        ));
    }

    /// Completes reconciliation: all servers have reported their sessions, and everything found was passed to the core.
    fn complete_reconciliation(&mut self) -> Vec<Output> {
        self.handle(Input::EndpointsKnown);
        let mut all = self.handle(Input::ReconciliationCompleted);
        assert!(
            all.iter()
                .any(|output| matches!(output, Output::StageReached(RecoveryStage::PaidOnly, _))),
            "{all:?}"
        );
        self.list_endpoints();
        all.extend(self.handle(Input::ServiceResumed));
        all
    }
}

fn session_found(key: &str, token: u64, server: ServerId) -> Input {
    let open = OpenRequest {
        key: key.into(),
        class: PAID,
        cell_count: 3,
        max_rung: 1,
        ..OpenRequest::default()
    };
    Input::SessionFound {
        token,
        open,
        server,
    }
}

fn answer_to(outputs: &[Output], wanted: PlayerCall) -> Option<&Answer> {
    outputs.iter().find_map(|output| {
        if let Output::Answer(call, answer) = output {
            (*call == wanted).then_some(answer)
        } else {
            None
        }
    })
}

fn count_set_ups(outputs: &[Output]) -> usize {
    outputs
        .iter()
        .filter(|output| matches!(output, Output::StartSetUp { .. }))
        .count()
}

#[test]
fn all_requests_are_queued_during_reconciliation_and_paid_ones_are_served_first() {
    let mut harness = recovering_harness(PreviousShutdown::PowerLost, 0);
    let (paid, outputs) = harness.open("a", PAID);
    assert!(outputs.is_empty(), "{outputs:?}");
    let (free, _) = harness.open("b", FREE);
    assert_eq!(
        (
            harness.core.queued_for_recovery(),
            harness.core.waiting_requests()
        ),
        (2, 2)
    );
    harness.advance(500 * MILLISECOND);
    let outputs = harness.complete_reconciliation();
    assert_eq!(
        count_set_ups(&outputs),
        1,
        "only the paid request is served"
    );
    assert!(answer_to(&outputs, paid).is_none());
    let Some(Answer::Rejected {
        reason: RejectReason::Recovering,
        retry_after,
    }) = answer_to(&outputs, free)
    else {
        panic!("{outputs:?}")
    };
    assert!(
        *retry_after > Some(Duration::ZERO) && *retry_after <= Some(Duration::from_nanos(SECOND)),
        "the Retry-After is at most the configured maximum"
    );
    // After one second without a rejected paid request, all classes are served.
    harness.advance(SECOND);
    assert_eq!(harness.core.recovery_stage(), RecoveryStage::AllClasses);
    assert_eq!(count_set_ups(&harness.open("c", FREE).1), 1);
}

#[test]
fn requests_queued_for_recovery_do_not_count_as_overload() {
    let mut harness = recovering_harness(PreviousShutdown::Killed, 0);
    for number in 0..10 {
        harness.open(&format!("k{number}"), PAID);
    }
    harness.advance(2 * SECOND);
    assert_eq!(count_set_ups(&harness.complete_reconciliation()), 10);
}

#[test]
fn each_queued_request_is_answered_before_its_viewer_gives_up_even_if_no_server_reports() {
    let mut harness = recovering_harness(PreviousShutdown::PowerLost, 0);
    harness.handle(Input::KeyUnresolved {
        tenant: 0,
        key: "begun".into(),
    });
    let (new, _) = harness.open("new", PAID);
    let (begun, _) = harness.open("begun", PAID);
    let (free, _) = harness.open("free", FREE);
    let outputs = harness.advance(3900 * MILLISECOND - 1);
    assert!(outputs.is_empty(), "{outputs:?}");
    let outputs = harness.advance(2 * SECOND);
    assert!(matches!(
        answer_to(&outputs, new),
        Some(Answer::Rejected {
            reason: RejectReason::Recovering,
            ..
        })
    ));
    // A rejection would state that nothing ran, but the set-up of the previous incarnation may have run.
    assert_eq!(
        answer_to(&outputs, begun),
        Some(&Answer::Failed(FailureReason::NoAnswer))
    );
    assert!(matches!(
        answer_to(&outputs, free),
        Some(Answer::Rejected { .. })
    ));
    assert_eq!(harness.core.queued_for_recovery(), 0);
    // No server is known that could report its sessions, so later requests are rejected at once.
    let (late, outputs) = harness.open("late", FREE);
    assert!(matches!(
        answer_to(&outputs, late),
        Some(Answer::Rejected {
            reason: RejectReason::Recovering,
            ..
        })
    ));
}

#[test]
fn after_the_loss_of_the_disk_paid_requests_are_not_rejected_as_if_nothing_ran() {
    let mut harness = recovering_harness(PreviousShutdown::Unknown, 0);
    let (paid, _) = harness.open("a", PAID);
    let outputs = harness.advance(5 * SECOND);
    assert_eq!(
        answer_to(&outputs, paid),
        Some(&Answer::Failed(FailureReason::NoAnswer))
    );
}

#[test]
fn keys_of_previous_incarnations_have_the_outcome_that_servers_reported() {
    let mut harness = recovering_harness(PreviousShutdown::PowerLost, 0);
    for key in ["spent", "failed", "never"] {
        harness.handle(Input::KeyUnresolved {
            tenant: 0,
            key: key.into(),
        });
    }
    let calls: Vec<PlayerCall> = ["spent", "failed", "never"]
        .map(|key| harness.open(key, PAID).0)
        .into();
    let resolutions = [
        ("spent", Some(RequestOutcome::Played)),
        ("failed", Some(RequestOutcome::Failed)),
        ("never", None),
    ];
    for (key, outcome) in resolutions {
        harness.handle(Input::KeyResolved {
            tenant: 0,
            key: key.into(),
            class: PAID,
            outcome,
        });
    }
    let outputs = harness.complete_reconciliation();
    assert_eq!(
        answer_to(&outputs, calls[0]),
        Some(&Answer::Failed(FailureReason::KeySpent))
    );
    assert_eq!(
        answer_to(&outputs, calls[1]),
        Some(&Answer::Failed(FailureReason::NoAnswer))
    );
    assert_eq!(
        count_set_ups(&outputs),
        1,
        "only the key that never ran is set up"
    );
}

#[test]
fn a_class_that_is_no_longer_configured_counts_as_paid() {
    let mut harness = recovering_harness(PreviousShutdown::PowerLost, 0);
    harness.handle(Input::KeyResolved {
        tenant: 0,
        key: "k".into(),
        class: u8::MAX,
        outcome: Some(RequestOutcome::Played),
    });
    harness.complete_reconciliation();
    let (call, outputs) = harness.open("k", PAID);
    assert_eq!(
        answer_to(&outputs, call),
        Some(&Answer::Failed(FailureReason::KeySpent))
    );
}

#[test]
fn a_session_found_at_a_server_is_torn_down_unless_its_viewer_reattaches() {
    for reattaches in [true, false] {
        let mut harness = recovering_harness(PreviousShutdown::PowerLost, 0);
        harness.complete_reconciliation();
        let outputs = harness.handle(session_found("kept", 5, ServerId(2)));
        let [Output::FoundSessionHandled {
            token: 5,
            attempt: Some(attempt),
            server: ServerId(2),
        }] = outputs[..]
        else {
            panic!("{outputs:?}")
        };
        assert_eq!(harness.core.playing_sessions(), 1);
        let again = harness.handle(session_found("kept", 6, ServerId(3)));
        assert!(
            matches!(
                again[..],
                [Output::FoundSessionHandled { attempt: None, .. }]
            ),
            "one session for each key: {again:?}"
        );
        harness.advance(9 * SECOND);
        if reattaches {
            let (call, outputs) = harness.open("kept", PAID);
            assert!(
                matches!(answer_to(&outputs, call), Some(Answer::Established { attempt: id, .. }) if *id == attempt),
                "{outputs:?}"
            );
            assert_eq!(count_set_ups(&outputs), 0);
        }
        let outputs = harness.advance(5 * SECOND);
        let ended = outputs.contains(&Output::TearDown(attempt, ServerId(2)));
        assert_eq!(
            (ended, harness.core.playing_sessions()),
            (!reattaches, usize::from(reattaches))
        );
    }
}

#[test]
fn a_smaller_fleet_is_ignored_until_the_servers_had_time_to_warm_up() {
    let mut harness = recovering_harness(PreviousShutdown::PowerLost, 40);
    assert_eq!(harness.core.replica_count(), 40);
    harness.handle(Input::FleetSizeChanged(11));
    harness.complete_reconciliation();
    harness.advance(5 * SECOND);
    assert_eq!(
        (harness.core.recovery_stage(), harness.core.replica_count()),
        (RecoveryStage::AllClasses, 40)
    );
    harness.handle(Input::FleetSizeChanged(50));
    assert_eq!(
        harness.core.replica_count(),
        50,
        "a larger fleet takes effect at once"
    );
    harness.handle(Input::FleetSizeChanged(11));
    harness.advance(20 * SECOND);
    assert_eq!(
        (harness.core.recovery_stage(), harness.core.replica_count()),
        (RecoveryStage::Normal, 11)
    );
}

#[test]
fn after_a_clean_shutdown_nothing_is_queued() {
    let mut harness = recovering_harness(PreviousShutdown::Clean, 40);
    harness.list_endpoints();
    assert_eq!(
        (harness.core.recovery_stage(), harness.core.replica_count()),
        (RecoveryStage::Normal, 2)
    );
    assert_eq!(count_set_ups(&harness.open("a", FREE).1), 1);
}

#[test]
fn the_recovery_queue_is_bounded_and_players_that_leave_or_disconnect_get_no_answer() {
    let mut harness = recovering_harness(PreviousShutdown::PowerLost, 0);
    let calls: Vec<(PlayerCall, Vec<Output>)> = (0..25)
        .map(|number| harness.open(&format!("k{number}"), PAID))
        .collect();
    let rejected = calls.iter().filter(|(call, outputs)| {
        matches!(
            answer_to(outputs, *call),
            Some(Answer::Rejected {
                reason: RejectReason::TooManyPending,
                ..
            })
        )
    });
    assert_eq!(
        (rejected.count(), harness.core.queued_for_recovery()),
        (5, 20)
    );
    harness.handle(Input::PlayerDisconnected(calls[0].0.player));
    harness.handle(Input::PlayerLeft(calls[1].0.player));
    assert_eq!(harness.core.queued_for_recovery(), 18);
    let outputs = harness.handle(Input::Stop);
    assert!(answer_to(&outputs, calls[0].0).is_none() && answer_to(&outputs, calls[2].0).is_some());
}

#[test]
fn a_request_whose_attempt_is_deferred_by_a_slow_disk_is_rejected_and_does_not_fail() {
    for state in [SendState::Deferred, SendState::Sent] {
        let is_deferred = state == SendState::Deferred;
        let mut harness = recovering_harness(PreviousShutdown::Clean, 0);
        harness.list_endpoints();
        let (call, outputs) = harness.open("a", PAID);
        let started = |output: &Output| {
            if let Output::StartSetUp { attempt, .. } = output {
                Some(*attempt)
            } else {
                None
            }
        };
        let mut attempt = outputs.iter().find_map(started).unwrap();
        let mut outputs_since = Vec::new();
        while harness.core.waiting_requests() > 0 {
            harness.handle(Input::SendStateChanged(attempt, state));
            let outputs = harness.advance(100 * MILLISECOND);
            attempt = outputs.iter().find_map(started).unwrap_or(attempt);
            outputs_since.extend(outputs);
        }
        let is_rejected = matches!(
            answer_to(&outputs_since, call),
            Some(Answer::Rejected { .. })
        );
        let has_failed = matches!(answer_to(&outputs_since, call), Some(Answer::Failed(..)));
        assert_eq!(
            (is_rejected, has_failed),
            (is_deferred, !is_deferred),
            "{outputs_since:?}"
        );
    }
}
