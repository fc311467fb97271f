//! The messages that a simulated server sends to fronts without a request: short delivery, load of its link and uplink, counts
//! of bytes, and rates of cross-zone traffic. Each message has the configured delay. A scenario's fault can further delay,
//! lose or duplicate it.
use crate::fault_mode::ResponseFault;
use crate::server::{lock, SimulatedFleet, SimulatedServer};
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

/// Interval at which a server checks which messages it has to send.
const TICK: Duration = Duration::from_millis(250);
/// Minimum time between two reports of short delivery.
const SHORT_DELIVERY_INTERVAL: Duration = Duration::from_secs(1);
/// Delivery is short where sessions get less than this fraction of their rates.
const SHORT_DELIVERY_SHARE: f64 = 0.98;

/// A message on its way to a front.
struct DelayedMessage {
    due: Time,
    front: String,
    bytes: Vec<u8>,
}

/// Messages that a server has sent but that have not arrived at their fronts yet.
#[derive(Default)]
struct DelayQueue {
    messages: Vec<DelayedMessage>,
    /// Number of random draws so far, plus an offset that differs from server to server.
    draw_count: u64,
}

impl DelayQueue {
    fn draw(&mut self) -> f64 {
        self.draw_count += 1;
        jitter(self.draw_count)
    }

    /// Sends a message that arrives at `due` unless the fault changes that. The extra delay of a fault is from half of
    /// `fault.late` to all of it.
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

    /// Removes and returns the messages that are due, sorted by time.
    fn take_due(&mut self, now: Time) -> Vec<DelayedMessage> {
        self.messages.sort_by_key(|message| message.due);
        let due_count = self.messages.partition_point(|message| message.due <= now);
        self.messages.drain(..due_count).collect()
    }
}

/// Load of a server's link and uplink as demand over bandwidth, and the fraction of their rates that its sessions get.
struct LinkLoad {
    link: f64,
    uplink: f64,
    share: f64,
}

/// Sends the reports of one server.
struct Reporter {
    server: Arc<SimulatedServer>,
    fleet: Arc<SimulatedFleet>,
    queue: DelayQueue,
    /// When short delivery was reported the last time.
    short_delivery_at: Time,
    /// When load and traffic were reported the last time.
    load_at: Time,
}

impl SimulatedServer {
    /// Rates at which the server sends to other zones, by zone and class, bytes a second.
    fn cross_zone_rates(&self, fleet: &SimulatedFleet) -> Vec<CrossZoneRate> {
        let own_zone = &fleet.config.zones[fleet.zone(self.id)];
        let mut rates: BTreeMap<(String, usize), f64> = BTreeMap::new();
        for session in lock(&self.sessions).values() {
            if session.plays && !session.zone.is_empty() && session.zone != *own_zone {
                let rate_kb = fleet.rate(session.class, session.rung);
                let key = (session.zone.clone(), session.class);
                *rates.entry(key).or_default() += rate_kb * 1000.0;
            }
        }
        let named = |((to, class), rate): ((String, usize), f64)| {
            let class = fleet.config.classes[class].clone();
            CrossZoneRate { to, class, rate }
        };
        rates.into_iter().map(named).collect()
    }

    /// Number of media bytes sent for each playing session of a front, with the session's name.
    fn sent_bytes(&self, front: &str) -> Vec<(String, u64)> {
        let sessions = lock(&self.sessions);
        let of_front = sessions
            .iter()
            .filter(|(_, session)| session.front == front && session.plays);
        of_front
            .map(|(name, session)| (name.clone(), session.bytes))
            .collect()
    }

    /// Starts to send reports. They are sent until the testbed's process ends.
    pub(crate) fn notify_fronts(self: &Arc<SimulatedServer>, fleet: &Arc<SimulatedFleet>) {
        let mut reporter = Reporter {
            server: self.clone(),
            fleet: fleet.clone(),
            queue: DelayQueue {
                draw_count: u64::from(self.id) << 32, // Each server draws a sequence of its own.
                ..DelayQueue::default()
            },
            short_delivery_at: Time::ZERO,
            load_at: Time::ZERO,
        };
        spawn(Stack::Default, move || loop {
            sleep(TICK);
            reporter.tick();
        });
    }
}

impl Reporter {
    /// Sends the reports that are due and delivers the messages that have arrived.
    fn tick(&mut self) {
        if !self.server.up.load(Ordering::Acquire) || self.server.faults().vanished {
            self.queue.messages.clear();
            return;
        }
        let now = clock::now();
        let fault = self.server.faults().response_fault;
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

    /// The first playing session of each front, because an update must name a session.
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
