//! Reproducible pseudo-random numbers.

/// A number in 0..1 derived from `seed` (splitmix64). It spreads the Retry-After of clients that are rejected together,
/// and serves as a random source that repeats exactly in each run.
#[must_use]
pub fn jitter(seed: u64) -> f64 {
    let mut mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
