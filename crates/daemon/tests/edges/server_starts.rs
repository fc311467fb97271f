//! Servers that start while the list does not report it.
use crate::support::{wait_until, Harness, FREE};
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::record::Seen;

#[test]
fn a_restarted_server_starts_slowly_before_the_list_reports_it() {
    let harness = Harness::new(&[]);
    // clip-05 lies in cells 1 to 3. The front must know these servers' first incarnations to notice the second.
    let mut player = harness.connect_player();
    let mut number = 0;
    wait_until("the front to subscribe to all three", || {
        number += 1;
        let call = player.call_open_title(&format!("before-{number:04}"), FREE, "clip-05");
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
    // Without sessions there the front has no subscription; the first set-up at each starts one, which shows the new incarnation.
    wait_until("the front to subscribe to all three again", || {
        number += 1;
        player.call_open_title(&format!("after-{number:04}"), FREE, "clip-05");
        let event = player.receive();
        if let ClientEvent::Plays { session, .. } = &event {
            player.close_session(session);
        }
        (1..4).all(|id| harness.fleet.servers[id].listeners() > 0)
    });
    let mut crowd = harness.connect_player();
    let calls = (0..40)
        .map(|number| crowd.call_open_title(&format!("crowd-{number:03}"), FREE, "clip-05"))
        .collect::<Vec<_>>();
    for _ in &calls {
        while matches!(
            crowd.receive(),
            ClientEvent::Rung { .. } | ClientEvent::End { .. }
        ) {}
    }
    assert_eq!(
        harness.count_seen(|seen| matches!(seen, Seen::Fell { .. })),
        0,
        "overloaded"
    );
    assert_eq!(harness.verdict().breaches, []);
}

/// Why: without the list service nothing else reports a start, and a front without sessions at a server would take it for warmed up.
#[test]
fn without_the_list_service_all_servers_are_subscribed_to_and_one_that_starts_starts_slowly() {
    let harness = Harness::new(&[]);
    harness.list.set_gone(true);
    wait_until("each server to have a subscriber", || {
        harness
            .fleet
            .servers
            .iter()
            .all(|server| server.listeners() > 0)
    });
    for id in 0..12 {
        harness.fleet.crash(id);
        harness.fleet.restart(id).unwrap();
    }
    wait_until("each to have a subscriber again", || {
        harness
            .fleet
            .servers
            .iter()
            .all(|server| server.listeners() > 0)
    });
    let mut player = harness.connect_player();
    // Either it plays, which takes a server's work, or there is no admission slot, which shows that starts are known.
    player.open_and_wait("first-alone", FREE);
    let calls = 40;
    let mut answers = 0;
    for number in 0..calls {
        player.call_open(&format!("burst-{number:04}"), FREE);
    }
    while answers < calls {
        answers += usize::from(matches!(
            player.receive(),
            ClientEvent::Plays { .. } | ClientEvent::Refused { .. } | ClientEvent::Failed { .. }
        ));
    }
    // Each gets an admission slot in time.
    wait_until("an admission slot", || {
        let mut player = harness.connect_player();
        let key = format!("later-{}", harness.count_seen(|_| true));
        matches!(
            player.open_and_wait(&key, FREE).1,
            ClientEvent::Plays { .. }
        )
    });
    assert_eq!(
        harness.count_seen(|seen| matches!(seen, Seen::Fell { .. })),
        0
    );
    assert_eq!(harness.verdict().breaches, []);
}
