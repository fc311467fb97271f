//! Tests with servers that start while the endpoint list does not report it.
use crate::support::{wait_until, Harness, FREE};
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::record::Seen;

#[test]
fn a_restarted_server_gets_a_slow_start_before_the_list_reports_the_restart() {
    let harness = Harness::new(&[]);
    // clip-05 is in cells 1 to 3. The front must know the first incarnation of these servers to notice the second one.
    let mut player = harness.connect_player();
    let mut number = 0;
    wait_until("the front to subscribe to all three servers", || {
        number += 1;
        let call = player.call_open_title(&format!("before-{number:04}"), FREE, "clip-05");
        let event = player.receive();
        if let ClientEvent::Plays { session, id, .. } = &event {
            assert_eq!(*id, call);
            player.close_session(session);
        }
        (1..4).all(|id| harness.fleet.servers[id].event_stream_count() > 0)
    });
    for id in 1..4 {
        harness.fleet.crash(id);
        harness.fleet.restart(id).unwrap();
    }
    // Without a session at a server the front has no subscription to it. The first set-up at each server starts one, which
    // shows the new incarnation.
    wait_until("the front to subscribe to all three servers again", || {
        number += 1;
        player.call_open_title(&format!("after-{number:04}"), FREE, "clip-05");
        let event = player.receive();
        if let ClientEvent::Plays { session, .. } = &event {
            player.close_session(session);
        }
        (1..4).all(|id| harness.fleet.servers[id].event_stream_count() > 0)
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
        "no server may be overloaded"
    );
    assert_eq!(harness.verdict().breaches, []);
}

/// Guards against overloading a server that has just started. Without the list service, only event streams report a
/// start, so a front without a subscription to a server would treat it as warmed up.
#[test]
fn without_the_list_service_the_front_subscribes_to_all_servers_and_notices_their_starts() {
    let harness = Harness::new(&[]);
    harness.list.set_unavailable(true);
    wait_until("each server to have a subscriber", || {
        harness
            .fleet
            .servers
            .iter()
            .all(|server| server.event_stream_count() > 0)
    });
    for id in 0..12 {
        harness.fleet.crash(id);
        harness.fleet.restart(id).unwrap();
    }
    wait_until("each server to have a subscriber again", || {
        harness
            .fleet
            .servers
            .iter()
            .all(|server| server.event_stream_count() > 0)
    });
    let mut player = harness.connect_player();
    // It is established, which loads a server, or rejected for lack of a slot, which shows that the starts are known.
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
    // Admission slots become available over time, so that a later request is established.
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
