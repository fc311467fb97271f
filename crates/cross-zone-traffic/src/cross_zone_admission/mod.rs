//! What may start crossing between halls, what is lowered, and in which order it comes back.
//!
//! Which server and rung a request gets stays with the placement module; this says how it may choose from other zones.
//! Paid service goes before the budget: it crosses when its own hall can't serve it, the overdraft is counted with its
//! cause, and previews repay it by staying at home, or at their least rung, until the debt is down again; for a bounded
//! time, after which the rest is written off.
use crate::budget::{Budget, FrontPosition, SharedBudget};
use crate::quota_share::{QuotaShare, UsageReports};
use crate::SECOND;
pub use crankpaddle::CrossZonePolicy;
use std::collections::{BTreeMap, BTreeSet};

/// Over this level of the budget nothing but paid service starts to cross ...
const SHORT: f64 = 1.0;
/// ... until it is down here again. Danger: without the gap, each session that ends lets one start, and lowered ones
/// flap. Harm: a part of the burst lies unused.
const OPEN: f64 = 0.9;
/// Over this level previews that cross are lowered; overdrafts of paid service and lent parts that are given back lead
/// there.
const RELIEVE: f64 = 1.5;
/// Under this level those that were lowered may rise again, one a look, the least costly first.
const RESTORE: f64 = 0.6;
/// Relief happens no oftener than this: what was lowered must first show.
const RELIEF_PAUSE: u64 = 2 * SECOND;
/// Weight of a session that ended in the mean length.
const LEARN: f64 = 0.05;

/// Why paid service crossed beyond the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CapReason {
    /// No server of its own hall was up.
    HallLost,
    /// Its own hall had no room, or does not hold the title.
    HallFull,
}

/// A budget for what goes from a zone to this front's; `class`: for one class alone, else for all that have none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossZoneLimit {
    /// The zone of the servers.
    pub from: u8,
    /// The class.
    pub class: Option<u8>,
    /// What all fronts share.
    pub shared: SharedBudget,
}

/// A session that starts to cross.
#[derive(Clone, Copy, Debug)]
pub struct SessionStart {
    /// The session.
    pub session: u64,
    /// The zone of its server.
    pub from: u8,
    /// Its class.
    pub class: u8,
    /// Its rate, kB a second.
    pub kb: f64,
    /// That of its lowest rung.
    pub least_kb: f64,
    /// Why it crosses, should it be beyond the budget.
    pub cause: CapReason,
}

/// Sessions whose highest rung changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RateCapChanges {
    /// To their lowest.
    pub lower: Vec<u64>,
    /// As high as they may.
    pub restore: Vec<u64>,
}

/// How one budget stands.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetStatus {
    /// The budget.
    pub limit: CrossZoneLimit,
    /// This front's part of it.
    pub part: f64,
    /// Debt over this front's part of the burst.
    pub level: f64,
    /// kB a second that cross under it now, of paid service and of the rest.
    pub crossing_kb: (f64, f64),
    /// Bytes beyond it so far, by cause.
    pub overdrafts: BTreeMap<CapReason, f64>,
    /// Bytes that were written off.
    pub written_off: f64,
    /// Sessions at their lowest rung for it now.
    pub lowered: usize,
}

/// A session that crosses.
#[derive(Clone, Copy, Debug)]
struct Held {
    key: Key,
    paid: bool,
    kb: f64,
    least_kb: f64,
    full_kb: f64,  // What it had before it was lowered.
    expected: f64, // Bytes that are reserved for it.
    started: u64,
    since: u64, // Of the present rate, and the bytes before.
    sent: f64,
    lowered: bool,
    overdrawn: Option<CapReason>,
}

type Key = (u8, Option<u8>);

#[derive(Clone, Debug)]
struct Pool {
    budget: Budget,
    part: QuotaShare,
    short: bool,
    relieved: u64,
    overdrafts: BTreeMap<CapReason, f64>,
}

impl Pool {
    fn new(shared: SharedBudget, place: FrontPosition) -> Pool {
        Pool {
            budget: Budget::new(shared, place),
            part: QuotaShare::new(place.equal_part()),
            short: false,
            relieved: 0,
            overdrafts: BTreeMap::new(),
        }
    }

    /// A session is taken to send so much in all.
    fn correct(&mut self, now: u64, held: &Held, bytes: f64) {
        self.budget
            .correct(now, held.expected, bytes, held.overdrawn.is_some());
        if let Some(sum) = held
            .overdrawn
            .and_then(|cause| self.overdrafts.get_mut(&cause))
        {
            *sum = (*sum + bytes - held.expected).max(0.0);
        }
    }

    fn look(&mut self, now: u64) {
        let level = self.budget.level(now);
        self.short = level >= if self.short { OPEN } else { SHORT };
    }
}

/// The crossing traffic of one front, whose viewers are in one zone.
#[derive(Clone, Debug)]
pub struct CrossZoneAdmission {
    paid: Vec<bool>, // By class.
    pools: BTreeMap<Key, Pool>,
    held: BTreeMap<u64, Held>,
    reports: BTreeMap<u8, UsageReports>, // By the zone of the servers.
    servers: BTreeMap<u8, BTreeSet<u32>>, // Those that are up.
    told: BTreeMap<(u8, u8), CrossZonePolicy>,
    length: f64, // Mean length of sessions, seconds.
}

impl CrossZoneAdmission {
    /// `paid`: for each class whether it goes before the budget. A zone without a budget is free. `length`: mean length
    /// of sessions, seconds, until ends are seen.
    pub fn new(
        paid: Vec<bool>,
        limits: &[CrossZoneLimit],
        place: FrontPosition,
        length: f64,
    ) -> CrossZoneAdmission {
        let mut crossing = CrossZoneAdmission {
            paid,
            pools: BTreeMap::new(),
            held: BTreeMap::new(),
            reports: BTreeMap::new(),
            servers: BTreeMap::new(),
            told: BTreeMap::new(),
            length: length.max(0.1),
        };
        crossing.change(limits, place);
        crossing
    }

    fn key(&self, from: u8, class: u8) -> Option<Key> {
        [(from, Some(class)), (from, None)]
            .into_iter()
            .find(|key| self.pools.contains_key(key))
    }

    fn is_paid(&self, class: u8) -> bool {
        self.paid.get(usize::from(class)).copied().unwrap_or(false)
    }

    /// How a class may be served from a zone now.
    pub fn policy(&mut self, now: u64, from: u8, class: u8) -> CrossZonePolicy {
        let paid = self.is_paid(class);
        let Some(pool) = self
            .key(from, class)
            .and_then(|key| self.pools.get_mut(&key))
        else {
            return CrossZonePolicy::Allowed;
        };
        pool.look(now);
        match (!pool.short && pool.budget.conforms(now, 0.0), paid) {
            (true, _) => CrossZonePolicy::Allowed,
            (false, true) => CrossZonePolicy::LastResort,
            (false, false) => CrossZonePolicy::Forbidden,
        }
    }

    /// What changed since this was last asked: zone, class and how it may leave. Call it before requests are placed.
    pub fn policy_changes(&mut self, now: u64) -> Vec<(u8, u8, CrossZonePolicy)> {
        let zones: BTreeSet<u8> = self.pools.keys().map(|(zone, _)| *zone).collect();
        let gone = self
            .told
            .keys()
            .filter(|(zone, _)| !zones.contains(zone))
            .copied();
        let classes = self.paid.len().min(256) as u16;
        let named = zones
            .iter()
            .flat_map(|zone| (0..classes).map(|class| (*zone, class as u8)));
        let all: Vec<(u8, u8)> = named.chain(gone).collect();
        let mut changed = Vec::new();
        for (zone, class) in all {
            let leave = self.policy(now, zone, class);
            if self.told.insert((zone, class), leave).unwrap_or_default() != leave {
                changed.push((zone, class, leave));
            }
        }
        changed
    }

    /// A request of a class came: where its budget holds it back, more of it is wanted.
    pub fn session_requested(&mut self, now: u64, class: u8) {
        let keys: BTreeSet<u8> = self.pools.keys().map(|(zone, _)| *zone).collect();
        for zone in keys {
            if self.policy(now, zone, class) != CrossZonePolicy::Allowed {
                let key = self.key(zone, class);
                let pool = key.and_then(|key| self.pools.get_mut(&key));
                pool.into_iter()
                    .for_each(|pool| pool.part.request_more(now));
            }
        }
    }

    /// A session starts to cross; gives the bytes that its budget did not have.
    pub fn start(&mut self, now: u64, start: SessionStart) -> f64 {
        let SessionStart {
            session,
            from,
            class,
            kb,
            least_kb,
            cause,
        } = start;
        let (expected, paid) = (kb * 1000.0 * self.length, self.is_paid(class));
        if self.held.contains_key(&session) {
            return 0.0;
        }
        let Some(key) = self.key(from, class) else {
            return 0.0;
        };
        let Some(pool) = self.pools.get_mut(&key) else {
            return 0.0;
        };
        let overdrawn = pool.budget.reserve(now, expected);
        if overdrawn > 0.0 {
            *pool.overdrafts.entry(cause).or_default() += overdrawn;
            self.repay(now, key, overdrawn);
        }
        let held = Held {
            key,
            paid,
            kb,
            least_kb,
            full_kb: kb,
            expected,
            started: now,
            since: now,
            sent: 0.0,
            lowered: false,
            overdrawn: (overdrawn > 0.0).then_some(cause),
        };
        self.held.insert(session, held);
        overdrawn
    }

    /// What a paid class overdrew in a budget of its own, the budgets of the zone's other classes repay.
    fn repay(&mut self, now: u64, key: Key, bytes: f64) {
        if key.1.is_none_or(|class| !self.is_paid(class)) {
            return; // Those who repay are under the same budget.
        }
        let free = |k: &Key| k.0 == key.0 && k.1.is_none_or(|class| !self.is_paid(class));
        let others: Vec<Key> = self.pools.keys().filter(|k| free(k)).copied().collect();
        for other in &others {
            if let Some(pool) = self.pools.get_mut(other) {
                pool.budget.charge(now, bytes / others.len() as f64);
            }
        }
    }

    /// The rate of a session changed.
    pub fn rate(&mut self, now: u64, session: u64, kb: f64) {
        let Some(held) = self.held.get_mut(&session) else {
            return;
        };
        flow(held, self.pools.get_mut(&held.key), kb, now, self.length);
    }

    /// A session is over.
    pub fn end(&mut self, now: u64, session: u64) {
        let Some(held) = self.held.remove(&session) else {
            return;
        };
        let sent = held.sent + held.kb * 1000.0 * seconds(held.since, now);
        self.length += LEARN * (seconds(held.started, now).max(0.1) - self.length);
        if let Some(pool) = self.pools.get_mut(&held.key) {
            pool.correct(now, &held, sent);
        }
    }

    /// The servers of a zone that are up.
    pub fn update_servers(&mut self, zone: u8, servers: BTreeSet<u32>) {
        self.servers.insert(zone, servers);
    }

    /// A server reports what crosses from it to this front's zone, for all fronts; `at`: the time that it speaks of.
    pub fn usage_reported(&mut self, zone: u8, server: u32, at: u64, kb: BTreeMap<u8, f64>) {
        self.reports.entry(zone).or_default().record(server, at, kb);
    }

    /// A server is lost: nothing crosses from it until it reports again.
    pub fn server_lost(&mut self, zone: u8, server: u32) {
        self.reports.entry(zone).or_default().server_removed(server);
        self.servers.entry(zone).or_default().remove(&server);
    }

    /// Zones whose servers' reports this front needs now: it wants more than its part of their budgets, or holds more.
    pub fn zones_observed(&self, now: u64) -> BTreeSet<u8> {
        let needs = |pool: &Pool| pool.part.has_demand(now) || pool.part.exceeds_equal_share();
        self.pools
            .iter()
            .filter(|(_, pool)| needs(pool))
            .map(|((zone, _), _)| *zone)
            .collect()
    }

    /// Charges what flowed meanwhile, finds the parts anew and says what is to be lowered or restored; call it about once
    /// a second. Danger: with the first expectation alone, sessions that end early give back at once while long ones
    /// are charged only when they end, and for as long as that the fronts are over their budget together (by a
    /// third, seen in a test).
    pub fn tick(&mut self, now: u64) -> RateCapChanges {
        // One pass without a search for each: this stands between players and their answers.
        let mut own: BTreeMap<Key, f64> = BTreeMap::new();
        for held in self.held.values_mut() {
            flow(
                held,
                self.pools.get_mut(&held.key),
                held.kb,
                now,
                self.length,
            );
            *own.entry(held.key).or_default() += held.kb;
        }
        let separate: BTreeSet<Key> = self.pools.keys().copied().collect();
        for (key, pool) in &mut self.pools {
            let rate = pool.budget.shared().rate_kb.max(1e-9);
            let none = (UsageReports::default(), BTreeSet::new());
            let reports = self.reports.get(&key.0).unwrap_or(&none.0);
            let servers = self.servers.get(&key.0).unwrap_or(&none.1);
            let under = |class: u8| match key.1 {
                Some(only) => only == class,
                None => !separate.contains(&(key.0, Some(class))),
            };
            let total = reports.total(now, servers.iter().copied(), under);
            let own = own.get(key).copied().unwrap_or(0.0);
            let part = pool
                .part
                .update(now, own / rate, total.map(|(at, kb)| (at, kb / rate)));
            pool.budget.set_part(now, part);
        }
        let keys: Vec<Key> = self.pools.keys().copied().collect();
        let mut orders = RateCapChanges::default();
        for key in keys {
            self.relieve(now, key, &mut orders);
            self.restore(now, key, &mut orders);
        }
        orders
    }

    fn level_of(&mut self, now: u64, key: Key) -> f64 {
        self.pools
            .get_mut(&key)
            .map_or(0.0, |pool| pool.budget.level(now))
    }

    /// Previews at their lowest, dearest first, until the debt is within the burst.
    fn relieve(&mut self, now: u64, key: Key, orders: &mut RateCapChanges) {
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        if pool.budget.level(now) <= RELIEVE || now < pool.relieved.saturating_add(RELIEF_PAUSE) {
            return;
        }
        pool.relieved = now;
        let mut there: Vec<(u64, f64)> = self
            .held
            .iter()
            .filter(|(_, h)| h.key == key && !h.paid && h.kb > h.least_kb)
            .map(|(session, h)| (*session, h.kb - h.least_kb))
            .collect();
        there.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        for (session, _) in there {
            if self.level_of(now, key) <= SHORT {
                return;
            }
            if let Some(held) = self.held.get_mut(&session) {
                (held.lowered, held.full_kb) = (true, held.kb);
                let least = held.least_kb;
                self.rate(now, session, least);
                orders.lower.push(session);
            }
        }
    }

    /// The least costly of those that were lowered, one a look.
    fn restore(&mut self, now: u64, key: Key, orders: &mut RateCapChanges) {
        if self.level_of(now, key) > RESTORE {
            return;
        }
        let lowered = self.held.iter().filter(|(_, h)| h.key == key && h.lowered);
        let cheapest = lowered
            .min_by(|a, b| a.1.full_kb.total_cmp(&b.1.full_kb))
            .map(|(session, _)| *session);
        if let Some(held) = cheapest.and_then(|session| self.held.get_mut(&session)) {
            held.lowered = false;
            orders.restore.extend(cheapest);
        }
    }

    /// How the budgets stand.
    pub fn budget_statuses(&mut self, now: u64) -> Vec<BudgetStatus> {
        let keys: Vec<Key> = self.pools.keys().copied().collect();
        keys.into_iter()
            .filter_map(|key| self.standing(now, key))
            .collect()
    }

    fn standing(&mut self, now: u64, key: Key) -> Option<BudgetStatus> {
        let level = self.level_of(now, key);
        let there = || self.held.values().filter(move |h| h.key == key);
        let kb = |paid: bool| {
            there()
                .filter(|h| h.paid == paid)
                .map(|h| h.kb)
                .sum::<f64>()
                + 0.0
        };
        let pool = self.pools.get(&key)?;
        Some(BudgetStatus {
            limit: CrossZoneLimit {
                from: key.0,
                class: key.1,
                shared: *pool.budget.shared(),
            },
            part: pool.budget.part(),
            level,
            crossing_kb: (kb(true), kb(false)),
            overdrafts: pool.overdrafts.clone(),
            written_off: pool.budget.written_off(),
            lowered: there().filter(|h| h.lowered).count(),
        })
    }

    /// Other budgets or another place from now on; what flows and what is owed stay. A zone without a budget any more
    /// is free, and sessions that flow under another one from now on are counted there.
    pub fn change(&mut self, limits: &[CrossZoneLimit], place: FrontPosition) {
        let key = |l: &CrossZoneLimit| (l.from, l.class);
        self.pools
            .retain(|k, _| limits.iter().any(|l| key(l) == *k));
        for limit in limits {
            let pool = self
                .pools
                .entry(key(limit))
                .or_insert_with(|| Pool::new(limit.shared, place));
            pool.budget.change(limit.shared, place);
            if pool.part.equal() != place.equal_part() {
                pool.part = QuotaShare::new(place.equal_part());
            }
        }
    }
}

/// A session flowed until now and goes on at a rate, for the mean length of sessions as far as is known.
fn flow(held: &mut Held, pool: Option<&mut Pool>, kb: f64, now: u64, length: f64) {
    held.sent += held.kb * 1000.0 * seconds(held.since, now);
    (held.kb, held.since) = (kb, now.max(held.since));
    let expected = held.sent + kb * 1000.0 * length;
    if let Some(pool) = pool {
        pool.correct(now, held, expected);
    }
    held.expected = expected;
}

fn seconds(from: u64, to: u64) -> f64 {
    to.saturating_sub(from) as f64 / SECOND as f64
}
