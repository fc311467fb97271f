use super::*;
use crate::script::{fleet_config, FLEET};

fn at(second: u64, seen: Seen) -> Record {
    Record {
        at: start_of(second),
        seen,
    }
}

/// A paid session of a viewer in the north at a server in the south. Its rungs need 28 kB/s for 10 s and then 140 kB/s for
/// 10 s; half of these bytes are sent.
fn session_records() -> [Record; 4] {
    let name = || "a".to_owned();
    let set_up = Seen::SetUp {
        name: name(),
        server: 1, // Servers with odd numbers are in the zone "south".
        front: "f".into(),
        bill: "b".into(),
        class: "licensed-view".into(),
        title: "clip-01".into(),
        rung: 0,
        zone: "north".into(),
    };
    let plays = Seen::Replied {
        name: name(),
        reply: Reply::Plays,
    };
    let new_rung = Seen::Rung {
        name: name(),
        rung: 3,
    };
    let ended = Seen::Ended {
        name: name(),
        bytes: 840_000,
    };
    [
        at(100, set_up),
        at(101, plays),
        at(111, new_rung),
        at(121, ended),
    ]
}

#[test]
fn rates_utility_and_flows_are_computed_from_records() {
    let config = fleet_config(FLEET).unwrap();
    let traffic = cross_zone_traffic(&session_records(), &config);
    let close = |actual: f64, expected: f64| (actual - expected).abs() < 1e-6 * expected.max(1.0);
    assert!(close(traffic.seconds[&105].paid, 28.0) && close(traffic.seconds[&115].paid, 140.0));
    assert!(close(
        traffic.peak(start_of(100), start_of(130), 2).all,
        140.0
    ));
    assert_eq!(traffic.peak(start_of(100), start_of(130), 2).unpaid, 0.0);
    assert_eq!(
        traffic.below(50.0, start_of(105), start_of(130), 1),
        Some(16)
    );
    assert_eq!(
        traffic.below(10.0, start_of(105), start_of(121), 1),
        None,
        "the rate is still above 10 kB/s at the end"
    );
    let full_utility = 2.0 * (10.0 * 0.25 + 10.0 * 0.83);
    assert!(
        close(
            traffic.utility["licensed-view"],
            full_utility * 0.5 / FULL_DELIVERY
        ),
        "{:?}",
        traffic.utility
    );
    assert_eq!(traffic.bytes.values().sum::<u64>(), 840_000);
}
