//! Every decision of a front; its types, events and actions are in `src/interface.rs`.
//!
//! Each front splits every link into slot regions, one a rung, sized by a loss-queue model of the arrivals;
//! it admits top-down with spill-over and raises lower sessions when slots free. Sections: beliefs about
//! servers and links; regions; admission; raises; attempts, time-outs and refusals; guards.
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

type Out = Vec<Action>;

const SECOND: u64 = 1_000_000_000;
const HEADROOM: f64 = 0.9; // Part of a link or uplink that slots may fill.
const LOW_MARK: f64 = 0.8; // Below this part of link and uplink a session gets the highest rung that fits.
const PRICED_FILL: f64 = 0.8; // Part of the links that the expected sessions are priced to fill.
/// Bounds of the use by all fronts over our own, as multiples of their number.
const SCALE: (f64, f64) = (0.7, 1.4);
const STALE: f64 = 6.0; // Seconds after which a measurement begins to give way to the mean.
const UPLINK_LEAST: f64 = 0.4; // Least part of the mean uplink that short deliveries may make us believe in.
const RESIZE: u64 = 10 * SECOND; // Regions are sized anew, and arrivals counted, over this time.
const RAISE_PAUSE: u64 = 30 * SECOND; // A session is raised once in this time at most.
const LOWER_PAUSE: u64 = 12 * SECOND; // A lowered session is raised no sooner.
/// Measured ask over give beyond which playing sessions are lowered, and what they are lowered to.
const OVERRUN: (f64, f64) = (1.03, 0.95);
const TRUST: f64 = 0.8; // Weight of a new measurement against what was believed.
/// Session length believed before any has ended, and the ends that this counts for.
const FIRST_LENGTH: (f64, f64) = (30.0, 3.0);
/// First and longest pause of a server that failed us; successes in a row that clear it.
const BLOCK: (u64, u64) = (SECOND, 8 * SECOND);
const CLEARING: u32 = 3;
/// A tenant's rate over its share, and the seconds of it at once, that still count as within it.
const TENANT: (f64, f64) = (1.15, 3.0);
const COLD_PART: f64 = 0.6; // Part of the pace that may push over a cold server which the fronts use.

/// Belief about what is asked of a link or uplink over what it gives.
#[derive(Clone, Default)]
struct Gauge {
    gives: f64,
    x: f64,
    heard: Option<Time>,
    own: VecDeque<(Time, f64)>,
}

impl Gauge {
    /// Our own change, as a part of what is given.
    fn change(&mut self, now: Time, kb: f64) {
        let part = kb / self.gives;
        self.x = (self.x + part).max(0.0);
        self.own.push_back((now, part));
        self.own.retain(|&(t, _)| since(now, t) < 8 * SECOND);
    }

    /// A measurement of `age` ago: own changes since then are added to it.
    fn measure(&mut self, now: Time, value: f64, age: u64) {
        if !value.is_finite() || value < 0.0 {
            return;
        }
        let from = now.0.saturating_sub(age);
        let fresh = value + self.own.iter().filter(|&&(t, _)| t.0 > from).map(|&(_, p)| p).sum::<f64>();
        let trust = if self.heard.is_none() || (fresh - self.x).abs() > 0.3 { 1.0 } else { TRUST };
        self.x = (self.x + trust * (fresh - self.x)).max(0.0);
        self.heard = Some(now);
    }
}

#[derive(Default)]
struct Server {
    is: Listing,
    rack: usize,
    places: f64,
    gauge: Gauge,
    use_kb: f64, // Our sessions' rates, in all and by region, and their number.
    region_kb: Vec<f64>,
    slots: Vec<u32>, // Slots of each region, and arrivals counted since they were last sized.
    arrivals: f64,
    rate: f64,
    blocked: Time,
    block: u64,
    doubts: u32,
    broke: bool,
    short: Option<(f64, Time, Time)>, // Share delivered while it is short, since when, and when last told.
    failed: Time,
    cold_until: Time,
    next_cold: Time,
    next_relief: Time,
}

#[derive(Default)]
struct Session {
    ask: Ask,
    rung: u8,
    region: usize,
    server: Option<ServerId>,
    attempts: u32,
    flying: bool,
    playing: bool,
    closed: bool,
    ran: Option<(ServerId, Time)>, // Where and when the first attempt went that may have run.
    started: Time,
    waiting: Time,
    hold: Time,
    tried: Vec<ServerId>,
}

/// The decisions of one front.
pub struct Front {
    s: Settings,
    rng: oorandom::Rand32,
    servers: BTreeMap<ServerId, Server>,
    sessions: BTreeMap<RequestId, Session>,
    uplinks: Vec<Gauge>,
    tenants: Vec<(f64, Time)>,
    taken: VecDeque<Time>,
    extras: VecDeque<Time>,
    ends: f64,
    seconds: f64,
    setup: f64,
    ticked: Option<Time>,
    sized: Option<Time>,
    listed: Time,
    /// Classes and best rungs of late requests, and what a kB a second is worth to them.
    mix: VecDeque<(u8, u8)>,
    price: f64,
}

fn after(t: Time, d: u64) -> Time {
    Time(t.0.saturating_add(d))
}

fn since(now: Time, t: Time) -> u64 {
    now.0.saturating_sub(t.0)
}

fn seconds(now: Time, t: Time) -> f64 {
    since(now, t) as f64 / SECOND as f64
}

// ---- regions ----

/// Probability that a loss queue with `slots` places and `offered` erlangs turns an arrival away (Erlang B).
pub fn erlang_b(offered: f64, slots: u32) -> f64 {
    if offered.is_nan() || offered <= 0.0 {
        return if slots == 0 { 1.0 } else { 0.0 };
    }
    (1..=slots).fold(1.0, |b, n| offered * b / (f64::from(n) + offered * b))
}

/// Eq. 1 over the mean session length: the worth that regions of `slots` (lowest rung first) earn a second.
pub fn benefit(offered: f64, slots: &[u32], worth: &[f64], penalty: f64) -> f64 {
    let mut spilled = offered;
    let mut sum = 0.0;
    for (n, w) in slots.iter().zip(worth).rev() {
        let lost = spilled * erlang_b(spilled, *n);
        sum += (spilled - lost) * w;
        spilled = lost;
    }
    sum - penalty * spilled
}

/// The regions that earn most: slots for each rung (lowest first) whose rates fit `budget` and whose number
/// fits `places`. A climb by trades of slots from each all-one-rung start, bounded in steps.
pub fn best_regions(offered: f64, kb: &[f64], worth: &[f64], budget: f64, places: u32) -> Vec<u32> {
    let penalty = worth.first().copied().unwrap_or(0.0);
    let value = |n: &[u32]| benefit(offered, n, worth, penalty);
    let used = |n: &[u32]| n.iter().zip(kb).map(|(n, k)| f64::from(*n) * k).sum::<f64>();
    let fits = |n: &[u32]| used(n) <= budget + 1e-9 && n.iter().sum::<u32>() <= places;
    let mut best = vec![0; kb.len()];
    let mut best_value = value(&best);
    for start in 0..kb.len() {
        let mut n = vec![0; kb.len()];
        n[start] = if kb[start] > 0.0 { ((budget / kb[start]).max(0.0) as u32).min(places) } else { 0 };
        let mut current = value(&n);
        for _ in 0..200 {
            let mut next: Option<(f64, Vec<u32>)> = None;
            for to in 0..kb.len() {
                for from in 0..kb.len() {
                    // As few slots less as make room for one more, and then as many more as fit.
                    let mut m = n.clone();
                    let less =
                        if from == to { 0 } else { (kb[to] / kb[from].max(1e-9)).ceil().max(1.0) as u32 };
                    m[from] = m[from].saturating_sub(less);
                    while fits(&m) && m[to] < places {
                        m[to] += 1;
                    }
                    m[to] -= u32::from(!fits(&m));
                    let v = value(&m);
                    if fits(&m) && v > current + 1e-9 && next.as_ref().is_none_or(|(b, _)| v > *b) {
                        next = Some((v, m));
                    }
                }
            }
            let Some((v, m)) = next else { break };
            (current, n) = (v, m);
        }
        if current > best_value {
            (best_value, best) = (current, n);
        }
    }
    best
}

impl Front {
    /// A front that has heard nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Front {
        let racks = settings.racks.max(1) as usize;
        let mut settings = settings;
        let rungs = settings.rung_kb.len().min(settings.rung_worth.len()).min(256);
        settings.rung_kb.truncate(rungs);
        settings.rung_worth.truncate(rungs);
        Front {
            rng: oorandom::Rand32::new(seed),
            servers: BTreeMap::new(),
            sessions: BTreeMap::new(),
            uplinks: vec![Gauge { gives: settings.uplink_kb.max(1.0), ..Gauge::default() }; racks],
            tenants: settings.tenant_quota.iter().map(|_| (0.0, now)).collect(),
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            ends: FIRST_LENGTH.1,
            seconds: FIRST_LENGTH.0 * FIRST_LENGTH.1,
            setup: 0.15 * SECOND as f64,
            ticked: None,
            sized: None,
            listed: now,
            mix: VecDeque::new(),
            price: 0.0,
            s: settings,
        }
    }

    /// Takes an event and adds what is to be done for it to `out`, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.ticked.is_none() {
            self.ticked = Some(now);
            out.push(Action::Wake { at: after(now, SECOND), token: 0 });
            out.extend(self.s.must_ask.then_some(Action::Subscribe));
        }
        match event {
            Event::Roster(kind, entries) => self.roster(now, kind, entries, out),
            Event::Ask(ask) => self.ask(now, ask, out),
            Event::Adopted(ask, server) => self.adopted(now, ask, server),
            Event::Playing { request, server, took, .. } => self.playing(now, request, server, took),
            Event::Note { request, server, note } => self.note(now, request, server, note, out),
            Event::Ended { request, server, outcome, closed, report, .. } => {
                self.ended(now, (request, server), (outcome, closed, report), out)
            }
            Event::Left(request) => drop(self.sessions.entry(request).and_modify(|s| s.closed = true)),
            Event::Timer(_) => self.tick(now, out),
            Event::Probed { server, report, .. } => self.report(now, server, &report),
            Event::Told { .. } => {}
        }
    }

    // ---- beliefs about servers and links ----

    fn roster(&mut self, now: Time, kind: RosterKind, entries: Vec<Listing>, out: &mut Out) {
        if kind == RosterKind::Failed {
            let again = self.s.must_ask && since(now, self.listed) > SECOND;
            out.extend(again.then_some(Action::Subscribe));
            self.listed = if again { now } else { self.listed };
            return;
        }
        self.listed = now;
        if kind != RosterKind::Delta {
            for (id, server) in self.servers.iter_mut() {
                if !entries.iter().any(|e| e.server == *id) {
                    server.is.phase = Phase::Gone;
                }
            }
        }
        for e in entries {
            let weight = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
            let server = self.servers.entry(e.server).or_default();
            server.region_kb.resize(self.s.rung_kb.len(), 0.0);
            server.slots.resize(self.s.rung_kb.len(), 0);
            let restarted = e.since > server.is.since;
            server.rack = usize::from(e.cell) % self.uplinks.len();
            server.gauge.gives = (self.s.link_kb * weight).max(1.0);
            server.places = self.s.places.get(usize::from(e.kind)).map_or(f64::INFINITY, |p| f64::from(*p));
            let cold_until = after(e.since, self.s.cold);
            if restarted && cold_until > now {
                server.cold_until = cold_until.max(server.cold_until);
                (server.broke, server.blocked) = (false, now);
                let phase = f64::from(self.rng.rand_float());
                server.next_cold = server.next_cold.max(after(now, (phase * self.s.fall as f64) as u64));
            }
            server.is = e;
        }
    }

    fn report(&mut self, now: Time, id: ServerId, report: &Report) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        for &(field, value) in report {
            match field {
                LoadField::LinkAsked => server.gauge.measure(now, value, SECOND / 3),
                LoadField::LinkUtil if value < 0.97 => server.gauge.measure(now, value, SECOND / 3),
                LoadField::LinkUtil => server.gauge.x = server.gauge.x.max(1.0),
                LoadField::UplinkAsked => self.uplinks[server.rack].measure(now, value, SECOND / 3),
                _ => {}
            }
        }
    }

    /// Mean fill of the servers that were heard; before any was, what our own sessions make likely.
    fn mean_fill(&self) -> f64 {
        let heard = self.servers.values().filter(|s| s.is.phase != Phase::Gone && s.gauge.heard.is_some());
        let (n, sum) = heard.fold((0.0, 0.0), |(n, sum), s| (n + 1.0, sum + s.gauge.x));
        let own: f64 = self.servers.values().map(|s| s.use_kb).sum();
        let likely = own * f64::from(self.s.siblings) / self.s.fleet_kb.max(1.0);
        Some(sum / n).filter(|_| n > 0.0).unwrap_or(likely)
    }

    /// Fill of a server's link: what was heard gives way to the mean as it ages, so that none is kept out by
    /// old news.
    fn fill(&self, server: &Server, mean: f64) -> f64 {
        let now = self.ticked.unwrap_or_default();
        let own = server.use_kb / server.gauge.gives;
        let mean = mean.min(LOW_MARK); // Unheard servers must be tried to be heard.
        let Some(heard) = server.gauge.heard else { return mean.max(own) };
        let fresh = (-(seconds(now, heard) - STALE).max(0.0) / STALE).exp();
        (mean + fresh * (server.gauge.x - mean)).max(own)
    }

    fn uplink_fill(&self, rack: usize, mean: f64) -> f64 {
        let uplink = &self.uplinks[rack];
        let up = self.up().filter(|s| s.rack == rack);
        let asked = up.map(|s| self.fill(s, mean).min(1.2) * s.gauge.gives).sum::<f64>();
        uplink.heard.map_or(asked / uplink.gives, |_| uplink.x)
    }

    fn class(&self, class: u8) -> Option<&Class> {
        self.s.classes.get(usize::from(class))
    }

    fn last_rung(&self) -> u8 {
        self.s.rung_kb.len().saturating_sub(1) as u8
    }

    fn kb(&self, class: u8, rung: u8) -> f64 {
        let factor = self.class(class).map_or(1.0, |c| c.rate_factor);
        self.s.rung_kb.get(usize::from(rung)).copied().unwrap_or(0.0) * factor
    }

    /// Books a session's rate at its server; viewers of a live title share a stream.
    fn book(&mut self, now: Time, request: RequestId, add: bool) {
        let Some((session, id)) = self.sessions.get(&request).and_then(|s| Some((s, s.server?))) else {
            return;
        };
        let (class, rung, region) = (session.ask.class, session.rung, session.region);
        let mut kb = self.kb(class, rung);
        if self.class(class).is_some_and(|c| c.live) {
            let like = |s: &Session| (s.server, s.ask.title, s.ask.class, s.rung);
            let mut others = self.sessions.iter().filter(|(r, _)| **r != request);
            kb *= if others.any(|(_, s)| like(s) == like(session)) { self.s.join } else { 1.0 };
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        let signed = if add { kb } else { -kb };
        server.use_kb = (server.use_kb + signed).max(0.0);
        server.region_kb.iter_mut().skip(region).take(1).for_each(|kb| *kb = (*kb + signed).max(0.0));
        server.gauge.change(now, signed);
        self.uplinks[server.rack].change(now, signed);
    }

    fn note(&mut self, now: Time, request: RequestId, id: ServerId, note: Note, out: &mut Out) {
        // The note at set-up is fresh, later ones are late.
        let fresh = self.sessions.get(&request).is_some_and(|s| since(now, s.started) < SECOND / 3);
        let age = if fresh { 0 } else { self.s.note_delay };
        let rack = self.servers.get(&id).map_or(0, |s| s.rack);
        match note {
            Note::Rung(rung) if rung <= self.last_rung() => {
                self.place(now, request, (usize::from(rung), rung))
            }
            Note::Rung(_) => {}
            Note::Link(x) => drop(self.servers.entry(id).and_modify(|s| s.gauge.measure(now, x, age))),
            Note::Uplink(x) => self.uplinks[rack].measure(now, x, age),
            Note::Delivered(share) => self.delivered(now, id, share),
        }
        self.relieve(now, id, out);
    }

    /// What a short delivery is laid to, once a note of the link has come since it began: the link if that is
    /// asked too much, the uplink if another server of the rack falls short alike, else the server itself.
    fn delivered(&mut self, now: Time, id: ServerId, share: f64) {
        let mean = self.mean_fill();
        let Some(server) = self.servers.get_mut(&id) else { return };
        let began = server.short.filter(|s| since(now, s.2) < 3 * SECOND).map_or(now, |s| s.1);
        server.short = (share < 0.98).then_some((share, began, now));
        if !share.is_finite() || share >= 0.98 {
            return;
        }
        let rack = server.rack;
        let unlike_link = |s: &Server| {
            s.short.is_some_and(|(v, began, at)| {
                let told = s.gauge.heard.is_some_and(|t| t > began);
                told && since(now, at) < 2 * SECOND && (v - share).abs() < 0.1 && s.gauge.x * v < 0.93
            })
        };
        if !unlike_link(server) {
            server.gauge.x = server.gauge.x.max(1.0 / share.max(0.3));
        } else if self.servers.iter().any(|(i, s)| *i != id && s.rack == rack && unlike_link(s)) {
            if self.uplinks[rack].heard.is_none() {
                // Without reports of the uplink, what it gives is learnt from what it fails to deliver.
                let asked = self.uplink_fill(rack, mean) * self.uplinks[rack].gives;
                let gives = (asked * share).max(UPLINK_LEAST * self.s.uplink_kb).max(1.0);
                self.uplinks[rack].gives += 0.5 * (gives - self.uplinks[rack].gives);
            }
        } else if let Some(server) = self.servers.get_mut(&id).filter(|_| share < 0.75) {
            // Danger: a server that hangs or delivers too little for its own cause still takes set-ups.
            server.trouble(now);
        }
    }

    // ---- regions ----

    /// Mean length of a session in seconds, from what ended and what is still watched.
    fn length(&self) -> f64 {
        self.seconds / self.ends.max(1.0)
    }

    fn mean_factor(&self) -> f64 {
        let factors = self.mix.iter().filter_map(|(c, _)| self.class(*c)).map(|c| c.rate_factor);
        factors.sum::<f64>().max(1e-3) / self.mix.len().max(1) as f64
    }

    /// What is asked of all links over what is asked of them for our own sessions: our part, turned over.
    fn scale(&self, mean: f64) -> f64 {
        let siblings = f64::from(self.s.siblings.max(1));
        let own: f64 = self.servers.values().map(|s| s.use_kb).sum();
        let all: f64 = self.up().map(|s| self.fill(s, mean) * s.gauge.gives).sum();
        let seen = if own > 0.0 { all / own } else { siblings };
        seen.clamp(SCALE.0 * siblings, SCALE.1 * siblings).max(1.0)
    }

    fn up(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|s| s.is.phase == Phase::Ready && !s.broke)
    }

    /// Sizes every link's regions for the arrivals counted since they were last sized.
    fn resize(&mut self, now: Time) {
        let mean = self.mean_fill();
        let (scale, factor, length) = (self.scale(mean), self.mean_factor(), self.length());
        let n = self.up().count().max(1) as f64;
        let kb: Vec<f64> = self.s.rung_kb.iter().map(|k| k * factor).collect();
        let past = self.sized.map(|t| seconds(now, t));
        let sessions = self.sessions.values().filter(|s| s.server.is_some()).count() as f64;
        let total: f64 = self.up().map(|s| s.arrivals).sum();
        let shares: Vec<f64> = (0..self.uplinks.len()).map(|rack| self.uplink_share(rack)).collect();
        for server in self.servers.values_mut() {
            let offered = match past {
                None => sessions / n * scale,
                Some(past) => {
                    let fresh = 0.5 * (server.arrivals + total / n) / past.max(1.0);
                    server.rate = if server.rate > 0.0 { 0.5 * (server.rate + fresh) } else { fresh };
                    server.rate * scale * length
                }
            };
            server.arrivals = 0.0;
            let budget = HEADROOM * server.gauge.gives * shares[server.rack];
            let places = server.places.min(10_000.0) as u32;
            server.slots = best_regions(offered, &kb, &self.s.rung_worth, budget, places);
        }
        self.sized = Some(now);
    }

    /// Part of a rack's links that its uplink can carry.
    fn uplink_share(&self, rack: usize) -> f64 {
        let links: f64 = self.up().filter(|s| s.rack == rack).map(|s| s.gauge.gives).sum();
        (self.uplinks[rack].gives / links.max(1.0)).min(1.0)
    }

    /// The worth of a kB at which all sessions, each at its best rung, would just fill the links: what is
    /// measured to be asked is taken to grow as our own rates would, so that rough rates cancel out.
    fn reprice(&mut self) {
        let mean = self.mean_fill();
        let asked: f64 =
            (0..self.uplinks.len()).map(|rack| self.uplink_fill(rack, mean) * self.uplinks[rack].gives).sum();
        let room: f64 =
            self.up().map(|s| s.gauge.gives * self.uplink_share(s.rack)).sum::<f64>() * PRICED_FILL;
        let own: f64 = self.servers.values().map(|s| s.use_kb).sum();
        let placed = self.sessions.values().filter(|s| s.server.is_some());
        let ours: Vec<(u8, u8)> = placed.map(|s| (s.ask.class, s.ask.top)).collect();
        let dear = self.s.classes.iter().map(|c| c.worth / c.rate_factor.max(1e-6)).fold(0.0, f64::max);
        let (mut low, mut high) = (0.0, dear / self.s.rung_kb.first().map_or(1.0, |kb| kb.max(1e-6)));
        for _ in 0..30 {
            self.price = 0.5 * (low + high);
            let kb: f64 = ours.iter().map(|&(class, top)| self.kb(class, self.priced(class, top))).sum();
            let over = kb * asked > room * own;
            (low, high) = if over { (self.price, high) } else { (low, self.price) };
        }
        self.price = high;
    }

    /// The rung that earns a class most at the present price.
    fn priced(&self, class: u8, top: u8) -> u8 {
        let Some(c) = self.class(class) else { return 0 };
        let earns = |r: u8| c.worth * self.s.rung_worth[usize::from(r)] - self.price * self.kb(class, r);
        let last = top.min(c.top).min(self.last_rung());
        (c.floor..=last).fold(c.floor, |best, r| if earns(r) > earns(best) { r } else { best })
    }

    // ---- admission ----

    fn holders(&self, ask: &Ask) -> Vec<ServerId> {
        let cells = self.s.cells.max(1);
        let holds = |s: &Server| (u32::from(s.is.cell) + cells - ask.first_cell % cells) % cells < ask.copies;
        let cells_ok = |s: &Server| u32::from(s.is.cell) < cells;
        self.servers.iter().filter(|(_, s)| cells_ok(s) && holds(s)).map(|(id, _)| *id).collect()
    }

    /// The region and rung that a server offers: `held` is what the session has there already.
    fn offer(&self, ask: &Ask, id: ServerId, held: Option<(usize, u8)>) -> Option<(usize, u8)> {
        let server = self.servers.get(&id)?;
        let (mean, factor) = (self.mean_fill(), self.mean_factor());
        let class = self.class(ask.class)?;
        let top = ask.top.min(class.top).min(self.last_rung());
        let fair = if held.is_some() { f64::from(self.s.siblings.max(1)) } else { 1.0 };
        let held_kb = held.map_or(0.0, |(_, rung)| self.kb(ask.class, rung));
        let (link, uplink) = (self.fill(server, mean), self.uplink_fill(server.rack, mean));
        let others = (link * server.gauge.gives - server.use_kb).max(0.0);
        let mix: f64 = self.servers.values().map(|s| s.use_kb).sum();
        let ours = self.sessions.values().filter(|s| s.server == Some(id)).count() as f64;
        let streams = ours * (1.0 + others / server.use_kb.max(1.0));
        if top < class.floor || held.is_none() && streams + 1.0 > server.places {
            return None;
        }
        let priced = self.priced(ask.class, top);
        // Danger: raises up to a rough or unreported limit, which relief then takes back at a price each.
        let told = self.uplinks[server.rack].heard.is_some();
        let mark = if held.is_some() && !told { LOW_MARK } else { HEADROOM };
        let fits = |kb: f64, mark: f64| {
            let more = (kb - held_kb) * fair;
            link + more / server.gauge.gives <= mark
                && uplink + more / self.uplinks[server.rack].gives <= mark
        };
        let offered = (usize::from(class.floor)..self.s.rung_kb.len()).rev().find_map(|region| {
            let rung = top.min(region as u8);
            let kb = self.kb(ask.class, rung);
            if fits(kb, LOW_MARK) && rung <= priced {
                return Some((usize::from(rung), rung));
            }
            let spread = self.servers.values().map(|s| s.region_kb[region]).sum::<f64>() / mix.max(1.0);
            let inside = if held.is_some_and(|(r, _)| r == region) { held_kb } else { 0.0 };
            let occupied = server.region_kb[region] + others * spread - inside;
            let slots = (f64::from(server.slots[region]) + 0.5) * self.s.rung_kb[region] * factor;
            (fits(kb, mark) && occupied + kb <= slots).then_some((region, rung))
        });
        // Regions lag and rates are rough: while the link is measured to have room, the lowest rung goes.
        let room = held.is_none() && fits(self.kb(ask.class, class.floor), HEADROOM);
        offered.or(room.then_some((usize::from(class.floor), class.floor)))
    }

    /// Whether a server may be sent a set-up now.
    fn usable(&self, now: Time, id: ServerId, free: bool) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        let slow = (4.0 * self.setup).max(0.3 * SECOND as f64) as u64;
        let mut flights = self.sessions.values().filter(|s| s.server == Some(id) && !s.playing).peekable();
        let trial = server.doubts > 0 && (!free || flights.peek().is_some());
        let stuck = flights.any(|s| since(now, s.waiting) > slow);
        server.is.phase == Phase::Ready
            && now >= server.blocked
            && !stuck
            && !trial
            && !((server.broke || now < server.cold_until) && now < server.next_cold)
    }

    /// Two random holders: the higher rung offered, then the lighter; the others only when both are full.
    fn choose(&mut self, now: Time, request: RequestId, over_share: bool) -> Option<(ServerId, usize, u8)> {
        let session = self.sessions.get(&request)?;
        let ask = session.ask.clone();
        let class = self.class(ask.class)?;
        let (free, floor) = (class.effect == Effect::Free, class.floor);
        let mut ids = self.holders(&ask);
        ids.retain(|id| {
            let server = &self.servers[id];
            self.usable(now, *id, free) && !session.tried.contains(id) && self.in_group(session, server)
        });
        for i in (1..ids.len()).rev() {
            let j = self.rng.rand_range(0..i as u32 + 1) as usize;
            ids.swap(i, j);
        }
        let mean = self.mean_fill();
        ids.chunks(2).find_map(|pair| {
            let offers = pair.iter().filter_map(|id| {
                let server = &self.servers[id];
                let fill = self.fill(server, mean).max(self.uplink_fill(server.rack, mean));
                let away = if server.is.zone != self.s.zone { self.s.cross_zone_price } else { 0.0 };
                let (region, rung) = self.offer(&ask, *id, None)?;
                match over_share {
                    // Beyond its tenant's share: the lowest rung, and only where room is.
                    true => (fill <= LOW_MARK).then_some((*id, usize::from(floor), floor, fill + away)),
                    false => Some((*id, region, rung, fill + away)),
                }
            });
            let best = offers.min_by(|a, b| b.2.cmp(&a.2).then(a.3.total_cmp(&b.3)));
            best.map(|(id, region, rung, _)| (id, region, rung))
        })
    }

    // ---- raises ----

    /// Raises sessions at a server, the nearest lower region first and the longest waiting in it.
    fn raise(&mut self, now: Time, id: ServerId, out: &mut Out) {
        let fit = |s: &Server| s.is.phase != Phase::Gone && now >= s.blocked;
        if !self.servers.get(&id).is_some_and(fit) {
            return;
        }
        let mut waiting: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.server == Some(id) && s.playing && now >= s.hold && !s.closed)
            .map(|(r, s)| (std::cmp::Reverse(s.region), s.waiting, *r))
            .collect();
        waiting.sort();
        for (_, _, request) in waiting {
            let Some(session) = self.sessions.get(&request) else { continue };
            let held = (session.region, session.rung);
            let offer = self.offer(&session.ask, id, Some(held)).filter(|(_, rung)| *rung > held.1);
            let Some((region, rung)) = offer else { continue };
            let watched = seconds(now, session.started);
            let left = session.ask.hint.map_or(self.length(), |h| h as f64 / SECOND as f64 - watched);
            let gain = self.s.rung_worth[usize::from(rung)] - self.s.rung_worth[usize::from(held.1)];
            if gain * left > self.s.switch_seconds {
                self.set_rung(now, request, (region, rung), RAISE_PAUSE, out);
            }
        }
    }

    fn place(&mut self, now: Time, request: RequestId, at: (usize, u8)) {
        self.book(now, request, false);
        self.sessions.entry(request).and_modify(|s| (s.region, s.rung) = at);
        self.book(now, request, true);
    }

    fn set_rung(&mut self, now: Time, request: RequestId, at: (usize, u8), hold: u64, out: &mut Out) {
        self.place(now, request, at);
        self.sessions.entry(request).and_modify(|s| (s.waiting, s.hold) = (now, after(now, hold)));
        out.push(Action::Rung { request, rung: at.1 });
    }

    /// Departure: where a link or uplink is measured to be overrun, each front lowers its part of the excess.
    fn relieve(&mut self, now: Time, id: ServerId, out: &mut Out) {
        let mean = self.mean_fill();
        let Some(server) = self.servers.get(&id) else { return };
        let (link, uplink) = (self.fill(server, mean), self.uplink_fill(server.rack, mean));
        let x = link.max(uplink);
        if x <= OVERRUN.0 || now < server.next_relief {
            return;
        }
        let mut need = server.use_kb * (1.0 - OVERRUN.1 / x);
        let here = |s: &Session| s.server == Some(id) && s.playing && !s.closed;
        let mut rungs: BTreeMap<_, _> =
            self.sessions.iter().filter(|(_, s)| here(s)).map(|(r, s)| (*r, s.rung)).collect();
        // A rung down where it costs the least worth for what it saves, until enough is saved.
        let step = |request: &RequestId, rung: u8| {
            let class = self.sessions.get(request).and_then(|s| self.class(s.ask.class))?;
            let lower = usize::from(rung.checked_sub(1).filter(|r| *r >= class.floor)?);
            let saved = (self.s.rung_kb[lower + 1] - self.s.rung_kb[lower]) * class.rate_factor;
            let lost = (self.s.rung_worth[lower + 1] - self.s.rung_worth[lower]) * class.worth;
            Some((lost / saved.max(1e-9), saved, *request))
        };
        while need > 0.0 {
            let steps = rungs.iter().filter_map(|(request, rung)| step(request, *rung));
            let Some((_, saved, request)) = steps.min_by(|a, b| a.0.total_cmp(&b.0)) else { break };
            need -= saved.max(1.0);
            rungs.entry(request).and_modify(|r| *r -= 1);
        }
        rungs.retain(|request, rung| self.sessions[request].rung != *rung);
        for (request, rung) in rungs {
            self.set_rung(now, request, (usize::from(rung), rung), LOWER_PAUSE, out);
        }
        let pause = self.s.note_delay.saturating_add(SECOND);
        self.servers.entry(id).and_modify(|s| s.next_relief = after(now, pause));
    }

    // ---- attempts, time-outs and refusals ----

    fn ask(&mut self, now: Time, ask: Ask, out: &mut Out) {
        let request = ask.request;
        self.taken.push_back(now);
        if self.sessions.contains_key(&request) {
            return;
        }
        let over = self.over_share(now, ask.tenant);
        self.arrive(&ask);
        self.open(now, ask);
        if self.sized.is_none() {
            self.resize(now);
            self.reprice();
        }
        self.next(now, request, over, out);
    }

    /// Sends the next attempt, or gives the final answer at once.
    fn next(&mut self, now: Time, request: RequestId, over_share: bool, out: &mut Out) {
        let Some(session) = self.sessions.get(&request) else { return };
        let seat = self.has_seat(&session.ask);
        let may = seat && self.may_attempt(now, request);
        let chosen = if may { self.choose(now, request, over_share) } else { None };
        let Some(session) = self.sessions.get_mut(&request) else { return };
        let Some((id, region, rung)) = chosen else {
            let class = self.s.classes.get(usize::from(session.ask.class));
            let rejected = match class.map(|c| c.effect) {
                None | Some(Effect::Free) | Some(Effect::Guarded(Group::All)) => true,
                Some(_) => session.ran.is_none(),
            };
            self.sessions.remove(&request);
            out.push(match rejected {
                true => Action::Reject { request, stay_away: self.s.stay_away_cap },
                false => Action::Fail(request),
            });
            return;
        };
        let class = &self.s.classes[usize::from(session.ask.class)];
        let left = session.ask.deadline.0.saturating_sub(now.0);
        let part = (class.aim / 2).max((4.0 * self.setup) as u64);
        let timeout = if class.effect == Effect::SingleShot { 0 } else { part.min(left) };
        session.attempts += 1;
        (session.server, session.region, session.rung) = (Some(id), region, rung);
        (session.flying, session.waiting) = (true, now);
        session.tried.push(id);
        self.extras.extend((session.attempts > 1).then_some(now));
        let interval = self.cold_interval(id);
        self.servers.entry(id).and_modify(|s| s.next_cold = after(now, interval));
        self.book(now, request, true);
        out.push(Action::Rung { request, rung });
        out.push(Action::Attempt { request, server: id, timeout });
    }

    fn open(&mut self, now: Time, ask: Ask) {
        self.mix.push_front((ask.class, ask.top));
        self.mix.truncate(100);
        let request = ask.request;
        let session = Session { ask, waiting: now, hold: now, started: now, ..Session::default() };
        self.sessions.insert(request, session);
    }

    fn adopted(&mut self, now: Time, ask: Ask, id: ServerId) {
        let request = ask.request;
        let floor = self.class(ask.class).map_or(0, |c| c.floor);
        self.open(now, ask);
        if let Some(session) = self.sessions.get_mut(&request) {
            (session.server, session.rung, session.region) = (Some(id), floor, usize::from(floor));
            (session.flying, session.playing, session.attempts) = (true, true, 1);
        }
        self.book(now, request, true);
    }

    fn playing(&mut self, now: Time, request: RequestId, id: ServerId, took: u64) {
        self.setup += 0.05 * ((took as f64).min(SECOND as f64) - self.setup);
        if let Some(session) = self.sessions.get_mut(&request) {
            (session.playing, session.started) = (true, now);
        }
        if let Some(server) = self.servers.get_mut(&id) {
            server.doubts = server.doubts.saturating_sub(1);
            if server.broke {
                server.broke = false;
                server.cold_until = server.cold_until.max(after(now, self.s.cold));
            }
        }
    }

    fn ended(&mut self, now: Time, of: (RequestId, ServerId), end: (Outcome, bool, Report), out: &mut Out) {
        let ((request, id), (outcome, closed, report)) = (of, end);
        let known = self.sessions.get(&request).is_some_and(|s| s.flying && s.server == Some(id));
        if let Some(server) = self.servers.get_mut(&id) {
            server.broke |= matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
            match outcome {
                Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                    server.trouble(now)
                }
                Outcome::Full => server.gauge.x = server.gauge.x.max(self.s.server_guard.min(1.0)),
                _ => {}
            }
        }
        if known {
            self.book(now, request, false);
            self.report(now, id, &report);
        }
        let Some(session) = self.sessions.get_mut(&request).filter(|_| known) else { return };
        (session.flying, session.server) = (false, None);
        let never = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
        if !never && session.ran.is_none() {
            session.ran = Some((id, session.waiting));
        }
        if session.playing || session.closed || closed || outcome == Outcome::Ok {
            self.ends += f64::from(u8::from(session.playing && outcome == Outcome::Ok));
            let lost = session.playing && outcome == Outcome::Reset;
            if let Some(session) = self.sessions.remove(&request).filter(|_| lost) {
                // A lost session's viewer comes again: its other holders count it as an arrival at once.
                self.arrive(&session.ask);
            }
            self.raise(now, id, out);
        } else {
            self.next(now, request, false, out);
        }
    }

    /// Counts an arrival at the servers that could take it.
    fn arrive(&mut self, ask: &Ask) {
        let mut ids = self.holders(ask);
        ids.retain(|id| self.servers[id].is.phase == Phase::Ready && !self.servers[id].broke);
        for id in &ids {
            if let Some(server) = self.servers.get_mut(id) {
                server.arrivals += 1.0 / ids.len() as f64;
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Out) {
        let Some(last) = self.ticked else { return };
        if now <= last {
            return;
        }
        let playing = self.sessions.values().filter(|s| s.playing).count() as f64;
        self.seconds += playing * seconds(now, last);
        self.ticked = Some(now);
        out.push(Action::Wake { at: after(now, SECOND), token: 0 });
        if self.sized.is_none_or(|t| since(now, t) >= RESIZE) {
            self.resize(now);
        }
        if self.s.must_ask && since(now, self.listed) > self.s.ask_within / 2 {
            self.listed = now;
            out.push(Action::FetchRoster);
        }
        for server in self.servers.values_mut() {
            server.short = server.short.filter(|s| since(now, s.2) < 3 * SECOND);
        }
        let calm = |rack: usize| !self.servers.values().any(|s| s.rack == rack && s.short.is_some());
        for rack in (0..self.uplinks.len()).filter(|r| calm(*r)).collect::<Vec<_>>() {
            self.uplinks[rack].gives += 0.02 * (self.s.uplink_kb - self.uplinks[rack].gives).max(0.0);
        }
        self.reprice();
        let ids: Vec<_> = self.servers.keys().copied().collect();
        for id in ids {
            self.raise(now, id, out);
        }
    }

    // ---- guards ----

    /// Whether a further attempt breaks nothing: one at a time, in time, within the caps, and never again for
    /// a class set up once whose attempt may have run.
    fn may_attempt(&mut self, now: Time, request: RequestId) -> bool {
        let window = now.0.saturating_sub(self.s.extra_window);
        for times in [&mut self.taken, &mut self.extras] {
            times.retain(|t| t.0 >= window);
        }
        let Some(session) = self.sessions.get(&request) else { return false };
        let Some(class) = self.class(session.ask.class) else { return false };
        if session.closed || session.flying || now >= session.ask.deadline {
            return false;
        }
        let again = match (class.effect, session.ran) {
            (Effect::Free, _) | (_, None) => true,
            (Effect::SingleShot, Some(_)) => false,
            (Effect::Guarded(_), Some((_, sent))) => since(now, sent) < class.repeat_within,
        };
        let allowed = self
            .s
            .extra_floor
            .map_or(f64::INFINITY, |floor| floor + self.s.extra_share * self.taken.len() as f64);
        again
            && session.attempts < self.s.attempts_cap.max(1)
            && (session.attempts == 0 || (self.extras.len() + 1) as f64 <= allowed)
    }

    /// A guarded class is sent again only within the group of the attempt that may have run.
    fn in_group(&self, session: &Session, server: &Server) -> bool {
        let effect = self.class(session.ask.class).map(|c| c.effect);
        let first = session.ran.and_then(|(id, _)| self.servers.get(&id));
        match (effect, session.ran.is_some()) {
            (Some(Effect::Guarded(Group::Zone)), true) => first.is_some_and(|f| f.is.zone == server.is.zone),
            (Some(Effect::Guarded(Group::Cell)), true) => first.is_some_and(|f| f.is.cell == server.is.cell),
            _ => true,
        }
    }

    fn has_seat(&self, ask: &Ask) -> bool {
        let cap = self.class(ask.class).map_or(0, |c| c.seats) as usize;
        let same = |s: &&Session| s.flying && (s.ask.class, s.ask.title) == (ask.class, ask.title);
        cap == 0 || self.sessions.values().filter(same).count() < cap
    }

    /// Whether a tenant is beyond this front's part of its share.
    fn over_share(&mut self, now: Time, tenant: u16) -> bool {
        let quota = self.s.tenant_quota.get(usize::from(tenant)).copied().unwrap_or(0.0);
        let rate = TENANT.0 * quota / f64::from(self.s.siblings.max(1));
        let Some((used, at)) = self.tenants.get_mut(usize::from(tenant)) else { return false };
        *used = (*used - rate * seconds(now, *at)).max(0.0);
        *at = now;
        let within = rate <= 0.0 || *used + 1.0 <= (rate * TENANT.1).max(1.0);
        *used += f64::from(u8::from(within));
        !within
    }

    /// This front's least time between set-ups at a cold server, its warmth taken at the least.
    fn cold_interval(&self, id: ServerId) -> u64 {
        let places = self.servers.get(&id).map_or(1.0, |s| s.places.min(10_000.0));
        let pace = places / self.s.cold.max(1) as f64 * self.s.cold_share * self.s.fall_multiple * COLD_PART;
        (f64::from(self.s.siblings.max(1)) / pace.max(1e-12)) as u64
    }
}

impl Server {
    /// A failure: pause, longer each time; then trials by free classes until several succeed in a row.
    fn trouble(&mut self, now: Time) {
        self.doubts = CLEARING;
        if now >= self.blocked {
            let calm = since(now, self.failed) > 2 * BLOCK.1;
            self.failed = now;
            self.block = (if calm { 0 } else { self.block * 2 }).clamp(BLOCK.0, BLOCK.1);
            self.blocked = after(now, self.block);
        }
    }
}
