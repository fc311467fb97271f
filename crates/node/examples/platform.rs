//! A platform to try a front node against: one stand-in server that sets everything up and one stand-in directory, on
//! loopback. Prints the node's configuration and stays in the foreground.
#[path = "../tests/rig/mod.rs"]
mod rig;
use rig::*;
use serde_json::json;
use std::io::Write;

fn main() -> std::io::Result<()> {
    let server = Server::start(1);
    let told = Told { serial: 1, lines: lines(std::slice::from_ref(&server)), spoilt: None };
    let directory = Directory::start(told);
    let instance = json!({"instanceId": server.name, "hostPort": server.address.to_string(), "zone": "east",
        "machineType": "std", "cell": 0, "lifecycle": "ready", "weight": 1, "startedAtMs": 0});
    let config = json!({"name": "n1", "listen": "127.0.0.1:3868", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "nameserver": directory.address.to_string(),
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"generation": 1, "reset": true,
            "instances": [instance]}}]},
        "settings": settings(0)});
    let mut out = std::io::stdout();
    writeln!(out, "{config}")?;
    out.flush()?;
    loop {
        let Some((conn, asked)) = server.look_for("SETUP") else {
            std::thread::sleep(std::time::Duration::from_millis(5));
            continue;
        };
        let (tag, made) = (session_of(&asked), format!("made for {}", asked.text().unwrap_or_default()));
        eprintln!("set up {tag}");
        server.send(conn, &stands(tag, &made));
    }
}
