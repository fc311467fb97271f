//! Support for tests of a front node's process: its command, its configuration, its directory and messages of its viewers.
#![allow(dead_code)] // Each test binary uses a part of it.
use crate::support::{folder, program, RunningProgram, TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;

pub(crate) fn node_command() -> Command {
    let mut command = program();
    command.arg("node").env_remove("NODE_CONFIG");
    command
}

pub(crate) fn start_node(config: &Path) -> RunningProgram {
    let mut command = node_command();
    command
        .env("NODE_CONFIG", config)
        .env("CRANKPADDLE_LOG", "info");
    RunningProgram::start(&mut command)
}

pub(crate) fn file(name: &str) -> PathBuf {
    folder("node").join(name)
}

pub(crate) fn write_config(path: &Path, config: &Value) {
    std::fs::write(path, config.to_string()).unwrap();
}

/// A valid configuration with the address of this socket as that of the directory.
pub(crate) fn config(directory: &UdpSocket) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 256},
        "nameserver": directory.local_addr().unwrap().to_string(),
        "known": {"seq": 0, "results": []},
        "settings": {"index": 0, "siblings": 1, "azs": ["east"], "kinds": ["std"],
            "services": [{"name": "preview", "aim": 800_000_000u64, "deadline": 4_000_000_000u64,
                "semantics": "free", "worth": 1.0}],
            "family-info": {"cells": 1, "cabinets": 1, "class-top": [1], "lowest-rung": [0], "rate-factor": [1.0],
                "fleet-kb": 6000.0, "kb-per-weight": 6000.0, "level-kb": [200.0, 400.0], "rung-worth": [0.3, 1.0],
                "places-by-kind": [20], "uplink-kb": 6000.0},
            "limits": {"attempts-cap": 4, "retry-after": true, "max-retry-after": 1_000_000_000u64},
            "rules": {"cold-share": 0.4, "cold": 1_000_000_000u64, "tip-multiple": 2.5, "fall": 1_000_000_000u64}}})
}

/// The socket of a directory that is polled and never answers.
pub(crate) fn directory() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket
}

pub(crate) fn wait_for_poll(directory: &UdpSocket, what: &str) {
    directory.recv(&mut [0u8; 512]).expect(what);
}

/// Discards the polls that were already received.
pub(crate) fn drain_polls(directory: &UdpSocket) {
    directory.set_nonblocking(true).unwrap();
    while directory.recv(&mut [0u8; 512]).is_ok() {}
    directory.set_nonblocking(false).unwrap();
}

pub(crate) fn send_line(viewer: &mut TcpStream, message: &Value) {
    viewer.write_all(format!("{message}\n").as_bytes()).unwrap();
}

pub(crate) fn read_line(viewer: &TcpStream) -> String {
    let mut line = String::new();
    BufReader::new(viewer).read_line(&mut line).unwrap();
    line
}

/// A set-up request that only a server of the configuration's known list can serve.
pub(crate) fn set_up_request() -> Value {
    json!({"verb": "START", "tag": "9b1f03aa5c7e2d41", "blob": "x", "opts": {"class": "preview",
        "left": "1500", "key": "7f3a9c21e0b4d655", "extras": "home:0;copies:1;top:1;viewer:00000000b4d65521"}})
}
