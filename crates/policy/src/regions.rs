//! Slot regions of a link, one a rung: how they are sized by the loss queues, and which rung repays its rate.
use crate::erlang::{benefit, benefits};
use crate::interface::{ServerId, Time};
use crate::policy::INITIAL_SESSION_SECONDS;
use crate::state::{
    log_step, step_value, Nanoseconds, PlacementPolicy, RegionKey, RequestKind, SlotBudget, Split,
    UplinkGroup, SECOND,
};

pub(crate) const HEADROOM_MARK: f64 = 0.9; // Part of a link or uplink that slots may fill.
const PRICED_FILL: f64 = 0.8; // Part of the links that the expected sessions are priced to fill.
const PRICE_STEPS: usize = 30; // Halvings of the range that the price is sought in.
pub(crate) const REPRESENTATIVE_SESSIONS: f64 = 30.0; // So many sessions stand for all well enough.
const RESIZE_INTERVAL: u64 = 10 * SECOND; // Regions are sized again after this time, nanoseconds.
const PAUSE_FACTOR_MIN: f64 = 0.1; // Pauses are cut to this part at most.
const ALIKE_ARRIVALS: f64 = 0.2; // Links this close in arrivals (in the logarithm) ...
const ALIKE_CAPACITY: f64 = 0.05; // ... and this close in capacity are sized alike.
pub(crate) const MAX_PLACES: f64 = 10_000.0; // Streams of a server that are counted at most.
const MAX_TRADES: usize = 200; // Trades of slots in a climb.
const FIRST_TRADES: u32 = 16; // A climb's first trades move one in so many of all slots.
const TRADE_SHRINK: f64 = 4.0; // A trade that no longer gains is made so many times smaller.
const TOLERANCE: f64 = 1e-9; // For comparisons of rates and benefits.

/// The search for the slots that earn most.
struct RegionSearch<'a> {
    offered: f64,
    utility: &'a [f64],
    penalty: f64, // What a request that gets no slot costs.
    budget: SlotBudget<'a>,
}

impl RegionSearch<'_> {
    /// Climbs by trades from the split that has slots of rung `start` only.
    fn climb(&self, start: usize) -> Split {
        let slots = self.trade(&vec![0; self.budget.rung_kb.len()], start, start, 1.0);
        let mut best = Split { benefit: benefit(self.offered, &slots, self.utility, self.penalty), slots };
        // Why: with hundreds of slots, trades of single ones take too long.
        let mut step = f64::from(best.slots[start] / FIRST_TRADES).max(1.0);
        for _ in 0..MAX_TRADES {
            match self.best_trade(&best.slots, step).filter(|next| next.benefit > best.benefit + TOLERANCE) {
                Some(next) => best = next,
                None if step > 1.0 => step = (step / TRADE_SHRINK).floor().max(1.0),
                None => break,
            }
        }
        best
    }

    /// The trade of `step` slots that earns most.
    fn best_trade(&self, slots: &[u32], step: f64) -> Option<Split> {
        let rungs = self.budget.rung_kb.len();
        let pairs = (0..rungs).flat_map(|from| (0..rungs).map(move |to| (from, to)));
        let possible = pairs.filter(|(from, to)| from != to && slots[*from] > 0);
        let trades = possible.map(|(from, to)| self.trade(slots, from, to, step));
        let splits: Vec<_> = trades.filter(|slots| self.budget.fits(slots)).collect();
        let benefits = benefits(self.offered, &splits, self.utility, self.penalty);
        let valued = benefits.into_iter().zip(splits).map(|(benefit, slots)| Split { benefit, slots });
        valued.max_by(|a, b| a.benefit.total_cmp(&b.benefit))
    }

    /// Gives up as few slots of rung `from` as make way for `step` more of `to`, and adds as many as fit.
    fn trade(&self, slots: &[u32], from: usize, to: usize, step: f64) -> Vec<u32> {
        let (budget, rung_kb) = (&self.budget, self.budget.rung_kb);
        let mut traded = slots.to_vec();
        let equal = (step * rung_kb[to] / rung_kb[from].max(TOLERANCE)).ceil().max(1.0);
        let fewer = if from == to { 0.0 } else { equal };
        traded[from] = traded[from].saturating_sub(fewer as u32);
        let more = (budget.free_kb(&traded) / rung_kb[to].max(TOLERANCE)).max(0.0) as u32;
        traded[to] += more.min(budget.max_slots.saturating_sub(traded.iter().sum()));
        traded
    }
}

/// The regions that earn most: slots of each rung (lowest first) whose rates fit `budget`, up to `max_slots`.
/// A climb by trades of slots from each all-one-rung start, bounded in steps.
pub fn best_regions(offered: f64, rung_kb: &[f64], utility: &[f64], budget: f64, max_slots: u32) -> Vec<u32> {
    let penalty = utility.first().copied().unwrap_or(0.0);
    let budget = SlotBudget { rung_kb, budget_kb: budget + TOLERANCE, max_slots };
    let search = RegionSearch { offered, utility, penalty, budget };
    let splits = (0..rung_kb.len()).map(|start| search.climb(start));
    splits.max_by(|a, b| a.benefit.total_cmp(&b.benefit)).unwrap_or_default().slots
}

impl PlacementPolicy {
    /// Departure: pauses are for sessions of half a minute; where they are shorter, all goes faster.
    pub(crate) fn pause_factor(&self) -> f64 {
        (self.mean_session_seconds() / INITIAL_SESSION_SECONDS).clamp(PAUSE_FACTOR_MIN, 1.0)
    }

    /// A pause of `nanoseconds`, cut where sessions are short.
    pub(crate) fn scaled_pause(&self, nanoseconds: u64) -> u64 {
        (nanoseconds as f64 * self.pause_factor()) as u64
    }

    /// Sizes a link's regions if that is due. Its own arrivals weigh as much as the mean once it expects one.
    pub(crate) fn size_regions(&mut self, now: Time, id: ServerId) {
        let mean_arrivals = self.arrivals.requests / self.fleet.servers_up.max(1.0);
        let rate = mean_arrivals / self.arrivals.seconds.max(1.0);
        let mean_offered = rate * self.fleet.demand_over_own * self.mean_session_seconds();
        let interval = self.scaled_pause(RESIZE_INTERVAL);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.regions_sized_at.is_some_and(|sized_at| now.since(sized_at) < interval) {
            return;
        }
        server.regions_sized_at = Some(now);
        let group = &self.uplink_groups[server.uplink_group];
        let uplink_part = (group.uplink.capacity_kb / group.link_capacity_kb.max(1.0)).min(1.0);
        let budget_kb = HEADROOM_MARK * server.link.capacity_kb * uplink_part / self.fleet.rate_factor;
        let offered = mean_offered * (1.0 + server.arrivals) / (1.0 + mean_arrivals);
        let key = RegionKey {
            offered_step: log_step(offered, ALIKE_ARRIVALS),
            budget_step: log_step(budget_kb, ALIKE_CAPACITY),
            max_slots: server.stream_capacity.min(MAX_PLACES) as u32,
        };
        let settings = &self.settings;
        let slots = self.sized_regions.entry(key).or_insert_with(|| {
            let offered = step_value(key.offered_step, ALIKE_ARRIVALS);
            let budget_kb = step_value(key.budget_step, ALIKE_CAPACITY);
            best_regions(offered, &settings.rung_kb, &settings.rung_utility, budget_kb, key.max_slots)
        });
        server.region_slots.clone_from(slots);
    }

    /// Sets the price of a kB at which all sessions would just fill the links, if they grow as ours would.
    pub(crate) fn reprice(&mut self) {
        let demand_kb: f64 = (0..self.uplink_groups.len())
            .map(|group| self.uplink_fill(group) * self.uplink_groups[group].uplink.capacity_kb)
            .sum();
        let capacity_kb: f64 = self.uplink_groups.iter().map(UplinkGroup::capacity_kb).sum();
        let budget_kb = capacity_kb * PRICED_FILL;
        // A replica with few sessions prices for its recent requests too.
        let kinds = self.session_kinds(REPRESENTATIVE_SESSIONS as usize);
        let (mut low, mut high) = (0.0, self.highest_price());
        for _ in 0..PRICE_STEPS {
            self.price_per_kb = 0.5 * (low + high);
            let priced_kb: f64 =
                kinds.iter().map(|kind| self.rate_kb(kind.class, self.priced_rung(*kind))).sum();
            if priced_kb * demand_kb > budget_kb * self.mean_session_kb * kinds.len() as f64 {
                low = self.price_per_kb;
            } else {
                high = self.price_per_kb;
            }
        }
        self.price_per_kb = high;
    }

    /// A price at which no class repays more than its lowest rung.
    fn highest_price(&self) -> f64 {
        let weights = self.settings.classes.iter().map(|c| c.priority_weight / c.rate_factor.max(1e-6));
        let lowest_kb = self.settings.rung_kb.first().map_or(1.0, |kb| kb.max(1e-6));
        weights.fold(0.0, f64::max) / lowest_kb
    }

    /// The rung that earns most at the present price.
    pub(crate) fn priced_rung(&self, kind: RequestKind) -> u8 {
        let Some(class) = self.class(kind.class) else { return 0 };
        let earns = |rung: u8| {
            let utility = self.settings.rung_utility.get(usize::from(rung)).copied().unwrap_or(0.0);
            class.priority_weight * utility - self.price_per_kb * self.rate_kb(kind.class, rung)
        };
        let top = kind.max_rung.min(class.max_rung).min(self.last_rung());
        let better = |best: u8, rung: u8| if earns(rung) > earns(best) { rung } else { best };
        (class.min_rung..=top).fold(class.min_rung, better)
    }
}
