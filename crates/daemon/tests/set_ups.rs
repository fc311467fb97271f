//! Tests with servers that misbehave during a set-up or are lost after it, and with players that disconnect during one.
mod support;
use crankpaddle_daemon::WorkInProgress;
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::record::{Reply, Seen};
use std::time::{Duration, Instant};
use support::{wait_until, Harness, FREE, IDLE, PAID};

fn reason(event: &ClientEvent) -> &str {
    match event {
        ClientEvent::Failed { reason, .. } | ClientEvent::Refused { reason, .. } => reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_unanswered_paid_set_up_fails_once_before_the_viewers_timeout() {
    let harness = Harness::new(&[]);
    harness.set_faults_on_all(|faults| faults.hangs = true);
    let mut player = harness.connect_player();
    let started_at = Instant::now();
    let (call, event) = player.open_and_wait("silent-paid", PAID);
    let elapsed = started_at.elapsed();
    assert!(
        elapsed < Duration::from_millis(1500),
        "a viewer waits no longer than 1.5 s: {elapsed:?}"
    );
    assert!(
        matches!(&event, ClientEvent::Failed { id, reason } if *id == call && reason == "no_answer"),
        "{event:?}"
    );
    assert_eq!(
        harness.set_ups_and_bills("silent-paid"),
        (1, 1),
        "the session ran and was billed, which the front can't know"
    );
    // The same request again gets the same answer, and nothing is sent.
    let (_, again) = player.open_and_wait("silent-paid", PAID);
    assert_eq!(
        (reason(&again), harness.set_ups_and_bills("silent-paid")),
        ("no_answer", (1, 1))
    );
    harness.set_faults_on_all(|faults| faults.hangs = false);
    wait_until("the server to end the session", || {
        harness.fleet.streams() == 0
    });
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn an_answer_after_the_viewers_timeout_changes_nothing() {
    let harness = Harness::new(&[]);
    harness.set_faults_on_all(|faults| faults.hangs = true);
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("late-paid", PAID);
    assert_eq!(reason(&event), "no_answer");
    harness.set_faults_on_all(|faults| faults.hangs = false); // The server answers from now on.
    assert!(
        player.is_silent(Duration::from_millis(300)),
        "the request must not get a second answer"
    );
    wait_until("the server to end the session", || {
        harness.fleet.streams() == 0
    });
    assert_eq!(
        (
            harness.daemon.work_in_progress(),
            harness.set_ups_and_bills("late-paid").0
        ),
        (IDLE, 1)
    );
}

#[test]
fn a_reset_after_billing_is_reported_as_a_failure_and_never_retried() {
    let harness = Harness::new(&[]);
    harness.set_faults_on_all(|faults| faults.bills_and_resets = 1.0);
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("billed-reset", PAID);
    assert_eq!(
        (reason(&event), harness.set_ups_and_bills("billed-reset")),
        ("broken", (1, 1))
    );
    // A free request may be retried at another server.
    let (_, event) = player.open_and_wait("free-reset", FREE);
    assert!(matches!(
        event,
        ClientEvent::Refused { .. } | ClientEvent::Failed { .. }
    ));
    assert!(
        harness.set_ups_and_bills("free-reset").0 > 1,
        "a free request must be retried"
    );
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn a_paid_set_up_is_retried_elsewhere_after_a_refused_connection() {
    let harness = Harness::new(&[]);
    // All servers that hold the title, except the last one, are down. The endpoint list does not report it.
    for id in [3, 4] {
        harness.crash(id);
    }
    let mut player = harness.connect_player();
    for number in 0..6 {
        let (_, event) = player.open_and_wait(&format!("elsewhere-{number}"), PAID);
        assert!(matches!(event, ClientEvent::Plays { .. }), "{event:?}");
        assert_eq!(
            harness.set_ups_and_bills(&format!("elsewhere-{number}")),
            (1, 1),
            "only one attempt may reach a server"
        );
    }
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn a_player_that_reconnects_during_an_attempt_is_attached_to_it() {
    let harness = Harness::new(&[]);
    harness.set_faults_on_all(|faults| faults.hangs = true);
    let mut first = harness.connect_player();
    first.call_open("reconnects", PAID);
    wait_until("the set-up to arrive", || {
        harness.set_ups_and_bills("reconnects").0 == 1
    });
    drop(first);
    let mut second = harness.connect_player();
    let call = second.call_open("reconnects", PAID);
    harness.set_faults_on_all(|faults| faults.hangs = false);
    let event = second.receive();
    assert!(
        matches!(event, ClientEvent::Plays { id, .. } if id == call),
        "{event:?}"
    );
    assert_eq!(harness.set_ups_and_bills("reconnects"), (1, 1));
    assert!(second.is_silent(Duration::from_millis(200)));
    let one_session = WorkInProgress {
        waiting: 0,
        playing: 1,
    };
    assert_eq!(harness.daemon.work_in_progress(), one_session);
}

#[test]
fn a_player_that_disconnects_during_an_attempt_leaves_nothing_behind() {
    let harness = Harness::new(&[]);
    for class in [FREE, PAID] {
        harness.set_faults_on_all(|faults| faults.hangs = true);
        let mut player = harness.connect_player();
        let key = format!("gone-{class}");
        player.call_open(&key, class);
        wait_until("the set-up to arrive", || {
            harness.set_ups_and_bills(&key).0 == 1
        });
        drop(player);
        harness.set_faults_on_all(|faults| faults.hangs = false);
        wait_until("the session to end", || {
            harness.daemon.work_in_progress() == IDLE && harness.fleet.streams() == 0
        });
        assert_eq!(harness.set_ups_and_bills(&key).0, 1);
    }
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn two_players_with_the_same_key_get_one_answer_each_and_share_one_session() {
    let harness = Harness::new(&[]);
    harness.set_faults_on_all(|faults| faults.hangs = true);
    let (mut first, mut second) = (harness.connect_player(), harness.connect_player());
    let call = first.call_open("claimed-by-two", PAID);
    wait_until("the set-up to arrive", || {
        harness.set_ups_and_bills("claimed-by-two").0 == 1
    });
    let other = second.call_open("claimed-by-two", PAID);
    assert_eq!(first.receive(), ClientEvent::Superseded { id: call });
    harness.set_faults_on_all(|faults| faults.hangs = false);
    let ClientEvent::Plays { id, session, .. } = second.receive() else {
        panic!()
    };
    assert_eq!(
        (id, harness.set_ups_and_bills("claimed-by-two")),
        (other, (1, 1))
    );
    assert!(
        matches!(first.close_session(&session), ClientEvent::Unknown { .. }),
        "the session must not belong to the first player"
    );
    // When the first player resumes the session, the second one is notified.
    first.send(
        r#"{"jsonrpc":"2.0","id":9,"method":"session.resume","params":{"key":"claimed-by-two"}}"#,
    );
    assert!(matches!(first.receive(), ClientEvent::Plays { id: 9, .. }));
    assert!(matches!(second.receive(), ClientEvent::End { reason, .. } if reason == "taken_over"));
    assert!(matches!(
        first.close_session(&session),
        ClientEvent::Closed { .. }
    ));
    wait_until("the session to end", || harness.fleet.streams() == 0);
}

#[test]
fn a_server_that_sends_one_byte_a_second_delays_no_answer() {
    let harness = Harness::new(&[]);
    harness.set_faults_on_all(|faults| faults.trickles = true);
    let mut player = harness.connect_player();
    let started_at = Instant::now();
    let (_, event) = player.open_and_wait("trickle-paid", PAID);
    assert_eq!(
        (reason(&event), harness.set_ups_and_bills("trickle-paid").0),
        ("no_answer", 1)
    );
    let (_, event) = player.open_and_wait("trickle-free", FREE);
    assert!(
        matches!(
            event,
            ClientEvent::Refused { .. } | ClientEvent::Failed { .. }
        ),
        "{event:?}"
    );
    assert!(
        started_at.elapsed() < Duration::from_millis(3600),
        "the timeouts are 1.5 s and 2 s, and 0.1 s is allowed for the machine"
    );
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn fast_failures_are_retried_for_free_classes_and_reported_for_paid_ones() {
    let harness = Harness::new(&[]);
    harness.set_faults_on_all(|faults| faults.errors = 1.0);
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("errors-paid", PAID);
    assert_eq!(
        (reason(&event), harness.set_ups_and_bills("errors-paid").0),
        ("server_error", 1)
    );
    let (_, event) = player.open_and_wait("errors-free", FREE);
    assert!(
        matches!(
            event,
            ClientEvent::Refused { .. } | ClientEvent::Failed { .. }
        ),
        "{event:?}"
    );
    assert!(harness.set_ups_and_bills("errors-free").0 > 1);
}

#[test]
fn a_lost_server_ends_its_sessions_and_players_get_a_retry_after() {
    let harness = Harness::new(&[]);
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("lost-later", FREE);
    let ClientEvent::Plays { session, .. } = event else {
        panic!("{event:?}")
    };
    let set_up_at = |record: &crankpaddle_testbed::record::Record| match &record.seen {
        Seen::SetUp { server, bill, .. }
            if *bill == crankpaddle_server_protocol::sessions::billing_key("lost-later") =>
        {
            Some(*server)
        }
        _ => None,
    };
    let server = harness.recorder.all().iter().find_map(set_up_at).unwrap();
    harness.fleet.crash(server);
    let event = player.receive();
    let ClientEvent::End {
        session: ended,
        reason,
        retry_after_ms,
    } = event
    else {
        panic!("{event:?}")
    };
    assert_eq!((ended, reason.as_str()), (session, "server_lost"));
    assert!(retry_after_ms.is_some_and(|ms| (1..=1000).contains(&ms)));
    assert_eq!(
        harness.count_seen(|seen| matches!(
            seen,
            Seen::Replied {
                reply: Reply::Plays,
                ..
            }
        )),
        2,
        "only the probe's session and this one may have been set up"
    );
    // The viewer can open a session again.
    let (_, event) = player.open_and_wait("lost-again", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }), "{event:?}");
}

#[test]
fn a_silent_server_loses_its_sessions_after_the_silence_timeout() {
    let harness = Harness::new(&[]);
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("silent-later", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }));
    harness.set_faults_on_all(|faults| faults.vanished = true);
    let event = player.receive();
    assert!(
        matches!(&event, ClientEvent::End { reason, .. } if reason == "server_lost"),
        "{event:?}"
    );
}
