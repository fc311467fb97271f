//! Fleets of fronts on a simulated network, with deaths, partitions, loss, stalls and restarts. These tests check the bounds
//! that `docs/fleet.md` states.
use crankpaddle_fault_simulation::{
    front_name, member_config, Cluster, DelayRange, SentDatagram, SimulatedNetwork, MS, SECOND,
};
use crankpaddle_membership::{LocalHealth, MemberState, Membership, MembershipConfig};
use crankpaddle_time::Time;

/// The numbers of the first fronts of a fleet.
fn first_fronts(count: usize) -> Vec<usize> {
    (0..count).collect()
}

/// A fleet whose fronts have all seen each other as alive, without a false accusation.
fn joined_fleet(fronts: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::with_fleet(fronts, seed);
    let took = network.advance_until(30 * SECOND, |network| {
        network.all_see(
            &first_fronts(fronts),
            &first_fronts(fronts),
            MemberState::Alive,
        )
    });
    assert!(
        took.is_some(),
        "seed {seed}: not all {fronts} fronts joined"
    );
    network.run(5 * SECOND);
    assert!(
        network.accusations(Time(0)).is_empty(),
        "seed {seed}: false accusations while the fleet formed: {:?}",
        network.accusations(Time(0))
    );
    network
}

#[test]
fn fronts_join_through_one_seed_or_through_a_second_one_if_the_first_is_dead() {
    for seed in 1..4 {
        joined_fleet(40, seed);
    }
    let mut network = SimulatedNetwork::new(9);
    for front in 0..10 {
        network.start(member_config(front, &[99, 3]));
    }
    assert!(network
        .advance_until(30 * SECOND, |network| network.all_see(
            &first_fronts(10),
            &first_fronts(10),
            MemberState::Alive
        ))
        .is_some());
}

#[test]
fn twelve_of_forty_fronts_killed_at_once_are_detected_and_no_other_front_is_accused() {
    for seed in 1..6 {
        let mut network = joined_fleet(40, seed);
        let (dead, living): (Vec<usize>, Vec<usize>) = (first_fronts(12), (12..40).collect());
        dead.iter().for_each(|front| network.kill(*front));
        let from = network.now;
        let took = network.advance_until(60 * SECOND, |network| {
            network.all_see(&living, &dead, MemberState::Dead)
        });
        assert!(
            took.is_some_and(|duration| duration <= 40 * SECOND),
            "seed {seed}: {took:?}"
        );
        let false_accusations: Vec<_> = network
            .accusations(from)
            .into_iter()
            .filter(|accusation| {
                living
                    .iter()
                    .any(|front| front_name(*front) == accusation.accused)
            })
            .collect();
        assert!(
            false_accusations.is_empty(),
            "seed {seed}: {false_accusations:?}"
        );
    }
}

#[test]
fn no_front_is_declared_dead_with_20_percent_loss_and_jitter() {
    for seed in 1..6 {
        let mut network = joined_fleet(40, seed);
        (network.conditions.loss_rate, network.conditions.delay) = (
            0.2,
            DelayRange {
                min: 5 * MS,
                max: 150 * MS,
            },
        );
        let from = network.now;
        network.run(120 * SECOND);
        assert!(
            network.accusations(from).is_empty(),
            "seed {seed}: {:?}",
            network.accusations(from)
        );
    }
}

#[test]
fn five_fronts_paused_for_five_seconds_accuse_no_other_and_are_soon_alive_again() {
    for seed in 1..6 {
        let mut network = joined_fleet(40, seed);
        (0..5).for_each(|front| network.pause(front));
        network.run(5 * SECOND);
        let resumed_at = network.now;
        (0..5).for_each(|front| network.resume(front));
        let took = network.advance_until(20 * SECOND, |network| {
            network.all_see(&first_fronts(40), &first_fronts(40), MemberState::Alive)
        });
        assert!(
            took.is_some_and(|duration| duration <= 8 * SECOND),
            "seed {seed}: {took:?}"
        );
        let by_paused_fronts: Vec<_> = network
            .accusations(resumed_at)
            .into_iter()
            .filter(|accusation| accusation.accuser < 5)
            .collect();
        assert!(
            by_paused_fronts.is_empty(),
            "seed {seed}: {by_paused_fronts:?}"
        );
        assert!(network
            .health_changes
            .iter()
            .any(|record| record.at >= resumed_at
                && record.node < 5
                && record.health == LocalHealth::Degraded));
    }
}

#[test]
fn two_partitions_heal_without_an_operator() {
    for seed in 1..4 {
        let mut network = joined_fleet(40, seed);
        network.conditions.link_filter = Box::new(|link| (link.from < 20) == (link.to < 20));
        network.run(10 * SECOND);
        network.conditions.link_filter = Box::new(|link| link.from % 2 == link.to % 2);
        network.run(10 * SECOND);
        network.conditions.link_filter = Box::new(|_| true);
        let took = network.advance_until(60 * SECOND, |network| {
            network.all_see(&first_fronts(40), &first_fronts(40), MemberState::Alive)
        });
        assert!(
            took.is_some_and(|duration| duration <= 30 * SECOND),
            "seed {seed}: {took:?}"
        );
        let connected = |network: &SimulatedNetwork| {
            network
                .nodes
                .iter()
                .all(|node| node.membership.local_health() == LocalHealth::Connected)
        };
        assert!(network.advance_until(15 * SECOND, connected).is_some());
    }
}

/// The partition lasts long enough that the others declare the front dead.
#[test]
fn a_long_partition_heals_and_an_isolated_front_accuses_no_other() {
    let mut network = joined_fleet(20, 3);
    network.conditions.link_filter = Box::new(|link| (link.from == 0) == (link.to == 0));
    let from = network.now;
    let others: Vec<usize> = (1..20).collect();
    let took = network.advance_until(90 * SECOND, |network| {
        network.all_see(&others, &[0], MemberState::Dead)
    });
    assert!(took.is_some(), "the others declare it dead");
    network.run(30 * SECOND);
    assert!(
        network
            .accusations(from)
            .iter()
            .all(|accusation| accusation.accuser != 0),
        "an isolated front accuses no other"
    );
    assert_eq!(
        network.nodes[0].membership.local_health(),
        LocalHealth::Isolated,
        "{:?}",
        network
            .health_changes
            .iter()
            .filter(|record| record.node == 0)
            .collect::<Vec<_>>()
    );
    network.conditions.link_filter = Box::new(|_| true);
    let took = network.advance_until(60 * SECOND, |network| {
        network.all_see(&first_fronts(20), &first_fronts(20), MemberState::Alive)
    });
    assert!(
        took.is_some_and(|duration| duration <= 30 * SECOND),
        "{took:?}"
    );
    assert!(network
        .advance_until(15 * SECOND, |network| network.nodes[0]
            .membership
            .local_health()
            == LocalHealth::Connected)
        .is_some());
}

#[test]
fn a_one_way_partition_and_a_front_that_can_not_send_cause_no_false_accusations() {
    let mut network = joined_fleet(20, 5);
    let from = network.now;
    // Datagrams from front 1 to front 2 are lost.
    network.conditions.link_filter = Box::new(|link| !(link.from == 1 && link.to == 2));
    network.run(60 * SECOND);
    assert!(
        network.accusations(from).is_empty(),
        "helpers can still reach it: {:?}",
        network.accusations(from)
    );
    // Front 3 receives all datagrams, but all datagrams that it sends are lost.
    network.conditions.link_filter = Box::new(|link| link.from != 3);
    network.run(60 * SECOND);
    assert!(network.all_see(&[0, 1, 2, 4, 5], &[3], MemberState::Dead));
    let false_accusations: Vec<_> = network
        .accusations(from)
        .into_iter()
        .filter(|accusation| accusation.accuser == 3 || accusation.accused != front_name(3))
        .collect();
    assert!(false_accusations.is_empty(), "{false_accusations:?}");
    assert_eq!(
        network.nodes[3].membership.local_health(),
        LocalHealth::Isolated
    );
}

#[test]
fn a_restart_is_detected_and_datagrams_of_the_previous_incarnation_are_dropped() {
    for clock_set_back in [false, true] {
        let mut network = joined_fleet(12, 4);
        network.is_capturing = true;
        network.run(5 * SECOND);
        network.is_capturing = false;
        let old_datagrams: Vec<_> = std::mem::take(&mut network.captured)
            .into_iter()
            .filter(|datagram| datagram.from == 7)
            .collect();
        network.kill(7);
        network.run(50 * MS);
        let epoch = if clock_set_back { 500_000 } else { 1_005_000 };
        network.start(MembershipConfig {
            epoch,
            incarnation: 777,
            ..member_config(7, &[0])
        });
        let from = network.now;
        for datagram in old_datagrams.clone() {
            network.transmit(datagram);
        }
        let others: Vec<usize> = (0..12).filter(|front| *front != 7).collect();
        let took = network.advance_until(20 * SECOND, |network| {
            let sees_restart = |front: &usize| {
                network.changes.iter().any(|record| {
                    record.viewer == *front
                        && record.change.name == front_name(7)
                        && record.change.restarted
                })
            };
            others.iter().all(sees_restart)
                && network.all_see(&first_fronts(12), &first_fronts(12), MemberState::Alive)
        });
        assert!(
            took.is_some_and(|duration| duration <= 12 * SECOND),
            "clock set back: {clock_set_back}, took {took:?}"
        );
        assert!(network.accusations(from).is_empty());
        let replayed_at = network.now;
        for datagram in old_datagrams {
            network.transmit(datagram);
        }
        network.run(5 * SECOND);
        assert!(
            !network
                .changes
                .iter()
                .any(|record| record.at > replayed_at && record.change.name == front_name(7)),
            "datagrams of the previous incarnation changed something"
        );
        assert!(others.iter().any(|front| network.nodes[*front]
            .membership
            .counters()
            .previous_incarnation
            > 0));
    }
}

#[test]
fn all_members_see_a_leave_and_delayed_gossip_does_not_undo_it() {
    let mut network = joined_fleet(20, 6);
    network.is_capturing = true;
    network.run(3 * SECOND);
    let old_datagrams = std::mem::take(&mut network.captured);
    network.is_capturing = false;
    network.with_member(4, Membership::leave);
    network.kill(4);
    let others: Vec<usize> = (0..20).filter(|front| *front != 4).collect();
    let took = network.advance_until(20 * SECOND, |network| {
        network.all_see(&others, &[4], MemberState::Left)
    });
    assert!(
        took.is_some_and(|duration| duration <= 3 * SECOND),
        "{took:?}"
    );
    for datagram in old_datagrams {
        network.transmit(datagram);
    }
    network.run(30 * SECOND);
    assert!(network.all_see(&others, &[4], MemberState::Left));
}

#[test]
fn the_older_of_two_processes_with_one_name_gives_up_the_name_and_reports_it() {
    let mut network = joined_fleet(8, 8);
    network.run(15 * SECOND);
    // The second process has the name of the first one and another address.
    let second = network.start(MembershipConfig {
        address: "elsewhere".into(),
        epoch: 2_000_000,
        incarnation: 99,
        ..member_config(5, &[0])
    });
    let took = network.advance_until(60 * SECOND, |network| {
        network.nodes[5].membership.local_health() == LocalHealth::Replaced
    });
    assert!(took.is_some(), "the older process never gave up the name");
    network.run(10 * SECOND);
    assert_ne!(
        network.nodes[second].membership.local_health(),
        LocalHealth::Replaced
    );
    assert!(network
        .health_changes
        .iter()
        .any(|record| record.node == 5 && record.health == LocalHealth::Replaced));
}

#[test]
fn an_entry_reaches_all_members_with_its_age() {
    for (fronts, loss, bound) in [
        (40, 0.0, 2 * SECOND),
        (40, 0.2, 4 * SECOND),
        (120, 0.0, 3 * SECOND),
    ] {
        let mut network = joined_fleet(fronts, 11);
        network.conditions.loss_rate = loss;
        let written_at = network.now;
        network
            .with_member(0, |member, now, _| {
                member.write(now, 1, b"link 3: 0.7".to_vec())
            })
            .unwrap();
        let has_entry = |network: &SimulatedNetwork, front: usize| {
            network.nodes[front]
                .membership
                .entry(network.now, &front_name(0), 1)
                .is_some()
        };
        let most_have_entry = |network: &SimulatedNetwork| {
            let others = 1..fronts;
            others.filter(|front| has_entry(network, *front)).count() * 100 >= 99 * (fronts - 1)
        };
        let took = network
            .advance_until(20 * SECOND, most_have_entry)
            .expect("the entry is disseminated");
        assert!(took <= bound, "{fronts} fronts, loss {loss}: {took:?}");
        let took = network.advance_until(60 * SECOND, |network| {
            (1..fronts).all(|front| has_entry(network, front))
        });
        assert!(took.is_some(), "digests deliver what gossip did not");
        let true_age = network.now.duration_since(written_at);
        for front in 1..fronts {
            let entry = network.nodes[front]
                .membership
                .entry(network.now, &front_name(0), 1)
                .expect("an entry");
            assert!(
                entry.age <= true_age && true_age - entry.age < 100 * MS,
                "{:?} for {true_age:?}",
                entry.age
            );
        }
    }
}

/// The bytes of the captured datagrams that a front sent.
fn captured_from(network: &SimulatedNetwork, front: usize) -> Vec<Vec<u8>> {
    network
        .captured
        .iter()
        .filter(|datagram| datagram.from == front)
        .map(|datagram| datagram.bytes.clone())
        .collect()
}

#[test]
fn forged_entries_are_overwritten_by_their_owner() {
    let mut network = joined_fleet(10, 12);
    network
        .with_member(0, |member, now, _| member.write(now, 1, b"true".to_vec()))
        .unwrap();
    network.run(5 * SECOND);
    // A malicious process that has the key poses as front 0, whose incarnation it knows, and writes the entry many times.
    let forged_identity = network.nodes[0].membership.own_version();
    let mut forger = SimulatedNetwork::new(1);
    forger.is_capturing = true;
    forger.start(MembershipConfig {
        epoch: forged_identity.epoch,
        incarnation: forged_identity.incarnation,
        ..member_config(0, &[])
    });
    forger.start(member_config(1, &[0]));
    forger.run(2 * SECOND);
    forger.captured.clear();
    for value in 0..50u8 {
        forger
            .with_member(0, |member, now, _| member.write(now, 1, vec![value]))
            .unwrap();
    }
    forger.run(2 * SECOND);
    let forwarded = captured_from(&forger, 1);
    let forged = captured_from(&forger, 0);
    assert!(!forged.is_empty());
    for bytes in forwarded.into_iter().chain(forged) {
        for to in 1..10 {
            network.transmit(SentDatagram {
                from: 1,
                to,
                bytes: bytes.clone(),
            });
        }
    }
    network.run(SECOND / 2);
    let is_restored = |network: &SimulatedNetwork| {
        (0..10).all(|front| {
            network.nodes[front]
                .membership
                .entry(network.now, &front_name(0), 1)
                .is_some_and(|entry| entry.value == b"true")
        })
    };
    assert!(
        network.advance_until(30 * SECOND, is_restored).is_some(),
        "the owner's entry prevails"
    );
    assert!(
        network.nodes[0].membership.counters().forged > 0,
        "the forged entry reached its owner"
    );
}

#[test]
fn a_flooding_peer_is_answered_at_a_limited_rate_and_malformed_datagrams_are_counted() {
    let mut network = joined_fleet(10, 13);
    network.is_capturing = true;
    network.run(3 * SECOND);
    network.is_capturing = false;
    let datagram = network
        .captured
        .iter()
        .find(|datagram| (datagram.from, datagram.to) == (2, 1))
        .expect("a datagram from 2 to 1")
        .clone();
    let before = network.nodes[1].membership.counters();
    for _ in 0..20_000 {
        network.transmit(datagram.clone());
    }
    for bytes in [b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0; 1400]] {
        network.transmit(SentDatagram {
            bytes,
            ..datagram.clone()
        });
    }
    let from = network.now;
    network.run(10 * SECOND);
    let after = network.nodes[1].membership.counters();
    assert!(
        after.datagrams_sent - before.datagrams_sent <= 700,
        "{} datagrams in 10 s",
        after.datagrams_sent - before.datagrams_sent
    );
    assert_eq!(after.malformed - before.malformed, 2);
    assert!(network.accusations(from).is_empty());
}

#[test]
fn the_fleet_grows_from_ten_to_forty_and_shrinks_to_fifteen_within_a_minute() {
    let mut network = joined_fleet(10, 14);
    for front in 10..40 {
        network.start(member_config(front, &[0]));
        network.run(500 * MS);
    }
    let took = network.advance_until(20 * SECOND, |network| {
        network.all_see(&first_fronts(40), &first_fronts(40), MemberState::Alive)
    });
    assert!(took.is_some());

    for front in 15..40 {
        network.with_member(front, Membership::leave);
        network.kill(front);
        network.run(300 * MS);
    }
    let left: Vec<usize> = (15..40).collect();
    let took = network.advance_until(20 * SECOND, |network| {
        network.all_see(&first_fronts(15), &left, MemberState::Left)
    });
    let states_of = |front: usize| {
        (0..15)
            .map(|observer| network.state(observer, front))
            .collect::<Vec<_>>()
    };
    assert!(
        took.is_some(),
        "{:?}",
        left.iter()
            .map(|front| states_of(*front))
            .find(|states| states.iter().any(|state| *state != Some(MemberState::Left)))
    );
    assert!(
        network.accusations(Time(0)).is_empty(),
        "{:?}",
        network.accusations(Time(0))
    );
}

#[test]
fn the_send_rate_of_a_front_does_not_grow_with_the_fleet() {
    let max_send_rates = |fronts: usize| {
        let mut network = joined_fleet(fronts, 15);
        let before: Vec<_> = network
            .nodes
            .iter()
            .map(|node| node.membership.counters())
            .collect();
        network.run(20 * SECOND);
        let after = network.nodes.iter().map(|node| node.membership.counters());
        let rates = after.zip(before).map(|(after, before)| {
            (
                (after.datagrams_sent - before.datagrams_sent) as f64 / 20.0,
                (after.bytes_sent - before.bytes_sent) as f64 / 20.0,
            )
        });
        rates.fold((0.0f64, 0.0f64), |max, rate| {
            (max.0.max(rate.0), max.1.max(rate.1))
        })
    };
    for fronts in [10, 40, 120] {
        let (datagrams, bytes) = max_send_rates(fronts);
        eprintln!("{fronts} members, no changes: each sends at most {datagrams:.1} datagrams and {bytes:.0} bytes per second");
        assert!(
            datagrams <= 12.0 && bytes <= 6_000.0,
            "{fronts} members: {datagrams} datagrams, {bytes} bytes per second"
        );
    }
}
