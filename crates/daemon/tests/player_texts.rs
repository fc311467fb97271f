//! Tests for the exact JSON texts that players receive: answers, errors and notifications.
mod support;
mod texts;
use serde_json::json;
use support::{wait_until, Harness, FREE, PAID};
use texts::{masked, parsed, TextPlayer, V1};

const V2: &str = "session.v2.jsonrpc";

#[test]
fn sessions_are_opened_resumed_and_closed_with_exact_texts() {
    let harness = Harness::new(&[]);
    let address = harness.daemon.address();
    let mut player = TextPlayer::connect(address, V1);
    let opened = player.call(r#"{"jsonrpc":"2.0","id":"one","method":"session.open","params":{"key":"exact-0001","class":"preview","title":"clip-00"}}"#);
    let value = parsed(&opened);
    let (media, session) = (&value["result"]["media"], &value["result"]["session"]);
    assert!(
        media.as_str().unwrap().starts_with("http://127.0.0.1:")
            && media.as_str().unwrap().ends_with("/media"),
        "{opened}"
    );
    assert_eq!(
        opened,
        format!(
            r#"{{"id":"one","jsonrpc":"2.0","result":{{"media":{media},"rung":4,"session":{session}}}}}"#
        )
    );
    // Another connection, which uses the second version of the API, resumes the session.
    let mut other = TextPlayer::connect(address, V2);
    let resumed = other.call(
        r#"{"jsonrpc":"2.0","id":2,"method":"session.resume","params":{"key":"exact-0001"}}"#,
    );
    let value = parsed(&resumed);
    let (zone, media) = (&value["result"]["hall"], &value["result"]["media"]);
    assert_eq!(
        resumed,
        format!(
            r#"{{"id":2,"jsonrpc":"2.0","result":{{"hall":{zone},"media":{media},"rung":4,"session":{session}}}}}"#
        )
    );
    let taken = player.read_until("session.end");
    assert_eq!(
        taken,
        format!(
            r#"{{"jsonrpc":"2.0","method":"session.end","params":{{"reason":"taken_over","session":{session}}}}}"#
        )
    );
    let close = format!(
        r#"{{"jsonrpc":"2.0","id":3,"method":"session.close","params":{{"session":{session}}}}}"#
    );
    assert_eq!(
        other.call(&close),
        r#"{"id":3,"jsonrpc":"2.0","result":{"closed":true}}"#
    );
}

#[test]
fn malformed_calls_get_exact_texts() {
    let harness = Harness::new(&[]);
    let mut player = TextPlayer::connect(harness.daemon.address(), V2);
    for (call, expected) in [
        (
            r#"{"jsonrpc":"2.0","id":3,"method":"session.close","params":{"session":"s-9"}}"#,
            r#"{"error":{"code":-32004,"message":"no such session"},"id":3,"jsonrpc":"2.0"}"#,
        ),
        (
            "{",
            r#"{"error":{"code":-32700,"message":"not JSON: EOF while parsing an object at line 1 column 1"},"id":null,"jsonrpc":"2.0"}"#,
        ),
        (
            "[]",
            r#"{"error":{"code":-32600,"message":"an empty batch"},"id":null,"jsonrpc":"2.0"}"#,
        ),
        (
            r#"{"jsonrpc":"2.0","id":4,"method":"session.fly"}"#,
            r#"{"error":{"code":-32601,"message":"no method \"session.fly\"; known: session.open, session.resume, session.close"},"id":4,"jsonrpc":"2.0"}"#,
        ),
        (
            r#"{"jsonrpc":"2.0","id":5,"method":"session.resume","params":{"key":"not-known-1"}}"#,
            r#"{"error":{"code":-32004,"message":"no such session"},"id":5,"jsonrpc":"2.0"}"#,
        ),
        (
            r#"{"jsonrpc":"2.0","id":6,"method":"session.open","params":{"key":"short"}}"#,
            r#"{"error":{"code":-32602,"message":"session.open: missing field `title`"},"id":6,"jsonrpc":"2.0"}"#,
        ),
        (
            r#"{"jsonrpc":"2.0","id":7,"method":"session.open","params":{"key":"exact-0002","class":"preview","title":"none"}}"#,
            r#"{"error":{"code":-32602,"data":{"field":"title"},"message":"no title \"none\" here"},"id":7,"jsonrpc":"2.0"}"#,
        ),
        (
            r#"{"jsonrpc":"2.0","id":8,"method":"session.open","params":{"key":"exact-0002","class":"none","title":"clip-00"}}"#,
            r#"{"error":{"code":-32602,"data":{"field":"class"},"message":"no class \"none\" here"},"id":8,"jsonrpc":"2.0"}"#,
        ),
    ] {
        assert_eq!(player.call(call), expected);
    }
}

#[test]
fn failures_of_paid_sessions_have_exact_texts() {
    let harness = Harness::new(&[]);
    let address = harness.daemon.address();
    let mut player = TextPlayer::connect(address, V1);
    let opened = parsed(&player.open(1, "spent-0001", PAID));
    let close = json!({"jsonrpc": "2.0", "id": 2, "method": "session.close", "params": {"session": opened["result"]["session"]}});
    assert_eq!(
        player.call(&close.to_string()),
        r#"{"id":2,"jsonrpc":"2.0","result":{"closed":true}}"#
    );
    assert_eq!(
        player.open(3, "spent-0001", PAID),
        r#"{"error":{"code":-32002,"data":{"reason":"key_spent"},"message":"failed"},"id":3,"jsonrpc":"2.0"}"#
    );
    harness.set_faults_on_all(|faults| faults.errors = 1.0);
    assert_eq!(
        player.open(4, "error-0001", PAID),
        r#"{"error":{"code":-32002,"data":{"reason":"server_error"},"message":"failed"},"id":4,"jsonrpc":"2.0"}"#
    );
    harness.set_faults_on_all(|faults| (faults.errors, faults.hangs) = (0.0, true));
    player.call_open(5, "hangs-0001", PAID);
    wait_until("its attempt to arrive at a server", || {
        harness.set_ups_and_bills("hangs-0001").0 == 1
    });
    let mut other = TextPlayer::connect(address, V1);
    other.call_open(6, "hangs-0001", PAID);
    assert_eq!(
        player.read(),
        r#"{"error":{"code":-32003,"message":"taken up by another connection"},"id":5,"jsonrpc":"2.0"}"#
    );
    assert_eq!(
        other.read(),
        r#"{"error":{"code":-32002,"data":{"reason":"no_answer"},"message":"failed"},"id":6,"jsonrpc":"2.0"}"#
    );
}

#[test]
fn notifications_and_rejections_have_exact_texts() {
    let harness = Harness::new(&[]);
    let mut player = TextPlayer::connect(harness.daemon.address(), V1);
    for id in 1..7 {
        player.open(id, &format!("crowded-{id:04}"), FREE);
    }
    let check_notification = |text: &str, params: &str| {
        let session = parsed(text)["params"]["session"].clone();
        let method = parsed(text)["method"].clone();
        let expected = format!(
            r#"{{"jsonrpc":"2.0","method":{method},"params":{{{params},"session":{session}}}}}"#
        );
        assert_eq!(masked(text), expected);
    };
    harness.fleet.set_slow(8.0);
    check_notification(&player.read_until("\"session.rung\""), r##""rung":#"##);
    harness.fleet.set_slow(1.0);
    (0..12).for_each(|id| harness.fleet.end_sessions(id, true));
    check_notification(
        &player.read_until("\"session.end\""),
        r#""reason":"finished""#,
    );
    player.open(8, "lost-00001", FREE);
    (0..12).for_each(|id| harness.fleet.crash(id));
    check_notification(
        &player.read_until("\"server_lost\""),
        r##""reason":"server_lost","retry_after_ms":#"##,
    );
    let (mut id, mut refused) = (8, String::new());
    wait_until("the front to have no server left", || {
        id += 1;
        refused = player.open(id, &format!("none-{id:05}"), FREE);
        refused.contains("\"no_room\"")
    });
    assert_eq!(
        masked(&refused),
        r##"{"error":{"code":#,"data":{"reason":"no_room","retry_after_ms":#},"message":"refused"},"id":#,"jsonrpc":"2.0"}"##
    );
    assert_eq!(parsed(&refused)["error"]["code"], -32001);
}
