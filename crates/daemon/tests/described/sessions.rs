//! Scenario: sessions are opened, resumed, changed and ended, and malformed calls are answered with errors.
use crate::start_harness;
use crate::support::{wait_until, Harness, FREE, PAID};
use crate::transcript::{open_params, reason, RecordedPlayer, Transcript};
use crankpaddle_session_api::SessionApiVersion;
use serde_json::{json, Value};

pub(crate) fn run(version: SessionApiVersion, transcript: &Transcript) {
    let harness = start_harness(&[]);
    let address = harness.daemon.address();
    let mut player = RecordedPlayer::connect(address, version, transcript);
    let mut other = RecordedPlayer::connect(address, version, transcript);
    open_resume_and_close(version, &mut player, &mut other);
    send_malformed_calls(&mut player);
    send_unknown_names(&mut player);
    open_batch(&mut player);
    spend_key(&mut player);
    change_rungs(&harness, &mut player);
    end_at_servers(&harness, &mut player);
}

fn open_resume_and_close(
    version: SessionApiVersion,
    player: &mut RecordedPlayer,
    other: &mut RecordedPlayer,
) {
    let opened = player.call(
        "session.open",
        json!({"key": "everything-1", "class": FREE, "title": "clip-00", "tenant": "main", "viewer": "v", "top": 3,
            "give_up_ms": 1900, "hint_ms": 60000, "again": true}),
    );
    let session = opened["result"]["session"].clone();
    assert_eq!(
        opened["result"]["hall"].is_string(),
        version == SessionApiVersion::V2,
        "{opened}"
    );
    let resumed = other.call(
        "session.resume",
        json!({"key": "everything-1", "tenant": "main"}),
    );
    assert_eq!(resumed["result"]["session"], session);
    assert_eq!(player.notification("session.end")["reason"], "taken_over");
    let closed = other.call("session.close", json!({"session": session}));
    assert_eq!(closed["result"]["closed"], true);
    let closed_again = other.call("session.close", json!({"session": session}));
    assert_eq!(closed_again["error"]["code"], -32004);
}

fn send_malformed_calls(player: &mut RecordedPlayer) {
    player.send("{");
    player.receive_until("a parse error", |value| value["error"]["code"] == -32700);
    player.send("[]");
    player.receive_until("an invalid request", |value| {
        value["error"]["code"] == -32600
    });
    let unknown_method = player.call("session.fly", json!({}));
    assert_eq!(unknown_method["error"]["code"], -32601);
    let incomplete = player.call("session.open", json!({"key": "short"}));
    assert_eq!(incomplete["error"]["code"], -32602);
}

fn send_unknown_names(player: &mut RecordedPlayer) {
    for (field, params) in [
        ("title", open_params("unknown-names", FREE, "none")),
        ("class", open_params("unknown-names", "none", "clip-01")),
        (
            "tenant",
            json!({"key": "unknown-names", "class": FREE, "title": "clip-01", "tenant": "none"}),
        ),
    ] {
        let answer = player.call("session.open", params);
        assert_eq!(answer["error"]["data"]["field"], field);
    }
}

fn open_batch(player: &mut RecordedPlayer) {
    let member = |id: u64, key: &str| json!({"jsonrpc": "2.0", "id": id, "method": "session.open", "params": open_params(key, FREE, "clip-02")});
    let batch = json!([member(900, "batched-01"), member(901, "batched-02")]);
    player.send(&batch.to_string());
    player.receive_until("the batch", Value::is_array);
}

/// Opens and closes a paid session; after that its key can't be used again.
fn spend_key(player: &mut RecordedPlayer) {
    let opened = player.open("spent-key-1", PAID, "clip-03");
    let session = opened["result"]["session"].clone();
    player.call("session.close", json!({"session": session}));
    let answer = player.open("spent-key-1", PAID, "clip-03");
    assert_eq!(reason(&answer), "key_spent");
}

/// Reduces the bandwidth of all links, so that rungs are lowered.
fn change_rungs(harness: &Harness, player: &mut RecordedPlayer) {
    for number in 0..6 {
        player.open(&format!("crowded-{number}"), FREE, "clip-05");
    }
    harness.fleet.set_slow(8.0);
    player.notification("session.rung");
    harness.fleet.set_slow(1.0);
}

/// Ends sessions at their servers, then crashes the servers.
fn end_at_servers(harness: &Harness, player: &mut RecordedPlayer) {
    for id in 0..12 {
        harness.fleet.end_sessions(id, true);
    }
    assert_eq!(player.notification("session.end")["reason"], "finished");
    let lost = player.open("lost-with-all", FREE, "clip-04");
    assert!(lost["result"].is_object(), "{lost}");
    for id in 0..12 {
        harness.fleet.crash(id);
    }
    player.receive_until("a lost server", |value| {
        value["params"]["reason"] == "server_lost"
    });
    wait_until("the front to have no server left", || {
        let answer = player.open(&format!("nowhere-{}", player.calls), FREE, "clip-06");
        reason(&answer) == "no_room" && answer["error"]["data"]["retry_after_ms"].is_u64()
    });
}
