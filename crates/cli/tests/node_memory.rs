//! The memory of a front node's process while clients send at full speed, with the least memory that the platform gives.
mod node_harness;
mod support;

use node_harness::{config, directory, file, send_line, set_up_request, start_node, write_config};
use procfs::process::Process;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::{RunningProgram, TIMEOUT};

const MEMORY_MB: u64 = 32;
const FLOODING_CLIENTS: usize = 24;
const FLOOD_DURATION: Duration = Duration::from_secs(1);
const BYTES_PER_KB: u64 = 1024;
/// How long a usual viewer waits for its answer, in milliseconds.
const MAX_WAIT_MS: u64 = 4000;
/// An answer that is later than this after its time is lost.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// A client that sends the same lines at full speed, and reads and discards whatever it is sent.
struct FloodingClient {
    stream: TcpStream,
    writer: JoinHandle<()>,
    reader: JoinHandle<()>,
}

impl FloodingClient {
    fn start(node: &RunningProgram, line: &str, should_stop: Arc<AtomicBool>) -> FloodingClient {
        let stream = node.connect();
        let mut output = stream.try_clone().unwrap();
        let mut input = stream.try_clone().unwrap();
        let lines = line.repeat(30_000 / line.len());
        FloodingClient {
            stream,
            writer: std::thread::spawn(move || {
                while !should_stop.load(Ordering::Relaxed)
                    && output.write_all(lines.as_bytes()).is_ok()
                {}
            }),
            reader: std::thread::spawn(move || {
                let mut bytes = vec![0u8; 65_536];
                while matches!(input.read(&mut bytes), Ok(count) if count > 0) {}
            }),
        }
    }

    fn stop(self) {
        let _ = self.stream.shutdown(Shutdown::Both); // The node may have closed it.
        self.writer.join().unwrap();
        self.reader.join().unwrap();
    }
}

/// Sends a set-up on a new connection, and returns the verb of the answer.
fn ask(node: &RunningProgram, number: u64) -> Value {
    let mut viewer = node.connect();
    viewer.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut request = set_up_request();
    request["tag"] = json!(format!("{number:016x}"));
    request["opts"]["left"] = json!(MAX_WAIT_MS.to_string());
    let sent_at = Instant::now();
    send_line(&mut viewer, &request);
    let mut answer = String::new();
    BufReader::new(&viewer).read_line(&mut answer).unwrap();
    let waited = sent_at.elapsed();
    let max_wait = Duration::from_millis(MAX_WAIT_MS) + MAX_DELAY;
    assert!(waited <= max_wait, "answered after {waited:?}: {answer:?}");
    serde_json::from_str::<Value>(&answer).unwrap()["verb"].clone()
}

fn line(value: &Value) -> String {
    format!("{value}\n")
}

/// Guards against a queue of messages that were read and are not handled: 24 clients filled 192 MB within 2 s.
#[test]
fn clients_at_full_speed_fill_no_memory_with_any_message_and_usual_viewers_are_answered() {
    let directory = directory();
    let path = file("memory.json");
    let mut config = config(&directory);
    config["limits"]["memory_mb"] = MEMORY_MB.into();
    write_config(&path, &config);
    let node = start_node(&path);
    let process = Process::new(node.pid()).unwrap();
    let mut unknown_class = set_up_request();
    unknown_class["opts"]["class"] = "gold".into();
    let tag = "9b1f03aa5c7e2d41";
    let many_fields: BTreeMap<String, u32> = (0..100).map(|n| (n.to_string(), n)).collect();
    let floods = [
        ("a set-up of an unknown class", line(&unknown_class)),
        (
            "a set-up without fields",
            line(&json!({"verb": "START", "tag": tag})),
        ),
        (
            "a set-up with an unusable field",
            line(&json!({"verb": "START", "tag": tag, "opts": {"key": 1}})),
        ),
        (
            "a set-up with many fields",
            line(&json!({"verb": "START", "tag": tag, "opts": many_fields})),
        ),
        (
            "an echo",
            line(&json!({"verb": "ECHO", "tag": tag, "rc": 0})),
        ),
        (
            "a cancel",
            line(&json!({"verb": "FINISH", "tag": tag, "rc": 16})),
        ),
        ("a notice", line(&json!({"verb": "NOTICE", "tag": tag}))),
    ];
    let mut number = 0;
    for (name, line) in floods {
        let should_stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<FloodingClient> = (0..FLOODING_CLIENTS)
            .map(|_| FloodingClient::start(&node, &line, should_stop.clone()))
            .collect();
        let started_at = Instant::now();
        while started_at.elapsed() < FLOOD_DURATION {
            number += 1;
            assert_eq!(ask(&node, number), "FINISH", "{name}");
        }
        should_stop.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(FloodingClient::stop);
        let peak_mb = process.status().unwrap().vmhwm.unwrap() / BYTES_PER_KB;
        assert!(peak_mb <= MEMORY_MB, "{name}: {peak_mb} MB");
    }
}

/// A client that sends a long line again and again, as fast as the node reads it, and reads nothing.
struct UnreadingClient {
    stream: TcpStream,
    /// How much of the line was sent.
    sent: usize,
}

impl UnreadingClient {
    fn connect(node: &RunningProgram) -> UnreadingClient {
        let stream = node.connect();
        stream.set_nonblocking(true).unwrap();
        UnreadingClient { stream, sent: 0 }
    }

    /// Sends what the kernel accepts of the rest of the line. Fails silently once the node has closed the connection.
    fn send(&mut self, line: &[u8]) {
        if let Ok(count) = self.stream.write(&line[self.sent..]) {
            self.sent = (self.sent + count) % line.len();
        }
    }
}

/// Guards against clients that together make the node buffer more than its memory: 480 connections, as many as 1,024 descriptors allow,
/// with set-ups of very many short fields.
#[test]
fn hundreds_of_clients_with_many_short_fields_stay_within_the_memory() {
    const CLIENTS: usize = 480;
    const THREADS: usize = 4;
    let directory = directory();
    let path = file("many-clients.json");
    let mut config = config(&directory);
    config["limits"]["memory_mb"] = MEMORY_MB.into();
    config["limits"]["sockets"] = 1024.into();
    write_config(&path, &config);
    let node = start_node(&path);
    let process = Process::new(node.pid()).unwrap();
    let fields: BTreeMap<String, String> = (0..1100)
        .map(|number| (format!("a{number:x}"), format!("{number:x}")))
        .collect();
    let tag = "9b1f03aa5c7e2d41";
    let line = line(&json!({"verb": "START", "tag": tag, "opts": fields}));
    let mut clients: Vec<UnreadingClient> = (0..CLIENTS)
        .map(|_| UnreadingClient::connect(&node))
        .collect();
    std::thread::scope(|scope| {
        for clients in clients.chunks_mut(CLIENTS / THREADS) {
            let line = &line;
            scope.spawn(move || {
                let started_at = Instant::now();
                while started_at.elapsed() < 3 * FLOOD_DURATION {
                    clients
                        .iter_mut()
                        .for_each(|client| client.send(line.as_bytes()));
                }
            });
        }
    });
    assert_eq!(ask(&node, 1), "FINISH");
    let peak_mb = process.status().unwrap().vmhwm.unwrap() / BYTES_PER_KB;
    assert!(peak_mb <= MEMORY_MB, "{peak_mb} MB");
}
