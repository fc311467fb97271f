use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// The time `seconds` seconds after the start of the clock.
fn at(seconds: u32) -> Time {
    Time::ZERO + seconds * SECOND
}

fn model_of_three_servers() -> FleetModel {
    let spec = ServerSpec {
        cores: 2,
        work: SECOND / 10,
        max_streams: 20,
        slow_start_duration: 10 * SECOND,
        slow_start_min_factor: 0.5,
        overload_multiple: 2.0,
        overload_window: SECOND,
        link_rejection_threshold: 0.0,
    };
    FleetModel::new(
        spec,
        &[(0, 1000.0), (0, 1000.0), (1, 1000.0)],
        vec![1500.0, 9000.0],
    )
}

#[test]
fn sessions_of_a_link_or_an_uplink_get_the_same_share() {
    let mut model = model_of_three_servers();
    model.set_up(0, 1, 500.0, at(1));
    assert_eq!(model.share(0), 1.0);
    model.set_up(0, 2, 1500.0, at(1));
    assert_eq!((model.link_demand(0), model.share(0)), (2.0, 0.5));
    model.set_up(1, 3, 1000.0, at(1));
    assert_eq!(
        (model.uplink_demand(1), model.share(1), model.share(2)),
        (2.0, 0.5, 1.0)
    );
    model.set_rate(0, 2, 0.0);
    model.end(1, 3);
    assert_eq!((model.share(0), model.streams(1)), (1.0, 0));
    model.set_slow(4.0);
    assert_eq!(model.share(0), 0.5);
}

#[test]
fn set_ups_wait_for_cores_and_are_rejected_beyond_the_maximum_of_streams() {
    let mut model = model_of_three_servers();
    let results: Vec<SetUpResult> = (0..3)
        .map(|stream| model.set_up(0, stream, 1.0, at(1)))
        .collect();
    let (first, second) = (
        SetUpResult::DoneAt(at(1) + SECOND / 10),
        SetUpResult::DoneAt(at(1) + SECOND / 5),
    );
    assert_eq!(results, [first, first, second]);
    assert!((3..20).all(|n| model.set_up(0, n, 1.0, at(1)) != SetUpResult::Full));
    assert_eq!(model.set_up(0, 20, 1.0, at(1)), SetUpResult::Full);
}

#[test]
fn a_server_in_slow_start_warms_up_and_is_overloaded_by_too_many_set_ups() {
    let mut model = model_of_three_servers();
    model.start(0, at(100));
    assert_eq!(model.warm_up_progress(0, at(105)), 0.75);
    let set_up =
        |model: &mut FleetModel, n| model.set_up(0, n, 1.0, at(100) + Duration::from_nanos(1));
    assert!((0..3).all(|n| matches!(set_up(&mut model, n), SetUpResult::DoneAt(_))));
    assert_eq!(set_up(&mut model, 3), SetUpResult::Overloaded);
    model.start(0, at(100));
    let paced = (0..19).map(|n| model.set_up(0, u64::from(n), 1.0, at(100) + n * SECOND / 2));
    assert!(paced
        .into_iter()
        .all(|result| matches!(result, SetUpResult::DoneAt(_))));
}
