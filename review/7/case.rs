//! A machine vanishes with its sessions, the list drops it, and it returns cold under its id: are its viewers told?
#[path = "../stand-ins-2/kit.rs"]
mod kit;
use kit::*;
use std::time::{Duration, Instant};

const OUTAGE: Duration = Duration::from_millis(4500);

fn main() {
    begin(&std::env::args().nth(1).expect("a folder"));
    let answer = |_: &Server, _: &SetUp| {
        std::thread::sleep(ms(20));
        Reply::Ok
    };
    let servers: Vec<Server> = (1..=4).map(|n| Server::start(&format!("s-{n:08x}"), ms(4800), answer)).collect();
    let entries = servers.iter().enumerate().map(|(cell, server)| server.entry(cell as u16)).collect();
    let directory = Directory::start(entries, ms(2));
    let mut node = start_node(&Settings::new(4800, 2000), &directory);
    let mut viewer = Viewer::connect("viewer", node.address);
    viewer.echo();
    let lost = servers[0].clone();
    let mut number = 0x7000;
    let mut open = |viewer: &mut Viewer| {
        number += 1;
        let id = tag(number);
        viewer.start(&id, "preview", 5000, "");
        let answer = viewer.wait(ms(5500), |line| line.contains(&id) && (line.contains("STARTED") || line.contains("FINISH")));
        (id, answer)
    };
    let mut broken = Vec::new();
    // At least three sessions at the server, and the last message of the server just received.
    loop {
        let (id, _) = open(&mut viewer);
        let state = lost.state.lock().expect("server");
        if state.sessions.len() >= 3 && state.sessions.contains_key(&id) {
            break;
        }
        drop(state);
        std::thread::sleep(ms(100));
    }
    let there: Vec<String> = lost.state.lock().expect("server").sessions.keys().cloned().collect();
    note(format!("sessions at {}: {there:?}", lost.name));
    let vanished_at = Instant::now();
    if trouble() {
        lost.vanish();
        directory.change(&format!("{} is gone", lost.name), |entries| entries.retain(|entry| entry.name != lost.name));
    }
    // Viewers come all the time, every 400 ms.
    while vanished_at.elapsed() < OUTAGE {
        std::thread::sleep(ms(300));
        open(&mut viewer);
    }
    if trouble() {
        lost.come_back();
        let mut entry = lost.entry(0);
        entry.started_ms = unix_ms();
        directory.change(&format!("{} is ready, started {}", lost.name, entry.started_ms), |entries| entries.push(entry));
    }
    while vanished_at.elapsed() < Duration::from_secs(14) {
        std::thread::sleep(ms(300));
        open(&mut viewer);
    }
    if trouble() {
        for id in &there {
            match viewer.finished(id, ms(1)) {
                None => broken.push(format!("the viewer of {id} is not told after {:.1} s that its session is over", vanished_at.elapsed().as_secs_f64())),
                Some((when, _)) => {
                    let after = when.saturating_duration_since(vanished_at);
                    note(format!("{id}: released {:.3} s after the end", after.as_secs_f64()));
                    if after > ms(8050) {
                        broken.push(format!("the viewer of {id} is told after {:.3} s", after.as_secs_f64()));
                    }
                }
            }
        }
    } else {
        // Without the disruption the sessions go on, and an end at the server reaches the viewer within 1 s.
        for id in &there {
            if viewer.finished(id, ms(1)).is_some() {
                broken.push(format!("{id} was ended although it plays"));
            }
            lost.release(id, 16);
            if viewer.finished(id, ms(1050)).is_none() {
                broken.push(format!("the viewer of {id} is not told of its end within 1 s"));
            }
        }
    }
    if node.has_ended() {
        broken.push("the front node has ended".into());
    }
    verdict(&broken)
}
