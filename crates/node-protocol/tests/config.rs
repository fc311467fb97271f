//! Parsing of the configuration: the list of servers at the start, and errors of one line.
use crankpaddle_node_protocol::config::Config;
use crankpaddle_node_protocol::directory::ServerState;
use serde_json::{json, Value};

/// A complete configuration.
fn complete() -> Value {
    let instance = |id: &str, state: &str| {
        json!({"instanceId": id, "hostPort": "127.0.0.9:3868", "zone": "east", "machineType": "std", "cell": 2,
            "lifecycle": state, "weight": 4, "startedAtMs": 0})
    };
    json!({"name": "n3", "listen": "127.0.0.4:3868", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 256}, "nameserver": "127.0.0.1:1053",
        "known": {"seq": 3, "results": [
            {"seq": 2, "fleet": {"generation": 7, "reset": true, "instances": [instance("s-00000001", "ready"),
                instance("s-00000002", "ready"), instance("s-00000003", "ready")]}},
            {"seq": 3, "fleet": {"generation": 8, "reset": false, "instances": [instance("s-00000002", "draining"),
                instance("s-00000003", "gone")]}}]},
        "settings": {"index": 0, "siblings": 1, "azs": ["east"], "kinds": ["std"],
            "services": [{"name": "paid", "aim": 800_000_000u64, "deadline": 4_000_000_000u64,
                "semantics": "single_shot", "worth": 1.0}],
            "family-info": {"cells": 4, "cabinets": 1, "class-top": [1], "lowest-rung": [0], "rate-factor": [1.0],
                "fleet-kb": 6000.0, "kb-per-weight": 6000.0, "level-kb": [200.0, 400.0], "rung-worth": [0.3, 1.0],
                "places-by-kind": [20], "uplink-kb": 6000.0},
            "limits": {"attempts-cap": 4},
            "rules": {"cold-share": 0.4, "cold": 1_000_000_000u64, "tip-multiple": 2.5, "fall": 1_000_000_000u64}}})
}

#[test]
fn the_known_events_add_up_to_the_list_at_the_start() {
    let config = Config::parse(complete().to_string().as_bytes()).expect("valid");
    assert_eq!(
        (config.name.as_str(), config.seed),
        ("n3", 0x8c1f_30d2_7a5b_e964)
    );
    assert_eq!((config.limits.memory_mb, config.limits.sockets), (32, 256));
    let servers: Vec<_> = config
        .initial_list
        .entries
        .iter()
        .map(|entry| (entry.name.as_str(), entry.state))
        .collect();
    assert_eq!(config.initial_list.serial, 3);
    assert_eq!(
        servers,
        [
            ("s-00000001", ServerState::Ready),
            ("s-00000002", ServerState::Draining)
        ]
    );
    assert_eq!(
        (config.fleet.classes, config.fleet.deadlines),
        (vec!["paid".to_owned()], vec![4_000_000_000])
    );
}

#[test]
fn errors_are_reported_in_one_line() {
    let without = |path: &[&str]| {
        let mut value = complete();
        let (field, parents) = path.split_last().expect("a path");
        let parent = parents
            .iter()
            .fold(&mut value, |object, key| &mut object[*key]);
        parent.as_object_mut().expect("an object").remove(*field);
        value
    };
    for (value, field) in [
        (without(&["listen"]), "listen"),
        (without(&["nameserver"]), "nameserver"),
        (without(&["settings", "rules"]), "rules"),
        (without(&["settings", "family-info", "cells"]), "cells"),
        (without(&["limits", "sockets"]), "sockets"),
    ] {
        let error = Config::parse(value.to_string().as_bytes())
            .expect_err("a field is missing")
            .to_string();
        assert!(error.contains(field) && !error.contains('\n'), "{error}");
    }
    let mut value = complete();
    value["seed"] = json!("not hex");
    assert!(Config::parse(value.to_string().as_bytes())
        .expect_err("the seed is invalid")
        .to_string()
        .contains("seed"));
    for malformed in ["", "{", "[]", "null", "\u{0}"] {
        assert!(
            Config::parse(malformed.as_bytes()).is_err(),
            "{malformed:?}"
        );
    }
}
