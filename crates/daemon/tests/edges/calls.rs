//! Tests for malformed calls and for batches of calls.
use crate::support::{wait_until, Harness, IDLE, PAID};
use crankpaddle_daemon::WorkInProgress;
use crankpaddle_session_api::client::{self, ClientEvent};
use tungstenite::Message;

#[test]
fn malformed_calls_are_answered_with_the_standard_codes() {
    let harness = Harness::new(&[]);
    let mut player = harness.connect_player();
    for (text, code) in [
        ("{", -32700),
        ("[]", -32600),
        ("5", -32600),
        (r#"{"jsonrpc":"2.0","id":1,"method":"session.fly"}"#, -32601),
        (
            r#"{"jsonrpc":"2.0","id":1,"method":"session.open","params":{"key":"12345678"}}"#,
            -32602,
        ),
        (
            r#"{"jsonrpc":"2.0","id":1,"method":"session.open","params":{"key":"12345678","title":"none","class":"preview"}}"#,
            -32602,
        ),
        (
            r#"{"jsonrpc":"2.0","id":1,"method":"session.open","params":{"key":"12345678","title":"clip-01","class":"x"}}"#,
            -32602,
        ),
        (
            r#"{"jsonrpc":"2.0","id":1,"method":"session.open","params":{"key":"12345678","title":"clip-01","class":"preview","tenant":"x"}}"#,
            -32602,
        ),
    ] {
        player.send(text);
        assert!(
            matches!(player.receive(), ClientEvent::Error { code: received, .. } if received == code),
            "{text}"
        );
    }
    // Notifications are never answered, even if they are malformed, and set nothing up.
    player.send(r#"{"jsonrpc":"2.0","method":"session.fly"}"#);
    player.send(r#"{"jsonrpc":"2.0","method":"session.open","params":{"key":"unanswered","title":"clip-01","class":"preview"}}"#);
    player.send(
        r#"{"jsonrpc":"2.0","id":3,"method":"session.resume","params":{"key":"unanswered"}}"#,
    );
    assert_eq!(player.receive(), ClientEvent::Unknown { id: 3 });
    assert_eq!(harness.set_ups_and_bills("unanswered"), (0, 0));
}

#[test]
fn a_batch_of_a_thousand_requests_gets_a_thousand_answers_in_one_message() {
    let harness = Harness::new(&[
        ("message: \"64KiB\"", "message: \"1MiB\""),
        ("unread: \"64KiB\"", "unread: \"4MiB\""),
        (
            "open_requests_per_connection: 64",
            "open_requests_per_connection: 1000",
        ),
    ]);
    let mut player = harness.connect_player();
    let open = |number: u32| {
        format!(
            r#"{{"jsonrpc":"2.0","id":{number},"method":"session.open","params":{{"key":"batch-{number:04}","title":"clip-{:02}","class":"preview"}}}}"#,
            number % 24
        )
    };
    let calls: Vec<String> = (0..1000).map(open).collect();
    player.send(format!("[{}]", calls.join(",")));
    let Message::Text(text) = player.socket.read().unwrap() else {
        panic!()
    };
    let mut ids: Vec<u64> = client::read(&text)
        .unwrap()
        .iter()
        .map(|event| match event {
            ClientEvent::Plays { id, .. }
            | ClientEvent::Refused { id, .. }
            | ClientEvent::Failed { id, .. } => *id,
            other => panic!("{other:?}"),
        })
        .collect();
    ids.sort_unstable();
    assert_eq!(ids, (0..1000).collect::<Vec<u64>>());
    drop(player);
    wait_until("all sessions to end", || {
        harness.daemon.work_in_progress() == IDLE && harness.fleet.streams() == 0
    });
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn a_notification_is_never_sent_before_the_batch_that_announces_its_session() {
    let harness = Harness::new(&[]);
    // clip-05 is in cells 1 to 3 and is established at once; clip-18 is in cells 6 to 8, whose servers never answer.
    for id in 6..9 {
        harness.fleet.set_faults(id, |faults| faults.hangs = true);
    }
    let mut player = harness.connect_player();
    let open = |id: u32, title: &str| {
        format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"session.open","params":{{"key":"ordered-{id}","title":"{title}","class":"{PAID}"}}}}"#
        )
    };
    player.send(format!("[{},{}]", open(1, "clip-05"), open(2, "clip-18")));
    wait_until("the first session to be set up", || {
        harness.fleet.streams() > 0 && harness.set_ups_and_bills("ordered-1").1 == 1
    });
    // The session's server is lost while the batch still waits for the other answer.
    wait_until(
        "the front to count the session and the pending request",
        || {
            harness.daemon.work_in_progress()
                == WorkInProgress {
                    waiting: 1,
                    playing: 1,
                }
        },
    );
    for id in 1..4 {
        harness.fleet.crash(id);
    }
    // On a slow machine the other request may have timed out by then; that does not change the order.
    wait_until("the front to notice that the server is lost", || {
        harness.daemon.work_in_progress().playing == 0
    });
    let Message::Text(first) = player.socket.read().unwrap() else {
        panic!()
    };
    let answers = client::read(&first).unwrap();
    assert_eq!(answers.len(), 2, "the batch must be sent first: {first}");
    let session = answers.iter().find_map(|event| match event {
        ClientEvent::Plays { id: 1, session, .. } => Some(session.clone()),
        _ => None,
    });
    let ended = player.receive();
    assert!(
        matches!(&ended, ClientEvent::End { session: ended_session, .. } if Some(ended_session) == session.as_ref()),
        "{ended:?}"
    );
}
