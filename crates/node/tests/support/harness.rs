//! A node with the servers and the directory that it needs.
use super::{
    listed_servers, ok_response, wait, wait_with_description, DirectoryState, TestDirectory,
    TestServer, TestViewer,
};
use crankpaddle_front::EventObserver;
use crankpaddle_node::Node;
use crankpaddle_node_protocol::config::Config;
use crankpaddle_node_protocol::rtsp::Message;
use crankpaddle_node_protocol::Tag;
use serde_json::{json, Value};
use std::sync::Arc;

/// A node with test servers and a test directory. Its settings have two classes, [`FREE`] and [`PAID`].
pub(crate) struct Harness {
    pub node: Arc<Node>,
    pub servers: Vec<TestServer>,
    pub directory: TestDirectory,
    pub config: Value,
}

/// A class whose set-ups may be sent again when they may have run.
pub(crate) const FREE: &str = "preview";
/// A class whose set-ups must not be sent again once they may have run.
pub(crate) const PAID: &str = "licensed-view";

/// Settings with this interval between servers' updates of a session; 0 for none.
pub(crate) fn fleet_settings(update_interval_ns: u64) -> Value {
    let class = |name: &str, semantics: &str| json!({"name": name, "aim": 10_000_000_000u64, "deadline": 30_000_000_000u64, "semantics": semantics, "worth": 1.0});
    json!({"index": 0, "siblings": 1, "az": 0, "azs": ["east"], "kinds": ["std"], "discovery": "push",
        "services": [class(FREE, "free"), class(PAID, "single_shot")],
        "family-info": {"cells": 1, "cabinets": 1, "class-top": [1, 1], "lowest-rung": [0, 0],
            "rate-factor": [1.0, 1.0], "fleet-kb": 900_000.0, "kb-per-weight": 300_000.0, "level-kb": [200.0, 400.0],
            "rung-worth": [0.3, 1.0], "places-by-kind": [1000], "uplink-kb": 900_000.0, "told-every": update_interval_ns},
        "limits": {"attempts-cap": 4, "cancel": true, "connect-timeout": 250_000_000u64, "retry-after": true,
            "max-retry-after": 1_000_000_000u64},
        "rules": {"cold-share": 0.4, "cold": 1_000_000_000u64, "tip-multiple": 2.5, "fall": 1_000_000_000u64},
        "telemetry": {"fields": ["x0"], "how": "answers"}})
}

/// Changes a configuration to settings in which servers send updates each minute, so that none is taken for silent during a test.
pub(crate) fn rare_updates(config: &mut Value) {
    const UPDATE_INTERVAL_NS: u64 = 60_000_000_000;
    config["settings"] = fleet_settings(UPDATE_INTERVAL_NS);
}

/// The configuration of a node that listens on a port chosen by the system.
pub(crate) fn node_config(servers: &[TestServer], directory: &TestDirectory) -> Value {
    let instance = |s: &TestServer| {
        json!({"instanceId": s.name, "hostPort": s.address.to_string(), "zone": "east", "machineType": "std",
            "cell": 0, "lifecycle": "ready", "weight": 1, "startedAtMs": 0})
    };
    let instances: Vec<Value> = servers.iter().map(instance).collect();
    json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "nameserver": directory.address.to_string(),
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"generation": 1, "reset": true,
            "instances": instances}}]},
        "settings": fleet_settings(0)})
}

impl Harness {
    pub(crate) fn start(servers: u32) -> Harness {
        Harness::start_with(servers, |_| {})
    }

    pub(crate) fn start_with(servers: u32, change: impl FnOnce(&mut Value)) -> Harness {
        Harness::start_observed(servers, change, None)
    }

    /// Starts a node with a changed configuration, and passes the placement policy's events to `observer`.
    pub(crate) fn start_observed(
        servers: u32,
        change: impl FnOnce(&mut Value),
        observer: Option<EventObserver>,
    ) -> Harness {
        let servers: Vec<TestServer> = (1..=servers).map(TestServer::start).collect();
        let directory = TestDirectory::start(DirectoryState {
            serial: 1,
            servers: listed_servers(&servers),
            fault: None,
        });
        let mut config = node_config(&servers, &directory);
        change(&mut config);
        crankpaddle_net::start(Some(1));
        let parsed = Config::parse(config.to_string().as_bytes()).expect("a valid configuration");
        let node = Arc::new(Node::start_observed(parsed, observer).expect("the node starts"));
        Harness {
            node,
            servers,
            directory,
            config,
        }
    }

    pub(crate) fn viewer(&self) -> TestViewer {
        TestViewer::connect(self.node.address())
    }

    /// Waits for the next set-up that any server receives. Returns the server, its connection, and the message.
    pub(crate) fn next_set_up(&self) -> (&TestServer, usize, Message) {
        let mut found = None;
        wait_with_description(
            || {
                format!(
                    "a set-up reaches a server; the node holds {:?}",
                    self.node.counts()
                )
            },
            || {
                let take_set_up = |server: &'_ TestServer| server.try_take_request("SETUP");
                found = self
                    .servers
                    .iter()
                    .enumerate()
                    .find_map(|(index, server)| Some((index, take_set_up(server)?)));
                found.is_some()
            },
        );
        let (index, (connection, message)) = found.expect("just found");
        (&self.servers[index], connection, message)
    }

    /// Establishes a session: the viewer sends a set-up, and the server that receives it accepts it.
    pub(crate) fn establish(
        &self,
        viewer: &mut TestViewer,
        tag: Tag,
        class: &str,
    ) -> (&TestServer, usize) {
        viewer.start(tag, class, 15_000);
        let (server, connection, message) = self.next_set_up();
        assert_eq!(message.session, Some(tag));
        server.send(connection, &ok_response(tag, "described"));
        assert_eq!(viewer.next_message()["verb"], "STARTED");
        (server, connection)
    }

    pub(crate) fn wait_until_idle(&self) {
        wait("no set-up, session or table entry is left", || {
            let counts = self.node.counts();
            (counts.waiting, counts.playing, counts.entries) == (0, 0, 0)
        });
    }
}

/// A configuration as the node reads it.
pub(crate) fn parse_config(config: &Value) -> Config {
    Config::parse(config.to_string().as_bytes()).expect("a valid configuration")
}
