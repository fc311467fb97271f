//! A platform for trying out a front node on loopback: a test server that accepts every set-up, and a test directory. Prints
//! the node's configuration and runs until it is stopped.
#[path = "../tests/support/mod.rs"]
mod support;
use std::io::Write;
use support::{
    listed_servers, node_config, ok_response, session_id_of, DirectoryState, TestDirectory,
    TestServer,
};

fn main() -> std::io::Result<()> {
    let servers = [TestServer::start(1)];
    let directory = TestDirectory::start(DirectoryState {
        serial: 1,
        servers: listed_servers(&servers),
        fault: None,
    });
    let mut config = node_config(&servers, &directory);
    config["listen"] = "127.0.0.1:3868".into();
    let [server] = servers;
    let mut out = std::io::stdout();
    writeln!(out, "{config}")?;
    out.flush()?;
    loop {
        let Some((connection, request)) = server.try_take_request("SETUP") else {
            std::thread::sleep(std::time::Duration::from_millis(5));
            continue;
        };
        let (tag, description) = (
            session_id_of(&request),
            format!("made for {}", request.text().unwrap_or_default()),
        );
        eprintln!("set up {tag}");
        server.send(connection, &ok_response(tag, &description));
    }
}
