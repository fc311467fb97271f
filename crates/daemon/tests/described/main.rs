//! Everything that is described is exchanged over sockets, by both versions, and held against the published files: what no
//! description allows fails, and so does what is described and was not exchanged.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
mod support;
use crankpaddle_api::conform::{Checker, Exception, Exchange};
use crankpaddle_membership::{Membership, MembershipConfig, Output};
use crankpaddle_session_api::Version;
use crankpaddle_testbed::list_service::{entry, EndpointState};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{wait, Rig, Stage, FREE, LONG, PAID};
use tungstenite::client::IntoClientRequest;
use tungstenite::{Message, WebSocket};

/// All that went over the sockets of one version's players.
#[derive(Clone, Default)]
struct Tape(Arc<Mutex<Vec<Exchange>>>);

impl Tape {
    fn add(&self, exchange: Exchange) {
        self.0.lock().unwrap().push(exchange);
    }

    /// Sends a request as it is, and reads its answer.
    fn http(&self, address: SocketAddr, request: &str) -> u16 {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").expect("an answer");
        let status: u16 = head.split(' ').nth(1).unwrap().parse().unwrap();
        let media = head
            .lines()
            .find_map(|l| l.strip_prefix("content-type: "))
            .unwrap_or("")
            .to_owned();
        let mut words = request.split(' ');
        let (method, path) = (
            words.next().unwrap_or("").to_owned(),
            words.next().unwrap_or("").to_owned(),
        );
        self.add(Exchange::Http {
            method,
            path,
            status,
            media,
            body: body.to_owned(),
        });
        status
    }

    fn get(&self, address: SocketAddr, path: &str) -> u16 {
        self.http(
            address,
            &format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"),
        )
    }
}

/// A player whose texts go on a tape.
struct Player {
    socket: WebSocket<TcpStream>,
    tape: Tape,
    calls: u64,
}

impl Player {
    fn connect(address: SocketAddr, version: Version, tape: &Tape) -> Player {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        let mut request = format!("ws://{address}/session")
            .into_client_request()
            .unwrap();
        let named = version.subprotocol();
        request
            .headers_mut()
            .insert("sec-websocket-protocol", named.parse().unwrap());
        let (socket, answer) = tungstenite::client::client(request, stream).unwrap();
        assert_eq!(answer.headers()["sec-websocket-protocol"], named);
        let (method, path, media, body) = (
            "GET".into(),
            "/session".into(),
            String::new(),
            String::new(),
        );
        tape.add(Exchange::Http {
            method,
            path,
            status: answer.status().as_u16(),
            media,
            body,
        });
        Player {
            socket,
            tape: tape.clone(),
            calls: 0,
        }
    }

    fn say(&mut self, text: &str) {
        self.tape.add(Exchange::Text {
            call: true,
            text: text.to_owned(),
        });
        self.socket.send(Message::text(text)).unwrap();
    }

    /// Reads until a message is what is waited for.
    fn until(&mut self, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        loop {
            let Message::Text(text) = self.socket.read().unwrap_or_else(|e| panic!("{what}: {e}"))
            else {
                continue;
            };
            self.tape.add(Exchange::Text {
                call: false,
                text: text.to_string(),
            });
            let value: Value = serde_json::from_str(&text).unwrap();
            if wanted(&value) {
                return value;
            }
        }
    }

    fn call(&mut self, method: &str, params: Value) -> u64 {
        self.calls += 1;
        let id = self.calls;
        self.say(
            &json!({"jsonrpc": "2.0", "id": id, "method": method, "params": params}).to_string(),
        );
        id
    }

    fn ask(&mut self, method: &str, params: Value) -> Value {
        let id = self.call(method, params);
        self.until(method, |v| v["id"] == id)
    }

    fn open(&mut self, key: &str, class: &str, title: &str) -> Value {
        self.ask("session.open", open(key, class, title))
    }

    fn notice(&mut self, method: &str) -> Value {
        self.until(method, |v| v["method"] == method)["params"].clone()
    }
}

fn open(key: &str, class: &str, title: &str) -> Value {
    json!({"key": key, "class": class, "title": title, "tenant": "main"})
}

/// A rig with a tenant, so that it must be named; titles lie in groups.
fn rig(changes: &[(&str, &str)]) -> Rig {
    rig_of(changes, |_| {})
}

/// The same, with something done before the front starts.
fn rig_of(changes: &[(&str, &str)], before: impl FnOnce(&Stage)) -> Rig {
    let tenant = ("log {", "tenant { name: \"main\" quota: 100000 }\nlog {");
    let group = (
        "title { name: \"clip-00\"",
        "title { group: \"sport\" name: \"clip-00\"",
    );
    Rig::on(
        Stage::new(&[&[tenant, group], changes].concat()),
        "main",
        before,
    )
}

fn reason(answer: &Value) -> &str {
    answer["error"]["data"]["reason"].as_str().unwrap_or("")
}

/// What goes well, and what players get wrong.
fn ordinary(version: Version, tape: &Tape) {
    let rig = rig(&[]);
    let address = rig.daemon.address();
    let mut p = Player::connect(address, version, tape);
    let opened = p.ask(
        "session.open",
        json!({"key": "everything-1", "class": FREE, "title": "clip-00", "tenant": "main", "viewer": "v", "top": 3,
            "give_up_ms": 1900, "hint_ms": 60000, "again": true}),
    );
    let session = opened["result"]["session"].clone();
    assert_eq!(
        opened["result"]["hall"].is_string(),
        version == Version::V2,
        "{opened}"
    );
    let mut other = Player::connect(address, version, tape);
    let resumed = other.ask(
        "session.resume",
        json!({"key": "everything-1", "tenant": "main"}),
    );
    assert_eq!(resumed["result"]["session"], session);
    assert_eq!(p.notice("session.end")["reason"], "taken_over");
    assert_eq!(
        other.ask("session.close", json!({"session": session}))["result"]["closed"],
        true
    );
    assert_eq!(
        other.ask("session.close", json!({"session": session}))["error"]["code"],
        -32004
    );
    p.say("{");
    p.until("a parse error", |v| v["error"]["code"] == -32700);
    p.say("[]");
    p.until("an invalid request", |v| v["error"]["code"] == -32600);
    assert_eq!(p.ask("session.fly", json!({}))["error"]["code"], -32601);
    assert_eq!(
        p.ask("session.open", json!({"key": "short"}))["error"]["code"],
        -32602
    );
    for (field, params) in [
        ("title", open("unknown-names", FREE, "none")),
        ("class", open("unknown-names", "none", "clip-01")),
        (
            "tenant",
            json!({"key": "unknown-names", "class": FREE, "title": "clip-01", "tenant": "none"}),
        ),
    ] {
        assert_eq!(
            p.ask("session.open", params)["error"]["data"]["field"],
            field
        );
    }
    let member = |id: u64, key: &str| json!({"jsonrpc": "2.0", "id": id, "method": "session.open", "params": open(key, FREE, "clip-02")});
    p.say(&json!([member(900, "batched-01"), member(901, "batched-02")]).to_string());
    p.until("the batch", Value::is_array);
    // A paid session that is over: its key is spent.
    let paid = p.open("spent-key-1", PAID, "clip-03")["result"]["session"].clone();
    p.ask("session.close", json!({"session": paid}));
    assert_eq!(reason(&p.open("spent-key-1", PAID, "clip-03")), "key_spent");
    // Links give less: rungs go down.
    for n in 0..6 {
        p.open(&format!("crowded-{n}"), FREE, "clip-05");
    }
    rig.fleet.set_slow(8.0);
    p.notice("session.rung");
    rig.fleet.set_slow(1.0);
    // Sessions that end at their servers, or with them.
    (0..12).for_each(|id| rig.fleet.end_sessions(id, true));
    assert_eq!(p.notice("session.end")["reason"], "finished");
    let lost = p.open("lost-with-all", FREE, "clip-04");
    assert!(lost["result"].is_object(), "{lost}");
    (0..12).for_each(|id| rig.fleet.crash(id));
    p.until("a lost server", |v| v["params"]["reason"] == "server_lost");
    wait("the front to have no server left", || {
        let answer = p.open(&format!("nowhere-{}", p.calls), FREE, "clip-06");
        reason(&answer) == "no_room" && answer["error"]["data"]["retry_after_ms"].is_u64()
    });
}

/// Servers that fail paid set-ups in each way, and players that leave or come twice.
fn failures(version: Version, tape: &Tape) {
    let rig = rig(&[(
        "open_requests_per_connection: 64",
        "open_requests_per_connection: 2",
    )]);
    let address = rig.daemon.address();
    let mut p = Player::connect(address, version, tape);
    rig.modes(|m| m.errors = 1.0);
    assert_eq!(
        reason(&p.open("error-paid-1", PAID, "clip-00")),
        "server_error"
    );
    rig.modes(|m| (m.errors, m.bills_and_resets) = (0.0, 1.0));
    assert_eq!(reason(&p.open("reset-paid-1", PAID, "clip-05")), "broken");
    rig.modes(|m| (m.bills_and_resets, m.hangs) = (0.0, true));
    let mut leaves = Player::connect(address, version, tape);
    leaves.call("session.open", open("withdrawn-1", PAID, "clip-02"));
    wait("its attempt to be out", || rig.of_key("withdrawn-1").0 == 1);
    drop(leaves);
    let first = p.call("session.open", open("no-answer-1", PAID, "clip-01"));
    wait("its attempt to be out", || rig.of_key("no-answer-1").0 == 1);
    let mut second = Player::connect(address, version, tape);
    let joined = second.call("session.open", open("no-answer-1", PAID, "clip-01"));
    p.until("the first to be superseded", |v| {
        v["id"] == first && v["error"]["code"] == -32003
    });
    let answer = second.until("the failure", |v| v["id"] == joined);
    assert_eq!(reason(&answer), "no_answer");
    wait("the one who left to be given up", || {
        rig.daemon.counts().0 == 0
    });
    assert_eq!(reason(&p.open("withdrawn-1", PAID, "clip-02")), "withdrawn");
    for n in 0..2 {
        p.call(
            "session.open",
            open(&format!("waiting-{n}"), PAID, "clip-03"),
        );
    }
    assert_eq!(
        reason(&p.open("one-too-many", PAID, "clip-03")),
        "too_many_open"
    );
}

/// A budget that holds previews at home, and its report.
fn budgets(version: Version, tape: &Tape) {
    let budget = "budget { from: \"south\" to: \"north\" rate: \"1kB/s\" burst: \"1B\" repay: \"1s\" }\n\
        budget { from: \"south\" to: \"north\" class: \"licensed-view\" rate: \"0kB/s\" burst: \"1B\" }\nlog {";
    let rig = rig(&[("log {", budget)]);
    let mut p = Player::connect(rig.daemon.address(), version, tape);
    for id in (0..12).filter(|id| id % 2 == 0) {
        rig.fleet.crash(id);
        rig.list.change(entry(
            &rig.config,
            id,
            rig.fleet.servers[id as usize].address,
            EndpointState::Gone,
            0,
        ));
    }
    let held = if version == Version::V2 {
        "held_at_home"
    } else {
        "no_room"
    };
    wait("previews to be held at home", || {
        reason(&p.open(&format!("held-{:04}", p.calls), FREE, "clip-00")) == held
    });
    let answer = p.open("paid-crosses", PAID, "clip-00");
    let media = answer["result"]["media"]
        .as_str()
        .expect("paid service crosses")
        .to_owned();
    let (server, path) = media.trim_start_matches("http://").split_once('/').unwrap();
    let mut stream = TcpStream::connect(server).unwrap();
    write!(stream, "GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let address = rig.daemon.address();
    assert_eq!(tape.get(address, "/members"), 404, "it has no peers");
    assert_eq!(tape.get(address, "/fleet"), 404, "it has no store");
    wait("its bytes to be told", || {
        tape.get(address, "/traffic");
        let last = tape.0.lock().unwrap().last().cloned();
        matches!(last, Some(Exchange::Http { body, .. }) if body.contains("\"hours\":[{"))
    });
}

/// A member of the fleet that the test plays for as long as it runs; where it is found.
fn member() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(5)))
        .unwrap();
    let address = socket.local_addr().unwrap();
    let settings = MembershipConfig {
        name: "played".into(),
        address: address.to_string(),
        epoch: 1,
        incarnation: 1,
        key: 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff_u128.to_be_bytes(),
        probe_interval: 100_000_000,
        probe_timeout: 40_000_000,
        ..MembershipConfig::default()
    };
    std::thread::spawn(move || {
        let (mut peers, begun) = (Membership::new(settings, 1, 0), Instant::now());
        loop {
            let (mut out, mut bytes) = (Vec::new(), [0u8; 2048]);
            if let Ok((n, from)) = socket.recv_from(&mut bytes) {
                peers.receive(
                    begun.elapsed().as_nanos() as u64,
                    &from.to_string(),
                    &bytes[..n],
                    &mut out,
                );
            }
            peers.expire(begun.elapsed().as_nanos() as u64, &mut out);
            for output in out {
                if let Output::Send { address, bytes, .. } = output {
                    let _ = socket.send_to(&bytes, address); // What is lost is asked for again.
                }
            }
        }
    });
    address
}

/// What a front tells of its past: after each way in which a life can end. A copy of the folder stands for what a killed process left.
fn past(version: Version, tape: &Tape) {
    let dir = tempfile::tempdir().unwrap();
    let (key, boot) = (dir.path().join("key"), dir.path().join("boot"));
    std::fs::write(&key, "00112233445566778899aabbccddeeff").unwrap();
    std::fs::write(&boot, "first").unwrap();
    let store = |name: &str| {
        let folder = dir.path().join(name);
        format!(
            "store {{ name: \"{version:?}\" dir: {folder:?} key_file: {key:?} boot_file: {boot:?} settle: \"500ms\" calm: \"1ms\" }}\nlog {{"
        )
    };
    let copied = |from: &str, to: &str| {
        std::fs::create_dir_all(dir.path().join(to)).unwrap();
        for file in std::fs::read_dir(dir.path().join(from))
            .unwrap()
            .map(Result::unwrap)
        {
            std::fs::copy(file.path(), dir.path().join(to).join(file.file_name())).unwrap();
        }
    };
    let heard_at = |address: SocketAddr, words: &[&str]| {
        wait(&format!("{words:?}"), || {
            assert_eq!(tape.get(address, "/fleet"), 200);
            let last = tape.0.lock().unwrap().last().cloned();
            matches!(last, Some(Exchange::Http { body, .. }) if words.iter().all(|word| body.contains(word)))
        });
    };
    let heard = |rig: &Rig, words: &[&str]| heard_at(rig.daemon.address(), words);
    let first = rig(&[("cold: \"8s\"", "cold: \"300ms\""), ("log {", &store("a"))]);
    heard(
        &first,
        &["\"unknown\"", "\"paid_served\"", "\"warm\"", "\"normal\""],
    );
    copied("a", "killed");
    copied("a", "lost");
    first.daemon.drain();
    first.daemon.wait();
    heard(&rig(&[("log {", &store("a"))]), &["\"ended_in_order\""]);
    heard(
        &rig(&[("log {", &store("killed"))]),
        &["\"killed\"", "\"servers_told\""],
    );
    std::fs::write(&boot, "second").unwrap();
    let slow = store("lost")
        .replace("\"500ms\"", "\"1s\"")
        .replace("\"1ms\"", "\"1s\"");
    let stage = Stage::new(&[("log {", &slow)]);
    stage.fleet.set_mode(4, |m| m.vanished = true);
    let daemon = stage.start();
    heard_at(daemon.address(), &["\"stage\":\"settling\",\"steps\""]);
    heard_at(daemon.address(), &["\"stage\":\"paid\",\"steps\""]);
    stage.fleet.set_mode(4, |m| m.vanished = false);
    daemon.drain();
    daemon.wait();
    copied("a", "late");
    let late = rig_of(&[("log {", &store("late"))], |rig| {
        rig.fleet.set_mode(4, |m| m.vanished = true);
    });
    heard(&late, &["\"power_lost\"", "\"time\""]);
    late.modes(|m| m.vanished = false);
    std::fs::write(dir.path().join("file"), "").unwrap();
    heard(&rig(&[("log {", &store("file/below"))]), &["\"unusable\""]);
}

/// HTTP, and how a front ends.
fn http_and_end(version: Version, tape: &Tape) {
    let key = std::env::temp_dir().join(format!(
        "crankpaddle-described-{}-{version:?}",
        std::process::id()
    ));
    std::fs::write(&key, "00112233445566778899aabbccddeeff").unwrap();
    let lonely =
        format!("peers {{ name: \"b\" listen: \"127.0.0.1:0\" key_file: {key:?} }}\nlog {{");
    let lonely = rig(&[("log {", &lonely)]);
    assert_eq!(tape.get(lonely.daemon.address(), "/members"), 200);
    drop(lonely);
    let seed = member();
    let peers = format!(
        "peers {{ name: \"a\" listen: \"127.0.0.1:0\" seed: \"{seed}\" key_file: {key:?} probe_every: \"100ms\" }}\nlog {{"
    );
    let rig = rig(&[("connections: 8000", "connections: 3"), ("log {", &peers)]);
    let address = rig.daemon.address();
    wait("the other member to be told", || {
        assert_eq!(tape.get(address, "/members"), 200);
        let last = tape.0.lock().unwrap().last().cloned();
        matches!(last, Some(Exchange::Http { body, .. }) if body.contains("rtt_us") && body.contains("connected"))
    });
    for path in [
        "/api",
        "/api/openapi.json",
        "/api/session.v1.asyncapi.json",
        "/api/session.v2.asyncapi.json",
    ] {
        assert_eq!(tape.get(address, path), 200);
    }
    let long = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "y".repeat(20_000)
    );
    let upgrade =
        "GET /session HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\n";
    for (request, status) in [
        (
            "GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            200,
        ),
        (
            "GET /nothing HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            404,
        ),
        (
            "DELETE /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            405,
        ),
        (
            "DELETE /api/openapi.json HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            405,
        ),
        ("nonsense\r\n\r\n", 400),
        (
            "POST /health HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n",
            413,
        ),
        (&long, 431),
        (
            "GET /session HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            426,
        ),
        (
            &format!("{upgrade}sec-websocket-version: 13\r\nsec-websocket-key: no\r\n\r\n"),
            400,
        ),
    ] {
        assert_eq!(tape.http(address, request), status, "{request}");
    }
    // Three connections are allowed, and each of those above counts until the front has seen its end.
    wait("the connections before to be gone", || {
        let status = tape.get(address, "/health");
        let last = tape.0.lock().unwrap().last().cloned();
        status == 200
            && matches!(last, Some(Exchange::Http { body, .. }) if body.contains("\"connections\":1"))
    });
    let mut p = Player::connect(address, version, tape);
    let playing = p.open("to-the-end-1", FREE, "clip-00");
    assert!(playing["result"].is_object(), "{playing}");
    let more: Vec<Player> = (0..2)
        .map(|_| Player::connect(address, version, tape))
        .collect();
    assert_eq!(tape.get(address, "/session"), 503);
    drop(more);
    // One request is kept waiting, so that the front stays to say that it stops.
    rig.modes(|m| m.hangs = true);
    p.call("session.open", open("kept-waiting", PAID, "clip-01"));
    wait("its attempt to be out", || {
        rig.of_key("kept-waiting").0 == 1
    });
    rig.daemon.drain();
    wait("it to drain", || tape.get(address, "/health") == 503);
    assert_eq!(reason(&p.open("too-late-now", FREE, "clip-02")), "stopping");
    let ended = p.notice("session.end");
    assert_eq!(
        (&ended["reason"], ended["retry_after_ms"].is_u64()),
        (&json!("stopping"), true)
    );
}

#[test]
fn traffic_and_published_descriptions_agree_in_both_directions() {
    let excused: Vec<Exception> = serde_json::from_str(crankpaddle_api::EXCEPTIONS).unwrap();
    let both = [
        (Version::V2, crankpaddle_api::PRESENT),
        (Version::V1, crankpaddle_api::PREVIOUS),
    ];
    let runs = both.map(|(version, document)| {
        std::thread::spawn(move || {
            let tape = Tape::default();
            let parts = [ordinary, failures, budgets, past, http_and_end].map(|part| {
                let tape = tape.clone();
                std::thread::spawn(move || part(version, &tape))
            });
            parts
                .into_iter()
                .for_each(|part| part.join().expect("a part of the run"));
            let mut checker = Checker::new(document, crankpaddle_api::OPENAPI).unwrap();
            tape.0
                .lock()
                .unwrap()
                .iter()
                .for_each(|exchange| checker.take(exchange));
            (version, checker, tape)
        })
    });
    for run in runs {
        let (version, checker, tape) = run.join().expect("a run");
        let verdict = checker.verdict(&excused);
        println!("{version:?}: {verdict}");
        assert!(verdict.agrees(), "{version:?}:\n{verdict}");
        if version == Version::V2 {
            lies(&tape.0.lock().unwrap(), &excused);
        }
        // The check can fail: without one of its messages the run no longer shows all.
        let kept = tape.0.lock().unwrap().clone();
        let without = kept
            .iter()
            .filter(|e| !matches!(e, Exchange::Text { text, .. } if text.contains("key_spent")));
        let mut less = Checker::new(
            if version == Version::V2 {
                crankpaddle_api::PRESENT
            } else {
                crankpaddle_api::PREVIOUS
            },
            crankpaddle_api::OPENAPI,
        )
        .unwrap();
        without.for_each(|exchange| less.take(exchange));
        assert!(!less.verdict(&excused).agrees());
    }
}

/// Descriptions that say something else than what is spoken: each is caught, and named.
fn lies(tape: &[Exchange], excused: &[Exception]) {
    type Lie = (&'static str, fn(&mut Value), &'static str);
    let all: [Lie; 10] = [
        (
            "a property is dropped",
            |d| {
                drop(
                    d["components"]["schemas"]["Opened"]["properties"]
                        .as_object_mut()
                        .unwrap()
                        .remove("media"),
                );
            },
            "\"media\"",
        ),
        (
            "a reason stands in the code only",
            |d| {
                drop(
                    d["components"]["schemas"]["FailedReason"]["oneOf"]
                        .as_array_mut()
                        .unwrap()
                        .remove(0),
                );
            },
            "\"no_answer\"",
        ),
        (
            "a reason stands in the description only",
            |d| {
                d["components"]["schemas"]["EndReason"]["oneOf"]
                    .as_array_mut()
                    .unwrap()
                    .push(json!({"const": "bored"}));
            },
            "end.params.reason = \"bored\"",
        ),
        (
            "a property that is never sent",
            |d| {
                d["components"]["schemas"]["Ended"]["properties"]["mood"] =
                    json!({"type": "string"});
            },
            "end.params.mood",
        ),
        (
            "another type",
            |d| {
                d["components"]["schemas"]["RungChanged"]["properties"]["rung"] =
                    json!({"type": "string"});
            },
            "session.rung",
        ),
        (
            "a narrower bound",
            |d| {
                d["components"]["schemas"]["Opened"]["properties"]["session"]["maxLength"] =
                    json!(1);
            },
            "\"session\":\"s-",
        ),
        (
            "an optional property must be there",
            |d| {
                d["components"]["schemas"]["Refused"]["required"]
                    .as_array_mut()
                    .unwrap()
                    .push(json!("advice"));
            },
            "\"refused\"",
        ),
        (
            "another code",
            |d| {
                d["components"]["messages"]["superseded"]["payload"]["properties"]["error"]
                    ["properties"]["code"] = json!({"const": -32_099});
            },
            "-32003",
        ),
        (
            "a message is dropped",
            |d| {
                d["operations"]["tell"]["messages"]
                    .as_array_mut()
                    .unwrap()
                    .retain(|m| !m["$ref"].as_str().unwrap().ends_with("/parseError"));
            },
            "-32700",
        ),
        (
            "another method",
            |d| {
                d["components"]["messages"]["resume"]["payload"]["properties"]["method"] =
                    json!({"const": "session.again"});
            },
            "resume",
        ),
    ];
    for (what, lie, name) in all {
        let mut document = crankpaddle_api::parsed(crankpaddle_api::PRESENT);
        lie(&mut document);
        let mut checker = Checker::new(&document.to_string(), crankpaddle_api::OPENAPI).unwrap();
        tape.iter().for_each(|exchange| checker.take(exchange));
        let verdict = checker.verdict(excused);
        assert!(
            !verdict.agrees() && verdict.to_string().contains(name),
            "{what}: {verdict}"
        );
    }
}

#[test]
fn versions_are_negotiated_by_name_in_the_clients_order() {
    let rig = Rig::new(&[]);
    for (offered, chosen) in [
        (
            "session.v2.jsonrpc, session.v1.jsonrpc",
            Some("session.v2.jsonrpc"),
        ),
        (
            "session.v1.jsonrpc, session.v2.jsonrpc",
            Some("session.v1.jsonrpc"),
        ),
        (
            "session.v9.jsonrpc, session.v1.jsonrpc",
            Some("session.v1.jsonrpc"),
        ),
        ("session.v9.jsonrpc", None),
    ] {
        let head = format!(
            "GET /session HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-version: 13\r\n\
             sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\nsec-websocket-protocol: {offered}\r\n\r\n"
        );
        let mut stream = rig.raw();
        stream.write_all(head.as_bytes()).unwrap();
        let mut answer = [0u8; 1024];
        let n = stream.read(&mut answer).unwrap();
        let answer = String::from_utf8_lossy(&answer[..n]).into_owned();
        match chosen {
            Some(chosen) => {
                assert!(
                    answer.starts_with("HTTP/1.1 101 ")
                        && answer.contains(&format!("sec-websocket-protocol: {chosen}\r\n")),
                    "{answer}"
                );
            }
            None => assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}"),
        }
    }
}
