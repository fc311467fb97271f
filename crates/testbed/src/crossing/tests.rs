use super::*;
use crate::script::{fleet_config, FLEET};

#[test]
fn rates_utility_and_flows_follow_from_rungs_times_and_bytes() {
    let config = fleet_config(FLEET).unwrap();
    let at = |second: u64, seen| Record {
        at: start_of(second),
        seen,
    };
    let name = || "a".to_owned();
    let set_up = Seen::SetUp {
        name: name(),
        server: 1, // In the south.
        front: "f".into(),
        bill: "b".into(),
        class: "licensed-view".into(),
        title: "clip-01".into(),
        rung: 0,
        zone: "north".into(),
    };
    // 28 kB/s for 10 s, then 140 kB/s for 10 s; half of it is delivered.
    let records = [
        at(100, set_up),
        at(
            101,
            Seen::Replied {
                name: name(),
                reply: Reply::Plays,
            },
        ),
        at(
            111,
            Seen::Rung {
                name: name(),
                rung: 3,
            },
        ),
        at(
            121,
            Seen::Ended {
                name: name(),
                bytes: 840_000,
            },
        ),
    ];
    let all = crossed(&records, &config);
    let close = |a: f64, b: f64| (a - b).abs() < 1e-6 * b.max(1.0);
    assert!(close(all.seconds[&105].paid, 28.0) && close(all.seconds[&115].paid, 140.0));
    assert!(close(all.peak(start_of(100), start_of(130), 2).all, 140.0));
    assert_eq!(all.peak(start_of(100), start_of(130), 2).unpaid, 0.0);
    assert_eq!(all.below(50.0, start_of(105), start_of(130), 1), Some(16));
    assert_eq!(
        all.below(10.0, start_of(105), start_of(121), 1),
        None,
        "it never is"
    );
    let whole = 2.0 * (10.0 * 0.25 + 10.0 * 0.83);
    assert!(
        close(all.utility["licensed-view"], whole * 0.5 / FULL_DELIVERY),
        "{:?}",
        all.utility
    );
    assert_eq!(all.bytes.values().sum::<u64>(), 840_000);
}
