//! A front node is stalled while a server drains: does it send set-ups there when it goes on?
#[path = "../stand-ins-2/kit.rs"]
mod kit;
use kit::*;
use std::time::{Duration, Instant};

const STALL: Duration = Duration::from_secs(4);
const GRACE_MS: u64 = 1000;

fn main() {
    begin(&std::env::args().nth(1).expect("a folder"));
    let answer = |_: &Server, _: &SetUp| {
        std::thread::sleep(ms(20));
        Reply::Ok
    };
    let servers: Vec<Server> = (1..=3).map(|n| Server::start(&format!("s-{n:08x}"), ms(3500), answer)).collect();
    let entries = servers.iter().enumerate().map(|(cell, server)| server.entry(cell as u16)).collect();
    let latency = std::env::var("LATENCY_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(2);
    let directory = Directory::start(entries, ms(latency));
    let mut node = start_node(&Settings::new(3500, GRACE_MS), &directory);
    let mut viewer = Viewer::connect("viewer", node.address);
    viewer.echo();
    let mut number = 0x9000;
    let mut open = |viewer: &mut Viewer| {
        number += 1;
        viewer.start(&tag(number), "preview", 5000, "");
    };
    // A second viewer every 100 ms, all the time.
    for _ in 0..20 {
        open(&mut viewer);
        std::thread::sleep(ms(100));
    }
    let drained = servers[0].clone();
    if trouble() {
        note("the front node is stalled".into());
        node.signal(STOP);
    }
    let stalled_at = Instant::now();
    std::thread::sleep(ms(200));
    let happened = Instant::now();
    let event = directory.change(&format!("{} drains", drained.name), |entries| {
        entries.iter_mut().filter(|entry| entry.name == drained.name).for_each(|entry| entry.draining = true);
    });
    while stalled_at.elapsed() < STALL {
        open(&mut viewer);
        std::thread::sleep(ms(100));
    }
    if trouble() {
        note("the front node goes on".into());
        node.signal(CONT);
    }
    let resumed_at = Instant::now();
    while resumed_at.elapsed() < Duration::from_secs(4) {
        open(&mut viewer);
        std::thread::sleep(ms(100));
    }
    let latest = happened + ms(1500);
    let told = directory.first_sent(event).map_or(latest, |sent| sent.min(latest));
    let limit = told + ms(GRACE_MS + 50);
    note(format!("event {event} happened at {:.3}, counts as told at {:.3}; set-ups are allowed until {:.3}", at(happened), at(told), at(limit)));
    let mut broken = Vec::new();
    for set_up in &drained.state.lock().expect("server").set_ups {
        if set_up.at > limit {
            broken.push(format!("{} sent to the draining {} at {:.3}, {:.3} s too late", set_up.tag, drained.name, at(set_up.at), (set_up.at - limit).as_secs_f64()));
        }
    }
    if node.has_ended() {
        broken.push("the front node has ended".into());
    }
    verdict(&broken)
}
