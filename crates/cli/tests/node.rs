//! The front node's process as the platform starts it: configuration, signals, exit status, and the resources it uses.
mod node_harness;
mod support;

use node_harness::{
    config, directory, drain_polls, file, node_command, read_line, send_line, set_up_request,
    start_node, wait_for_poll, write_config,
};
use procfs::net::TcpState;
use procfs::process::{FDTarget, Process};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};
use support::{text, RunningProgram};

/// Runs a node that must not start: it exits with status 2 and prints nothing on standard output. Returns its one line on
/// standard error.
fn rejection(command: &mut Command) -> String {
    let output = command.output().unwrap();
    let stderr = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert_eq!(output.stdout.len(), 0, "{stderr}");
    stderr
}

#[test]
fn a_missing_or_invalid_configuration_is_rejected_with_one_line_and_status_2() {
    let absent = file("absent.json");
    let broken = file("broken.json");
    std::fs::write(&broken, "{\"name\":").unwrap();
    let incomplete = file("incomplete.json");
    let mut config_without_cells = config(&directory());
    config_without_cells["settings"]["family-info"]
        .as_object_mut()
        .unwrap()
        .remove("cells");
    write_config(&incomplete, &config_without_cells);

    let with_config = |path: &Path| rejection(node_command().arg("--config").arg(path));

    assert!(rejection(&mut node_command()).contains("NODE_CONFIG"));
    assert!(with_config(&absent).contains("absent.json"));
    assert!(with_config(&broken).contains("broken.json"));
    assert!(with_config(&incomplete).contains("cells"));
}

#[test]
fn hup_changes_the_directory_an_invalid_file_changes_nothing_and_term_ends_with_status_0() {
    let first = directory();
    let second = directory();
    let path = file("node.json");
    write_config(&path, &config(&first));
    let mut node = start_node(&path);
    wait_for_poll(&first, "the directory is polled");

    write_config(&path, &config(&second));
    node.signal(Signal::HUP);
    node.wait_for_log("reloaded");
    wait_for_poll(&second, "the new directory is polled");

    std::fs::write(&path, "{").unwrap();
    node.signal(Signal::HUP);
    assert!(node.wait_for_log("not reloaded").contains("node.json"));
    drain_polls(&second);
    wait_for_poll(&second, "the new directory is still polled");

    assert_rejects_set_up_with_retry_after(&node);
    node.signal(Signal::TERM);
    assert_eq!(node.wait_for_exit().code(), Some(0));
}

/// Checks that a set-up is rejected at once with a retry-after time, because no known server has its title.
fn assert_rejects_set_up_with_retry_after(node: &RunningProgram) {
    let mut viewer = node.connect();
    send_line(&mut viewer, &set_up_request());
    let answer: Value = serde_json::from_str(&read_line(&viewer)).unwrap();
    assert_eq!(&answer["verb"], &json!("FINISH"));
    assert_eq!(&answer["rc"], &json!(34));
    assert_eq!(answer["opts"]["wait"], "1000");
}

/// A node with one viewer, whose set-up is pending at one server, and with a directory that was changed by a reload.
struct BusyNode {
    node: RunningProgram,
    server: TcpListener,
    directory: UdpSocket,
    store: PathBuf,
    _viewer: TcpStream,
    _server_connection: TcpStream,
}

impl BusyNode {
    fn start() -> BusyNode {
        let first = directory();
        let second = directory();
        let server = TcpListener::bind("127.0.0.1:0").unwrap();
        let path = file("one-process.json");
        let store = file("no-store").with_extension("d");
        let mut config = config(&first);
        config["known"] = json!({"seq": 1, "results": [{"seq": 1, "fleet": {"generation": 1, "reset": true, "instances": [
            {"instanceId": "s-00c41f7a", "hostPort": server.local_addr().unwrap().to_string(), "zone": "east",
            "machineType": "std", "cell": 0, "lifecycle": "ready", "weight": 1, "startedAtMs": 0}]}}]});
        // These fields belong to the configuration of a front. A node ignores them, so they must not enable anything.
        config["peers"] = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": ["127.0.0.1:9"]});
        config["store"] =
            json!({"name": "n1", "dir": store.to_string_lossy(), "key_file": "/dev/null"});
        write_config(&path, &config);
        let node = start_node(&path);
        let mut viewer = node.connect();
        send_line(&mut viewer, &set_up_request());
        let (server_connection, _) = server.accept().unwrap(); // The connection of the set-up, which is never answered.
        config["nameserver"] = json!(second.local_addr().unwrap().to_string());
        write_config(&path, &config);
        node.signal(Signal::HUP);
        wait_for_poll(&second, "the new directory is polled");
        BusyNode {
            node,
            server,
            directory: second,
            store,
            _viewer: viewer,
            _server_connection: server_connection,
        }
    }
}

fn assert_linked_to_the_c_library(process: &Process) {
    let maps: Vec<String> = process
        .maps()
        .unwrap()
        .iter()
        .map(|map| format!("{:?}", map.pathname))
        .collect();
    assert!(
        maps.iter().any(|map| map.contains("libc.so")),
        "the C library is not linked dynamically: {maps:?}"
    );
}

fn assert_no_child_process(pid: i32) {
    let children: Vec<String> = procfs::process::all_processes()
        .unwrap()
        .filter_map(|process| process.ok()?.stat().ok())
        .filter(|stat| stat.ppid == pid)
        .map(|stat| stat.comm)
        .collect();
    assert!(
        children.is_empty(),
        "the node has child processes: {children:?}"
    );
}

/// Returns the inodes of the node's open sockets. Fails if a descriptor can't be read or belongs to io_uring.
fn open_sockets_without_io_uring(process: &Process) -> Vec<u64> {
    let mut sockets = Vec::new();
    for descriptor in process.fd().unwrap() {
        match descriptor.unwrap().target {
            FDTarget::Socket(inode) => sockets.push(inode),
            FDTarget::AnonInode(kind) => assert!(!kind.contains("io_uring"), "{kind}"),
            _ => {}
        }
    }
    sockets
}

/// Checks that the TCP sockets are one listener, one connection to the server and one connection of the viewer.
fn assert_tcp_sockets(process: &Process, open: &[u64], listen: SocketAddr, server: SocketAddr) {
    let mut listeners = 0;
    let mut server_connections = 0;
    let mut viewer_connections = 0;
    for socket in process.tcp().unwrap() {
        if !open.contains(&socket.inode) {
            continue;
        }
        match socket.state {
            TcpState::Listen if socket.local_address == listen => listeners += 1,
            _ if socket.remote_address == server => server_connections += 1,
            _ if socket.local_address == listen => viewer_connections += 1,
            _ => panic!("an unexpected TCP socket: {socket:?}"),
        }
    }
    assert_eq!(
        (listeners, server_connections, viewer_connections),
        (1, 1, 1)
    );
}

fn assert_udp_only_to(process: &Process, open: &[u64], directory: SocketAddr) {
    let remotes: Vec<SocketAddr> = process
        .udp()
        .unwrap()
        .into_iter()
        .filter(|socket| open.contains(&socket.inode))
        .map(|socket| socket.remote_address)
        .collect();
    assert_eq!(
        remotes,
        [directory],
        "one socket, connected to the directory alone"
    );
}

fn assert_no_ipv6(process: &Process, open: &[u64]) {
    let tcp = process.tcp6().unwrap().into_iter().map(|tcp| tcp.inode);
    let udp = process.udp6().unwrap().into_iter().map(|udp| udp.inode);
    let inodes: Vec<u64> = tcp.chain(udp).collect();
    assert!(
        !inodes.iter().any(|inode| open.contains(inode)),
        "there is a socket over IPv6"
    );
}

/// Checks that no Unix socket has a name. The signal handler uses an unnamed pair of sockets, to which nothing can connect.
fn assert_no_named_unix_socket(process: &Process, open: &[u64]) {
    let named = process
        .unix()
        .unwrap()
        .into_iter()
        .filter(|socket| open.contains(&socket.inode) && socket.path.is_some());
    assert_eq!(named.count(), 0, "there is a Unix socket with a name");
}

/// Checks the platform's requirements on the process (`docs/front-node.md`): one process, the C library linked dynamically,
/// and TCP and UDP over IPv4 only at known addresses. Guards against any other resource that `node` may open, such as another
/// listener, a socket for peers or a child process.
#[test]
fn the_node_is_one_process_that_opens_only_the_required_sockets() {
    let busy = BusyNode::start();

    let process = busy.node.process();
    assert_linked_to_the_c_library(&process);
    assert_no_child_process(busy.node.pid());
    let open = open_sockets_without_io_uring(&process);
    let listen = busy.node.address.parse().unwrap();
    assert_tcp_sockets(&process, &open, listen, busy.server.local_addr().unwrap());
    assert_udp_only_to(&process, &open, busy.directory.local_addr().unwrap());
    assert_no_ipv6(&process, &open);
    assert!(!busy.store.exists(), "the node created a store");
    assert_no_named_unix_socket(&process, &open);
}

/// A started node, and the time until it answered its first health check.
struct ReadyNode {
    node: RunningProgram,
    took: Duration,
}

fn start_and_check(config: &Path) -> ReadyNode {
    let started_at = Instant::now();
    let node = start_node(config);
    let mut viewer = node.connect();
    let health_check = json!({"verb": "ECHO", "tag": "00000000000000ff", "opts": {}, "rc": 0});
    send_line(&mut viewer, &health_check);
    let line = read_line(&viewer);
    assert!(line.contains("ECHOED"), "{line}");
    ReadyNode {
        node,
        took: started_at.elapsed(),
    }
}

fn start_all_at_once(configs: &[PathBuf]) -> Vec<ReadyNode> {
    std::thread::scope(|scope| {
        let starting: Vec<_> = configs
            .iter()
            .map(|config| scope.spawn(move || start_and_check(config)))
            .collect();
        starting
            .into_iter()
            .map(|ready| ready.join().unwrap())
            .collect()
    })
}

/// Measures how long a fleet takes to be ready again when all its processes are killed and started at the same time.
#[test]
fn nine_in_ten_of_thirty_restarted_processes_are_ready_within_ten_seconds() {
    const NODES: usize = 30;
    let directory = directory();
    let mut configs = Vec::new();
    for index in 0..NODES {
        let path = file(&format!("fleet-{index}.json"));
        let mut config = config(&directory);
        config["name"] = json!(format!("n{index}"));
        write_config(&path, &config);
        configs.push(path);
    }

    for ready in start_all_at_once(&configs) {
        drop(ready.node); // Kills it.
    }
    let restarted = start_all_at_once(&configs);

    let mut took: Vec<Duration> = restarted.iter().map(|ready| ready.took).collect();
    took.sort_unstable();
    println!(
        "ready after: median {:?}, nine in ten {:?}, last {:?}",
        took[NODES / 2],
        took[NODES * 9 / 10 - 1],
        took[NODES - 1]
    );
    assert!(
        took[NODES * 9 / 10 - 1] < Duration::from_secs(10),
        "{took:?}"
    );
}
