use super::*;

fn key(number: u32) -> Key {
    Key {
        tenant: String::new(),
        bill: format!("b{number}"),
    }
}

fn begin_attempt(ledger: &mut IntentLedger, number: u32) -> StoreWrite {
    ledger.begin_attempt(
        key(number),
        "paid".into(),
        7,
        format!("name-{number}"),
        "1".into(),
    )
}

#[test]
fn an_attempt_that_never_ran_is_removed_and_one_that_may_have_run_is_retained() {
    let mut ledger = IntentLedger::new(Duration::from_millis(1000), 10, &[]);
    assert_eq!(
        begin_attempt(&mut ledger, 1).state_kind(),
        StateKind::Intent
    );
    assert_eq!(
        ledger.attempt_ended("name-1", AttemptResult::NeverRan, Duration::ZERO),
        Some(StoreWrite::Remove(key(1)))
    );
    assert!(ledger.is_empty());
    begin_attempt(&mut ledger, 2);
    ledger.attempt_ended("name-2", AttemptResult::Ended, Duration::from_millis(50));
    assert_eq!(
        ledger
            .get(&key(2))
            .map(|intent| (intent.outcome, intent.retained_until)),
        Some((IntentOutcome::Failed, 1050))
    );
    assert_eq!(
        ledger.attempt_ended("name-2", AttemptResult::NeverRan, Duration::from_millis(60)),
        None,
        "a late result does not change a recorded failure"
    );
}

#[test]
fn active_attempts_are_never_pruned_and_ended_ones_are_pruned_by_age_and_number() {
    let mut ledger = IntentLedger::new(Duration::from_millis(1000), 2, &[]);
    for number in 0..6 {
        begin_attempt(&mut ledger, number);
    }
    for number in 2..6u32 {
        ledger.attempt_ended(
            &format!("name-{number}"),
            AttemptResult::Established,
            Duration::from_millis(0),
        );
        ledger.attempt_ended(
            &format!("name-{number}"),
            AttemptResult::Ended,
            Duration::from_millis(u64::from(number)),
        );
    }
    assert_eq!(
        ledger.prune(Duration::from_millis(5), 1),
        [StoreWrite::Remove(key(2))],
        "at most one is removed by this call"
    );
    assert_eq!(
        ledger.prune(Duration::from_millis(5), 100),
        [StoreWrite::Remove(key(3))],
        "the two newest are retained"
    );
    assert_eq!(
        ledger.prune(Duration::from_millis(1004), 100),
        [StoreWrite::Remove(key(4))]
    );
    assert_eq!(
        ledger.prune(Duration::from_millis(u64::MAX - 1), 100),
        [StoreWrite::Remove(key(5))]
    );
    assert_eq!(ledger.len(), 2, "the two in flight are retained");
}

#[test]
fn no_discarded_state_is_ever_written() {
    let mut ledger = IntentLedger::new(Duration::from_millis(1), 1, &[]);
    let mut writes = vec![
        begin_attempt(&mut ledger, 1),
        StoreWrite::FleetSize(3),
        StoreWrite::Uptime(Duration::from_millis(1)),
        StoreWrite::CleanShutdown,
    ];
    writes.extend(ledger.attempt_ended("name-1", AttemptResult::Ended, Duration::ZERO));
    writes.extend(ledger.prune(Duration::from_millis(u64::MAX), 9));
    assert_eq!(writes.len(), 6);
    assert!(writes
        .iter()
        .all(|write| write.state_kind().policy() != crate::PowerLossPolicy::Discarded));
}

#[test]
fn a_ledger_starts_with_the_recovered_entries() {
    let mut first = IntentLedger::new(Duration::from_millis(1000), 10, &[]);
    let writes = [begin_attempt(&mut first, 1), begin_attempt(&mut first, 2)];
    let recovered: Vec<(Key, Intent)> = writes
        .into_iter()
        .filter_map(|write| match write {
            StoreWrite::Put(key, intent) => Some((key, intent)),
            _ => None,
        })
        .collect();
    let mut second = IntentLedger::new(Duration::from_millis(1000), 10, &recovered);
    assert_eq!(
        second
            .attempt_ended(
                "name-2",
                AttemptResult::Established,
                Duration::from_millis(0)
            )
            .map(|write| write.state_kind()),
        Some(StateKind::IntentOutcome)
    );
    assert_eq!(
        second.get(&key(1)).map(|intent| intent.outcome),
        Some(IntentOutcome::InFlight)
    );
}

#[test]
fn a_key_is_resolved_whether_or_not_the_ledger_has_it() {
    let mut ledger = IntentLedger::new(Duration::from_millis(1000), 10, &[]);
    begin_attempt(&mut ledger, 1);
    let begun = ledger.get(&key(1)).cloned().expect("an entry");
    let uptime = Duration::from_nanos(7_999_999);
    let completed = Intent {
        outcome: IntentOutcome::Completed,
        retained_until: 1007,
        ..begun
    };
    assert_eq!(
        ledger.resolve(&key(1), IntentOutcome::Completed, uptime),
        Some(StoreWrite::Put(key(1), completed))
    );
    assert_eq!(
        ledger.resolve(&key(1), IntentOutcome::Completed, uptime),
        None,
        "nothing has changed"
    );
    let unknown = Intent {
        class: String::new(),
        server: 0,
        attempt_name: String::new(),
        server_incarnation: String::new(),
        outcome: IntentOutcome::Failed,
        retained_until: 1007,
    };
    assert_eq!(
        ledger.resolve(&key(2), IntentOutcome::Failed, uptime),
        Some(StoreWrite::Put(key(2), unknown))
    );
    assert_eq!(ledger.len(), 2);
}
