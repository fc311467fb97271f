//! Numbers of slots of each region of a link, and the budget that they must fit. No choice is made here.

/// For comparisons of rates.
pub(crate) const TOLERANCE: f64 = 1e-9;

/// The slots of each region and what they earn.
#[derive(Default)]
pub(crate) struct Split {
    pub(crate) benefit: f64,
    pub(crate) slots: Vec<u32>,
}

/// What the slots of a link's regions must fit.
pub(crate) struct SlotBudget<'a> {
    /// Rates of the rungs, lowest first, kB a second.
    pub(crate) rung_kb: &'a [f64],
    /// Rate of all slots at most, kB a second.
    pub(crate) budget_kb: f64,
    /// Number of all slots at most.
    pub(crate) max_slots: u32,
}

impl SlotBudget<'_> {
    fn used_kb(&self, slots: &[u32]) -> f64 {
        slots.iter().zip(self.rung_kb).map(|(slots, kb)| f64::from(*slots) * kb).sum::<f64>()
    }

    /// Whether these slots are within the budget.
    pub(crate) fn fits(&self, slots: &[u32]) -> bool {
        self.used_kb(slots) <= self.budget_kb + TOLERANCE && slots.iter().sum::<u32>() <= self.max_slots
    }

    /// Gives up as few slots of rung `from` as make way for `step` more of `to`, and adds as many as fit.
    pub(crate) fn trade(&self, slots: &[u32], from: usize, to: usize, step: f64) -> Vec<u32> {
        let mut traded = slots.to_vec();
        let equal = (step * self.rung_kb[to] / self.rung_kb[from].max(1e-9)).ceil().max(1.0);
        let fewer = if from == to { 0.0 } else { equal };
        traded[from] = traded[from].saturating_sub(fewer as u32);
        let free_kb = self.budget_kb + TOLERANCE - self.used_kb(&traded);
        let more = (free_kb / self.rung_kb[to].max(1e-9)).max(0.0) as u32;
        traded[to] += more.min(self.max_slots.saturating_sub(traded.iter().sum()));
        traded
    }
}

/// What the sizing of a link depends on, in steps: links with the same key are sized alike.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RegionKey {
    pub(crate) offered_step: i32,
    pub(crate) budget_step: i32,
    pub(crate) max_slots: u32,
}

/// Number of the step of relative width `width` that a value lies in.
pub(crate) fn log_step(value: f64, width: f64) -> i32 {
    (value.max(1e-3).ln() / width).round() as i32
}

/// The middle of a step.
pub(crate) fn step_value(step: i32, width: f64) -> f64 {
    (f64::from(step) * width).exp()
}
