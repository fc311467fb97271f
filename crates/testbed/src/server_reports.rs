//! What a stand-in server tells fronts unasked: short delivery, links, counts of bytes and of what crosses; each as late
//! as the configuration says, and later, lost or doubled where a day's script says so.
use crate::fault_mode::ResponseFault;
use crate::server::{lock, Fleet, Server};
use crankpaddle_front::jitter;
use crankpaddle_http::sse;
use crankpaddle_net::{clock, sleep, spawn, Stack};
use crankpaddle_server_protocol::event_stream::{
    self, CrossZoneRate, SessionUpdateMessage, TrafficCounts,
};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const MILLISECOND: u64 = 1_000_000;
const TICK: Duration = Duration::from_millis(250);

/// Words on their way: when each is due, for which front, and its bytes.
#[derive(Default)]
struct OnTheWay {
    words: Vec<(u64, String, Vec<u8>)>,
    drawn: u64,
}

impl OnTheWay {
    fn dice(&mut self) -> f64 {
        self.drawn += 1;
        jitter(self.drawn)
    }

    fn send(&mut self, due: u64, astray: ResponseFault, front: &str, bytes: &[u8]) {
        let copies = if self.dice() < astray.lost {
            0
        } else {
            1 + usize::from(self.dice() < astray.duplicated)
        };
        for _ in 0..copies {
            let later = (astray.late as f64 * (0.5 + 0.5 * self.dice())) as u64;
            self.words
                .push((due + later, front.to_owned(), bytes.to_vec()));
        }
    }

    /// What is due, in the order of its times.
    fn due(&mut self, now: u64) -> Vec<(String, Vec<u8>)> {
        self.words.sort_by_key(|(at, ..)| *at);
        let still = self.words.partition_point(|(at, ..)| *at <= now);
        self.words
            .drain(..still)
            .map(|(_, front, bytes)| (front, bytes))
            .collect()
    }
}

impl Server {
    /// What it sends across to each zone and class, bytes a second at the rungs in force.
    fn crossing(&self, fleet: &Fleet) -> Vec<CrossZoneRate> {
        let own = &fleet.config.zones[fleet.zone(self.id)];
        let mut rates: BTreeMap<(String, usize), f64> = BTreeMap::new();
        for session in lock(&self.sessions).values() {
            if session.plays && !session.zone.is_empty() && session.zone != *own {
                let kb = fleet.rate(session.class, session.rung);
                *rates
                    .entry((session.zone.clone(), session.class))
                    .or_default() += kb * 1000.0;
            }
        }
        let named = |((to, class), rate): ((String, usize), f64)| {
            let class = fleet.config.classes[class].clone();
            CrossZoneRate { to, class, rate }
        };
        rates.into_iter().map(named).collect()
    }

    fn sent(&self, front: &str) -> Vec<(String, u64)> {
        let sessions = lock(&self.sessions);
        let of_front = sessions.iter().filter(|(_, s)| s.front == front && s.plays);
        of_front.map(|(name, s)| (name.clone(), s.bytes)).collect()
    }

    /// Tells until the process ends.
    pub(crate) fn notify_fronts(self: &Arc<Server>, fleet: &Arc<Fleet>) {
        let (server, fleet) = (self.clone(), fleet.clone());
        spawn(Stack::Usual, move || {
            let s = &fleet.config.settings;
            let mut words = OnTheWay {
                drawn: u64::from(server.id) << 32,
                ..OnTheWay::default()
            };
            let (mut delivered_at, mut link_at) = (0u64, 0u64);
            loop {
                sleep(TICK);
                if !server.up.load(Ordering::Acquire) || server.mode().vanished {
                    words.words.clear();
                    continue;
                }
                let (now, astray) = (clock::now(), server.mode().response_fault);
                let due = now + s.update_delay;
                let (link, uplink, share) = {
                    let model = lock(&fleet.model);
                    let n = server.id as usize;
                    (model.link_demand(n), model.uplink_demand(n), model.share(n))
                };
                let mut of_front: BTreeMap<String, String> = BTreeMap::new();
                for (name, session) in lock(&server.sessions).iter().filter(|(_, s)| s.plays) {
                    of_front
                        .entry(session.front.clone())
                        .or_insert_with(|| name.clone());
                }
                let short = now >= delivered_at + 1000 * MILLISECOND && share < 0.98;
                let notify_fronts = now >= link_at + s.update_interval;
                for (front, session) in of_front {
                    let update = SessionUpdateMessage {
                        session,
                        delivered: short.then_some(share),
                        link: notify_fronts.then_some(link),
                        uplink: notify_fronts.then_some(uplink),
                        rung: None,
                    };
                    if short || notify_fronts {
                        words.send(due, astray, &front, &event_stream::write("note", &update));
                    }
                }
                let streams: Vec<_> = lock(&server.notes)
                    .iter()
                    .map(|(f, o)| (f.clone(), o.clone()))
                    .collect();
                if notify_fronts {
                    let crossing = server.crossing(&fleet);
                    for (front, _) in &streams {
                        let traffic = TrafficCounts {
                            sent: server.sent(front),
                            crossing: crossing.clone(),
                        };
                        words.send(
                            due,
                            astray,
                            front,
                            &event_stream::write("traffic", &traffic),
                        );
                    }
                }
                delivered_at = if short { now } else { delivered_at };
                link_at = if notify_fronts { now } else { link_at };
                let due = words.due(now);
                for (front, outbox) in streams {
                    outbox.push(sse::HEARTBEAT);
                    for (_, bytes) in due.iter().filter(|(to, _)| *to == front) {
                        outbox.push(bytes);
                    }
                }
            }
        });
    }
}
