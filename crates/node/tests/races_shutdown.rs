//! Races with shutdown. Each test forces an order of events that is prone to errors, with a gate that stops the node's worker
//! thread or with a peer that delays its messages. The races are listed in `docs/front-node.md`.
mod support;
use crankpaddle::Event;
use serde_json::json;
use std::time::{Duration, Instant};
use support::*;

/// Sleeps until `duration` after `since`, because the rule under test is about time.
fn sleep_until(since: Instant, duration: Duration) {
    std::thread::sleep(duration.saturating_sub(since.elapsed()));
}

/// Starts a drain and waits until the node rejects new set-ups. Returns when the drain was started.
fn start_drain(harness: &Harness, viewer: &mut TestViewer) -> Instant {
    let since = Instant::now();
    harness.node.drain();
    for n in 1000.. {
        viewer.start(tag(n), FREE, 15_000);
        if viewer.next_message()["rc"] == 42 {
            break;
        }
    }
    since
}

fn wait_for_end(harness: &Harness) -> std::sync::mpsc::Receiver<()> {
    let (sender, ended) = std::sync::mpsc::channel();
    let node = harness.node.clone();
    std::thread::spawn(move || {
        assert_eq!(node.wait(), Ok(()));
        let _ = sender.send(()); // The test may be over.
    });
    ended
}

#[test]
fn unread_set_ups_are_answered_at_the_end_of_a_drain_on_old_and_on_new_connections() {
    let _worker = lock_worker();
    let (gate, observer) = Gate::at(|event| matches!(event, Event::EndpointList(..)));
    let harness = Harness::start_observed(1, |_| {}, Some(observer));
    let (mut old, mut idle) = (harness.viewer(), harness.viewer());
    assert_eq!(idle.echo()["verb"], "ECHOED");
    let since = start_drain(&harness, &mut old);
    let ended = wait_for_end(&harness);
    gate.arm();
    harness
        .directory
        .update(|state| (state.serial, state.servers[0].priority) = (2, 1));
    gate.wait_until_reached();
    idle.start(tag(1), FREE, 15_000);
    let mut new = harness.viewer();
    new.start(tag(2), PAID, 15_000);
    sleep_until(since, Duration::from_millis(1100));
    gate.open();
    assert_eq!(idle.next_message()["rc"], 42);
    assert_eq!(new.next_message()["rc"], 42);
    ended.recv_timeout(TEST_TIMEOUT).expect("the node ends");
}

#[test]
fn a_drain_waits_for_pending_set_ups_and_a_second_one_changes_nothing() {
    let _worker = lock_worker();
    let harness = Harness::start(1);
    let (mut waiting, mut late, mut other) = (harness.viewer(), harness.viewer(), harness.viewer());
    waiting.start(tag(1), PAID, 15_000);
    let (server, connection, _) = harness.next_set_up();
    let since = start_drain(&harness, &mut other);
    let ended = wait_for_end(&harness);
    sleep_until(since, Duration::from_millis(600));
    late.start(tag(2), FREE, 15_000);
    assert_eq!(
        late.next_message()["rc"],
        42,
        "a set-up that arrives 0.6 s after the start of the drain is answered"
    );
    harness.node.drain();
    sleep_until(since, Duration::from_millis(1500));
    assert!(ended.try_recv().is_err(), "a set-up is unanswered");
    server.send(connection, &ok_response(tag(1), "described"));
    assert_eq!(waiting.next_message()["verb"], "STARTED");
    server.send(
        connection,
        &crankpaddle_node_protocol::rtsp::release(tag(1), 16),
    );
    assert_eq!(waiting.next_message()["rc"], 16);
    let done = Instant::now();
    ended.recv_timeout(TEST_TIMEOUT).expect("the node ends");
    assert!(
        done.elapsed() < Duration::from_secs(1),
        "the node ended {:?} after the last session",
        done.elapsed()
    );
}

#[test]
fn a_drain_during_a_connect_and_a_change_of_the_list_loses_nothing() {
    let _worker = lock_worker();
    let harness = start_with_one_draining();
    let ConnectInProgress {
        mut viewer,
        backlog,
    } = connect_to_failed_machine(&harness, FREE);
    let mut other = harness.viewer();
    start_drain(&harness, &mut other);
    harness.directory.update(|state| {
        (
            state.serial,
            state.servers[0].priority,
            state.servers[1].priority,
        ) = (3, 1, 0);
    });
    let (server, connection, _) = harness.next_set_up();
    assert_eq!(
        server.name, harness.servers[1].name,
        "the first server is draining now"
    );
    server.send(connection, &ok_response(tag(1), "described"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
    drop(backlog);
}

#[test]
fn a_client_that_sends_without_a_pause_does_not_delay_shutdown() {
    let _worker = lock_worker();
    let harness = Harness::start(1);
    let (mut flood, mut other) = (harness.viewer(), harness.viewer());
    let since = start_drain(&harness, &mut other);
    let ended = wait_for_end(&harness);
    let idle = format!(
        "{}\n",
        json!({"verb": "NOTICE", "tag": tag(9).as_str(), "opts": {}})
    )
    .repeat(50);
    while ended.try_recv().is_err() {
        assert!(
            since.elapsed() < Duration::from_secs(8),
            "the node still runs after {:?}",
            since.elapsed()
        );
        flood.try_send(idle.as_bytes());
    }
}

/// Guards against a process that goes on running without answering anything, or ends with success, after its event loop has
/// panicked.
#[test]
fn a_panic_of_the_event_loop_is_reported_by_wait() {
    let _worker = lock_worker();
    let harness = Harness::start_observed(
        1,
        |_| {},
        Some(Box::new(|_, event| {
            assert!(!matches!(event, Event::SessionRequested(_)), "a fault");
        })),
    );
    let mut viewer = harness.viewer();
    viewer.start(tag(1), FREE, 15_000);
    assert_eq!(
        harness.node.wait(),
        Err(crankpaddle_node::EventLoopPanicked)
    );
}
