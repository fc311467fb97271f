//! Pseudo-random numbers that depend only on a seed, so that runs can be reproduced.

/// A number from 0 (inclusive) to 1 (exclusive) that depends only on `seed`, computed by one step of SplitMix64. It
/// spreads the Retry-After of players that are rejected together, and serves as a source of pseudo-random numbers that
/// are the same in each run.
#[must_use]
pub fn jitter(seed: u64) -> f64 {
    let mut mixed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
