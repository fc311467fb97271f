//! Every decision of a front; its types, events and actions are in `src/interface.rs`.
//!
//! Each front splits every link into slot regions, one a rung, sized by a loss-queue model of the arrivals;
//! it admits top-down with spill-over and raises lower sessions when slots free. Sections: beliefs about
//! servers and links; regions; admission; raises; attempts, time-outs and refusals; guards.
use crate::interface::{
    Action, AttemptOutcome, Class, CrossZonePolicy, Endpoint, EndpointListKind, Event, Idempotency,
    Lifecycle, LoadField, LoadReport, RequestId, RetryScope, ServerId, SessionRequest, SessionUpdate,
    Settings, Time,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

type Out = Vec<Action>;

const SECOND: u64 = 1_000_000_000;
const HEADROOM: f64 = 0.9; // Part of a link or uplink that slots may fill.
const LOW_MARK: f64 = 0.8; // Below this part of link and uplink a session gets the highest rung that fits.
const PRICED_FILL: f64 = 0.8; // Part of the links that the expected sessions are priced to fill.
const CHANCE_FILL: f64 = 0.7; // Part of link and uplink that raises by chance fill.
const SCALE: (f64, f64) = (0.7, 1.4); // Bounds of the use by all over ours, times the number of fronts.
const STALE: f64 = 6.0; // Seconds after which a measurement begins to give way to the mean.
const UTIL_STOPS: f64 = 0.97; // Reports of a link's use that stop at 1 say little from here on.
const REPORT_AGE: u64 = SECOND / 3; // Usual age of a load report.
const STALL: u64 = SECOND / 2; // A timer later than this tells that we stood still.
const SHORT_LASTS: u64 = 3 * SECOND; // A short delivery is over when not told for this time.
const UNLIKE_LINK: f64 = 0.93; // Asked times delivered, below which the link is not what falls short.
const RESIZE: u64 = 10 * SECOND; // Regions are sized anew after this time.
const COUNTED: (f64, f64) = (15.0, 10.0); // Arrivals count for these seconds, or until so many have come.
const RUSH: u64 = 3 * SECOND; // Begins and ends of sessions are counted for so long to tell a rush.
const SAMPLE: f64 = 30.0; // Sessions that stand for all well enough.
const ALIKE: (f64, f64) = (0.2, 0.05); // Links this close in arrivals and room are sized alike.
const SEARCH: usize = 200; // Trades of slots at most in a climb.
const LUMPS: u32 = 16; // A climb's first trades move this part of all slots.
const LANES: usize = 8; // Loss queues that are reckoned side by side.
const AT_ONCE: usize = 16; // Slots between looks whether all is reckoned.
const NEVER: f64 = 1e12; // One in so many arrivals turned away counts as none.
const PACE: f64 = 0.1; // Pauses are cut to this part at most.
const RAISE_PAUSE: u64 = 30 * SECOND; // A session is raised once in this time at most.
const REPAID: f64 = 6.0; // A raise must be watched for so many times what a change of rung costs.
const LOWER_PAUSE: u64 = 12 * SECOND; // A lowered session is raised no sooner.
const OVERRUN: (f64, f64) = (1.03, 0.95); // Asked over given beyond which sessions are lowered, and to what.
const TRUST: f64 = 0.8; // Weight of a new measurement against what was believed.
const FIRST_LENGTH: (f64, f64) = (30.0, 3.0); // Length believed at first, and the ends that it counts for.
const FIRST_SETUP: f64 = 0.15 * SECOND as f64; // Time of a set-up believed at first.
const BLOCK: (u64, u64) = (SECOND, 8 * SECOND); // First and longest pause of a server that failed us.
const CLEARING: u32 = 3; // Successes in a row that clear it.
/// Within a tenant's share still: its rate over that, seconds of it at once, requests that chance may add.
const TENANT: (f64, f64, f64) = (1.15, 3.0, 4.0);
const COLD_MEETS: f64 = 2.0; // Spans in which turns begin that meet one span: it, and one before it.

#[derive(Clone, Default)]
struct Gauge {
    gives: f64, // What a link or uplink gives, and belief of what is asked over that.
    x: f64,
    heard: Option<Time>,
    own: VecDeque<(Time, f64)>,
}

impl Gauge {
    fn change(&mut self, now: Time, kb: f64) {
        let part = kb / self.gives;
        self.x = (self.x + part).max(0.0);
        self.own.push_back((now, part));
        while self.own.front().is_some_and(|&(t, _)| since(now, t) >= 8 * SECOND) {
            self.own.pop_front();
        }
    }

    /// A measurement of `age` ago: own changes since then are added to it.
    fn measure(&mut self, now: Time, value: f64, age: u64) {
        if !value.is_finite() || value < 0.0 {
            return;
        }
        let from = now.0.saturating_sub(age);
        let late = self.own.partition_point(|&(t, _)| t.0 <= from);
        let fresh = value + self.own.range(late..).map(|&(_, p)| p).sum::<f64>();
        let trust = if self.heard.is_none() || (fresh - self.x).abs() > 0.3 { 1.0 } else { TRUST };
        self.x = (self.x + trust * (fresh - self.x)).max(0.0);
        self.heard = Some(now);
    }
}

impl Gauge {
    fn fresh(&self, now: Option<Time>) -> f64 {
        let old = |heard| (seconds(now.unwrap_or_default(), heard) - STALE).max(0.0) / STALE;
        self.heard.map_or(0.0, |heard| (-old(heard)).exp())
    }

    /// What was heard gives way to the mean as it ages, so that none is kept out by old news.
    fn faded(&self, now: Option<Time>, mean: f64) -> f64 {
        mean + self.fresh(now) * (self.x - mean)
    }
}

fn mean_heard<'a>(now: Option<Time>, gauges: impl Iterator<Item = &'a Gauge>) -> Option<f64> {
    let add = |(n, sum), (weight, x)| (n + weight, sum + weight * x);
    let (n, sum) = gauges.map(|g| (g.fresh(now), g.x)).fold((0.0, 0.0), add);
    Some(sum / n).filter(|_| n > 0.0)
}

#[derive(Default)]
struct Server {
    is: Endpoint,
    rack: usize,
    places: f64,
    gauge: Gauge,
    use_kb: f64, // Our sessions' rates.
    here: BTreeSet<RequestId>,
    slots: Vec<u32>,
    sized: Option<Time>,
    news: bool,    // Measured since it was last thought of raising here.
    arrivals: f64, // Its part of late requests.
    blocked: Time,
    block: u64,
    doubts: u32,
    broke: bool,
    short: Option<(Time, Time)>, // Since when it delivers short, and when that was last told.
    failed: Time,
    cold_until: Time,
    next_cold: Time, // No set-up while cold before this, nor in a turn that began before the other.
    next_turn: Time,
    next_relief: Time,
}

#[derive(Clone, Default)]
struct Rack {
    uplink: Gauge,
    links: f64,
    asked: f64,
}

/// Sums over all servers, taken each second and kept up in between, so that no event scans the fleet.
#[derive(Default)]
struct Sums {
    mean_uplink: Option<f64>,
    mean: f64, // Fill of the servers heard; before any was, what our own sessions make likely.
    up: f64,
    scale: f64, // What is asked of all links over what our own sessions ask: our part, turned over.
    factor: f64,
    own: f64, // Our sessions and their rates.
    own_kb: f64,
    region_kb: Vec<f64>,
    growth: f64, // What is asked of all links over what they give, more each second than chance makes likely.
}

#[derive(Default)]
struct Session {
    ask: SessionRequest,
    rung: u8,
    server: Option<ServerId>,
    playing: bool,
    closed: bool,
    ran: Option<(ServerId, Time)>, // Where and when the first attempt went that may have run.
    started: Time,
    waiting: Time,
    hold: Time,
    tried: Vec<ServerId>,
}

struct Chance(oorandom::Rand32);

impl Default for Chance {
    fn default() -> Chance {
        Chance(oorandom::Rand32::new(0))
    }
}

/// The decisions of one front.
#[derive(Default)]
pub struct PlacementPolicy {
    s: Settings,
    rng: Chance,
    servers: BTreeMap<ServerId, Server>,
    sessions: BTreeMap<RequestId, Session>,
    racks: Vec<Rack>,
    cells: BTreeMap<u16, BTreeSet<ServerId>>,
    leaves: BTreeMap<(u8, u8), CrossZonePolicy>, // By zone and class; what is not named is free.
    tenants: Vec<(f64, Time)>,
    taken: VecDeque<Time>,
    extras: VecDeque<Time>,
    ends: f64,
    seconds: f64,
    setup: f64,
    ticked: Option<Time>,
    now: Time,
    listed: Time,
    born: Time,
    resumed: Time, // When this front last found that it had stood still.
    sums: Sums,
    moves: VecDeque<(Time, f64)>, // Late begins of sessions of ours, and their ends below nought.
    each_kb: f64, // Mean rate of late sessions of ours: the fewer, the longer they are remembered.
    arrivals: (f64, f64), // Late requests, and the seconds they came in.
    sizes: BTreeMap<(i32, i32, u32), Vec<u32>>,
    mix: VecDeque<(u8, u8)>, // Classes and best rungs of late requests.
    price: f64,              // What a kB a second is worth to our sessions.
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
    erlang_b_each(&[(offered, slots)])[0]
}

/// The same for several queues at once, each its offered load and slots. Turned over (1 + n / offered times
/// the one before) no slot takes a division, and sums side by side do not wait for each other.
fn erlang_b_each(queues: &[(f64, u32)]) -> Vec<f64> {
    let mut blocked = Vec::with_capacity(queues.len());
    for some in queues.chunks(LANES) {
        let (mut each, mut slots, mut turned) = ([0.0; LANES], [0.0; LANES], [1.0; LANES]);
        some.iter().enumerate().for_each(|(i, q)| (each[i], slots[i]) = (1.0 / q.0, f64::from(q.1)));
        let (mut n, most) = (0.0, slots.iter().fold(0.0, |most: f64, slots| most.max(*slots)));
        // The rest only makes it smaller.
        while n < most && turned.iter().zip(&slots).any(|(t, s)| n < *s && *t <= NEVER) {
            for _ in 0..AT_ONCE {
                n += 1.0;
                for i in 0..LANES {
                    let next = 1.0 + n * each[i] * turned[i];
                    turned[i] = if n <= slots[i] { next } else { turned[i] };
                }
            }
        }
        blocked.extend(some.iter().zip(turned).map(|(&(offered, slots), turned)| {
            let none = offered.is_nan() || offered <= 0.0;
            let never = if none { slots > 0 } else { turned > NEVER };
            if never {
                0.0
            } else {
                1.0 / turned.max(1.0)
            }
        }));
    }
    blocked
}

/// Eq. 1 over the mean session length: the worth that regions of `slots` (lowest rung first) earn a second.
pub fn benefit(offered: f64, slots: &[u32], worth: &[f64], penalty: f64) -> f64 {
    benefits(offered, &[slots.to_vec()], worth, penalty)[0]
}

fn benefits(offered: f64, all: &[Vec<u32>], worth: &[f64], penalty: f64) -> Vec<f64> {
    let mut sums = vec![(0.0, offered); all.len()];
    for (rung, w) in worth.iter().enumerate().rev() {
        let slots = all.iter().map(|slots| slots.get(rung).copied().unwrap_or(0));
        let queues: Vec<_> = sums.iter().map(|(_, spilled)| *spilled).zip(slots).collect();
        for ((sum, spilled), blocked) in sums.iter_mut().zip(erlang_b_each(&queues)) {
            let lost = *spilled * blocked;
            (*sum, *spilled) = (*sum + (*spilled - lost) * w, lost);
        }
    }
    sums.into_iter().map(|(sum, spilled)| sum - penalty * spilled).collect()
}

/// The regions that earn most: slots for each rung (lowest first) whose rates fit `budget` and whose number
/// fits `places`. A climb by trades of slots from each all-one-rung start, bounded in steps.
/// Danger: with hundreds of slots a climb of single ones stops the front for as long as viewers wait; so
/// trades begin with lumps of them. Harm: it may end on another of several tops alike.
pub fn best_regions(offered: f64, kb: &[f64], worth: &[f64], budget: f64, places: u32) -> Vec<u32> {
    let used = |n: &[u32]| n.iter().zip(kb).map(|(n, k)| f64::from(*n) * k).sum::<f64>();
    let fits = |n: &[u32]| used(n) <= budget + 1e-9 && n.iter().sum::<u32>() <= places;
    let penalty = worth.first().copied().unwrap_or(0.0);
    let valued = |all: Vec<Vec<u32>>| benefits(offered, &all, worth, penalty).into_iter().zip(all);
    // As few slots less as make room for `lump` more of another rung, and then as many more as fit.
    let trade = |n: &[u32], from: usize, to: usize, lump: f64| {
        let mut m = n.to_vec();
        let less = if from == to { 0.0 } else { (lump * kb[to] / kb[from].max(1e-9)).ceil().max(1.0) };
        m[from] = m[from].saturating_sub(less as u32);
        let room = ((budget + 1e-9 - used(&m)) / kb[to].max(1e-9)).max(0.0) as u32;
        m[to] += room.min(places.saturating_sub(m.iter().sum()));
        m
    };
    let climb = |start: usize| {
        let first = trade(&vec![0; kb.len()], start, start, 1.0);
        let mut best = (benefit(offered, &first, worth, penalty), first);
        let mut lump = f64::from(best.1[start] / LUMPS).max(1.0);
        for _ in 0..SEARCH {
            let pairs = (0..kb.len()).flat_map(|from| (0..kb.len()).map(move |to| (from, to)));
            let held = pairs.filter(|(from, to)| from != to && best.1[*from] > 0);
            let trades = held.map(|(from, to)| trade(&best.1, from, to, lump)).filter(|m| fits(m));
            let next = valued(trades.collect()).max_by(|a, b| a.0.total_cmp(&b.0));
            match next.filter(|next| next.0 > best.0 + 1e-9) {
                Some(next) => best = next,
                None if lump > 1.0 => lump = (lump / 4.0).floor().max(1.0),
                None => break,
            }
        }
        best
    };
    (0..kb.len()).map(climb).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default().1
}

impl PlacementPolicy {
    /// A front that has heard nothing yet.
    pub fn new(mut settings: Settings, seed: u64, now: Time) -> PlacementPolicy {
        let uplink = Gauge { gives: settings.uplink_kb.max(1.0), ..Gauge::default() };
        let rack = Rack { uplink, ..Rack::default() };
        let rungs = settings.rung_kb.len().min(settings.rung_utility.len()).min(256);
        settings.rung_kb.truncate(rungs);
        settings.rung_utility.truncate(rungs);
        PlacementPolicy {
            rng: Chance(oorandom::Rand32::new(seed)),
            racks: vec![rack; settings.racks.max(1) as usize],
            tenants: settings.tenant_quota.iter().map(|_| (0.0, now)).collect(),
            ends: FIRST_LENGTH.1,
            seconds: FIRST_LENGTH.0 * FIRST_LENGTH.1,
            setup: FIRST_SETUP,
            listed: now,
            born: now,
            arrivals: (0.0, COUNTED.0),
            each_kb: settings.rung_kb.get(rungs / 2).copied().unwrap_or(1.0),
            s: settings,
            ..PlacementPolicy::default()
        }
    }

    /// What is believed of each server now: what is asked of its link and uplink over what they give, and
    /// whether a set-up of a free class may go there. For those who hold it against what is.
    pub fn beliefs(&self, now: Time) -> Vec<(ServerId, f64, f64, bool)> {
        let belief = |(id, server): (&ServerId, &Server)| {
            (*id, self.fill(server), self.uplink_fill(server.rack), self.usable(now, *id, true))
        };
        self.servers.iter().map(belief).collect()
    }

    /// Takes an event and adds what is to be done for it to `out`, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.ticked.is_none() {
            self.ticked = Some(now);
            out.push(Action::SetTimer { at: after(now, SECOND), token: 0 });
            out.extend(self.s.discovery_on_request.then_some(Action::SubscribeEndpoints));
        }
        // Danger: a front that stood still blames servers for answers that it had no turn to read.
        let due = self.ticked.map_or(now, |t| after(t, SECOND + STALL));
        self.resumed = if now > due { now } else { self.resumed };
        self.now = now;
        match event {
            Event::EndpointList(kind, entries) => self.roster(now, kind, entries, out),
            Event::SessionRequested(ask) => self.ask(now, ask, out),
            Event::SessionAdopted(ask, server) => self.adopted(now, ask, server),
            Event::SessionEstablished { request, server, setup_time: took, .. } => {
                self.playing(now, request, server, took);
            }
            Event::SessionUpdated { request, server, update: note } => {
                self.note(now, request, server, note, out);
            }
            Event::AttemptEnded { request, server, outcome, is_final: closed, report, .. } => {
                self.ended(now, (request, server), (outcome, closed, report), out);
            }
            Event::CrossZonePolicyChanged { zone, class, policy: leave } => {
                self.leaves.insert((zone, class), leave);
            }
            Event::MaxRungChanged { request, max_rung: top } => self.cap(now, request, top, out),
            Event::ClientLeft(request) => drop(self.sessions.entry(request).and_modify(|s| s.closed = true)),
            Event::Timer(_) => self.tick(now, out),
            Event::HealthCheckCompleted { server, report, .. } => self.report(now, server, &report),
            Event::ReplicaCountChanged(n) => self.s.replica_count = n,
            Event::PeerMessage { .. } => {}
        }
    }

    // ---- beliefs about servers and links ----

    fn roster(&mut self, now: Time, kind: EndpointListKind, entries: Vec<Endpoint>, out: &mut Out) {
        if kind == EndpointListKind::Failed {
            if self.s.discovery_on_request && since(now, self.listed) > SECOND {
                self.listed = now;
                out.push(Action::SubscribeEndpoints);
            }
            return;
        }
        self.listed = now;
        if kind != EndpointListKind::Delta {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (_, server) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                server.is.lifecycle = Lifecycle::Removed;
            }
        }
        for e in entries {
            let weight = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
            let server = self.servers.entry(e.server).or_default();
            let restarted = e.started_at > server.is.started_at;
            server.next_turn = server.next_turn.max(self.born);
            server.rack = usize::from(e.cell) % self.racks.len();
            server.gauge.gives = (self.s.link_kb * weight).max(1.0);
            server.places =
                self.s.stream_capacity.get(usize::from(e.kind)).map_or(f64::INFINITY, |p| f64::from(*p));
            let cold_until = after(e.started_at, self.s.slow_start_duration);
            if restarted && cold_until > now {
                server.cold_until = cold_until.max(server.cold_until);
                (server.broke, server.blocked, server.next_turn) = (false, now, now);
            }
            self.cells.entry(server.is.cell).or_default().remove(&e.server);
            self.cells.entry(e.cell).or_default().insert(e.server);
            server.slots.resize(self.s.rung_kb.len(), 0);
            server.is = e;
        }
        self.survey(now);
    }

    fn report(&mut self, now: Time, id: ServerId, report: &LoadReport) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        for &(field, value) in report {
            match field {
                LoadField::LinkUtilization if value >= UTIL_STOPS => server.gauge.x = server.gauge.x.max(1.0),
                LoadField::LinkDemand | LoadField::LinkUtilization => server.measure(now, value, REPORT_AGE),
                LoadField::UplinkDemand => self.racks[server.rack].uplink.measure(now, value, REPORT_AGE),
                _ => {}
            }
        }
    }

    fn survey(&mut self, now: Time) {
        let siblings = f64::from(self.s.replica_count.max(1));
        let factors = self.mix.iter().filter_map(|(c, _)| self.class(*c)).map(|c| c.rate_factor);
        let factor = factors.sum::<f64>().max(1e-3) / self.mix.len().max(1) as f64;
        let mut region_kb = vec![0.0; self.s.rung_kb.len()];
        for s in self.sessions.values().filter(|s| s.server.is_some()) {
            let add = self.kb(s.ask.class, s.rung);
            region_kb.iter_mut().skip(usize::from(s.rung)).take(1).for_each(|kb| *kb += add);
        }
        self.sums = Sums { factor, region_kb, ..Sums::default() };
        for server in self.servers.values_mut() {
            server.broke &= now < server.cold_until;
            self.sums.own_kb += server.use_kb;
            self.sums.own += server.here.len() as f64;
        }
        self.sums.mean_uplink = mean_heard(self.ticked, self.racks.iter().map(|r| &r.uplink));
        let there = self.servers.values().filter(|s| s.is.lifecycle != Lifecycle::Removed);
        let likely = self.sums.own_kb * siblings / self.s.fleet_link_kb.max(1.0);
        self.sums.mean = mean_heard(self.ticked, there.map(|s| &s.gauge)).unwrap_or(likely);
        self.racks.iter_mut().for_each(|r| (r.links, r.asked) = (0.0, 0.0));
        for server in self.servers.values().filter(|s| s.is_up()) {
            let asked = self.fill(server).min(1.2) * server.gauge.gives;
            let rack = &mut self.racks[server.rack];
            self.sums.up += 1.0;
            rack.links += server.gauge.gives;
            rack.asked += asked;
        }
        let all: f64 = self.racks.iter().map(|r| r.asked).sum();
        let seen = if self.sums.own_kb > 0.0 { all / self.sums.own_kb } else { siblings };
        self.sums.scale = seen.clamp(SCALE.0 * siblings, SCALE.1 * siblings).max(1.0);
        self.moves.retain(|(t, _)| since(now, *t) < RUSH);
        let net: f64 = self.moves.iter().map(|(_, n)| n).sum();
        let sure = (net - (self.moves.len() as f64).sqrt()).max(0.0) * self.each_kb * self.sums.scale;
        self.sums.growth = sure / self.s.fleet_link_kb.max(1.0) / (RUSH as f64 / SECOND as f64);
    }

    /// Fill of a server's link. Unheard ones count as the mean, 0.8 at most: to be heard they must be tried.
    fn fill(&self, server: &Server) -> f64 {
        let own = server.use_kb / server.gauge.gives;
        let told = server.gauge.faded(self.ticked, self.sums.mean.min(LOW_MARK));
        // Departure: in a rush all fronts add what each hears of late only; what ours adds tells how much.
        let age =
            server.gauge.heard.map_or(1.0, |heard| seconds(self.now, heard).min(RUSH as f64 / SECOND as f64));
        (told + self.sums.growth * age).max(own)
    }

    /// Fill of a rack's uplink; where uplinks are not reported, what its links ask.
    fn uplink_fill(&self, rack: usize) -> f64 {
        let rack = &self.racks[rack];
        let told = |mean: f64| rack.uplink.faded(self.ticked, mean.min(LOW_MARK));
        self.sums.mean_uplink.map_or(rack.asked / rack.uplink.gives, told)
    }

    fn here<'a>(&'a self, server: &'a Server) -> impl Iterator<Item = (RequestId, &'a Session)> + 'a {
        server.here.iter().filter_map(|r| Some((*r, self.sessions.get(r)?)))
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

    fn book(&mut self, now: Time, request: RequestId, add: bool) {
        let Some(session) = self.sessions.get(&request) else { return };
        let Some((id, server)) = session.server.and_then(|id| Some((id, self.servers.get(&id)?))) else {
            return;
        };
        let (class, rung) = (session.ask.class, session.rung);
        let mut kb = self.kb(class, rung);
        if self.class(class).is_some_and(|c| c.live) {
            let like = |s: &Session| (s.ask.title, s.ask.class, s.rung) == (session.ask.title, class, rung);
            let shared = self.here(server).any(|(r, s)| r != request && like(s));
            kb *= if shared { self.s.shared_stream_factor } else { 1.0 };
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        let signed = if add { kb } else { -kb };
        server.use_kb = (server.use_kb + signed).max(0.0);
        self.sums.own_kb = (self.sums.own_kb + signed).max(0.0);
        self.sums.region_kb.iter_mut().skip(usize::from(rung)).take(1).for_each(|kb| *kb += signed);
        let _ = if add { server.here.insert(request) } else { server.here.remove(&request) };
        server.gauge.change(now, signed);
        self.racks[server.rack].uplink.change(now, signed);
        self.racks[server.rack].asked += signed;
    }

    fn note(&mut self, now: Time, request: RequestId, id: ServerId, note: SessionUpdate, out: &mut Out) {
        // The note at set-up is fresh, later ones are late.
        let fresh = self.sessions.get(&request).is_some_and(|s| since(now, s.started) < SECOND / 3);
        let age = if fresh { 0 } else { self.s.update_delay };
        let rack = self.servers.get(&id).map_or(0, |s| s.rack);
        match note {
            SessionUpdate::Rung(rung) => self.place(now, request, rung.min(self.last_rung())),
            SessionUpdate::LinkDemand(x) => {
                self.servers.entry(id).and_modify(|s| s.measure(now, x, age));
            }
            SessionUpdate::UplinkDemand(x) => self.racks[rack].uplink.measure(now, x, age),
            SessionUpdate::DeliveryRatio(share) => self.delivered(now, id, share),
        }
        self.relieve(now, id, out);
    }

    /// A short delivery is laid to the link, unless a note of the link since it began tells of room.
    fn delivered(&mut self, now: Time, id: ServerId, share: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let began = server.short.filter(|s| since(now, s.1) < SHORT_LASTS).map_or(now, |s| s.0);
        server.short = (share < 0.98).then_some((began, now));
        if !share.is_finite() || share >= 0.98 {
            return;
        }
        if server.gauge.heard.is_none_or(|t| t <= began) || server.gauge.x * share > UNLIKE_LINK {
            server.gauge.x = server.gauge.x.max(1.0 / share.max(0.3));
        } else if share < 0.75 {
            // Danger: a server that hangs or delivers too little for its own cause still takes set-ups.
            server.trouble(now);
        }
    }

    fn length(&self) -> f64 {
        self.seconds / self.ends.max(1.0)
    }

    /// Departure: pauses are for sessions of half a minute; where they are shorter, all goes faster.
    fn pace(&self) -> f64 {
        (self.length() / FIRST_LENGTH.0).clamp(PACE, 1.0)
    }

    fn paced(&self, pause: u64) -> u64 {
        (pause as f64 * self.pace()) as u64
    }

    /// Sizes a link's regions when it is looked at and their sizing is old, so that the work is spread.
    /// Its own count of arrivals weighs as much as the mean once it expects one.
    fn size(&mut self, now: Time, id: ServerId) {
        let mean = self.arrivals.0 / self.sums.up.max(1.0);
        let load = mean / self.arrivals.1.max(1.0) * self.sums.scale * self.length();
        let resize = self.paced(RESIZE);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.sized.is_some_and(|t| since(now, t) < resize) {
            return;
        }
        server.sized = Some(now);
        let rack = &self.racks[server.rack];
        let part = (rack.uplink.gives / rack.links.max(1.0)).min(1.0);
        let room = HEADROOM * server.gauge.gives * part / self.sums.factor;
        let step = |v: f64, part: f64| (v.max(1e-3).ln() / part).round() as i32;
        let offered = step(load * (1.0 + server.arrivals) / (1.0 + mean), ALIKE.0);
        let key = (offered, step(room, ALIKE.1), server.places.min(10_000.0) as u32);
        let (s, value) = (&self.s, |step: i32, part: f64| (f64::from(step) * part).exp());
        let (offered, room) = (value(key.0, ALIKE.0), value(key.1, ALIKE.1));
        let size = || best_regions(offered, &s.rung_kb, &s.rung_utility, room, key.2);
        server.slots.clone_from(self.sizes.entry(key).or_insert_with(size));
    }

    /// The worth of a kB at which all sessions would just fill the links, if they grow as ours would.
    fn reprice(&mut self) {
        let asked: f64 =
            (0..self.racks.len()).map(|r| self.uplink_fill(r) * self.racks[r].uplink.gives).sum();
        let room = self.racks.iter().map(|r| r.links.min(r.uplink.gives)).sum::<f64>() * PRICED_FILL;
        let placed = self.sessions.values().filter(|s| s.server.is_some());
        let mut ours: Vec<(u8, u8)> = placed.map(|s| (s.ask.class, s.ask.max_rung)).collect();
        // A front with few sessions prices for its late requests too.
        ours.extend(self.mix.iter().take((SAMPLE as usize).saturating_sub(ours.len())));
        let dear =
            self.s.classes.iter().map(|c| c.priority_weight / c.rate_factor.max(1e-6)).fold(0.0, f64::max);
        let (mut low, mut high) = (0.0, dear / self.s.rung_kb.first().map_or(1.0, |kb| kb.max(1e-6)));
        for _ in 0..30 {
            self.price = 0.5 * (low + high);
            let kb: f64 = ours.iter().map(|&(class, top)| self.kb(class, self.priced(class, top))).sum();
            let over = kb * asked > room * self.each_kb * ours.len() as f64;
            (low, high) = if over { (self.price, high) } else { (low, self.price) };
        }
        self.price = high;
    }

    fn priced(&self, class: u8, top: u8) -> u8 {
        let Some(c) = self.class(class) else { return 0 };
        let worth = |r: u8| self.s.rung_utility.get(usize::from(r)).copied().unwrap_or(0.0);
        let earns = |r: u8| c.priority_weight * worth(r) - self.price * self.kb(class, r);
        let last = top.min(c.max_rung).min(self.last_rung());
        (c.min_rung..=last).fold(c.min_rung, |best, r| if earns(r) > earns(best) { r } else { best })
    }

    // ---- admission ----

    fn holders(&self, ask: &SessionRequest) -> Vec<ServerId> {
        let cells = self.s.cells.max(1);
        let held = (0..ask.cell_count.min(cells)).map(|i| (ask.first_cell % cells + i) % cells);
        held.filter_map(|cell| self.cells.get(&(cell as u16))).flatten().copied().collect()
    }

    fn leave(&self, class: u8, server: &Server) -> CrossZonePolicy {
        self.leaves.get(&(server.is.zone, class)).copied().unwrap_or_default()
    }

    /// The rung, and so the region, that a server offers: `held` is the one that the session has there.
    fn offer(&self, ask: &SessionRequest, id: ServerId, held: Option<u8>) -> Option<u8> {
        let server = self.servers.get(&id)?;
        let class = self.class(ask.class)?;
        let top = ask.max_rung.min(class.max_rung).min(self.last_rung());
        let held_kb = held.map_or(0.0, |rung| self.kb(ask.class, rung));
        let (link, uplink) = (self.fill(server), self.uplink_fill(server.rack));
        let alike = if held.is_some() { self.alike(server) } else { 1.0 };
        if top < class.min_rung
            || self.s.rung_kb.is_empty()
            || held.is_none() && self.streams(server) + 1.0 > server.places
        {
            return None;
        }
        let priced = self.priced(ask.class, top);
        // Danger: raises up to a rough limit are taken back by relief, at a price each.
        let mark = if held.is_some() { LOW_MARK } else { HEADROOM };
        let fits = |kb: f64, mark: f64| {
            let more = kb - held_kb;
            link + more * alike / server.gauge.gives <= mark
                && uplink + more * alike / self.racks[server.rack].uplink.gives <= mark
        };
        let offered = (class.min_rung..=top).rev().find(|rung| {
            let (kb, region) = (self.kb(ask.class, *rung), usize::from(*rung));
            let spread = self.sums.region_kb[region] / self.sums.own_kb.max(1.0);
            let inside = if held == Some(*rung) { held_kb } else { 0.0 };
            let occupied = link * server.gauge.gives * spread - inside;
            let slots = (f64::from(server.slots[region]) + 0.5) * self.s.rung_kb[region] * self.sums.factor;
            fits(kb, LOW_MARK) && *rung <= priced || fits(kb, mark) && occupied + kb <= slots
        });
        // Regions lag and rates are rough: while the link is measured to have room, the lowest rung goes.
        let room = held.is_none() && fits(self.kb(ask.class, class.min_rung), HEADROOM);
        offered.or(room.then_some(class.min_rung))
    }

    /// Streams that a server is thought to run: ours, and others at the mean rate of ours.
    fn streams(&self, server: &Server) -> f64 {
        let others = (self.fill(server) * server.gauge.gives - server.use_kb).max(0.0);
        server.here.len() as f64 + others / self.each_kb.max(1.0)
    }

    /// How often a raise of ours happens: once a front that hears the same news, a stream there at most.
    fn alike(&self, server: &Server) -> f64 {
        self.streams(server).min(f64::from(self.s.replica_count)).max(1.0)
    }

    /// Departure: a raise that fits only if few do alike is made with the probability that fills the room.
    /// Danger: many fronts with a session each raise nothing. Harm: by chance too many act; relief follows.
    fn lucky(&mut self, id: ServerId, request: RequestId) -> Option<u8> {
        let (server, session) = (self.servers.get(&id)?, self.sessions.get(&request)?);
        let rung = self.priced(session.ask.class, session.ask.max_rung);
        let more = self.kb(session.ask.class, rung) - self.kb(session.ask.class, session.rung);
        let (alike, uplink) = (self.alike(server), &self.racks[server.rack].uplink);
        let room = (CHANCE_FILL - self.fill(server)) * server.gauge.gives / (more * alike).max(1.0);
        let above = (CHANCE_FILL - self.uplink_fill(server.rack)) * uplink.gives / (more * alike).max(1.0);
        let acts = f64::from(self.rng.0.rand_float()) < room.min(above);
        (acts && rung > session.rung).then_some(rung)
    }

    fn usable(&self, now: Time, id: ServerId, free: bool) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        let slow = (4.0 * self.setup).max(0.3 * SECOND as f64) as u64;
        let mut flights = self.here(server).map(|(_, s)| s).filter(|s| !s.playing).peekable();
        let trial = server.doubts > 0 && (!free || flights.peek().is_some());
        let stuck = flights.any(|s| since(now, s.waiting.max(self.resumed)) > slow);
        let turn = || turn(&self.s, server, id, now).filter(|turn| *turn >= server.next_turn);
        let cold = now < server.cold_until && (now < server.next_cold || turn().is_none());
        server.is.lifecycle == Lifecycle::Ready && now >= server.blocked && !(stuck || trial || cold)
    }

    /// Whether an attempt that was decided and has not left, as one whose connection comes about late, may
    /// leave still: its server takes new work, and neither its turn at a cold one nor its time has passed.
    pub fn may_send(&self, now: Time, request: RequestId) -> bool {
        let session = self.sessions.get(&request).filter(|s| !s.closed && now < s.ask.deadline);
        let at = session.and_then(|s| Some((s, s.server?, self.servers.get(&s.server?)?)));
        at.is_some_and(|(s, id, server)| {
            let in_turn = || turn(&self.s, server, id, now).is_some_and(|turn| turn <= s.waiting);
            server.is.lifecycle == Lifecycle::Ready && (now >= server.cold_until || in_turn())
        })
    }

    /// Two random holders: the higher rung offered, then the lighter; the others only when both are full.
    fn choose(&mut self, now: Time, request: RequestId, over_share: bool) -> Option<(ServerId, u8)> {
        let session = self.sessions.get(&request)?;
        let ask = session.ask.clone();
        let class = self.class(ask.class)?;
        let (free, floor) = (class.idempotency == Idempotency::Idempotent, class.min_rung);
        let mut ids = self.holders(&ask);
        ids.retain(|id| {
            let server = &self.servers[id];
            let open = self.leave(ask.class, server) != CrossZonePolicy::Forbidden;
            open && self.usable(now, *id, free)
                && !session.tried.contains(id)
                && self.in_group(session, server)
        });
        let mut order: Vec<_> =
            ids.drain(..).map(|id| (self.leave(ask.class, &self.servers[&id]), id)).collect();
        order.sort_by_cached_key(|(leave, _)| (*leave, self.rng.0.rand_u32()));
        order.iter().for_each(|(_, id)| self.size(now, *id));
        // Where leaving a zone is the last resort, its servers are asked after all others.
        order.chunk_by(|a, b| a.0 == b.0).flat_map(|alike| alike.chunks(2)).find_map(|pair| {
            let offers = pair.iter().filter_map(|(_, id)| {
                let server = &self.servers[id];
                let fill = self.fill(server).max(self.uplink_fill(server.rack));
                let away = if server.is.zone != self.s.zone { self.s.cross_zone_price } else { 0.0 };
                let offer = self.offer(&ask, *id, None)?;
                let rung = if over_share { floor } else { offer };
                (!over_share || fill <= LOW_MARK).then_some((*id, rung, fill + away))
            });
            offers.min_by(|a, b| b.1.cmp(&a.1).then(a.2.total_cmp(&b.2))).map(|(id, rung, _)| (id, rung))
        })
    }

    // ---- raises ----

    /// Raises sessions at a server, the nearest lower region first and the longest waiting in it.
    fn raise(&mut self, now: Time, id: ServerId, out: &mut Out) {
        let there = |s: &&Server| s.is.lifecycle != Lifecycle::Removed && now >= s.blocked;
        let Some(server) = self.servers.get(&id).filter(there) else { return };
        let news = server.news;
        let repaid = |h: u64, s: &Session| {
            seconds(after(s.started, h), now) > REPAID * self.s.rung_change_cost_seconds
        };
        let fit = |s: &Session| {
            s.playing && now >= s.hold && !s.closed && s.ask.duration_hint.is_none_or(|h| repaid(h, s))
        };
        let open = |s: &Session| self.leave(s.ask.class, server) != CrossZonePolicy::Forbidden;
        let ready = self.here(server).filter(|(_, s)| fit(s) && open(s));
        let mut waiting: Vec<_> = ready.map(|(r, s)| (std::cmp::Reverse(s.rung), s.waiting, r)).collect();
        self.size(now, id);
        self.servers.entry(id).and_modify(|s| s.news = false);
        waiting.sort();
        for (_, _, request) in waiting {
            let Some(session) = self.sessions.get(&request) else { continue };
            let held = session.rung;
            let sure = self.offer(&session.ask, id, Some(held)).filter(|rung| *rung > held);
            if let Some(rung) = sure.or_else(|| self.lucky(id, request).filter(|_| news)) {
                self.set_rung(now, request, rung, self.paced(RAISE_PAUSE), out);
            }
        }
    }

    fn place(&mut self, now: Time, request: RequestId, rung: u8) {
        self.book(now, request, false);
        self.sessions.entry(request).and_modify(|s| s.rung = rung);
        self.book(now, request, true);
    }

    fn set_rung(&mut self, now: Time, request: RequestId, rung: u8, hold: u64, out: &mut Out) {
        self.place(now, request, rung);
        self.sessions.entry(request).and_modify(|s| (s.waiting, s.hold) = (now, after(now, hold)));
        out.push(Action::SetRung { request, rung });
    }

    /// A session's highest rung changes. Harm: one lowered here waits its pause before it may rise again.
    fn cap(&mut self, now: Time, request: RequestId, top: u8, out: &mut Out) {
        let Some(session) = self.sessions.get(&request) else { return };
        let top = top.max(self.class(session.ask.class).map_or(0, |c| c.min_rung));
        let lower = session.playing && !session.closed && session.rung > top;
        self.sessions.entry(request).and_modify(|s| s.ask.max_rung = top);
        if lower {
            self.set_rung(now, request, top, self.paced(LOWER_PAUSE), out);
        }
    }

    /// Departure: where a link or uplink is measured to be overrun, each front lowers its part of the excess.
    fn relieve(&mut self, now: Time, id: ServerId, out: &mut Out) {
        let Some(server) = self.servers.get(&id) else { return };
        let x = self.fill(server).max(self.uplink_fill(server.rack));
        if x <= OVERRUN.0 || now < server.next_relief {
            return;
        }
        let mut need = server.use_kb * (1.0 - OVERRUN.1 / x);
        let here = self.here(server).filter(|(_, s)| s.playing && !s.closed);
        let down = |(request, s): (RequestId, &Session)| {
            let class = self.class(s.ask.class)?;
            let step = |lower: u8| {
                let l = usize::from(lower);
                let saved = (self.s.rung_kb[l + 1] - self.s.rung_kb[l]) * class.rate_factor;
                let lost = (self.s.rung_utility[l + 1] - self.s.rung_utility[l]) * class.priority_weight;
                (lost / saved.max(1e-9), saved, request, lower)
            };
            let least = if x > 1.5 { class.min_rung } else { s.rung.saturating_sub(1).max(class.min_rung) };
            Some((least..s.rung).rev().map(step).collect::<Vec<_>>())
        };
        let mut steps: Vec<(f64, f64, RequestId, u8)> = here.filter_map(down).flatten().collect();
        steps.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut to: BTreeMap<RequestId, u8> = BTreeMap::new();
        for (_, saved, request, rung) in steps {
            if need > f64::from(self.rng.0.rand_float()) * saved {
                let lowest = to.get(&request).map_or(rung, |r| rung.min(*r));
                to.insert(request, lowest);
            }
            need -= saved;
        }
        for (request, rung) in to {
            self.set_rung(now, request, rung, self.paced(LOWER_PAUSE), out);
        }
        let pause = self.s.update_delay.saturating_add(SECOND);
        self.servers.entry(id).and_modify(|s| s.next_relief = after(now, pause));
    }

    // ---- attempts, time-outs and refusals ----

    fn ask(&mut self, now: Time, ask: SessionRequest, out: &mut Out) {
        let request = ask.request;
        self.taken.push_back(now);
        if self.sessions.contains_key(&request) {
            return;
        }
        let over = self.over_share(now, ask.tenant);
        self.arrive(&ask);
        self.open(now, ask);
        if self.price == 0.0 {
            self.survey(now);
            self.reprice();
        }
        self.next(now, request, over, out);
    }

    fn next(&mut self, now: Time, request: RequestId, over_share: bool, out: &mut Out) {
        let chosen =
            if self.may_attempt(now, request) { self.choose(now, request, over_share) } else { None };
        let Some(session) = self.sessions.get_mut(&request) else { return };
        let Some((id, rung)) = chosen else {
            let effect = self.s.classes.get(usize::from(session.ask.class)).map(|c| c.idempotency);
            let harmless = matches!(
                effect,
                None | Some(Idempotency::Idempotent | Idempotency::IdempotentWithin(RetryScope::All))
            );
            let reject = Action::Reject { request, retry_after: self.s.max_retry_after };
            out.push(if harmless || session.ran.is_none() { reject } else { Action::Fail(request) });
            self.sessions.remove(&request);
            return;
        };
        let class = &self.s.classes[usize::from(session.ask.class)];
        let left = session.ask.deadline.0.saturating_sub(now.0);
        let part = (class.latency_objective / 2).max((4.0 * self.setup) as u64);
        let timeout = if class.idempotency == Idempotency::AtMostOnce { 0 } else { part.min(left) };
        (session.server, session.rung, session.waiting) = (Some(id), rung, now);
        self.extras.extend((!session.tried.is_empty()).then_some(now));
        session.tried.push(id);
        let set = &self.s;
        self.servers.entry(id).and_modify(|s| {
            (s.next_cold, s.next_turn) =
                (after(now, cold_interval(set, s).min(set.overload_window)), after(now, 1));
        });
        self.book(now, request, true);
        self.moves.push_back((now, 1.0));
        out.push(Action::SetRung { request, rung });
        out.push(Action::StartAttempt { request, server: id, timeout });
    }

    fn open(&mut self, now: Time, ask: SessionRequest) {
        self.mix.push_front((ask.class, ask.max_rung));
        self.mix.truncate(100);
        let request = ask.request;
        let session = Session { ask, waiting: now, hold: now, started: now, ..Session::default() };
        self.sessions.insert(request, session);
    }

    fn adopted(&mut self, now: Time, ask: SessionRequest, id: ServerId) {
        let request = ask.request;
        if self.sessions.contains_key(&request) {
            return;
        }
        let floor = self.class(ask.class).map_or(0, |c| c.min_rung);
        self.open(now, ask);
        if let Some(session) = self.sessions.get_mut(&request) {
            (session.server, session.rung, session.playing) = (Some(id), floor, true);
        }
        self.arrivals.0 += self.arrivals.1 / self.length();
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
                server.cold_until = server.cold_until.max(after(now, self.s.slow_start_duration));
            }
        }
    }

    fn ended(
        &mut self,
        now: Time,
        of: (RequestId, ServerId),
        end: (AttemptOutcome, bool, LoadReport),
        out: &mut Out,
    ) {
        let ((request, id), (outcome, closed, report)) = (of, end);
        let known = self.sessions.get(&request).is_some_and(|s| s.server == Some(id));
        if let Some(server) = self.servers.get_mut(&id) {
            let broke = matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::Reset);
            if broke && !server.broke {
                server.broke = true;
                server.cold_until = server.cold_until.max(after(now, 2 * self.s.slow_start_duration));
                server.next_turn = server.next_turn.max(now);
            }
            let late = outcome == AttemptOutcome::Timeout && since(now, self.resumed) > STALL;
            if broke || late || outcome == AttemptOutcome::ServerError {
                server.trouble(now);
            } else if outcome == AttemptOutcome::Rejected {
                server.gauge.x = server.gauge.x.max(self.s.server_rejection_threshold.min(1.0));
            }
        }
        if known {
            self.book(now, request, false);
            self.moves.push_back((now, -1.0));
            self.report(now, id, &report);
        }
        let Some(session) = self.sessions.get_mut(&request).filter(|_| known) else { return };
        session.server = None;
        let never = matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        session.ran = session.ran.or((!never).then_some((id, session.waiting)));
        if session.playing || session.closed || closed || outcome == AttemptOutcome::Completed {
            self.ends += f64::from(u8::from(session.playing && outcome == AttemptOutcome::Completed));
            let lost = session.playing && outcome == AttemptOutcome::Reset;
            if let Some(session) = self.sessions.remove(&request).filter(|_| lost) {
                // A lost session's viewer comes again: its other holders count it as an arrival at once.
                self.arrive(&session.ask);
            }
            self.raise(now, id, out);
        } else {
            self.next(now, request, false, out);
        }
    }

    fn arrive(&mut self, ask: &SessionRequest) {
        let mut ids = self.holders(ask);
        ids.retain(|id| self.servers[id].is_up());
        self.arrivals.0 += 1.0;
        for id in &ids {
            self.servers.entry(*id).and_modify(|s| s.arrivals += 1.0 / ids.len() as f64);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Out) {
        let Some(last) = self.ticked else { return };
        if now <= last {
            return;
        }
        let past = seconds(now, last);
        self.seconds += past * self.sessions.values().filter(|s| s.playing).count() as f64;
        self.ticked = Some(now);
        out.push(Action::SetTimer { at: after(now, SECOND), token: 0 });
        let rate = self.arrivals.0 / self.arrivals.1.max(1.0);
        let kept = (-past * (1.0 / (COUNTED.0 * self.pace())).min(rate / COUNTED.1)).exp();
        self.arrivals = (self.arrivals.0 * kept, self.arrivals.1 * kept + past);
        self.servers.values_mut().for_each(|s| s.arrivals *= kept);
        if self.s.discovery_on_request && since(now, self.listed) > self.s.max_discovery_age / 2 {
            self.listed = now;
            out.push(Action::FetchEndpoints);
        }
        self.bury(now);
        self.survey(now);
        let weight = (self.sums.own * past / SAMPLE).min(1.0);
        self.each_kb += weight * (self.sums.own_kb / self.sums.own.max(1.0) - self.each_kb);
        self.reprice();
        let held = self.servers.iter().filter(|(_, s)| !s.here.is_empty());
        let ids: Vec<_> = held.map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.raise(now, id, out));
    }

    /// Forgets servers that are gone, once nothing of them can matter. Danger: where servers are replaced all
    /// the time, memory would grow for ever.
    fn bury(&mut self, now: Time) {
        let (cells, sessions) = (&mut self.cells, &self.sessions);
        self.servers.retain(|id, s| {
            let over = s.is.lifecycle == Lifecycle::Removed
                && s.here.is_empty()
                && now >= s.cold_until.max(s.blocked);
            let dead = over && !sessions.values().any(|s| s.ran.is_some_and(|(ran, _)| ran == *id));
            if dead {
                cells.entry(s.is.cell).or_default().remove(id);
            }
            !dead
        });
    }

    // ---- guards ----

    /// Whether an attempt breaks nothing: one at a time, in time, in caps, no second where one may have run.
    fn may_attempt(&mut self, now: Time, request: RequestId) -> bool {
        let window = now.0.saturating_sub(self.s.retry_budget_window);
        for times in [&mut self.taken, &mut self.extras] {
            times.retain(|t| t.0 >= window);
        }
        let Some(session) = self.sessions.get(&request) else { return false };
        let Some(class) = self.class(session.ask.class) else { return false };
        let open = !session.closed && session.server.is_none() && now < session.ask.deadline;
        let again = match (class.idempotency, session.ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::AtMostOnce, Some(_)) => false,
            (Idempotency::IdempotentWithin(_), Some((_, sent))) => since(now, sent) < class.retry_window,
        };
        let title = |s: &&Session| (s.ask.class, s.ask.title) == (session.ask.class, session.ask.title);
        let held = self.sessions.values().filter(|s| s.server.is_some()).filter(title);
        let seat = class.max_sessions_per_title == 0 || held.count() < class.max_sessions_per_title as usize;
        let share = self.s.retry_budget_ratio * self.taken.len() as f64;
        let allowed = self.s.retry_budget_min.map_or(f64::INFINITY, |floor| floor + share);
        open && again
            && seat
            && session.tried.len() < self.s.max_attempts.max(1) as usize
            && (session.tried.is_empty() || (self.extras.len() + 1) as f64 <= allowed)
    }

    /// A guarded class is sent again only within the group of the attempt that may have run.
    fn in_group(&self, session: &Session, server: &Server) -> bool {
        let Some(first) = session.ran.and_then(|(id, _)| self.servers.get(&id)) else { return true };
        match self.class(session.ask.class).map(|c| c.idempotency) {
            Some(Idempotency::IdempotentWithin(RetryScope::Zone)) => first.is.zone == server.is.zone,
            Some(Idempotency::IdempotentWithin(RetryScope::Cell)) => first.is.cell == server.is.cell,
            _ => true,
        }
    }

    fn over_share(&mut self, now: Time, tenant: u16) -> bool {
        let quota = self.s.tenant_quota.get(usize::from(tenant)).copied().unwrap_or(0.0);
        let rate = TENANT.0 * quota / f64::from(self.s.replica_count.max(1));
        let Some((used, at)) = self.tenants.get_mut(usize::from(tenant)) else { return false };
        *used = (*used - rate * seconds(now, *at)).max(0.0);
        *at = now;
        let within = rate <= 0.0 || *used + 1.0 <= rate * TENANT.1 + TENANT.2;
        *used += f64::from(u8::from(within));
        !within
    }
}

/// Time between a front's turns at a cold server, its warmth taken at the least: so long that all fronts'
/// turns that meet any span of the rule's length are what the rule allows in it, and one more at most.
fn cold_interval(s: &Settings, server: &Server) -> u64 {
    let pace = server.places.min(10_000.0) / s.slow_start_duration.max(1) as f64
        * s.slow_start_min_factor
        * s.overload_multiple;
    (f64::from(s.replica_count.max(1)) * COLD_MEETS / pace.max(1e-12)) as u64
}

/// When this front's turn at a cold server began, if it is in one: a set-up in each, for the rule's span from
/// its begin. Danger: turns reckoned from each front's own news or last set-up drift until they meet, and
/// unused ones that are kept add up until a crowd comes; so they lie on one grid from the start that the list
/// tells all, evenly spread over the fronts. Harm: many fronts leave a cold server idle.
fn turn(s: &Settings, server: &Server, id: ServerId, now: Time) -> Option<Time> {
    let (siblings, interval) = (u64::from(s.replica_count.max(1)), cold_interval(s, server).max(1));
    let place = (u64::from(s.front_index) + u64::from(id.0)) % siblings;
    let first = (interval as f64 * (place as f64 + 0.5) / siblings as f64) as u64;
    let late = since(now, server.is.started_at).checked_sub(first)? % interval;
    (late <= s.overload_window).then(|| Time(now.0 - late))
}

impl Server {
    fn is_up(&self) -> bool {
        self.is.lifecycle == Lifecycle::Ready && !self.broke
    }

    fn measure(&mut self, now: Time, value: f64, age: u64) {
        self.gauge.measure(now, value, age);
        self.news = true;
    }

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
