//! Tests for the exact JSON texts that a front sends over HTTP: names and order of fields, types and fixed values.
mod support;
mod texts;
use crankpaddle_daemon::Daemon;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use support::{wait_until, Harness, FREE, PAID, TEST_TIMEOUT};
use texts::{masked, parsed, TextPlayer, V1};

fn get_body(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    )
    .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response.split_once("\r\n\r\n").unwrap().1.to_owned()
}

/// Requests a resource until its body meets a condition; returns that body.
fn get_body_until(address: SocketAddr, path: &str, is_met: impl Fn(&Value) -> bool) -> String {
    let mut last = String::new();
    wait_until(path, || {
        last = get_body(address, path);
        is_met(&parsed(&last))
    });
    last
}

/// Fetches the first bytes of a session's media. The connection stays open as long as the returned stream.
fn fetch_some_media(media_url: &str) -> TcpStream {
    let (server, path) = media_url
        .trim_start_matches("http://")
        .split_once('/')
        .unwrap();
    let mut stream = TcpStream::connect(server).unwrap();
    write!(stream, "GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    stream.read_exact(&mut [0u8; 2000]).unwrap(); // A response header is shorter, so some of it is media.
    stream
}

#[test]
fn health_has_the_same_text_while_ready_and_while_draining() {
    let harness = Harness::new(&[]);
    let address = harness.daemon.address();
    let mut player = TextPlayer::connect(address, V1);
    player.open(1, "health-0001", FREE);
    let ready = r#"{"state":"ready","waiting":0,"playing":1,"connections":2}"#;
    wait_until("both connections to be counted", || {
        get_body(address, "/health") == ready
    });
    harness.set_faults_on_all(|faults| faults.hangs = true);
    player.call_open(2, "health-0002", PAID);
    wait_until("its attempt to arrive at a server", || {
        harness.set_ups_and_bills("health-0002").0 == 1
    });
    harness.daemon.drain();
    let draining = get_body_until(address, "/health", |health| health["state"] == "draining");
    assert_eq!(
        masked(&draining),
        masked(&ready.replace("ready", "draining"))
    );
    assert_eq!(
        masked(&player.open(3, "health-0003", FREE)),
        r##"{"error":{"code":#,"data":{"reason":"stopping","retry_after_ms":#},"message":"refused"},"id":#,"jsonrpc":"2.0"}"##
    );
}

#[test]
fn paths_that_are_unknown_or_not_configured_get_problem_texts() {
    let harness = Harness::new(&[]);
    let address = harness.daemon.address();
    assert_eq!(
        get_body(address, "/members"),
        r#"{"type":"about:blank","title":"Not Found","status":404,"detail":"this front has no peers in its configuration"}"#
    );
    assert_eq!(
        get_body(address, "/fleet"),
        r#"{"type":"about:blank","title":"Not Found","status":404,"detail":"this front has no store in its configuration"}"#
    );
    assert_eq!(
        get_body(address, "/nothing"),
        r#"{"type":"about:blank","title":"Not Found","status":404,"detail":"nothing at /nothing; known: /api, /fleet, /health, /members, /session, /traffic"}"#
    );
}

#[test]
fn traffic_lists_flows_and_budgets() {
    let changes = [
        ("title { name: \"clip-00\"", "title { group: \"sport\" name: \"clip-00\""),
        (
            "log {",
            "tenant { name: \"main\" quota: 100000 }\n\
             budget { from: \"south\" to: \"north\" rate: \"1kB/s\" burst: \"1B\" repay: \"1s\" }\nlog {",
        ),
    ];
    let harness = Harness::with_tenant(&changes, "main");
    let address = harness.daemon.address();
    let mut player = TextPlayer::connect(address, V1);
    let open = r#"{"jsonrpc":"2.0","id":1,"method":"session.open","params":{"key":"traffic-0001","class":"licensed-view","title":"clip-00","tenant":"main"}}"#;
    let opened = parsed(&player.call(open));
    let _media = fetch_some_media(opened["result"]["media"].as_str().unwrap());
    let traffic = get_body_until(address, "/traffic", |traffic| {
        traffic["flows"][0]["hours"][0].is_object()
    });
    // The session's server may be in either zone.
    let from = parsed(&traffic)["flows"][0]["from"].clone();
    let crosses = from != "north";
    // The traffic is counted by minute and by hour. One or two entries are possible, because a minute or an hour may end
    // during the test.
    let period_entries = |name: &str| {
        let count = parsed(&traffic)["flows"][0][name].as_array().map(Vec::len);
        assert!(matches!(count, Some(1 | 2)), "{name}: {count:?}");
        vec![r##"{"at_ms":#,"bytes":#}"##; count.unwrap()].join(",")
    };
    let expected = r##"{"front":#,"at_ms":#,"flows":[{"from":FROM,"to":"north","class":"licensed-view","tenant":"main","group":"sport","purpose":"playing","crosses":CROSSES,"bytes":#,"measured_bytes":#,"corrected_bytes":#,"estimated_bytes":#,"overstated_bytes":#,"minutes":[MINUTES],"hours":[HOURS]}],"budgets":[{"from":"south","to":"north","rate_kb":#.#,"part":#.#,"level":#.#,"paid_kb":#.#,"other_kb":#.#,"overdraft_hall_lost_bytes":#,"overdraft_hall_full_bytes":#,"written_off_bytes":#,"lowered_sessions":#}],"unsettled_sessions":#,"too_late":#}"##;
    let expected = expected
        .replace("FROM", &from.to_string())
        .replace("CROSSES", &crosses.to_string())
        .replace("MINUTES", &period_entries("minutes"))
        .replace("HOURS", &period_entries("hours"));
    assert_eq!(masked(&traffic), expected);
    let budget = &parsed(&traffic)["budgets"][0];
    assert_eq!(
        (&budget["rate_kb"], &budget["part"]),
        (&json!(1.0), &json!(1.0))
    );
}

/// The `peers` block of a front's configuration. `seed` is the setting for the address of another front, or empty.
fn peers_block(name: &str, seed: &str, key: &std::path::Path) -> String {
    format!(
        "peers {{ name: \"{name}\" listen: \"127.0.0.1:0\" {seed} key_file: {key:?} probe_every: \"500ms\" }}\nlog {{"
    )
}

#[test]
fn members_lists_the_front_itself_and_each_peer() {
    let dir = tempfile::tempdir().unwrap();
    let key = dir.path().join("key");
    std::fs::write(&key, "00112233445566778899aabbccddeeff").unwrap();
    let harness = Harness::new(&[("log {", &peers_block("a", "", &key))]);
    let address = harness.daemon.address();
    let alone = get_body(address, "/members");
    let own = parsed(&alone)["address"].clone();
    let counted = r##""counted":{"accused":#,"bytes_sent":#,"dropped_garbage":#,"dropped_old_life":#,"dropped_other_fleet":#,"dropped_other_version":#,"dropped_stray":#,"forged":#,"name_conflicts":#,"not_answered_flood":#,"not_sent_budget":#}"##;
    assert_eq!(
        masked(&alone),
        format!(
            r##"{{"name":"a","address":{own},"standing":"alone","members":[],"sent":#,"heard":#,"dropped":#,{counted},"turns":[]}}"##
        )
    );
    let other = support::fleet_text(&[("log {", &peers_block("b", &format!("seed: {own}"), &key))]);
    let other = support::front_text(&other, &harness.list.address, "");
    let other = Daemon::start(crankpaddle_config::parse(&other).unwrap()).unwrap();
    for (front, name, peer) in [(address, "a", "b"), (other.address(), "b", "a")] {
        let members = get_body_until(front, "/members", |members| {
            members["standing"] == "connected" && members["members"][0]["rtt_us"].is_u64()
        });
        let value = parsed(&members);
        let (own, peer_address) = (&value["address"], &value["members"][0]["address"]);
        assert_eq!(
            masked(&members),
            format!(
                r##"{{"name":"{name}","address":{own},"standing":"connected","members":[{{"name":"{peer}","address":{peer_address},"state":"alive","since_ms":#,"by":"{peer}","rtt_us":#}}],"sent":#,"heard":#,"dropped":#,{counted},"turns":[{{"number":#,"ago_ms":#,"name":"{peer}","state":"alive","by":"{peer}","restarted":false}}]}}"##
            )
        );
    }
}

#[test]
fn fleet_lists_the_recovery_steps_of_a_first_start() {
    let dir = tempfile::tempdir().unwrap();
    let (key, boot) = (dir.path().join("key"), dir.path().join("boot"));
    std::fs::write(&key, "00112233445566778899aabbccddeeff").unwrap();
    std::fs::write(&boot, "first").unwrap();
    let folder = dir.path().join("store");
    let store = format!("store {{ name: \"s\" dir: {folder:?} key_file: {key:?} boot_file: {boot:?} settle: \"20s\" calm: \"1ms\" }}\nlog {{");
    let harness = Harness::new(&[("log {", &store)]);
    let fleet = get_body_until(harness.daemon.address(), "/fleet", |fleet| {
        fleet["stage"] == "all" && fleet["store"] == "written"
    });
    assert_eq!(
        masked(&fleet),
        r##"{"name":"s","epoch":#,"former":"unknown","stage":"all","steps":[{"stage":"dark","why":"started","ago_ms":#},{"stage":"reading","why":"disk_there","ago_ms":#},{"stage":"settling","why":"read","ago_ms":#},{"stage":"paid","why":"servers_told","ago_ms":#},{"stage":"all","why":"paid_served","ago_ms":#}],"held":#,"unsettled":#,"servers_told":#,"servers_out_of_reach":#,"servers_asked":#,"kept":#,"reckoned_fronts":#,"store":"written"}"##
    );
    let fleet = parsed(&fleet);
    let counts = [
        "epoch",
        "held",
        "unsettled",
        "servers_told",
        "kept",
        "reckoned_fronts",
    ];
    assert_eq!(
        counts.map(|name| fleet[name].as_u64().unwrap()),
        [1, 0, 0, 12, 0, 1]
    );
}
