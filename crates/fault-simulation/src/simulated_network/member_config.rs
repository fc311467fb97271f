//! Names and configurations of the fronts of a simulated fleet.
use crankpaddle_membership::MembershipConfig;

/// The epoch of processes that start with the simulation, in milliseconds.
const FIRST_EPOCH: u64 = 1_000_000;
/// The key of the checksum of the fleet's datagrams.
const FLEET_KEY: [u8; 16] = [7; 16];

/// The name of the front with this number; it is also its address on the simulated network.
#[must_use]
pub fn front_name(number: usize) -> String {
    format!("front-{number}")
}

/// The number of the front with this name; `None` if the name is not one of [`front_name`].
#[must_use]
pub fn front_number(name: &str) -> Option<usize> {
    name.strip_prefix("front-")?.parse().ok()
}

/// The configuration of the front with this number, whose address is its name; it joins through the fronts in `seeds`.
#[must_use]
pub fn member_config(number: usize, seeds: &[usize]) -> MembershipConfig {
    MembershipConfig {
        name: front_name(number),
        address: front_name(number),
        epoch: FIRST_EPOCH,
        incarnation: number as u64 + 1,
        key: FLEET_KEY,
        seeds: seeds.iter().map(|seed| front_name(*seed)).collect(),
        ..MembershipConfig::default()
    }
}
