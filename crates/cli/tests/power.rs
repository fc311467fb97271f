//! Power loss at each step between the intent of a paid set-up and its answer, and the recovery of the next incarnation.
//! A front is a process that is killed. Its disk, its boot id and its servers are changed while it is down. What was
//! sent and billed is judged at the servers.
mod power_harness;
mod support;

use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::process::Process;
use crankpaddle_testbed::record::Seen;
use crankpaddle_testbed::script::{front_block, FLEET};
use power_harness::player::{
    assert_established_or_failed, established, failure_reason, ApiPlayer, Established,
};
use power_harness::{wait_until, KeyCounts, PowerLossHarness, FREE, ONCE, PAID, SERVERS};
use std::fs;
use std::path::Path;
use support::TIMEOUT;

/// The step of a paid set-up at which power is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SetUpStep {
    /// Nothing was sent to a server.
    NotSent,
    /// A server received it and has not answered.
    InProgress,
    /// A server ran it, and its answer did not arrive.
    RanUnanswered,
    /// The session was sent to its viewer.
    Established,
    /// Its viewer closed the session, which ended at its server.
    Closed,
}

const SET_UP_STEPS: [SetUpStep; 5] = [
    SetUpStep::NotSent,
    SetUpStep::InProgress,
    SetUpStep::RanUnanswered,
    SetUpStep::Established,
    SetUpStep::Closed,
];

/// Advances a key's set-up to a step. Returns the media address of the viewer's session if it is still active.
fn advance_to(
    step: SetUpStep,
    harness: &PowerLossHarness,
    front: &Process,
    key: &str,
) -> Option<String> {
    let mut player = ApiPlayer::connect(front);
    match step {
        SetUpStep::NotSent => None,
        SetUpStep::InProgress => {
            player.open(key, PAID);
            wait_until("a server receives the set-up", || {
                harness.counts_of(key).sent == 1
            });
            None
        }
        SetUpStep::RanUnanswered => {
            harness.set_hanging(true);
            player.open(key, PAID);
            wait_until("a server bills the set-up", || {
                harness.counts_of(key).billed == 1
            });
            None
        }
        SetUpStep::Established => {
            let event = player.open_until_admitted(key, PAID);
            Some(established(&event).media.to_owned())
        }
        SetUpStep::Closed => {
            open_and_close(harness, &mut player, key);
            None
        }
    }
}

fn open_and_close(harness: &PowerLossHarness, player: &mut ApiPlayer, key: &str) {
    let event = player.open_until_admitted(key, PAID);
    let Established { session, media } = established(&event);
    player.close(session);
    let at_server = media.split('/').nth(4).unwrap();
    wait_until("the session ends at its server", || {
        harness.recorded(|seen| matches!(seen, Seen::Ended { name, .. } if name == at_server)) == 1
    });
}

/// Checks the answer of the next incarnation to a key whose set-up was interrupted at this step. The disk is intact.
fn check_answer(
    step: SetUpStep,
    harness: &PowerLossHarness,
    key: &str,
    event: &ClientEvent,
    media: Option<&str>,
) {
    let counts = harness.counts_of(key);
    let mut expected = ONCE;
    match step {
        SetUpStep::NotSent => {
            established(event);
        }
        // The server drops the set-up when the front's connection ends, and it is sent again; or it had already run to its end.
        SetUpStep::InProgress => match event {
            ClientEvent::Plays { .. } => expected = KeyCounts { sent: 2, billed: 1 },
            other => {
                failure_reason(other);
            }
        },
        // The server has ended the session because its front was lost, or has not detected the loss yet.
        SetUpStep::RanUnanswered => assert_established_or_failed(event),
        SetUpStep::Established => assert_eq!(
            Some(established(event).media),
            media,
            "the viewer gets the session that its server kept"
        ),
        // The record of the session's end may be lost, but the record that the set-up ran is not.
        SetUpStep::Closed => assert!(
            ["key_spent", "no_answer"].contains(&failure_reason(event)),
            "{event:?}"
        ),
    }
    assert_eq!(counts, expected, "{step:?}");
}

/// Loses power twice more during recovery, which can't complete while servers are unreachable.
fn lose_power_during_recovery(harness: &PowerLossHarness, key: &str) {
    harness.set_vanished(true);
    for _ in 0..2 {
        let recovering = harness.start_front();
        let mut player = ApiPlayer::connect(&recovering);
        player.open(key, PAID);
        player.open("while-it-recovers", FREE);
        recovering.kill().unwrap();
    }
    harness.set_vanished(false);
}

#[test]
fn power_lost_at_each_step_and_during_recovery_bills_nothing_twice() {
    let mut harness = PowerLossHarness::new();
    let front = harness.start_front();
    drop(ApiPlayer::connect(&front));
    front.kill().unwrap();
    for (index, step) in SET_UP_STEPS.into_iter().enumerate() {
        let key = format!("step-{index:04}");
        let front = harness.start_front();
        harness.wait_until_serving(&front, &format!("free-{index:04}"));
        let media = advance_to(step, &harness, &front, &key);
        front.kill().unwrap();
        harness.set_hanging(false);
        harness.next_boot();
        lose_power_during_recovery(&harness, &key);
        let front = harness.start_front();
        let event = ApiPlayer::connect(&front).open_until_admitted(&key, PAID);
        check_answer(step, &harness, &key, &event, media.as_deref());
        front.kill().unwrap();
    }
}

/// A fault of the disk while the power is off.
#[derive(Clone, Copy, Debug)]
enum DiskFault {
    /// The disk is replaced by an empty one.
    Empty,
    /// The disk is restored from an earlier copy.
    Outdated,
    /// The end of the store's file is missing.
    Truncated,
    /// A part of the store's file is overwritten.
    Corrupted,
}

const DISK_FAULTS: [DiskFault; 4] = [
    DiskFault::Empty,
    DiskFault::Outdated,
    DiskFault::Truncated,
    DiskFault::Corrupted,
];

fn apply_disk_fault(harness: &PowerLossHarness, fault: DiskFault) {
    let store = harness.path("store");
    let file = store.join("front.redb");
    match fault {
        DiskFault::Empty => fs::remove_dir_all(&store).unwrap(),
        DiskFault::Outdated => {
            fs::remove_dir_all(&store).unwrap();
            fs::rename(harness.path("old"), &store).unwrap();
        }
        DiskFault::Truncated => {
            let bytes = fs::read(&file).unwrap();
            fs::write(&file, &bytes[..bytes.len() / 3]).unwrap();
        }
        DiskFault::Corrupted => {
            let mut bytes = fs::read(&file).unwrap();
            bytes[20..600].fill(0x41);
            fs::write(&file, bytes).unwrap();
        }
    }
}

/// Copies the store, so that [`DiskFault::Outdated`] can restore it.
fn copy_store(harness: &PowerLossHarness) {
    let old = harness.path("old");
    fs::create_dir_all(&old).unwrap();
    for entry in fs::read_dir(harness.path("store")).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), old.join(entry.file_name())).unwrap();
    }
}

#[test]
fn a_disk_that_is_empty_outdated_truncated_or_corrupted_bills_nothing_twice() {
    let mut harness = PowerLossHarness::new();
    for (index, fault) in DISK_FAULTS.into_iter().enumerate() {
        let established_key = format!("told-{index:04}");
        let unanswered_key = format!("ran-{index:04}");
        let new_key = format!("new-{index:04}");
        let front = harness.start_front();
        harness.wait_until_serving(&front, &format!("free-{index:04}"));
        front.kill().unwrap();
        copy_store(&harness);
        let front = harness.start_front();
        let media = advance_to(SetUpStep::Established, &harness, &front, &established_key);
        advance_to(SetUpStep::RanUnanswered, &harness, &front, &unanswered_key);
        front.kill().unwrap();
        harness.set_hanging(false);
        harness.next_boot();
        apply_disk_fault(&harness, fault);

        let front = harness.start_front();
        let mut player = ApiPlayer::connect(&front);
        let event = player.open_until_admitted(&established_key, PAID);
        assert_eq!(
            Some(established(&event).media),
            media.as_deref(),
            "{fault:?}"
        );
        let event = player.open_until_admitted(&unanswered_key, PAID);
        assert_established_or_failed(&event);
        assert_eq!(harness.counts_of(&established_key), ONCE, "{fault:?}");
        assert_eq!(harness.counts_of(&unanswered_key), ONCE, "{fault:?}");
        // A new key is served and billed.
        established(&player.open_until_admitted(&new_key, PAID));
        assert_eq!(harness.counts_of(&new_key), ONCE);
        front.kill().unwrap();
        let _ = fs::remove_dir_all(harness.path("old")); // It is absent if it was moved to the store.
    }
}

#[test]
fn servers_without_inventory_prove_nothing_and_a_graceful_shutdown_leaves_nothing_pending() {
    let mut harness = PowerLossHarness::new();
    let front = harness.start_front();
    let mut free_viewer = ApiPlayer::connect(&front);
    established(&free_viewer.open_until_admitted("free-0001", FREE));
    advance_to(SetUpStep::Established, &harness, &front, "gone-0001");
    advance_to(SetUpStep::RanUnanswered, &harness, &front, "lost-0001");
    front.kill().unwrap();
    harness.set_hanging(false);
    harness.next_boot();
    for id in 0..SERVERS {
        harness.fleet.crash(id);
        harness.fleet.restart(id).unwrap();
        harness.fleet.lose_inventory(id);
    }

    let mut front = harness.start_front();
    let mut player = ApiPlayer::connect(&front);
    // The server's inventory starts after the set-up, so it does not prove that the set-up did not run.
    failure_reason(&player.open_until_admitted("lost-0001", PAID));
    let event = player.open_until_admitted("gone-0001", PAID);
    assert_eq!(failure_reason(&event), "key_spent");
    assert_eq!(harness.counts_of("lost-0001"), ONCE);
    assert_eq!(harness.counts_of("gone-0001"), ONCE);
    established(&player.open_until_admitted("new-0001", PAID));
    drop(player);
    let faults =
        crankpaddle_testbed::process::end_all(std::iter::once(&mut front), TIMEOUT).unwrap();
    assert_eq!(faults, Vec::<String>::new());

    // After a graceful shutdown the next incarnation serves at once, and still has the key.
    let front = harness.start_front();
    let mut player = ApiPlayer::connect(&front);
    let event = player.open_until_admitted("new-0001", PAID);
    assert_eq!(failure_reason(&event), "key_spent");
    assert_eq!(harness.counts_of("new-0001"), ONCE);
    assert_eq!(harness.config.classes, [PAID, FREE]);
}

/// Starts a second front with this store directory, and returns the error with which it exits.
fn start_error(harness: &PowerLossHarness, store_dir: &Path) -> String {
    let key = harness.path("key");
    let store = format!(
        "store {{ name: \"north-1\" dir: {store_dir:?} key_file: {key:?} settle: \"2s\" }}\n"
    );
    let block = front_block(0, 1, "north", "127.0.0.1:9", "");
    let exe = Path::new(env!("CARGO_BIN_EXE_crankpaddle"));
    let config = block + &store + FLEET;
    Process::start(exe, harness.dir.path(), "second", &config)
        .unwrap_err()
        .to_string()
}

#[test]
fn a_store_in_use_or_of_a_later_release_is_an_error_with_advice() {
    let harness = PowerLossHarness::new();
    let front = harness.start_front();
    let store = harness.path("store");

    let locked = start_error(&harness, &store);
    front.kill().unwrap();
    fs::write(store.join("VERSION"), "7\n").unwrap();
    let later_release = start_error(&harness, &store);

    assert!(locked.contains("store::locked"), "{locked}");
    assert!(locked.contains("do: give each front"), "{locked}");
    assert!(later_release.contains("store::future"), "{later_release}");
    assert!(later_release.contains("version 7"), "{later_release}");
}
