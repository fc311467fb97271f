//! What the tests of the core stand on.
use crankpaddle::{Class, Effect as Kind};
use crankpaddle_front::Settings;

pub(crate) const MS: u64 = 1_000_000;
pub(crate) const SECOND: u64 = 1000 * MS;
pub(crate) const FREE: u8 = 0;
pub(crate) const PAID: u8 = 1;

pub(crate) fn settings() -> Settings {
    let class = |effect, worth| Class {
        aim: 800 * MS,
        effect,
        repeat_within: 0,
        worth,
        floor: 0,
        top: 2,
        rate_factor: 1.0,
        seats: 0,
        live: false,
    };
    Settings {
        siblings: 2,
        classes: vec![class(Kind::Free, 1.0), class(Kind::SingleShot, 2.0)],
        rung_kb: vec![200.0, 500.0, 1500.0],
        rung_worth: vec![0.2, 0.6, 1.0],
        cells: 6,
        racks: 2,
        places: vec![25],
        fleet_kb: 54_000.0,
        link_kb: 9000.0,
        uplink_kb: 27_000.0,
        join: 1.0,
        attempts_cap: 4,
        stay_away_cap: SECOND,
        cold: 10 * SECOND,
        cold_share: 0.5,
        fall_multiple: 2.0,
        fall: SECOND,
        ..Settings::default()
    }
}
