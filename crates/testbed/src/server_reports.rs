//! What a stand-in server sends to fronts on its own: short delivery, load of its links, counts of bytes and of traffic
//! between zones. Each message is late as configured, and further delayed, lost or duplicated where a scenario's fault
//! asks for it.
use crate::fault_mode::ResponseFault;
use crate::server::{lock, Fleet, Server};
use crankpaddle_front::jitter;
use crankpaddle_http::sse;
use crankpaddle_net::{clock, sleep, spawn, Stack, WriteBuffer};
use crankpaddle_server_protocol::event_stream::{
    self, CrossZoneRate, SessionUpdateMessage, TrafficCounts,
};
use crankpaddle_time::{nanoseconds, Time};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which a server checks what it has to send.
const TICK: Duration = Duration::from_millis(250);
/// Least time between two reports of short delivery.
const SHORT_DELIVERY_INTERVAL: Duration = Duration::from_secs(1);
/// Delivery is short where sessions get less than this part of their rates.
const SHORT_DELIVERY_SHARE: f64 = 0.98;

struct DelayedMessage {
    due: Time,
    front: String,
    bytes: Vec<u8>,
}

/// Messages that were sent but have not arrived yet.
#[derive(Default)]
struct DelayQueue {
    messages: Vec<DelayedMessage>,
    draw_count: u64,
}

impl DelayQueue {
    fn draw(&mut self) -> f64 {
        self.draw_count += 1;
        jitter(self.draw_count)
    }

    fn send(&mut self, due: Time, fault: ResponseFault, front: &str, bytes: &[u8]) {
        let copies = if self.draw() < fault.lost {
            0
        } else {
            1 + usize::from(self.draw() < fault.duplicated)
        };
        for _ in 0..copies {
            let longest = nanoseconds(fault.late) as f64;
            let delay = Duration::from_nanos((longest * (0.5 + 0.5 * self.draw())) as u64);
            self.messages.push(DelayedMessage {
                due: due + delay,
                front: front.to_owned(),
                bytes: bytes.to_vec(),
            });
        }
    }

    /// Takes out what is due, in the order of its times.
    fn take_due(&mut self, now: Time) -> Vec<DelayedMessage> {
        self.messages.sort_by_key(|message| message.due);
        let due_count = self.messages.partition_point(|message| message.due <= now);
        self.messages.drain(..due_count).collect()
    }
}

/// Load of a server's links: demand over bandwidth, and the part of their rates that sessions get.
struct LinkLoad {
    link: f64,
    uplink: f64,
    share: f64,
}

/// Sends the reports of one server.
struct Reporter {
    server: Arc<Server>,
    fleet: Arc<Fleet>,
    queue: DelayQueue,
    /// When short delivery was last reported.
    short_delivery_at: Time,
    /// When link load and traffic were last reported.
    load_at: Time,
}

impl Server {
    /// Rates at which it sends to other zones, by zone and class, bytes a second.
    fn cross_zone_rates(&self, fleet: &Fleet) -> Vec<CrossZoneRate> {
        let own_zone = &fleet.config.zones[fleet.zone(self.id)];
        let mut rates: BTreeMap<(String, usize), f64> = BTreeMap::new();
        for session in lock(&self.sessions).values() {
            if session.plays && !session.zone.is_empty() && session.zone != *own_zone {
                let kb = fleet.rate(session.class, session.rung);
                let key = (session.zone.clone(), session.class);
                *rates.entry(key).or_default() += kb * 1000.0;
            }
        }
        let named = |((to, class), rate): ((String, usize), f64)| {
            let class = fleet.config.classes[class].clone();
            CrossZoneRate { to, class, rate }
        };
        rates.into_iter().map(named).collect()
    }

    /// Media bytes sent, by name of the front's sessions.
    fn sent_bytes(&self, front: &str) -> Vec<(String, u64)> {
        let sessions = lock(&self.sessions);
        let of_front = sessions.iter().filter(|(_, s)| s.front == front && s.plays);
        of_front.map(|(name, s)| (name.clone(), s.bytes)).collect()
    }

    /// Starts to send reports, until the process of the test bed ends.
    pub(crate) fn notify_fronts(self: &Arc<Server>, fleet: &Arc<Fleet>) {
        let mut reporter = Reporter {
            server: self.clone(),
            fleet: fleet.clone(),
            queue: DelayQueue {
                draw_count: u64::from(self.id) << 32, // Why: each server draws a sequence of its own.
                ..DelayQueue::default()
            },
            short_delivery_at: Time::ZERO,
            load_at: Time::ZERO,
        };
        spawn(Stack::Usual, move || loop {
            sleep(TICK);
            reporter.tick();
        });
    }
}

impl Reporter {
    fn tick(&mut self) {
        if !self.server.up.load(Ordering::Acquire) || self.server.mode().vanished {
            self.queue.messages.clear();
            return;
        }
        let now = clock::now();
        let fault = self.server.mode().response_fault;
        let settings = &self.fleet.config.settings;
        let due = now + Duration::from_nanos(settings.update_delay);
        let load = self.link_load();
        let short_delivery_due = now >= self.short_delivery_at + SHORT_DELIVERY_INTERVAL;
        let reports_short_delivery = short_delivery_due && load.share < SHORT_DELIVERY_SHARE;
        let reports_load = now >= self.load_at + Duration::from_nanos(settings.update_interval);
        for (front, session) in self.session_of_each_front() {
            if !reports_short_delivery && !reports_load {
                continue;
            }
            let update = SessionUpdateMessage {
                session,
                delivered: reports_short_delivery.then_some(load.share),
                link: reports_load.then_some(load.link),
                uplink: reports_load.then_some(load.uplink),
                rung: None,
            };
            let message = event_stream::write("note", &update);
            self.queue.send(due, fault, &front, &message);
        }
        let streams = self.event_streams();
        if reports_short_delivery {
            self.short_delivery_at = now;
        }
        if reports_load {
            self.send_traffic(due, fault, &streams);
            self.load_at = now;
        }
        self.deliver(now, &streams);
    }

    fn link_load(&self) -> LinkLoad {
        let model = lock(&self.fleet.model);
        let server = self.server.id as usize;
        LinkLoad {
            link: model.link_demand(server),
            uplink: model.uplink_demand(server),
            share: model.share(server),
        }
    }

    /// For each front the first of its active sessions: an update names one.
    fn session_of_each_front(&self) -> BTreeMap<String, String> {
        let mut first_sessions: BTreeMap<String, String> = BTreeMap::new();
        for (name, session) in lock(&self.server.sessions).iter() {
            if session.plays {
                first_sessions
                    .entry(session.front.clone())
                    .or_insert_with(|| name.clone());
            }
        }
        first_sessions
    }

    fn event_streams(&self) -> Vec<(String, Arc<WriteBuffer>)> {
        let streams = lock(&self.server.event_streams);
        streams
            .iter()
            .map(|(front, stream)| (front.clone(), stream.clone()))
            .collect()
    }

    fn send_traffic(
        &mut self,
        due: Time,
        fault: ResponseFault,
        streams: &[(String, Arc<WriteBuffer>)],
    ) {
        let crossing = self.server.cross_zone_rates(&self.fleet);
        for (front, _) in streams {
            let traffic = TrafficCounts {
                sent: self.server.sent_bytes(front),
                crossing: crossing.clone(),
            };
            let message = event_stream::write("traffic", &traffic);
            self.queue.send(due, fault, front, &message);
        }
    }

    fn deliver(&mut self, now: Time, streams: &[(String, Arc<WriteBuffer>)]) {
        let due = self.queue.take_due(now);
        for (front, stream) in streams {
            stream.push(sse::HEARTBEAT);
            for message in due.iter().filter(|message| message.front == *front) {
                stream.push(&message.bytes);
            }
        }
    }
}
