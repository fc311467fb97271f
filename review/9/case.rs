//! A server dies while a front node starts: are the viewers told whose sessions the node is handed with `at`?
#[path = "../stand-ins-2/kit.rs"]
mod kit;
use kit::*;
use std::time::{Duration, Instant};

fn main() {
    begin(&std::env::args().nth(1).expect("a folder"));
    let answer = |_: &Server, _: &SetUp| {
        std::thread::sleep(ms(20));
        Reply::Ok
    };
    let servers: Vec<Server> = (1..=5).map(|n| Server::start(&format!("s-{n:08x}"), ms(3500), answer)).collect();
    let entries = servers.iter().enumerate().map(|(cell, server)| server.entry(cell as u16 % 4)).collect();
    let directory = Directory::start(entries, ms(2));
    // Sessions that play when the day begins: three at each server.
    let mut playing: Vec<(String, usize)> = Vec::new();
    for (index, server) in servers.iter().enumerate() {
        for number in 0..3u64 {
            let id = tag(0x8000 + 16 * index as u64 + number);
            server.state.lock().expect("server").sessions.insert(id.clone(), 0);
            playing.push((id, index));
        }
    }
    let mut node = start_node(&Settings::new(3500, 1000), &directory);
    // Clients come once all front nodes are ready; this one is, 2 s before the last.
    let ready_at = Instant::now();
    std::thread::sleep(ms(500));
    let died_at = Instant::now();
    if trouble() {
        // One of five servers dies, which the directory notices a second later.
        servers[0].kill();
        std::thread::sleep(ms(1000));
        let name = servers[0].name.clone();
        directory.change(&format!("{name} is gone"), |entries| entries.retain(|entry| entry.name != name));
    }
    std::thread::sleep(ms(2000).saturating_sub(ready_at.elapsed()));
    // The first test, and the set-ups of the start as soon as it has been passed.
    let mut viewer = Viewer::connect("viewer", node.address);
    viewer.echo();
    for (id, index) in &playing {
        viewer.start(id, "preview", 5000, &format!(";at:{}", servers[*index].name));
    }
    let handed_at = Instant::now();
    // Usual viewers come as well.
    for number in 0..30u64 {
        let id = tag(0x8800 + number);
        viewer.start(&id, "preview", 5000, "");
        std::thread::sleep(ms(300));
    }
    while handed_at.elapsed() < Duration::from_secs(11) {
        std::thread::sleep(ms(50));
    }
    let mut broken = Vec::new();
    for (id, index) in &playing {
        let is_over = trouble() && *index == 0;
        let released = viewer.finished(id, ms(1));
        match (is_over, released) {
            (true, None) => broken.push(format!(
                "the viewer of {id} is not told {:.1} s after the end, and {:.1} s after the front node was handed the session",
                died_at.elapsed().as_secs_f64(), handed_at.elapsed().as_secs_f64())),
            (true, Some((when, _))) => {
                // What a front node receives with `at` counts for its rules 0.2 s later.
                let after = when.saturating_duration_since(handed_at);
                note(format!("{id}: released {:.3} s after the front node was handed it", after.as_secs_f64()));
                if after > ms(8250) {
                    broken.push(format!("the viewer of {id} is told after {:.3} s", after.as_secs_f64()));
                }
            }
            (false, Some(_)) => broken.push(format!("{id} was ended although it plays")),
            (false, None) => {
                servers[*index].release(id, 16);
                if viewer.finished(id, ms(1050)).is_none() {
                    broken.push(format!("the viewer of {id} is not told of its end within 1 s"));
                }
            }
        }
    }
    if node.has_ended() {
        broken.push("the front node has ended".into());
    }
    verdict(&broken)
}
