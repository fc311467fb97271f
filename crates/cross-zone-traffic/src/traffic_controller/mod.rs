//! What a front keeps of its traffic between halls: the account, the budgets, and how events of sessions feed both.
//!
//! Events in, changes and orders out; times are given. The placement module is told what [`TrafficController::policy_changes`] says before a
//! request is placed, and what [`TrafficController::tick`] orders.
use crate::budget::FrontPosition;
use crate::cross_zone_admission::{
    BudgetStatus, CapReason, CrossZoneAdmission, CrossZoneLimit, CrossZonePolicy, RateCapChanges,
    SessionStart,
};
use crate::usage_accounting::{Flow, Purpose, SavedFlow, UsageAccount, UsageConfig as Keeping};
use crate::SECOND;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A count or report is waited for so many times its usual delay, and this much more.
const PATIENCE: (u64, u64) = (3, 2 * SECOND);
/// Reports of short delivery come once a second; one that is missing is bridged.
const HOLD: u64 = 2 * SECOND + SECOND / 2;
/// Flows kept apart at most.
const FLOWS: usize = 1024;
/// Mean length of sessions believed at first, seconds.
const LENGTH: f64 = 30.0;
/// The last word on an attempt that came to nothing is waited for so long.
const LAST_WORD: u64 = 30 * SECOND;

/// A class as far as traffic is concerned.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficClass {
    /// Whether it goes before the budget.
    pub paid: bool,
    /// Its rate at each rung, kB a second.
    pub kb: Vec<f64>,
}

/// What holds for a front.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficConfig {
    /// Which front it is.
    pub place: FrontPosition,
    /// Its zone, which is that of its viewers.
    pub zone: u8,
    /// Classes by number.
    pub classes: Vec<TrafficClass>,
    /// Budgets for what goes from other zones to its own.
    pub limits: Vec<CrossZoneLimit>,
    /// How late notes and reports are, nanoseconds.
    pub note_delay: u64,
}

/// An attempt to set a session up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptUsage {
    /// The attempt, never used twice.
    pub id: u64,
    /// Its number within its request, from 0.
    pub number: u8,
    /// Its server.
    pub server: u32,
    /// Class.
    pub class: u8,
    /// Tenant.
    pub tenant: u16,
    /// Group of titles.
    pub group: u16,
    /// Rung that it starts at.
    pub rung: u8,
}

/// A front's account and budgets.
#[derive(Clone, Debug)]
pub struct TrafficController {
    terms: TrafficConfig,
    account: UsageAccount,
    crossing: CrossZoneAdmission,
    zones: HashMap<u32, u8>,                       // Of servers.
    up: BTreeMap<u8, BTreeSet<u32>>,               // By zone.
    heard: HashMap<u32, u64>,                      // When a server last said anything.
    out: HashMap<u64, (AttemptUsage, Flow, bool)>, // Attempts under way, and whether they play.
    loose: BTreeMap<u64, (Flow, u64)>,             // Attempts that came to nothing, and when.
}

impl TrafficController {
    /// Nothing counted yet.
    pub fn new(terms: TrafficConfig) -> TrafficController {
        let settle = PATIENCE.0 * terms.note_delay + PATIENCE.1;
        let paid = terms.classes.iter().map(|c| c.paid).collect();
        TrafficController {
            account: UsageAccount::new(Keeping {
                settle,
                hold: HOLD,
                flows: FLOWS,
            }),
            crossing: CrossZoneAdmission::new(paid, &terms.limits, terms.place, LENGTH),
            zones: HashMap::new(),
            up: BTreeMap::new(),
            heard: HashMap::new(),
            out: HashMap::new(),
            loose: BTreeMap::new(),
            terms,
        }
    }

    fn kb(&self, class: u8, rung: u8) -> f64 {
        let rates = self.terms.classes.get(usize::from(class)).map(|c| &c.kb);
        rates
            .and_then(|kb| kb.get(usize::from(rung)))
            .copied()
            .unwrap_or(0.0)
    }

    // ---- servers ----

    /// A server is listed in a zone; whether it takes or ends work there.
    pub fn endpoint_listed(&mut self, server: u32, zone: u8, up: bool) {
        if let Some(before) = self
            .zones
            .insert(server, zone)
            .filter(|before| *before != zone)
        {
            self.up.entry(before).or_default().remove(&server);
            self.tell_up(before);
        }
        let there = self.up.entry(zone).or_default();
        let changed = if up {
            there.insert(server)
        } else {
            there.remove(&server)
        };
        if changed {
            self.tell_up(zone);
        }
        if !up {
            self.crossing.server_lost(zone, server);
        }
    }

    /// The whole list: what is not in it is no more.
    pub fn retain_endpoints(&mut self, servers: &BTreeSet<u32>) {
        let gone: Vec<(u32, u8)> = self
            .zones
            .iter()
            .filter(|(id, _)| !servers.contains(*id))
            .map(|(id, zone)| (*id, *zone))
            .collect();
        gone.into_iter()
            .for_each(|(id, zone)| self.endpoint_listed(id, zone, false));
    }

    fn tell_up(&mut self, zone: u8) {
        self.crossing
            .update_servers(zone, self.up.get(&zone).cloned().unwrap_or_default());
    }

    /// The zone that a server is listed in.
    pub fn zone(&self, server: u32) -> Option<u8> {
        self.zones.get(&server).copied()
    }

    /// A server lived until now, whether or not it does any more.
    pub fn server_alive(&mut self, server: u32, now: u64) {
        self.heard.insert(server, now);
    }

    /// A server said something.
    pub fn server_connected(&mut self, server: u32, now: u64) {
        self.server_alive(server, now);
        let zone = self.zones.get(&server).copied();
        if let Some(zone) = zone.filter(|zone| self.up.entry(*zone).or_default().insert(server)) {
            self.tell_up(zone);
        }
    }

    /// A server can't be reached: until it is heard again nothing crosses from it.
    pub fn server_lost(&mut self, server: u32) {
        if let Some(zone) = self.zones.get(&server).copied() {
            self.up.entry(zone).or_default().remove(&server);
            self.crossing.server_lost(zone, server);
        }
    }

    /// A server reports what crosses from it to this front's zone, kB a second by class, all fronts together.
    pub fn usage_reported(&mut self, server: u32, kb: BTreeMap<u8, f64>, now: u64) {
        self.server_connected(server, now);
        if let Some(zone) = self.zones.get(&server) {
            self.crossing.usage_reported(
                *zone,
                server,
                now.saturating_sub(self.terms.note_delay),
                kb,
            );
        }
    }

    /// A server says what share of all rates it delivers; heard now, it speaks of the time before its delay.
    pub fn delivery_reported(&mut self, server: u32, share: f64, now: u64) {
        self.server_connected(server, now);
        self.account
            .share(server, share, now.saturating_sub(self.terms.note_delay));
    }

    // ---- sessions ----

    /// A request of a class came.
    pub fn session_requested(&mut self, class: u8, now: u64) {
        self.crossing.session_requested(now, class);
    }

    /// An attempt goes out.
    pub fn attempt_started(&mut self, attempt: AttemptUsage) {
        let flow = Flow {
            from: self
                .zones
                .get(&attempt.server)
                .copied()
                .unwrap_or(self.terms.zone),
            to: self.terms.zone,
            class: attempt.class,
            tenant: attempt.tenant,
            group: attempt.group,
            purpose: if attempt.number > 0 {
                Purpose::Again
            } else {
                Purpose::Playing
            },
        };
        self.out.insert(attempt.id, (attempt, flow, false));
    }

    /// An attempt came to play.
    pub fn session_established(&mut self, id: u64, now: u64) {
        let Some((attempt, flow, plays)) = self.out.get_mut(&id) else {
            return;
        };
        *plays = true;
        let (attempt, flow) = (*attempt, *flow);
        let (kb, least_kb) = (
            self.kb(attempt.class, attempt.rung),
            self.kb(attempt.class, 0),
        );
        self.account.start(id, flow, attempt.server, kb, now);
        if flow.crosses() {
            let home_up = self
                .up
                .get(&self.terms.zone)
                .is_some_and(|up| !up.is_empty());
            let cause = if home_up {
                CapReason::HallFull
            } else {
                CapReason::HallLost
            };
            let (session, from, class) = (id, flow.from, flow.class);
            self.crossing.start(
                now,
                SessionStart {
                    session,
                    from,
                    class,
                    kb,
                    least_kb,
                    cause,
                },
            );
        }
    }

    /// A session's rung changed.
    pub fn rung_changed(&mut self, id: u64, rung: u8, now: u64) {
        let Some((attempt, ..)) = self.out.get(&id) else {
            return;
        };
        let kb = self.kb(attempt.class, rung);
        self.account.rate(id, kb, now);
        self.crossing.rate(now, id, kb);
    }

    /// An attempt or session is over. `lost`: its server is gone and will say nothing more; then it flowed until the
    /// server was last heard.
    pub fn attempt_ended(&mut self, id: u64, lost: bool, now: u64) {
        let Some((attempt, flow, plays)) = self.out.remove(&id) else {
            return;
        };
        if plays {
            let heard = self.heard.get(&attempt.server).copied().filter(|_| lost);
            self.account.end(id, heard.unwrap_or(now).min(now));
            self.crossing.end(now, id);
        } else {
            self.loose.insert(
                id,
                (
                    Flow {
                        purpose: Purpose::Nothing,
                        ..flow
                    },
                    now,
                ),
            );
        }
    }

    /// A server counted so many bytes for a session by now; heard now, it speaks of the time before its delay.
    pub fn bytes_counted(&mut self, id: u64, bytes: u64, now: u64) {
        if self.out.get(&id).is_some_and(|(.., plays)| *plays) {
            self.account
                .count(id, bytes, now.saturating_sub(self.terms.note_delay));
        }
    }

    /// A server's last word on an attempt or session: all that it sent.
    pub fn final_bytes_counted(&mut self, id: u64, bytes: u64, now: u64) {
        match self.loose.remove(&id) {
            Some((flow, _)) => self.account.once(flow, bytes, now),
            None => self.account.final_count(id, bytes),
        }
    }

    // ---- decisions ----

    /// Zones, classes and how these may leave for those: what changed since it was last asked. Tell it to the placement
    /// before a request is placed.
    pub fn policy_changes(&mut self, now: u64) -> Vec<(u8, u8, CrossZonePolicy)> {
        self.crossing.policy_changes(now)
    }

    /// Zones all of whose servers this front needs to hear now.
    pub fn zones_observed(&self, now: u64) -> BTreeSet<u8> {
        self.crossing.zones_observed(now)
    }

    /// Whether a server lies in one of these zones and is up.
    pub fn is_in_zones(&self, server: u32, zones: &BTreeSet<u8>) -> bool {
        let zone = self.zones.get(&server).filter(|zone| zones.contains(zone));
        zone.and_then(|zone| self.up.get(zone))
            .is_some_and(|up| up.contains(&server))
    }

    /// Call it about once a second; which sessions are to be lowered or may rise again.
    pub fn tick(&mut self, now: u64) -> RateCapChanges {
        self.loose
            .retain(|_, (_, at)| now.saturating_sub(*at) < LAST_WORD);
        self.crossing.tick(now)
    }

    /// Settles up to `most` sessions; whether that was the last of a round.
    pub fn settle_usage(&mut self, now: u64, most: usize) -> bool {
        self.account.settle_until(now, most)
    }

    /// Other terms from now on; what was counted, flows and is owed stays. Classes keep their numbers.
    pub fn change(&mut self, terms: TrafficConfig) {
        self.crossing.change(&terms.limits, terms.place);
        self.terms = terms;
    }

    // ---- what is told ----

    /// The account.
    pub fn usage(&self) -> &UsageAccount {
        &self.account
    }

    /// How the budgets stand.
    pub fn budget_statuses(&mut self, now: u64) -> Vec<BudgetStatus> {
        self.crossing.budget_statuses(now)
    }

    /// Takes over what an earlier life kept.
    pub fn restore(&mut self, kept: &[SavedFlow]) -> bool {
        self.account.restore(kept)
    }
}
