//! Servers that misbehave during a set-up, and players that are lost in the midst of one.
mod support;
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::record::{Reply, Seen};
use std::time::{Duration, Instant};
use support::{wait, Player, Rig, FREE, PAID};

fn reason(said: &ClientEvent) -> &str {
    match said {
        ClientEvent::Failed { reason, .. } | ClientEvent::Refused { reason, .. } => reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_paid_set_up_that_is_never_answered_fails_once_before_the_viewer_gives_up() {
    let rig = Rig::new(&[]);
    rig.modes(|m| m.hangs = true);
    let mut player = rig.player();
    let asked = Instant::now();
    let (call, said) = player.open_and_wait("silent-paid", PAID);
    let took = asked.elapsed();
    assert!(
        took < Duration::from_millis(1500),
        "its viewer waits 1.5 s: {took:?}"
    );
    assert!(
        matches!(&said, ClientEvent::Failed { id, reason } if *id == call && reason == "no_answer"),
        "{said:?}"
    );
    assert_eq!(
        rig.of_key("silent-paid"),
        (1, 1),
        "it ran and was billed; that was not to be known"
    );
    // Asked again, the front says the same and sends nothing.
    let (_, again) = player.open_and_wait("silent-paid", PAID);
    assert_eq!(
        (reason(&again), rig.of_key("silent-paid")),
        ("no_answer", (1, 1))
    );
    rig.modes(|m| m.hangs = false);
    wait("the server to drop it", || rig.fleet.streams() == 0);
    assert_eq!(rig.verdict().breaches, []);
}

#[test]
fn an_answer_after_the_viewer_gave_up_changes_nothing() {
    let rig = Rig::new(&[]);
    rig.modes(|m| m.hangs = true);
    let mut player = rig.player();
    let (_, said) = player.open_and_wait("late-paid", PAID);
    assert_eq!(reason(&said), "no_answer");
    rig.modes(|m| m.hangs = false); // Now it would answer.
    assert!(
        player.is_silent(Duration::from_millis(300)),
        "one answer, not two"
    );
    wait("the server to drop it", || rig.fleet.streams() == 0);
    assert_eq!(
        (rig.daemon.counts(), rig.of_key("late-paid").0),
        ((0, 0), 1)
    );
}

#[test]
fn a_reset_after_billing_is_a_failure_and_never_a_second_set_up() {
    let rig = Rig::new(&[]);
    rig.modes(|m| m.bills_and_resets = 1.0);
    let mut player = rig.player();
    let (_, said) = player.open_and_wait("billed-reset", PAID);
    assert_eq!(
        (reason(&said), rig.of_key("billed-reset")),
        ("broken", (1, 1))
    );
    // A free one may be tried elsewhere.
    let (_, said) = player.open_and_wait("free-reset", FREE);
    assert!(matches!(
        said,
        ClientEvent::Refused { .. } | ClientEvent::Failed { .. }
    ));
    assert!(rig.of_key("free-reset").0 > 1, "tried again");
    assert_eq!(rig.verdict().breaches, []);
}

#[test]
fn a_server_that_is_not_there_never_ran_it_and_a_paid_set_up_goes_elsewhere() {
    let rig = Rig::new(&[]);
    // All holders of the title but the last are down; the front has not been told.
    for id in [3, 4] {
        rig.fleet.crash(id);
    }
    let mut player = rig.player();
    for n in 0..6 {
        let (_, said) = player.open_and_wait(&format!("elsewhere-{n}"), PAID);
        assert!(matches!(said, ClientEvent::Plays { .. }), "{said:?}");
        assert_eq!(
            rig.of_key(&format!("elsewhere-{n}")),
            (1, 1),
            "refused connections never reached a server"
        );
    }
    assert_eq!(rig.verdict().breaches, []);
}

#[test]
fn a_player_that_reconnects_mid_attempt_finds_the_one_attempt() {
    let rig = Rig::new(&[]);
    rig.modes(|m| m.hangs = true);
    let mut first = rig.player();
    first.open("reconnects", PAID);
    wait("the set-up to arrive", || rig.of_key("reconnects").0 == 1);
    drop(first);
    let mut second = rig.player();
    let call = second.open("reconnects", PAID);
    rig.modes(|m| m.hangs = false);
    let said = second.hear();
    assert!(
        matches!(said, ClientEvent::Plays { id, .. } if id == call),
        "{said:?}"
    );
    assert_eq!(rig.of_key("reconnects"), (1, 1));
    assert!(second.is_silent(Duration::from_millis(200)));
    assert_eq!(rig.daemon.counts(), (0, 1));
}

#[test]
fn a_player_gone_for_good_mid_attempt_leaves_nothing_behind() {
    let rig = Rig::new(&[]);
    for class in [FREE, PAID] {
        rig.modes(|m| m.hangs = true);
        let mut player = rig.player();
        let key = format!("gone-{class}");
        player.open(&key, class);
        wait("the set-up to arrive", || rig.of_key(&key).0 == 1);
        drop(player);
        rig.modes(|m| m.hangs = false);
        wait("the session to end", || {
            rig.daemon.counts() == (0, 0) && rig.fleet.streams() == 0
        });
        assert_eq!(rig.of_key(&key).0, 1);
    }
    assert_eq!(rig.verdict().breaches, []);
}

#[test]
fn two_players_that_claim_one_session_get_an_answer_each_and_one_session() {
    let rig = Rig::new(&[]);
    rig.modes(|m| m.hangs = true);
    let (mut first, mut second) = (rig.player(), rig.player());
    let call = first.open("claimed-by-two", PAID);
    wait("the set-up to arrive", || {
        rig.of_key("claimed-by-two").0 == 1
    });
    let other = second.open("claimed-by-two", PAID);
    assert_eq!(first.hear(), ClientEvent::Superseded { id: call });
    rig.modes(|m| m.hangs = false);
    let ClientEvent::Plays { id, session, .. } = second.hear() else {
        panic!()
    };
    assert_eq!((id, rig.of_key("claimed-by-two")), (other, (1, 1)));
    assert!(
        matches!(first.close_session(&session), ClientEvent::Unknown { .. }),
        "it is not the first one's"
    );
    // The first takes it back: the second is told so.
    first.say(
        r#"{"jsonrpc":"2.0","id":9,"method":"session.resume","params":{"key":"claimed-by-two"}}"#,
    );
    assert!(matches!(first.hear(), ClientEvent::Plays { id: 9, .. }));
    assert!(matches!(second.hear(), ClientEvent::End { reason, .. } if reason == "taken_over"));
    assert!(matches!(
        first.close_session(&session),
        ClientEvent::Closed { .. }
    ));
    wait("the session to end", || rig.fleet.streams() == 0);
}

#[test]
fn a_server_that_sends_a_byte_a_second_holds_nobody_up() {
    let rig = Rig::new(&[]);
    rig.modes(|m| m.trickles = true);
    let mut player = rig.player();
    let asked = Instant::now();
    let (_, said) = player.open_and_wait("trickle-paid", PAID);
    assert_eq!(
        (reason(&said), rig.of_key("trickle-paid").0),
        ("no_answer", 1)
    );
    let (_, said) = player.open_and_wait("trickle-free", FREE);
    assert!(
        matches!(
            said,
            ClientEvent::Refused { .. } | ClientEvent::Failed { .. }
        ),
        "{said:?}"
    );
    assert!(
        asked.elapsed() < Duration::from_millis(3600),
        "1.5 s and 2 s, and some for this machine"
    );
    assert_eq!(rig.verdict().breaches, []);
}

#[test]
fn fast_failures_are_tried_elsewhere_for_free_and_told_for_paid() {
    let rig = Rig::new(&[]);
    rig.modes(|m| m.errors = 1.0);
    let mut player = rig.player();
    let (_, said) = player.open_and_wait("errors-paid", PAID);
    assert_eq!(
        (reason(&said), rig.of_key("errors-paid").0),
        ("server_error", 1)
    );
    let (_, said) = player.open_and_wait("errors-free", FREE);
    assert!(
        matches!(
            said,
            ClientEvent::Refused { .. } | ClientEvent::Failed { .. }
        ),
        "{said:?}"
    );
    assert!(rig.of_key("errors-free").0 > 1);
}

#[test]
fn a_lost_server_ends_its_sessions_and_players_are_told_when_to_come_back() {
    let rig = Rig::new(&[]);
    let mut player = rig.player();
    let (_, said) = player.open_and_wait("lost-later", FREE);
    let ClientEvent::Plays { session, .. } = said else {
        panic!("{said:?}")
    };
    let holds = |r: &crankpaddle_testbed::record::Record| match &r.seen {
        Seen::SetUp { server, bill, .. }
            if *bill == crankpaddle_server_protocol::sessions::bill("lost-later") =>
        {
            Some(*server)
        }
        _ => None,
    };
    let server = rig.recorder.all().iter().find_map(holds).unwrap();
    rig.fleet.crash(server);
    let told = player.hear();
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
        rig.seen(|s| matches!(
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
    let (_, said) = player.open_and_wait("lost-again", FREE);
    assert!(matches!(said, ClientEvent::Plays { .. }), "{said:?}");
}

#[test]
fn a_silent_server_loses_its_sessions_after_its_time() {
    let rig = Rig::new(&[]);
    let mut player = rig.player();
    let (_, said) = player.open_and_wait("silent-later", FREE);
    assert!(matches!(said, ClientEvent::Plays { .. }));
    rig.modes(|m| m.vanished = true);
    let told = player.hear();
    assert!(
        matches!(&told, ClientEvent::End { reason, .. } if reason == "server_lost"),
        "{told:?}"
    );
}

#[test]
fn players_share_nothing_but_the_front() {
    // One that is lost with its connection in the midst of a frame harms no other.
    let rig = Rig::new(&[]);
    let mut good = rig.player();
    let broken: Vec<Player> = (0..20).map(|_| rig.player()).collect();
    for player in &broken {
        use std::io::Write;
        let mut stream = player.socket.get_ref();
        stream.write_all(&[0x81, 0xfe, 0x10]).unwrap(); // The head of a frame, cut.
    }
    drop(broken);
    let (_, said) = good.open_and_wait("unharmed", FREE);
    assert!(matches!(said, ClientEvent::Plays { .. }), "{said:?}");
}

#[test]
fn a_server_that_restarted_is_taken_for_cold_before_the_list_tells() {
    let rig = Rig::new(&[]);
    // clip-05 lies in cells 1 to 3. The front must have heard these servers once, to know another life from the first.
    let mut player = rig.player();
    let mut n = 0;
    wait("the front to hear all three", || {
        n += 1;
        let call = player.open_for(&format!("before-{n:04}"), FREE, "clip-05");
        let said = player.hear();
        if let ClientEvent::Plays { session, id, .. } = &said {
            assert_eq!(*id, call);
            player.close_session(session);
        }
        (1..4).all(|id| rig.fleet.servers[id].listeners() > 0)
    });
    for id in 1..4 {
        rig.fleet.crash(id);
        rig.fleet.restart(id).unwrap();
    }
    // Without sessions there the front does not listen; the first set-up at each makes it, and it hears another life.
    wait("the front to hear all three again", || {
        n += 1;
        player.open_for(&format!("after-{n:04}"), FREE, "clip-05");
        let said = player.hear();
        if let ClientEvent::Plays { session, .. } = &said {
            player.close_session(session);
        }
        (1..4).all(|id| rig.fleet.servers[id].listeners() > 0)
    });
    let mut crowd = rig.player();
    let calls = (0..40)
        .map(|n| crowd.open_for(&format!("crowd-{n:03}"), FREE, "clip-05"))
        .collect::<Vec<_>>();
    for _ in &calls {
        while matches!(
            crowd.hear(),
            ClientEvent::Rung { .. } | ClientEvent::End { .. }
        ) {}
    }
    assert_eq!(
        rig.seen(|s| matches!(s, Seen::Fell { .. })),
        0,
        "pushed over"
    );
    assert_eq!(rig.verdict().breaches, []);
}
