//! Numbers of slots of each region of a link, and the budget that they must fit. No choice is made here.

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

    /// What these slots leave of the rate, kB a second; below 0 if they exceed it.
    pub(crate) fn free_kb(&self, slots: &[u32]) -> f64 {
        self.budget_kb - self.used_kb(slots)
    }

    /// Whether these slots are within the budget.
    pub(crate) fn fits(&self, slots: &[u32]) -> bool {
        self.used_kb(slots) <= self.budget_kb && slots.iter().sum::<u32>() <= self.max_slots
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
