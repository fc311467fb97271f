//! Faulty directory responses, a change of the directory, and servers that are removed from the list.
mod support;
use serde_json::json;
use std::time::Instant;
use support::*;

#[test]
fn removed_and_draining_servers_get_no_new_set_ups() {
    let harness = Harness::start(3);
    let mut viewer = harness.viewer();
    harness.directory.update(|state| {
        state.serial = 2;
        state.servers.remove(0);
        state.servers[0].priority = 1;
    });
    harness.directory.wait_for_queries(3);
    for n in 0..20 {
        let (server, _) = harness.establish(&mut viewer, tag(n), FREE);
        assert_eq!(server.name, harness.servers[2].name);
    }
}

#[test]
fn unusable_directory_responses_change_nothing() {
    let harness = Harness::start(2);
    for fault in [
        DirectoryFault::Failure,
        DirectoryFault::Truncated,
        DirectoryFault::WrongId,
        DirectoryFault::Silence,
    ] {
        harness.directory.update(|state| {
            (state.serial, state.fault) = (9, Some(fault));
            state.servers.truncate(1);
        });
        harness.directory.wait_for_queries(3);
    }
    harness
        .directory
        .update(|state| (state.serial, state.fault) = (0, None));
    harness.directory.wait_for_queries(3);
    let mut viewer = harness.viewer();
    let mut used_servers = std::collections::BTreeSet::new();
    for n in 0..40 {
        used_servers.insert(harness.establish(&mut viewer, tag(n), FREE).0.name.clone());
    }
    assert_eq!(
        used_servers.len(),
        2,
        "a list with a lower serial and unusable responses change nothing"
    );
    let before = harness.directory.query_count();
    harness
        .directory
        .update(|state| state.fault = Some(DirectoryFault::Silence));
    let since = Instant::now();
    harness.directory.wait_for_queries(5);
    let rate = (harness.directory.query_count() - before) as f64 / since.elapsed().as_secs_f64();
    assert!(
        rate < 20.0,
        "too many queries to a silent directory: {rate} a second"
    );
}

/// Guards against responses that stay in the socket: after 3 s in which the directory stood still, the node took each time the
/// oldest of 15 responses, and learned of a drain up to 4 s after it was told.
#[test]
fn a_change_after_a_time_without_responses_is_noticed_with_the_next_response() {
    let harness = Harness::start(2);
    for times_stopped in 1..=2 {
        harness
            .directory
            .update(|state| state.fault = Some(DirectoryFault::Stopped));
        harness.directory.wait_for_queries(15);
        harness.directory.update(|state| state.fault = None);
        harness.directory.wait_for_queries(2);
        harness.directory.update(|state| {
            state.serial += 1;
            state.servers[0].priority = times_stopped % 2;
            state.servers[1].priority = 1 - times_stopped % 2;
        });
        harness.directory.wait_for_queries(3);
        let ready = usize::from(times_stopped == 1);
        let mut viewer = harness.viewer();
        for n in 0..10 {
            let id = tag(100 * u64::from(times_stopped) + n);
            let (server, _) = harness.establish(&mut viewer, id, FREE);
            assert_eq!(server.name, harness.servers[ready].name);
        }
    }
}

#[test]
fn a_new_nameserver_is_polled_at_once_and_sessions_go_on() {
    let harness = Harness::start(2);
    let mut viewer = harness.viewer();
    harness.establish(&mut viewer, tag(1), FREE);
    harness
        .directory
        .update(|state| state.fault = Some(DirectoryFault::Silence));
    let state = DirectoryState {
        serial: 2,
        servers: listed_servers(&harness.servers[..1]),
        fault: None,
    };
    let other = TestDirectory::start(state);
    let mut config = harness.config.clone();
    config["nameserver"] = json!(other.address.to_string());
    harness
        .node
        .reload(&parse_config(&config))
        .expect("only the nameserver differs");
    other.wait_for_queries(2);
    for n in 10..20 {
        assert_eq!(
            harness.establish(&mut viewer, tag(n), FREE).0.name,
            harness.servers[0].name
        );
    }
}

#[test]
fn a_new_server_at_the_address_of_a_removed_one_is_not_considered_failed() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    let (old, connection) = harness.establish(&mut viewer, tag(1), FREE);
    old.kill();
    let end = viewer.next_message();
    assert_eq!(
        (&end["tag"], &end["rc"]),
        (&json!(tag(1).as_str()), &json!(41))
    );
    let new = std::iter::from_fn(|| {
        std::thread::yield_now();
        std::net::TcpListener::bind(old.address).ok()
    })
    .next()
    .expect("the port is free again");
    drop(new);
    let new = TestServer::start_at(99, old.address);
    harness.directory.update(|state| {
        (state.serial, state.servers) = (2, listed_servers(std::slice::from_ref(&new)));
    });
    harness.directory.wait_for_queries(3);
    viewer.start(tag(2), PAID, 15_000);
    let (fresh, message) = new.wait_for_request("SETUP");
    assert_eq!(
        message.session,
        Some(tag(2)),
        "the new server gets set-ups although the old one failed"
    );
    new.send(fresh, &ok_response(tag(2), "x"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
    let _ = connection;
}

/// Guards against a limit on the age of responses: a directory that takes over 4 s for each was not followed at all, and draining
/// servers went on getting set-ups.
#[test]
fn a_drain_is_noticed_from_a_response_that_took_long() {
    // Without responses there are five queries a second.
    const QUERIES_MEANWHILE: usize = 23;
    let harness = Harness::start(2);
    harness.directory.update(|state| {
        (state.serial, state.servers[0].priority) = (2, 1);
        state.fault = Some(DirectoryFault::DelayedBy(QUERIES_MEANWHILE));
    });
    harness
        .directory
        .wait_for_queries(QUERIES_MEANWHILE as u64 + 3);
    let mut viewer = harness.viewer();
    for number in 0..10 {
        let (server, _) = harness.establish(&mut viewer, tag(number), FREE);
        assert_eq!(server.name, harness.servers[1].name);
    }
}
