//! An idle connection to a server is reset, which the server notices only when it next sends: are the viewers told whose
//! release it sends there?
#[path = "../stand-ins-2/kit.rs"]
mod kit;
use kit::*;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One connection through a relay.
struct Link {
    /// The relay's port towards the server, by which the server knows the connection.
    port: u16,
    to_node: TcpStream,
    is_reset: Arc<AtomicBool>,
}

/// The way between the front node and one server.
#[derive(Clone)]
struct Relay {
    address: SocketAddr,
    links: Arc<Mutex<Vec<Link>>>,
}

impl Relay {
    fn start(server: SocketAddr) -> Relay {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let relay = Relay { address: listener.local_addr().expect("bound"), links: Arc::default() };
        let links = relay.links.clone();
        std::thread::spawn(move || {
            for node in listener.incoming().flatten() {
                let Ok(to_server) = TcpStream::connect(server) else { continue };
                let _ = (node.set_nodelay(true), to_server.set_nodelay(true));
                let is_reset = Arc::new(AtomicBool::new(false));
                let port = to_server.local_addr().expect("bound").port();
                links.lock().expect("links").push(Link { port, to_node: node.try_clone().expect("clone"), is_reset: is_reset.clone() });
                let (mut from_node, mut into_server) = (node.try_clone().expect("clone"), to_server.try_clone().expect("clone"));
                let reset = is_reset.clone();
                std::thread::spawn(move || {
                    let mut bytes = [0u8; 4096];
                    while let Ok(count) = from_node.read(&mut bytes) {
                        if count == 0 || into_server.write_all(&bytes[..count]).is_err() {
                            break;
                        }
                    }
                    // Nobody tells the server of a reset on the way.
                    if !reset.load(Ordering::SeqCst) {
                        let _ = into_server.shutdown(Shutdown::Both);
                    }
                });
                let (mut from_server, mut into_node) = (to_server, node);
                std::thread::spawn(move || {
                    let mut bytes = [0u8; 4096];
                    while let Ok(count) = from_server.read(&mut bytes) {
                        if is_reset.load(Ordering::SeqCst) {
                            // What the server sends now is answered by a reset.
                            note(format!("way: {count} bytes of the server come to a connection that was reset"));
                            reset_on_close(&from_server);
                            let _ = from_server.shutdown(Shutdown::Read);
                            break;
                        }
                        if count == 0 || into_node.write_all(&bytes[..count]).is_err() {
                            break;
                        }
                    }
                    let _ = into_node.shutdown(Shutdown::Both);
                });
            }
        });
        relay
    }

    /// Resets the connection with this port towards the front node. The server is not told.
    fn reset(&self, port: u16) -> bool {
        let mut links = self.links.lock().expect("links");
        let Some(position) = links.iter().position(|link| link.port == port) else { return false };
        let link = links.remove(position);
        link.is_reset.store(true, Ordering::SeqCst);
        reset_on_close(&link.to_node);
        let _ = link.to_node.shutdown(Shutdown::Both);
        true
    }
}

fn main() {
    begin(&std::env::args().nth(1).expect("a folder"));
    let answer = |_: &Server, _: &SetUp| {
        std::thread::sleep(ms(60));
        Reply::Ok
    };
    let servers: Vec<Server> = (1..=2).map(|n| Server::start(&format!("s-{n:08x}"), ms(3500), answer)).collect();
    let relays: Vec<Relay> = servers.iter().map(|server| Relay::start(server.address)).collect();
    let entries = servers.iter().zip(&relays).enumerate();
    let entries = entries.map(|(cell, (server, relay))| Entry { address: relay.address, ..server.entry(cell as u16) }).collect();
    let directory = Directory::start(entries, ms(2));
    let mut node = start_node(&Settings::new(3500, 1000), &directory);
    let mut viewer = Viewer::connect("viewer", node.address);
    viewer.echo();
    let mut number = 0xa000;
    let mut start = |viewer: &mut Viewer| {
        number += 1;
        let id = tag(number);
        viewer.start(&id, "preview", 5000, "");
        id
    };
    let answered = |viewer: &mut Viewer, id: &str| {
        viewer.wait(ms(5500), |line| line.contains(id) && (line.contains("STARTED") || line.contains("FINISH")))
    };
    // Three viewers at a time, so that the front node has several connections to each server; then one after the other.
    for _ in 0..4 {
        let ids: Vec<String> = (0..3).map(|_| start(&mut viewer)).collect();
        for id in &ids {
            answered(&mut viewer, id);
        }
    }
    for _ in 0..6 {
        let id = start(&mut viewer);
        answered(&mut viewer, &id);
    }
    // A connection on which a session was set up and nothing is under way, beside one that was used later.
    let found = servers.iter().zip(&relays).find_map(|(server, relay)| {
        let tags: Vec<String> = server.state.lock().expect("server").sessions.keys().cloned().collect();
        let latest = server.peer_port(tags.last()?)?;
        let idle = tags.iter().find(|tag| server.peer_port(tag).is_some_and(|port| port != latest))?;
        Some((server, relay, idle.clone(), server.peer_port(idle)?))
    });
    let Some((server, relay, id, port)) = found else {
        note("all sessions of each server are on one connection".into());
        finish(2)
    };
    note(format!("{}: {} connections; {id} was set up on one that is idle", server.name, server.connections()));
    if trouble() {
        note("way: that idle connection is reset towards the front node".into());
        if !relay.reset(port) {
            finish(2);
        }
    }
    std::thread::sleep(ms(700));
    server.release(&id, 16);
    let end = Instant::now();
    while end.elapsed() < Duration::from_secs(12) {
        let other = start(&mut viewer);
        answered(&mut viewer, &other);
        servers.iter().for_each(|server| server.end_older_than(ms(30_000)));
        std::thread::sleep(ms(400));
    }
    note(format!("connections: {:?}", servers.iter().map(Server::connections).collect::<Vec<_>>()));
    let mut broken = Vec::new();
    match viewer.finished(&id, ms(1)) {
        None => broken.push(format!("the viewer of {id} is not told {:.1} s after the release by the server", end.elapsed().as_secs_f64())),
        Some((when, _)) => {
            let after = when.saturating_duration_since(end);
            note(format!("{id}: released {:.3} s after its end", after.as_secs_f64()));
            if after > ms(8050) {
                broken.push(format!("the viewer of {id} is told after {:.3} s", after.as_secs_f64()));
            }
        }
    }
    if node.has_ended() {
        broken.push("the front node has ended".into());
    }
    verdict(&broken)
}
