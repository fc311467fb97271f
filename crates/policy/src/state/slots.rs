//! Slots of the regions of a link, and the budget that they must fit. Nothing is decided here.

/// A split of a link into regions, with its benefit.
#[derive(Default)]
pub(crate) struct Split {
    /// Utility per second, by [`crate::erlang::benefit`].
    pub(crate) benefit: f64,
    /// Number of slots in each region, lowest rung first.
    pub(crate) slots: Vec<u32>,
}

/// The limits on the slots of a link's regions.
pub(crate) struct SlotBudget<'a> {
    /// Rates of the rungs, lowest first, kB per second.
    pub(crate) rung_kb: &'a [f64],
    /// Highest summed rate of all slots, kB per second.
    pub(crate) budget_kb: f64,
    /// Highest total number of slots.
    pub(crate) max_slots: u32,
}

impl SlotBudget<'_> {
    fn used_kb(&self, slots: &[u32]) -> f64 {
        slots.iter().zip(self.rung_kb).map(|(slots, kb)| f64::from(*slots) * kb).sum::<f64>()
    }

    /// Rate that these slots leave of the budget, kB per second; negative if they exceed it.
    pub(crate) fn free_kb(&self, slots: &[u32]) -> f64 {
        self.budget_kb - self.used_kb(slots)
    }

    /// Whether these slots are within the budget.
    pub(crate) fn fits(&self, slots: &[u32]) -> bool {
        self.used_kb(slots) <= self.budget_kb && slots.iter().sum::<u32>() <= self.max_slots
    }
}

/// Input of the sizing of a link, quantized on a logarithmic scale. Links with the same key share one result.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RegionKey {
    pub(crate) offered_step: i32,
    pub(crate) budget_step: i32,
    pub(crate) max_slots: u32,
}

/// Number of the logarithmic step that a value lies in; `width` is the width of a step in the natural logarithm.
pub(crate) fn log_step(value: f64, width: f64) -> i32 {
    (value.max(1e-3).ln() / width).round() as i32
}

/// The value in the middle of a step of [`log_step`].
pub(crate) fn step_value(step: i32, width: f64) -> f64 {
    (f64::from(step) * width).exp()
}
