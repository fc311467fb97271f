//! Servers that misbehave during a set-up, and players that are lost in the midst of one.
mod support;
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::record::{Reply, Seen};
use std::time::{Duration, Instant};
use support::{wait_until, Harness, Player, FREE, PAID};

fn reason(event: &ClientEvent) -> &str {
    match event {
        ClientEvent::Failed { reason, .. } | ClientEvent::Refused { reason, .. } => reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_paid_set_up_that_is_never_answered_fails_once_before_the_viewer_gives_up() {
    let harness = Harness::new(&[]);
    harness.set_modes(|m| m.hangs = true);
    let mut player = harness.connect_player();
    let started_at = Instant::now();
    let (call, event) = player.open_and_wait("silent-paid", PAID);
    let took = started_at.elapsed();
    assert!(
        took < Duration::from_millis(1500),
        "its viewer waits 1.5 s: {took:?}"
    );
    assert!(
        matches!(&event, ClientEvent::Failed { id, reason } if *id == call && reason == "no_answer"),
        "{event:?}"
    );
    assert_eq!(
        harness.set_ups_and_bills("silent-paid"),
        (1, 1),
        "it ran and was billed; that was not to be known"
    );
    // Asked again, the front says the same and sends nothing.
    let (_, again) = player.open_and_wait("silent-paid", PAID);
    assert_eq!(
        (reason(&again), harness.set_ups_and_bills("silent-paid")),
        ("no_answer", (1, 1))
    );
    harness.set_modes(|m| m.hangs = false);
    wait_until("the server to drop it", || harness.fleet.streams() == 0);
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn an_answer_after_the_viewer_gave_up_changes_nothing() {
    let harness = Harness::new(&[]);
    harness.set_modes(|m| m.hangs = true);
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("late-paid", PAID);
    assert_eq!(reason(&event), "no_answer");
    harness.set_modes(|m| m.hangs = false); // Now it would answer.
    assert!(
        player.is_silent(Duration::from_millis(300)),
        "one answer, not two"
    );
    wait_until("the server to drop it", || harness.fleet.streams() == 0);
    assert_eq!(
        (
            harness.daemon.counts(),
            harness.set_ups_and_bills("late-paid").0
        ),
        ((0, 0), 1)
    );
}

#[test]
fn a_reset_after_billing_is_a_failure_and_never_a_second_set_up() {
    let harness = Harness::new(&[]);
    harness.set_modes(|m| m.bills_and_resets = 1.0);
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("billed-reset", PAID);
    assert_eq!(
        (reason(&event), harness.set_ups_and_bills("billed-reset")),
        ("broken", (1, 1))
    );
    // A free one may be tried elsewhere.
    let (_, event) = player.open_and_wait("free-reset", FREE);
    assert!(matches!(
        event,
        ClientEvent::Refused { .. } | ClientEvent::Failed { .. }
    ));
    assert!(harness.set_ups_and_bills("free-reset").0 > 1, "tried again");
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn a_server_that_is_not_there_never_ran_it_and_a_paid_set_up_goes_elsewhere() {
    let harness = Harness::new(&[]);
    // All holders of the title but the last are down; the front has not been told.
    for id in [3, 4] {
        harness.fleet.crash(id);
    }
    let mut player = harness.connect_player();
    for n in 0..6 {
        let (_, event) = player.open_and_wait(&format!("elsewhere-{n}"), PAID);
        assert!(matches!(event, ClientEvent::Plays { .. }), "{event:?}");
        assert_eq!(
            harness.set_ups_and_bills(&format!("elsewhere-{n}")),
            (1, 1),
            "refused connections never reached a server"
        );
    }
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn a_player_that_reconnects_mid_attempt_finds_the_one_attempt() {
    let harness = Harness::new(&[]);
    harness.set_modes(|m| m.hangs = true);
    let mut first = harness.connect_player();
    first.call_open("reconnects", PAID);
    wait_until("the set-up to arrive", || {
        harness.set_ups_and_bills("reconnects").0 == 1
    });
    drop(first);
    let mut second = harness.connect_player();
    let call = second.call_open("reconnects", PAID);
    harness.set_modes(|m| m.hangs = false);
    let event = second.receive();
    assert!(
        matches!(event, ClientEvent::Plays { id, .. } if id == call),
        "{event:?}"
    );
    assert_eq!(harness.set_ups_and_bills("reconnects"), (1, 1));
    assert!(second.is_silent(Duration::from_millis(200)));
    assert_eq!(harness.daemon.counts(), (0, 1));
}

#[test]
fn a_player_gone_for_good_mid_attempt_leaves_nothing_behind() {
    let harness = Harness::new(&[]);
    for class in [FREE, PAID] {
        harness.set_modes(|m| m.hangs = true);
        let mut player = harness.connect_player();
        let key = format!("gone-{class}");
        player.call_open(&key, class);
        wait_until("the set-up to arrive", || {
            harness.set_ups_and_bills(&key).0 == 1
        });
        drop(player);
        harness.set_modes(|m| m.hangs = false);
        wait_until("the session to end", || {
            harness.daemon.counts() == (0, 0) && harness.fleet.streams() == 0
        });
        assert_eq!(harness.set_ups_and_bills(&key).0, 1);
    }
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn two_players_that_claim_one_session_get_an_answer_each_and_one_session() {
    let harness = Harness::new(&[]);
    harness.set_modes(|m| m.hangs = true);
    let (mut first, mut second) = (harness.connect_player(), harness.connect_player());
    let call = first.call_open("claimed-by-two", PAID);
    wait_until("the set-up to arrive", || {
        harness.set_ups_and_bills("claimed-by-two").0 == 1
    });
    let other = second.call_open("claimed-by-two", PAID);
    assert_eq!(first.receive(), ClientEvent::Superseded { id: call });
    harness.set_modes(|m| m.hangs = false);
    let ClientEvent::Plays { id, session, .. } = second.receive() else {
        panic!()
    };
    assert_eq!(
        (id, harness.set_ups_and_bills("claimed-by-two")),
        (other, (1, 1))
    );
    assert!(
        matches!(first.close_session(&session), ClientEvent::Unknown { .. }),
        "it is not the first one's"
    );
    // The first takes it back: the second is told so.
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
fn a_server_that_sends_a_byte_a_second_holds_nobody_up() {
    let harness = Harness::new(&[]);
    harness.set_modes(|m| m.trickles = true);
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
        "1.5 s and 2 s, and some for this machine"
    );
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn fast_failures_are_tried_elsewhere_for_free_and_told_for_paid() {
    let harness = Harness::new(&[]);
    harness.set_modes(|m| m.errors = 1.0);
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
fn a_lost_server_ends_its_sessions_and_players_are_told_when_to_come_back() {
    let harness = Harness::new(&[]);
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("lost-later", FREE);
    let ClientEvent::Plays { session, .. } = event else {
        panic!("{event:?}")
    };
    let holds = |r: &crankpaddle_testbed::record::Record| match &r.seen {
        Seen::SetUp { server, bill, .. }
            if *bill == crankpaddle_server_protocol::sessions::bill("lost-later") =>
        {
            Some(*server)
        }
        _ => None,
    };
    let server = harness.recorder.all().iter().find_map(holds).unwrap();
    harness.fleet.crash(server);
    let told = player.receive();
    let ClientEvent::End {
        session: of,
        reason,
        retry_after_ms,
    } = told
    else {
        panic!("{told:?}")
    };
    assert_eq!((of, reason.as_str()), (session, "server_lost"));
    assert!(retry_after_ms.is_some_and(|ms| (1..=1000).contains(&ms)));
    assert_eq!(
        harness.count_seen(|s| matches!(
            s,
            Seen::Replied {
                reply: Reply::Plays,
                ..
            }
        )),
        2,
        "the probe and this"
    );
    // And the viewer comes again.
    let (_, event) = player.open_and_wait("lost-again", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }), "{event:?}");
}

#[test]
fn a_silent_server_loses_its_sessions_after_its_time() {
    let harness = Harness::new(&[]);
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("silent-later", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }));
    harness.set_modes(|m| m.vanished = true);
    let told = player.receive();
    assert!(
        matches!(&told, ClientEvent::End { reason, .. } if reason == "server_lost"),
        "{told:?}"
    );
}

#[test]
fn players_share_nothing_but_the_front() {
    // One that is lost with its connection in the midst of a frame harms no other.
    let harness = Harness::new(&[]);
    let mut good = harness.connect_player();
    let broken: Vec<Player> = (0..20).map(|_| harness.connect_player()).collect();
    for player in &broken {
        use std::io::Write;
        let mut stream = player.socket.get_ref();
        stream.write_all(&[0x81, 0xfe, 0x10]).unwrap(); // The head of a frame, cut.
    }
    drop(broken);
    let (_, event) = good.open_and_wait("unharmed", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }), "{event:?}");
}

#[test]
fn a_server_that_restarted_is_taken_for_cold_before_the_list_tells() {
    let harness = Harness::new(&[]);
    // clip-05 lies in cells 1 to 3. The front must have heard these servers once, to know another life from the first.
    let mut player = harness.connect_player();
    let mut n = 0;
    wait_until("the front to hear all three", || {
        n += 1;
        let call = player.call_open_title(&format!("before-{n:04}"), FREE, "clip-05");
        let event = player.receive();
        if let ClientEvent::Plays { session, id, .. } = &event {
            assert_eq!(*id, call);
            player.close_session(session);
        }
        (1..4).all(|id| harness.fleet.servers[id].listeners() > 0)
    });
    for id in 1..4 {
        harness.fleet.crash(id);
        harness.fleet.restart(id).unwrap();
    }
    // Without sessions there the front does not listen; the first set-up at each makes it, and it hears another life.
    wait_until("the front to hear all three again", || {
        n += 1;
        player.call_open_title(&format!("after-{n:04}"), FREE, "clip-05");
        let event = player.receive();
        if let ClientEvent::Plays { session, .. } = &event {
            player.close_session(session);
        }
        (1..4).all(|id| harness.fleet.servers[id].listeners() > 0)
    });
    let mut crowd = harness.connect_player();
    let calls = (0..40)
        .map(|n| crowd.call_open_title(&format!("crowd-{n:03}"), FREE, "clip-05"))
        .collect::<Vec<_>>();
    for _ in &calls {
        while matches!(
            crowd.receive(),
            ClientEvent::Rung { .. } | ClientEvent::End { .. }
        ) {}
    }
    assert_eq!(
        harness.count_seen(|s| matches!(s, Seen::Fell { .. })),
        0,
        "pushed over"
    );
    assert_eq!(harness.verdict().breaches, []);
}
