//! Spoilt answers, whose stated length is too short: what is the viewer told?
#[path = "../stand-ins-2/kit.rs"]
mod kit;
use kit::*;
use std::sync::atomic::{AtomicU64, Ordering};

fn main() {
    begin(&std::env::args().nth(1).expect("a folder"));
    let asked: &'static AtomicU64 = Box::leak(Box::new(AtomicU64::new(0)));
    let answer = move |server: &Server, set_up: &SetUp| {
        std::thread::sleep(ms(20));
        let body = description(&server.name, &set_up.tag);
        let number = asked.fetch_add(1, Ordering::SeqCst) + 1;
        // Seven answers of 28; on both classes.
        if trouble() && number % 4 == 0 {
            let missing = [9, 1, 30][number as usize / 4 % 3];
            note(format!("{}: the length of the answer to {} is {missing} bytes too short", server.name, set_up.tag));
            return Reply::Spoilt(ok_answer(&set_up.tag, &body, body.len() - missing));
        }
        Reply::Ok
    };
    let servers: Vec<Server> = (1..=3).map(|n| Server::start(&format!("s-{n:08x}"), ms(3500), answer)).collect();
    let entries = servers.iter().enumerate().map(|(cell, server)| server.entry(cell as u16)).collect();
    let directory = Directory::start(entries, ms(2));
    let mut node = start_node(&Settings::new(3500, 1000), &directory);
    let mut viewer = Viewer::connect("viewer", node.address);
    viewer.echo();
    let mut broken = Vec::new();
    let mut served = 0;
    for number in 1..=28u64 {
        let id = tag(0x6000 + number);
        let (class, left) = if number % 3 != 0 { ("licensed-view", 4000) } else { ("preview", 5000) };
        viewer.start(&id, class, left, "");
        let answer = viewer.wait(ms(left + 550), |line| line.contains(&id) && (line.contains("STARTED") || line.contains("FINISH")));
        match answer {
            None => broken.push(format!("{id} ({class}) got no answer in its time")),
            Some((_, line)) if line.contains("STARTED") => {
                served += 1;
                let made: Vec<String> = servers.iter().map(|s| description(&s.name, &id).replace("\r\n", "\\r\\n")).collect();
                if !made.iter().any(|text| line.contains(&format!("\"blob\":\"{text}\""))) {
                    broken.push(format!("{id} ({class}) was answered 'served' with a description that no server made: {line}"));
                }
            }
            Some(_) => {}
        }
        std::thread::sleep(ms(250));
    }
    note(format!("served: {served} of 28"));
    if node.has_ended() {
        broken.push("the front node has ended".into());
    }
    verdict(&broken)
}
