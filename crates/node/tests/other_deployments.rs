//! A configuration, an endpoint list or a set-up of another deployment changes nothing at a node.
mod support;
use serde_json::{json, Value};
use support::*;

/// Another customer's node: zones, kinds and classes have other names, and there are tenants.
fn other_deployment() -> Harness {
    Harness::start_with(2, |config| {
        config["name"] = json!("m7");
        let settings = &mut config["settings"];
        (settings["azs"], settings["kinds"]) = (json!(["north-bank"]), json!(["two-core"]));
        (
            settings["services"][0]["name"],
            settings["services"][1]["name"],
        ) = (json!("rehearsal"), json!("premiere"));
        settings["parties"] = json!([{"name": "weir-house", "quota-per-s": 5.0}]);
        for instance in config["known"]["results"][0]["fleet"]["instances"]
            .as_array_mut()
            .unwrap()
        {
            (instance["zone"], instance["machineType"]) = (json!("north-bank"), json!("two-core"));
        }
    })
}

#[test]
fn a_file_of_another_node_or_with_other_settings_changes_nothing() {
    use crankpaddle_node_protocol::config::ReloadError;
    let _worker = lock_worker();
    let (here, there) = (Harness::start(1), other_deployment());
    let other = TestDirectory::start(DirectoryState {
        serial: 9,
        servers: Vec::new(),
        fault: None,
    });
    let with = |change: &dyn Fn(&mut Value)| {
        let mut config = here.config.clone();
        config["nameserver"] = json!(other.address.to_string());
        change(&mut config);
        here.node
            .reload(&parse_config(&config))
            .expect_err("the configuration is not this node's")
    };
    let mut foreign = there.config.clone();
    foreign["nameserver"] = json!(other.address.to_string());
    assert_eq!(
        here.node.reload(&parse_config(&foreign)),
        Err(ReloadError::Name)
    );
    assert_eq!(with(&|c| c["name"] = json!("n2")), ReloadError::Name);
    assert_eq!(
        with(&|c| c["listen"] = json!("127.0.0.1:9")),
        ReloadError::Listen
    );
    assert_eq!(
        with(&|c| c["settings"]["services"][0]["worth"] = json!(2.0)),
        ReloadError::Settings
    );
    assert_eq!(
        with(&|c| c["settings"] = there.config["settings"].clone()),
        ReloadError::Settings
    );
    here.directory.wait_for_queries(3);
    assert_eq!(
        other.query_count(),
        0,
        "the node still queries its own directory"
    );
    let mut viewer = here.viewer();
    here.establish(&mut viewer, tag(1), FREE);
}

#[test]
fn a_list_of_another_deployment_is_rejected_and_incompatible_servers_in_ours_are_skipped() {
    let _worker = lock_worker();
    let (here, there) = (Harness::start(2), other_deployment());
    let foreign = |change: &dyn Fn(&mut ListedServer)| {
        let mut lines = listed_servers(&there.servers);
        for (line, name) in lines.iter_mut().zip(["s-000000a1", "s-000000a2"]) {
            line.name = name.into(); // Server names differ between deployments.
            change(line);
        }
        lines
    };
    let incompatible: [&dyn Fn(&mut ListedServer); 3] = [
        &|line| line.zone = "north-bank".into(),
        &|line| line.kind = "two-core".into(),
        &|line| (line.zone, line.kind) = ("north-bank".into(), "two-core".into()),
    ];
    let mut n = 0;
    for (serial, change) in (2..).zip(incompatible) {
        // First a list with incompatible servers only, then one that also has this deployment's second server.
        for (serial, ours) in [(2 * serial, 0), (2 * serial + 1, 1)] {
            here.directory.update(|state| {
                (state.serial, state.servers) = (serial, foreign(change));
                let own = listed_servers(&here.servers);
                state.servers.extend_from_slice(&own[2 - ours..]);
            });
            here.directory.wait_for_queries(3);
            let mut viewer = here.viewer();
            for _ in 0..10 {
                n += 1;
                let (server, connection) = here.establish(&mut viewer, tag(n), FREE);
                server.send(
                    connection,
                    &crankpaddle_node_protocol::rtsp::release(tag(n), 16),
                );
                assert_eq!(viewer.next_message()["rc"], 16);
            }
        }
    }
    assert!(
        there.servers.iter().all(|s| s.take_events().is_empty()),
        "the node connected to servers of the other deployment"
    );
}

#[test]
fn a_set_up_of_another_deployment_is_rejected_and_reaches_no_server() {
    let _worker = lock_worker();
    let (here, there) = (Harness::start(1), other_deployment());
    let assert_rejected = |harness: &Harness, class: &str, tenant: Option<&str>| {
        let mut viewer = harness.viewer();
        let mut request = start_message(tag(1), class, "900", "");
        tenant
            .into_iter()
            .for_each(|tenant| request["opts"]["tenant"] = json!(tenant));
        viewer.send_json(&request);
        assert_eq!(viewer.next_message()["rc"], 100, "{class} {tenant:?}");
    };
    assert_rejected(&here, "rehearsal", None);
    assert_rejected(&here, FREE, Some("weir-house"));
    assert_rejected(&there, FREE, Some("weir-house"));
    assert_rejected(&there, "rehearsal", Some("lock-street"));
    assert_rejected(&there, "rehearsal", None);
    assert!(here
        .servers
        .iter()
        .chain(&there.servers)
        .all(|s| s.take_events().is_empty()));
    let mut viewer = there.viewer();
    let mut own = start_message(tag(2), "rehearsal", "15000", "");
    own["opts"]["tenant"] = json!("weir-house");
    viewer.send_json(&own);
    let (server, connection, _) = there.next_set_up();
    server.send(connection, &ok_response(tag(2), "described"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
}
