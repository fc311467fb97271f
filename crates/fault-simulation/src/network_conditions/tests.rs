use super::{Link, NetworkConditions};
use crate::scenario::DelayRange;
use crankpaddle_time::Time;
use std::time::Duration;

const NO_DELAY: DelayRange = DelayRange {
    min: Duration::from_nanos(0),
    max: Duration::from_nanos(0),
};
const SHORT_DELAY: DelayRange = DelayRange {
    min: Duration::from_nanos(1),
    max: Duration::from_nanos(9),
};

#[test]
fn a_link_at_its_bandwidth_queues_then_drops_without_affecting_other_links() {
    let mut rng = oorandom::Rand64::new(1);
    let mut conditions = NetworkConditions {
        bandwidth: 1000.0,
        ..NetworkConditions::without_faults(NO_DELAY)
    };
    let arrivals: Vec<Vec<Time>> = (0..4)
        .map(|_| conditions.arrivals(Time(0), Link { from: 0, to: 1 }, 500, &mut rng))
        .collect();
    assert_eq!(
        arrivals,
        [
            vec![Time(500_000_000)],
            vec![Time(1_000_000_000)],
            vec![Time(1_500_000_000)],
            vec![]
        ]
    );
    assert_eq!(
        conditions.arrivals(Time(0), Link { from: 1, to: 0 }, 500, &mut rng),
        [Time(500_000_000)]
    );
}

#[test]
fn datagrams_are_lost_duplicated_flooded_and_filtered_as_configured() {
    let mut rng = oorandom::Rand64::new(1);
    let mut conditions = NetworkConditions {
        loss_rate: 0.3,
        duplication_rate: 0.5,
        ..NetworkConditions::without_faults(SHORT_DELAY)
    };
    let arrivals: Vec<Time> = (0..10_000)
        .flat_map(|_| conditions.arrivals(Time(0), Link { from: 0, to: 1 }, 1, &mut rng))
        .collect();
    assert!(
        (arrivals.len() as f64 / 10_500.0 - 1.0).abs() < 0.05,
        "{}",
        arrivals.len()
    );
    assert!(arrivals.iter().all(|at| (Time(1)..=Time(9)).contains(at)));
    let mut conditions = NetworkConditions {
        floods: [(3, 50)].into(),
        ..NetworkConditions::without_faults(SHORT_DELAY)
    };
    assert_eq!(
        conditions
            .arrivals(Time(0), Link { from: 3, to: 1 }, 1, &mut rng)
            .len(),
        50
    );
    assert_eq!(
        conditions
            .arrivals(Time(0), Link { from: 1, to: 3 }, 1, &mut rng)
            .len(),
        1
    );
    conditions.link_filter = Box::new(|link| link.from != 3);
    assert!(conditions
        .arrivals(Time(0), Link { from: 3, to: 1 }, 1, &mut rng)
        .is_empty());
}
