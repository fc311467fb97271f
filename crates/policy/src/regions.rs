//! Sizes the slot regions of a link, one for each rung, by loss queues, and prices the rungs.
use crate::erlang::{benefit, benefits};
use crate::interface::{ServerId, Time};
use crate::policy::INITIAL_SESSION_SECONDS;
use crate::state::{
    log_step, step_value, PlacementPolicy, RegionKey, RequestKind, SlotBudget, Split, TimeArithmetic,
    UplinkGroup, SECOND,
};

pub(crate) const ADMISSION_MAX_FILL: f64 = 0.9; // Fill of link and uplink that slots and set-ups may reach.
const PRICE_TARGET_FILL: f64 = 0.8; // Fill of all links that the price aims at for the expected sessions.
const PRICE_BISECTIONS: usize = 30; // Bisection steps of the search for the price.
pub(crate) const REPRESENTATIVE_SESSIONS: f64 = 30.0; // Sessions that make a representative sample.
const RESIZE_INTERVAL_NS: u64 = 10 * SECOND; // Time between two sizings of a server's regions.
const MIN_PAUSE_FACTOR: f64 = 0.1; // Pauses are not shortened below this fraction.
const OFFERED_STEP_WIDTH: f64 = 0.2; // Width (in ln) of the steps of offered load that are sized alike.
const BUDGET_STEP_WIDTH: f64 = 0.05; // Width (in ln) of the steps of rate budget that are sized alike.
pub(crate) const MAX_COUNTED_STREAMS: f64 = 10_000.0; // Higher stream capacities count as this one.
const MAX_TRADES: usize = 200; // Most trades of slots in one climb.
const INITIAL_TRADE_DIVISOR: u32 = 16; // A climb's first trades move 1/16 of the slots that it starts with.
const TRADE_SIZE_DIVISOR: f64 = 4.0; // The trade size is divided by this when no trade gains any more.
const TOLERANCE: f64 = 1e-9; // For comparisons of rates and of benefits.

/// The search for the slots of each rung that yield the highest benefit.
struct RegionSearch<'a> {
    offered: f64,
    utility: &'a [f64],
    penalty: f64, // Cost of a request that gets no slot.
    budget: SlotBudget<'a>,
}

impl RegionSearch<'_> {
    /// Hill climbing by trades of slots, from the allocation that has slots of rung `start` only.
    fn climb(&self, start: usize) -> Split {
        let slots = self.trade(&vec![0; self.budget.rung_kb.len()], start, start, 1.0);
        let mut best = Split { benefit: benefit(self.offered, &slots, self.utility, self.penalty), slots };
        // Starts with large trades: with hundreds of slots, trading single ones takes too long.
        let mut step = f64::from(best.slots[start] / INITIAL_TRADE_DIVISOR).max(1.0);
        for _ in 0..MAX_TRADES {
            match self.best_trade(&best.slots, step).filter(|next| next.benefit > best.benefit + TOLERANCE) {
                Some(next) => best = next,
                None if step > 1.0 => step = (step / TRADE_SIZE_DIVISOR).floor().max(1.0),
                None => break,
            }
        }
        best
    }

    /// The trade of `step` slots with the highest benefit; `None` if none fits the budget.
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

    /// Removes as few slots of rung `from` as make room for `step` of `to`, then adds as many of `to` as fit.
    fn trade(&self, slots: &[u32], from: usize, to: usize, step: f64) -> Vec<u32> {
        let (budget, rung_kb) = (&self.budget, self.budget.rung_kb);
        let mut traded = slots.to_vec();
        let replaced = (step * rung_kb[to] / rung_kb[from].max(TOLERANCE)).ceil().max(1.0);
        let removed = if from == to { 0.0 } else { replaced };
        traded[from] = traded[from].saturating_sub(removed as u32);
        let added = (budget.free_kb(&traded) / rung_kb[to].max(TOLERANCE)).max(0.0) as u32;
        traded[to] += added.min(budget.max_slots.saturating_sub(traded.iter().sum()));
        traded
    }
}

/// Slots of each rung, lowest first, with the highest benefit; their rates fit `budget`, kB per second.
/// The best of the hill climbs that start from a single rung each; their number of steps is bounded.
pub fn best_regions(offered: f64, rung_kb: &[f64], utility: &[f64], budget: f64, max_slots: u32) -> Vec<u32> {
    let penalty = utility.first().copied().unwrap_or(0.0);
    let budget = SlotBudget { rung_kb, budget_kb: budget + TOLERANCE, max_slots };
    let search = RegionSearch { offered, utility, penalty, budget };
    let splits = (0..rung_kb.len()).map(|start| search.climb(start));
    splits.max_by(|a, b| a.benefit.total_cmp(&b.benefit)).unwrap_or_default().slots
}

impl PlacementPolicy {
    /// Factor that shortens all pauses where sessions are shorter than the half minute they are meant for.
    pub(crate) fn pause_factor(&self) -> f64 {
        (self.mean_session_seconds() / INITIAL_SESSION_SECONDS).clamp(MIN_PAUSE_FACTOR, 1.0)
    }

    /// A pause of `nanoseconds`, shortened where sessions are short.
    pub(crate) fn scaled_pause(&self, nanoseconds: u64) -> u64 {
        (nanoseconds as f64 * self.pause_factor()) as u64
    }

    /// Sizes a server's regions if due. Its arrivals weigh as much as the mean once it expects one arrival.
    pub(crate) fn size_regions(&mut self, now: Time, id: ServerId) {
        let mean_arrivals = self.arrivals.requests / self.fleet.servers_up.max(1.0);
        let rate = mean_arrivals / self.arrivals.seconds.max(1.0);
        let mean_offered = rate * self.fleet.demand_over_own * self.mean_session_seconds();
        let interval = self.scaled_pause(RESIZE_INTERVAL_NS);
        let Some(server) = self.servers.get_mut(&id) else { return };
        if server.regions_sized_at.is_some_and(|sized_at| now.since(sized_at) < interval) {
            return;
        }
        server.regions_sized_at = Some(now);
        let group = &self.uplink_groups[server.uplink_group];
        let uplink_share = (group.uplink.capacity_kb / group.link_capacity_kb.max(1.0)).min(1.0);
        let budget_kb = ADMISSION_MAX_FILL * server.link.capacity_kb * uplink_share / self.fleet.rate_factor;
        let offered = mean_offered * (1.0 + server.arrivals) / (1.0 + mean_arrivals);
        let key = RegionKey {
            offered_step: log_step(offered, OFFERED_STEP_WIDTH),
            budget_step: log_step(budget_kb, BUDGET_STEP_WIDTH),
            max_slots: server.stream_capacity.min(MAX_COUNTED_STREAMS) as u32,
        };
        let settings = &self.settings;
        let slots = self.sized_regions.entry(key).or_insert_with(|| {
            let offered = step_value(key.offered_step, OFFERED_STEP_WIDTH);
            let budget_kb = step_value(key.budget_step, BUDGET_STEP_WIDTH);
            best_regions(offered, &settings.rung_kb, &settings.rung_utility, budget_kb, key.max_slots)
        });
        server.region_slots.clone_from(slots);
    }

    /// Sets the price of a kB at which all sessions fill the links to the target, if all react like ours.
    pub(crate) fn reprice(&mut self) {
        let demand_kb: f64 = (0..self.uplink_groups.len())
            .map(|group| self.uplink_fill(group) * self.uplink_groups[group].uplink.capacity_kb)
            .sum();
        let capacity_kb: f64 = self.uplink_groups.iter().map(UplinkGroup::capacity_kb).sum();
        let budget_kb = capacity_kb * PRICE_TARGET_FILL;
        // Where our own sessions are too few for a sample, recent requests are added.
        let kinds = self.session_kinds(REPRESENTATIVE_SESSIONS as usize);
        let (mut low, mut high) = (0.0, self.highest_price());
        for _ in 0..PRICE_BISECTIONS {
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

    /// A price at which no class gains from more than its lowest rung: the upper end of the search.
    fn highest_price(&self) -> f64 {
        let weights = self.settings.classes.iter().map(|c| c.priority_weight / c.rate_factor.max(1e-6));
        let lowest_kb = self.settings.rung_kb.first().map_or(1.0, |kb| kb.max(1e-6));
        weights.fold(0.0, f64::max) / lowest_kb
    }

    /// The rung with the highest utility less price of its rate.
    pub(crate) fn priced_rung(&self, kind: RequestKind) -> u8 {
        let Some(class) = self.class(kind.class) else { return 0 };
        let net_utility = |rung: u8| {
            let utility = self.settings.rung_utility.get(usize::from(rung)).copied().unwrap_or(0.0);
            class.priority_weight * utility - self.price_per_kb * self.rate_kb(kind.class, rung)
        };
        let max_rung = kind.max_rung.min(class.max_rung).min(self.last_rung());
        let better = |best: u8, rung: u8| if net_utility(rung) > net_utility(best) { rung } else { best };
        (class.min_rung..=max_rung).fold(class.min_rung, better)
    }
}
