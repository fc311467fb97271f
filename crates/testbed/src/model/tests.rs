use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// So many seconds after the start of the clock.
fn at(seconds: u32) -> Time {
    Time::ZERO + seconds * SECOND
}

fn model() -> Model {
    let spec = Spec {
        cores: 2,
        work: SECOND / 10,
        places: 20,
        slow_start_duration: 10 * SECOND,
        slow_start_min_factor: 0.5,
        overload_multiple: 2.0,
        overload_window: SECOND,
        guard: 0.0,
    };
    Model::new(
        spec,
        &[(0, 1000.0), (0, 1000.0), (1, 1000.0)],
        vec![1500.0, 9000.0],
    )
}

#[test]
fn links_and_uplinks_are_shared_alike() {
    let mut m = model();
    m.set_up(0, 1, 500.0, at(1));
    assert_eq!(m.share(0), 1.0);
    m.set_up(0, 2, 1500.0, at(1));
    assert_eq!((m.link_demand(0), m.share(0)), (2.0, 0.5));
    m.set_up(1, 3, 1000.0, at(1));
    assert_eq!(
        (m.uplink_demand(1), m.share(1), m.share(2)),
        (2.0, 0.5, 1.0)
    );
    m.set_rate(0, 2, 0.0);
    m.end(1, 3);
    assert_eq!((m.share(0), m.streams(1)), (1.0, 0));
    m.set_slow(4.0);
    assert_eq!(m.share(0), 0.5);
}

#[test]
fn set_ups_queue_for_cores_and_places() {
    let mut m = model();
    let done: Vec<SetUpResult> = (0..3).map(|n| m.set_up(0, n, 1.0, at(1))).collect();
    let (first, second) = (
        SetUpResult::DoneAt(at(1) + SECOND / 10),
        SetUpResult::DoneAt(at(1) + SECOND / 5),
    );
    assert_eq!(done, [first, first, second]);
    assert!((3..20).all(|n| m.set_up(0, n, 1.0, at(1)) != SetUpResult::Full));
    assert_eq!(m.set_up(0, 20, 1.0, at(1)), SetUpResult::Full);
}

#[test]
fn a_cold_server_warms_and_falls_when_pushed() {
    let mut m = model();
    m.start(0, at(100));
    assert_eq!(m.warm_up_progress(0, at(105)), 0.75);
    let sent = |m: &mut Model, n| m.set_up(0, n, 1.0, at(100) + Duration::from_nanos(1));
    assert!((0..3).all(|n| matches!(sent(&mut m, n), SetUpResult::DoneAt(_))));
    assert_eq!(sent(&mut m, 3), SetUpResult::Overloaded);
    m.start(0, at(100));
    let paced = (0..19).map(|n| m.set_up(0, u64::from(n), 1.0, at(100) + n * SECOND / 2));
    assert!(paced
        .into_iter()
        .all(|t| matches!(t, SetUpResult::DoneAt(_))));
}
