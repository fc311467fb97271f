//! The directory is slow for a while, and a server drains: is it left in time once an answer that says so was sent?
#[path = "../stand-ins-2/kit.rs"]
mod kit;
use kit::*;
use std::time::{Duration, Instant};

const GRACE_MS: u64 = 250;
const SLOW: Duration = Duration::from_millis(4500);

fn main() {
    begin(&std::env::args().nth(1).expect("a folder"));
    let answer = |_: &Server, _: &SetUp| {
        std::thread::sleep(ms(20));
        Reply::Ok
    };
    let servers: Vec<Server> = (1..=3).map(|n| Server::start(&format!("s-{n:08x}"), ms(3500), answer)).collect();
    let entries = servers.iter().enumerate().map(|(cell, server)| server.entry(cell as u16)).collect();
    let directory = Directory::start(entries, ms(2));
    let mut node = start_node(&Settings::new(3500, GRACE_MS), &directory);
    let mut viewer = Viewer::connect("viewer", node.address);
    viewer.echo();
    let mut number = 0x9000;
    let began = Instant::now();
    // A viewer every 100 ms; sessions last 2 s.
    let mut open_until = |viewer: &mut Viewer, second: u64| {
        while began.elapsed() < Duration::from_secs(second) {
            number += 1;
            viewer.start(&tag(number), "preview", 5000, "");
            servers.iter().for_each(|server| server.end_older_than(ms(2000)));
            std::thread::sleep(ms(100));
        }
    };
    open_until(&mut viewer, 2);
    if trouble() {
        note(format!("directory: from now on each answer is sent {:.1} s after its query", SLOW.as_secs_f64()));
        directory.state.lock().expect("directory").latency = SLOW;
    }
    open_until(&mut viewer, 4);
    let drained = &servers[0];
    let happened = Instant::now();
    let event = directory.change(&format!("{} drains", drained.name), |entries| {
        entries.iter_mut().filter(|entry| entry.name == drained.name).for_each(|entry| entry.draining = true);
    });
    open_until(&mut viewer, 18);
    let Some(told) = directory.first_sent(event) else {
        note("no answer holds the event".into());
        finish(2)
    };
    // Lenient: the limit of 1.5 s after the event is not applied, only the answer that was sent.
    let limit = told + ms(GRACE_MS + 50);
    note(format!("event {event} happened at {:.3}, an answer that holds it was sent at {:.3}; set-ups are allowed until {:.3}", at(happened), at(told), at(limit)));
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
