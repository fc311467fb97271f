//! Loss queues: the blocking probability (Erlang B) and the benefit of a chain of regions.

/// Queues whose recursions run side by side, so that their floating-point operations overlap.
const BATCH_WIDTH: usize = 8;
/// Steps of the recursion between two checks whether all queues of a batch are finished.
const STEPS_PER_CHECK: usize = 16;
/// Reciprocal of the smallest blocking probability that is not treated as 0; the recursion stops there.
const MAX_RECIPROCAL: f64 = 1e12;

/// A queue without waiting places: an arrival that finds all slots taken is lost.
#[derive(Clone, Copy)]
struct LossQueue {
    /// Offered load in erlangs.
    offered: f64,
    slots: u32,
}

/// State of a chain of regions at a rung: the utility earned per second so far, and the load that spills over to
/// the next lower region.
#[derive(Clone, Copy)]
struct Chain {
    earned: f64,
    overflow: f64,
}

/// Probability that a loss queue with `slots` places and `offered` erlangs rejects an arrival (Erlang B).
pub fn erlang_b(offered: f64, slots: u32) -> f64 {
    blocking_probabilities(&[LossQueue { offered, slots }])[0]
}

/// Blocking probability of each queue, as by [`erlang_b`].
fn blocking_probabilities(queues: &[LossQueue]) -> Vec<f64> {
    let mut blocking = Vec::with_capacity(queues.len());
    for batch in queues.chunks(BATCH_WIDTH) {
        let reciprocals = reciprocals(batch);
        let probabilities =
            batch.iter().zip(reciprocals).map(|(queue, reciprocal)| queue.blocking(reciprocal));
        blocking.extend(probabilities);
    }
    blocking
}

/// Reciprocals of the blocking probabilities of a batch, by the numerically stable recursion
/// `r(n) = 1 + n / offered * r(n - 1)`. Dividing by `offered` once in advance keeps divisions out of the loop.
fn reciprocals(batch: &[LossQueue]) -> [f64; BATCH_WIDTH] {
    let mut per_erlang = [0.0; BATCH_WIDTH];
    let mut slots = [0.0; BATCH_WIDTH];
    for (i, queue) in batch.iter().enumerate() {
        per_erlang[i] = 1.0 / queue.offered;
        slots[i] = f64::from(queue.slots);
    }
    let mut reciprocals = [1.0; BATCH_WIDTH];
    let max_slots = slots.iter().fold(0.0, |max: f64, slots| max.max(*slots));
    let mut step = 0.0;
    // Further slots only lower a probability, so a queue that is past the limit is finished.
    while step < max_slots
        && reciprocals.iter().zip(&slots).any(|(value, slots)| step < *slots && *value <= MAX_RECIPROCAL)
    {
        for _ in 0..STEPS_PER_CHECK {
            step += 1.0;
            for i in 0..BATCH_WIDTH {
                let next = 1.0 + step * per_erlang[i] * reciprocals[i];
                reciprocals[i] = if step <= slots[i] { next } else { reciprocals[i] };
            }
        }
    }
    reciprocals
}

impl LossQueue {
    /// The blocking probability, given its reciprocal from the recursion. Without load nothing is blocked, unless
    /// there are no slots at all.
    fn blocking(&self, reciprocal: f64) -> f64 {
        let no_load = self.offered.is_nan() || self.offered <= 0.0;
        let never_blocks = if no_load { self.slots > 0 } else { reciprocal > MAX_RECIPROCAL };
        if never_blocks {
            0.0
        } else {
            1.0 / reciprocal.max(1.0)
        }
    }
}

/// Utility per second that regions of `slots` (lowest rung first) earn, which is Eq. 1 over the mean session
/// length. Sessions start in the highest region and spill over downwards; each one that finds no slot at all costs
/// `penalty`.
pub fn benefit(offered: f64, slots: &[u32], utility: &[f64], penalty: f64) -> f64 {
    benefits(offered, &[slots.to_vec()], utility, penalty)[0]
}

/// [`benefit`] of each split, with the recursions of all splits run in batches.
pub(crate) fn benefits(offered: f64, splits: &[Vec<u32>], utility: &[f64], penalty: f64) -> Vec<f64> {
    let mut chains = vec![Chain { earned: 0.0, overflow: offered }; splits.len()];
    for (rung, utility) in utility.iter().enumerate().rev() {
        let slots = splits.iter().map(|slots| slots.get(rung).copied().unwrap_or(0));
        let queues: Vec<_> = chains
            .iter()
            .zip(slots)
            .map(|(chain, slots)| LossQueue { offered: chain.overflow, slots })
            .collect();
        for (chain, blocking) in chains.iter_mut().zip(blocking_probabilities(&queues)) {
            let lost = chain.overflow * blocking;
            chain.earned += (chain.overflow - lost) * utility;
            chain.overflow = lost;
        }
    }
    chains.into_iter().map(|chain| chain.earned - penalty * chain.overflow).collect()
}
