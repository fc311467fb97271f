//! Scenario: servers fail paid set-ups in each way, and players disconnect during a set-up or open the same session twice.
use crate::start_harness;
use crate::support::{wait_until, Harness, PAID};
use crate::transcript::{open_params, reason, RecordedPlayer, Transcript};
use crankpaddle_session_api::SessionApiVersion;

pub(crate) fn run(version: SessionApiVersion, transcript: &Transcript) {
    let harness = start_harness(&[(
        "open_requests_per_connection: 64",
        "open_requests_per_connection: 2",
    )]);
    let address = harness.daemon.address();
    let mut player = RecordedPlayer::connect(address, version, transcript);
    fail_at_servers(&harness, &mut player);
    harness.set_faults_on_all(|faults| (faults.bills_and_resets, faults.hangs) = (0.0, true));
    let leaving = RecordedPlayer::connect(address, version, transcript);
    disconnect_during_set_up(&harness, leaving);
    let second = RecordedPlayer::connect(address, version, transcript);
    take_over_during_set_up(&harness, &mut player, second);
    wait_until("the request of the disconnected player to end", || {
        harness.daemon.work_in_progress().waiting == 0
    });
    let withdrawn = player.open("withdrawn-1", PAID, "clip-02");
    assert_eq!(reason(&withdrawn), "withdrawn");
    open_too_many(&mut player);
}

fn fail_at_servers(harness: &Harness, player: &mut RecordedPlayer) {
    harness.set_faults_on_all(|faults| faults.errors = 1.0);
    let failed = player.open("error-paid-1", PAID, "clip-00");
    assert_eq!(reason(&failed), "server_error");
    harness.set_faults_on_all(|faults| (faults.errors, faults.bills_and_resets) = (0.0, 1.0));
    let reset = player.open("reset-paid-1", PAID, "clip-05");
    assert_eq!(reason(&reset), "broken");
}

/// Opens a session and drops the player when the attempt has arrived at a server.
fn disconnect_during_set_up(harness: &Harness, mut leaving: RecordedPlayer) {
    leaving.send_call("session.open", open_params("withdrawn-1", PAID, "clip-02"));
    wait_for_attempt(harness, "withdrawn-1");
}

/// Opens a session with two players, of which the second supersedes the first.
fn take_over_during_set_up(
    harness: &Harness,
    first: &mut RecordedPlayer,
    mut second: RecordedPlayer,
) {
    let first_call = first.send_call("session.open", open_params("no-answer-1", PAID, "clip-01"));
    wait_for_attempt(harness, "no-answer-1");
    let second_call = second.send_call("session.open", open_params("no-answer-1", PAID, "clip-01"));
    first.receive_until("the first to be superseded", |value| {
        value["id"] == first_call && value["error"]["code"] == -32003
    });
    let answer = second.receive_until("the failure", |value| value["id"] == second_call);
    assert_eq!(reason(&answer), "no_answer");
}

fn open_too_many(player: &mut RecordedPlayer) {
    for number in 0..2 {
        let key = format!("waiting-{number}");
        player.send_call("session.open", open_params(&key, PAID, "clip-03"));
    }
    let rejected = player.open("one-too-many", PAID, "clip-03");
    assert_eq!(reason(&rejected), "too_many_open");
}

fn wait_for_attempt(harness: &Harness, key: &str) {
    wait_until("its attempt to arrive at a server", || {
        harness.set_ups_and_bills(key).0 == 1
    });
}
