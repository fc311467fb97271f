use super::*;

fn key(number: u32) -> Key {
    Key {
        tenant: String::new(),
        bill: format!("b{number}"),
    }
}

/// An intent that a previous incarnation left, whose attempt is named after the number of its key.
fn recovered_intent(number: u32, server: u32, outcome: IntentOutcome) -> (Key, Intent) {
    (
        key(number),
        Intent {
            class: "paid".to_owned(),
            server,
            attempt_name: format!("n{number}"),
            server_incarnation: "4".to_owned(),
            outcome,
            retained_until: u64::MAX,
        },
    )
}

/// An inventory that lists the sessions and the completed keys with these numbers.
fn inventory(incarnations: &[&str], held: &[u32], completed: &[u32]) -> SessionInventory {
    let sessions = held.iter().map(|number| InventorySession {
        name: format!("n{number}"),
        key: key(*number),
        ..InventorySession::default()
    });
    SessionInventory {
        incarnations: incarnations.iter().map(|name| (*name).to_owned()).collect(),
        sessions: sessions.collect(),
        completed: completed.iter().map(|number| key(*number)).collect(),
        in_progress: Vec::new(),
    }
}

/// An outcome that resolves nothing and fences this attempt.
fn only_fence(server: u32, attempt_name: &str) -> InventoryOutcome {
    InventoryOutcome {
        resolutions: vec![],
        requests: vec![ReconciliationRequest::Fence {
            server,
            attempt_name: attempt_name.to_owned(),
        }],
    }
}

/// No attempt was named by the present incarnation.
fn not_own(_: &str) -> bool {
    false
}

#[test]
fn never_ran_is_proven_only_by_a_fence_and_a_second_inventory() {
    let mut reconciliation =
        Reconciliation::new(&[recovered_intent(1, 7, IntentOutcome::InFlight)]);
    assert_eq!(
        reconciliation.update_servers([7]),
        [ReconciliationRequest::RequestInventory(7)]
    );
    let without_attempt = inventory(&["4"], &[], &[]);
    assert_eq!(
        reconciliation.receive_inventory(7, &without_attempt, not_own),
        only_fence(7, "n1")
    );
    assert!(!reconciliation.is_complete());
    assert_eq!(
        reconciliation.fence_confirmed(7, "n1"),
        Some(ReconciliationRequest::RequestInventory(7))
    );
    assert_eq!(
        reconciliation
            .receive_inventory(7, &without_attempt, not_own)
            .resolutions,
        [Resolution::NeverRan(key(1))]
    );
    assert!(reconciliation.is_complete() && reconciliation.unresolved_count() == 0);
}

#[test]
fn an_attempt_that_ran_between_the_two_inventories_counts_as_run() {
    let mut reconciliation =
        Reconciliation::new(&[recovered_intent(1, 7, IntentOutcome::InFlight)]);
    reconciliation.update_servers([7]);
    reconciliation.receive_inventory(7, &inventory(&["4"], &[], &[]), not_own);
    reconciliation.fence_confirmed(7, "n1");
    assert_eq!(
        reconciliation
            .receive_inventory(7, &inventory(&["4"], &[], &[1]), not_own)
            .resolutions,
        [Resolution::Unprovable(key(1))]
    );
}

#[test]
fn an_inventory_that_does_not_cover_the_incarnation_proves_nothing() {
    for incarnations in [&["5"][..], &[]] {
        let mut reconciliation =
            Reconciliation::new(&[recovered_intent(1, 7, IntentOutcome::InFlight)]);
        reconciliation.update_servers([7]);
        assert_eq!(
            reconciliation
                .receive_inventory(7, &inventory(incarnations, &[], &[]), not_own)
                .resolutions,
            [Resolution::Unprovable(key(1))]
        );
    }
    let mut reconciliation =
        Reconciliation::new(&[recovered_intent(1, 7, IntentOutcome::InFlight)]);
    assert!(
        matches!(
            reconciliation
                .receive_inventory(7, &inventory(&["4", "5"], &[], &[]), not_own)
                .requests[..],
            [ReconciliationRequest::Fence { .. }]
        ),
        "the inventory covers the incarnation, so the attempt is fenced"
    );
}

#[test]
fn held_sessions_are_adopted_and_ended_ones_are_completed() {
    let mut reconciliation = Reconciliation::new(&[
        recovered_intent(1, 7, IntentOutcome::InFlight),
        recovered_intent(2, 7, IntentOutcome::Established),
        recovered_intent(3, 8, IntentOutcome::Established),
    ]);
    reconciliation.update_servers([7, 8]);
    let resolutions = reconciliation
        .receive_inventory(7, &inventory(&["4"], &[1, 9], &[1]), not_own)
        .resolutions;
    let adopted = |resolution: &Resolution| match resolution {
        Resolution::Adopt { server: 7, session } => Some(session.name.clone()),
        _ => None,
    };
    assert_eq!(
        resolutions.iter().filter_map(adopted).collect::<Vec<_>>(),
        ["n1", "n9"]
    );
    assert!(resolutions.contains(&Resolution::Completed(key(2))) && resolutions.len() == 3);
    assert_eq!(
        reconciliation.unresolved_count(),
        1,
        "the attempt at the other server"
    );
}

#[test]
fn sessions_of_the_present_incarnation_are_not_reconciled() {
    let mut reconciliation = Reconciliation::new(&[]);
    assert_eq!(
        reconciliation
            .receive_inventory(7, &inventory(&["4"], &[1], &[]), |name| name == "n1")
            .resolutions,
        []
    );
}

#[test]
fn completed_keys_of_servers_are_reported_after_the_disk_was_lost() {
    let mut reconciliation = Reconciliation::new(&[]);
    reconciliation.update_servers([7]);
    assert_eq!(
        reconciliation
            .receive_inventory(7, &inventory(&["4"], &[], &[1, 2]), not_own)
            .resolutions,
        [Resolution::Completed(key(1)), Resolution::Completed(key(2))]
    );
}

#[test]
fn an_unknown_set_up_in_progress_is_fenced_before_reconciliation_is_complete() {
    let mut reconciliation = Reconciliation::new(&[]);
    reconciliation.update_servers([7]);
    let with_set_up = SessionInventory {
        in_progress: vec!["n5".into()],
        ..inventory(&["4"], &[], &[])
    };
    assert_eq!(
        reconciliation.receive_inventory(7, &with_set_up, not_own),
        only_fence(7, "n5")
    );
    assert!(!reconciliation.is_complete());
    assert_eq!(
        reconciliation.fence_confirmed(7, "n5"),
        Some(ReconciliationRequest::RequestInventory(7))
    );
    assert_eq!(
        reconciliation
            .receive_inventory(7, &inventory(&["4"], &[], &[5]), not_own)
            .resolutions,
        [Resolution::Completed(key(5))],
        "the set-up ran before it was fenced"
    );
    assert!(reconciliation.is_complete());
}

#[test]
fn an_unreachable_server_does_not_block_and_is_queried_once_reachable() {
    let mut reconciliation =
        Reconciliation::new(&[recovered_intent(1, 7, IntentOutcome::InFlight)]);
    reconciliation.update_servers([7, 8]);
    reconciliation.receive_inventory(8, &inventory(&["1"], &[], &[]), not_own);
    assert!(!reconciliation.is_complete());
    reconciliation.server_unreachable(7);
    assert!(reconciliation.is_complete());
    assert_eq!(
        reconciliation.server_counts(),
        ServerCounts {
            reconciled: 1,
            unreachable: 1,
            pending: 0
        }
    );
    assert_eq!(reconciliation.time_out(), [key(1)]);
    assert_eq!(reconciliation.time_out(), [], "each key is returned once");
    assert_eq!(
        (
            reconciliation.server_reachable(7),
            reconciliation.server_reachable(7),
            reconciliation.server_reachable(8)
        ),
        (Some(ReconciliationRequest::RequestInventory(7)), None, None)
    );
    // A failure was reported to its viewer, so no viewer will attach to the session.
    assert_eq!(
        reconciliation
            .receive_inventory(7, &inventory(&["4"], &[1], &[1]), not_own)
            .resolutions,
        [Resolution::TearDown {
            server: 7,
            attempt_name: "n1".into()
        }]
    );
}

#[test]
fn a_completed_key_at_one_server_does_not_resolve_an_attempt_at_another() {
    // Server 8 ran the key earlier and rejected the first attempt; the second one is unresolved at server 7.
    let mut reconciliation =
        Reconciliation::new(&[recovered_intent(1, 7, IntentOutcome::InFlight)]);
    reconciliation.update_servers([7, 8]);
    assert_eq!(
        reconciliation
            .receive_inventory(8, &inventory(&["4"], &[], &[1]), not_own)
            .resolutions,
        [],
        "the inventory of 7 is still pending"
    );
    reconciliation.receive_inventory(7, &inventory(&["4"], &[], &[]), not_own);
    reconciliation.fence_confirmed(7, "n1");
    let resolutions = reconciliation
        .receive_inventory(7, &inventory(&["4"], &[], &[]), not_own)
        .resolutions;
    assert_eq!(resolutions, [Resolution::NeverRan(key(1))]);
}
