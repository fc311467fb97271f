//! Fleets on a network in memory: deaths, partitions, loss, stops, restarts. Each bound stated in `docs/fleet.md` is held here.
use crankpaddle_fault_simulation::{
    front_name, member_config, Cluster, DelayRange, SentDatagram, SimulatedNetwork, MS, SECOND,
};
use crankpaddle_membership::{LocalHealth, MemberState, Membership, MembershipConfig};
use crankpaddle_time::Time;

fn all(n: usize) -> Vec<usize> {
    (0..n).collect()
}

fn joined(n: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::with_fleet(n, seed);
    let took = network.advance_until(30 * SECOND, |network| {
        network.all_see(&all(n), &all(n), MemberState::Alive)
    });
    assert!(took.is_some(), "seed {seed}: {n} never met");
    network.run(5 * SECOND);
    assert!(
        network.accusations(Time(0)).is_empty(),
        "seed {seed}: accused while they met: {:?}",
        network.accusations(Time(0))
    );
    network
}

#[test]
fn forty_join_through_one_seed_and_through_a_second_where_the_first_is_dead() {
    for seed in 1..4 {
        joined(40, seed);
    }
    let mut network = SimulatedNetwork::new(9);
    for i in 0..10 {
        network.start(member_config(i, &[99, 3]));
    }
    assert!(network
        .advance_until(30 * SECOND, |network| network.all_see(
            &all(10),
            &all(10),
            MemberState::Alive
        ))
        .is_some());
}

#[test]
fn twelve_of_forty_killed_in_one_instant_are_dead_to_all_and_nobody_else_is_accused() {
    for seed in 1..6 {
        let mut network = joined(40, seed);
        let (dead, living): (Vec<usize>, Vec<usize>) = (all(12), (12..40).collect());
        dead.iter().for_each(|i| network.kill(*i));
        let from = network.now;
        let took = network.advance_until(60 * SECOND, |network| {
            network.all_see(&living, &dead, MemberState::Dead)
        });
        assert!(
            took.is_some_and(|t| t <= 40 * SECOND),
            "seed {seed}: {took:?}"
        );
        let wrong: Vec<_> = network
            .accusations(from)
            .into_iter()
            .filter(|accusation| living.iter().any(|l| front_name(*l) == accusation.accused))
            .collect();
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    }
}

#[test]
fn nobody_is_declared_dead_under_a_fifth_of_loss_and_jitter() {
    for seed in 1..6 {
        let mut network = joined(40, seed);
        (network.conditions.loss, network.conditions.delay) = (
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
fn five_paused_for_five_seconds_accuse_nobody_and_are_alive_again_soon() {
    for seed in 1..6 {
        let mut network = joined(40, seed);
        (0..5).for_each(|i| network.pause(i));
        network.run(5 * SECOND);
        let back = network.now;
        (0..5).for_each(|i| network.resume(i));
        let took = network.advance_until(20 * SECOND, |network| {
            network.all_see(&all(40), &all(40), MemberState::Alive)
        });
        assert!(
            took.is_some_and(|t| t <= 8 * SECOND),
            "seed {seed}: {took:?}"
        );
        let by_them: Vec<_> = network
            .accusations(back)
            .into_iter()
            .filter(|accusation| accusation.by < 5)
            .collect();
        assert!(by_them.is_empty(), "seed {seed}: {by_them:?}");
        assert!(network.health_changes.iter().any(|record| record.at >= back
            && record.node < 5
            && record.health == LocalHealth::Degraded));
    }
}

#[test]
fn two_partitions_heal_without_an_operator() {
    for seed in 1..4 {
        let mut network = joined(40, seed);
        network.conditions.link_filter = Box::new(|link| (link.from < 20) == (link.to < 20));
        network.run(10 * SECOND);
        network.conditions.link_filter = Box::new(|link| link.from % 2 == link.to % 2);
        network.run(10 * SECOND);
        network.conditions.link_filter = Box::new(|_| true);
        let took = network.advance_until(60 * SECOND, |network| {
            network.all_see(&all(40), &all(40), MemberState::Alive)
        });
        assert!(
            took.is_some_and(|t| t <= 30 * SECOND),
            "seed {seed}: {took:?}"
        );
        let connected = |network: &SimulatedNetwork| {
            network
                .nodes
                .iter()
                .all(|n| n.membership.local_health() == LocalHealth::Connected)
        };
        assert!(network.advance_until(15 * SECOND, connected).is_some());
    }
}

/// The partition lasts long enough that the others declare the front dead.
#[test]
fn a_long_partition_heals_too_and_an_isolated_front_accuses_nobody() {
    let mut network = joined(20, 3);
    network.conditions.link_filter = Box::new(|link| (link.from == 0) == (link.to == 0));
    let from = network.now;
    let others: Vec<usize> = (1..20).collect();
    let took = network.advance_until(90 * SECOND, |network| {
        network.all_see(&others, &[0], MemberState::Dead)
    });
    assert!(took.is_some(), "the others see that it is gone");
    network.run(30 * SECOND);
    assert!(
        network
            .accusations(from)
            .iter()
            .all(|accusation| accusation.by != 0),
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
        network.all_see(&all(20), &all(20), MemberState::Alive)
    });
    assert!(took.is_some_and(|t| t <= 30 * SECOND), "{took:?}");
    assert!(network
        .advance_until(15 * SECOND, |network| network.nodes[0]
            .membership
            .local_health()
            == LocalHealth::Connected)
        .is_some());
}

#[test]
fn a_one_way_cut_and_a_front_that_no_other_receives_cause_no_false_accusations() {
    let mut network = joined(20, 5);
    let from = network.now;
    network.conditions.link_filter = Box::new(|link| !(link.from == 1 && link.to == 2)); // One direction of one pair.
    network.run(60 * SECOND);
    assert!(
        network.accusations(from).is_empty(),
        "helpers reach it: {:?}",
        network.accusations(from)
    );
    network.conditions.link_filter = Box::new(|link| link.from != 3); // It receives from all; none receives from it.
    network.run(60 * SECOND);
    assert!(network.all_see(&[0, 1, 2, 4, 5], &[3], MemberState::Dead));
    let wrong: Vec<_> = network
        .accusations(from)
        .into_iter()
        .filter(|accusation| accusation.by == 3 || accusation.accused != front_name(3))
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    assert_eq!(
        network.nodes[3].membership.local_health(),
        LocalHealth::Isolated
    );
}

#[test]
fn a_restart_under_the_same_name_is_seen_and_datagrams_of_the_previous_incarnation_are_dropped() {
    for set_back in [false, true] {
        let mut network = joined(12, 4);
        network.is_capturing = true;
        network.run(5 * SECOND);
        network.is_capturing = false;
        let old: Vec<_> = std::mem::take(&mut network.captured)
            .into_iter()
            .filter(|datagram| datagram.from == 7)
            .collect();
        network.kill(7);
        network.run(50 * MS);
        let epoch = if set_back { 500_000 } else { 1_005_000 };
        network.start(MembershipConfig {
            epoch,
            incarnation: 777,
            ..member_config(7, &[0])
        });
        let from = network.now;
        for datagram in old.clone() {
            network.transmit(datagram);
        }
        let others: Vec<usize> = all(12).into_iter().filter(|i| *i != 7).collect();
        let took = network.advance_until(20 * SECOND, |network| {
            let sees_restart = |i: &usize| {
                network.changes.iter().any(|record| {
                    record.by == *i
                        && record.change.name == front_name(7)
                        && record.change.restarted
                })
            };
            others.iter().all(sees_restart)
                && network.all_see(&all(12), &all(12), MemberState::Alive)
        });
        assert!(
            took.is_some_and(|t| t <= 12 * SECOND),
            "clock set back {set_back}: {took:?}"
        );
        assert!(network.accusations(from).is_empty());
        let back = network.now;
        for datagram in old {
            network.transmit(datagram);
        }
        network.run(5 * SECOND);
        assert!(
            !network
                .changes
                .iter()
                .any(|record| record.at > back && record.change.name == front_name(7)),
            "old words changed something"
        );
        assert!(others.iter().any(|i| network.nodes[*i]
            .membership
            .counters()
            .previous_incarnation
            > 0));
    }
}

#[test]
fn a_member_that_left_is_known_to_all_and_never_comes_back_from_delayed_gossip() {
    let mut network = joined(20, 6);
    network.is_capturing = true;
    network.run(3 * SECOND);
    let old = std::mem::take(&mut network.captured);
    network.is_capturing = false;
    network.with_member(4, Membership::leave);
    network.kill(4);
    let others: Vec<usize> = all(20).into_iter().filter(|i| *i != 4).collect();
    let took = network.advance_until(20 * SECOND, |network| {
        network.all_see(&others, &[4], MemberState::Left)
    });
    assert!(took.is_some_and(|t| t <= 3 * SECOND), "{took:?}");
    for datagram in old {
        network.transmit(datagram);
    }
    network.run(30 * SECOND);
    assert!(network.all_see(&others, &[4], MemberState::Left));
}

#[test]
fn of_two_processes_under_one_name_the_older_gives_way_and_reports_it() {
    let mut network = joined(8, 8);
    network.run(15 * SECOND);
    // The second one has an address of its own and the first one's name.
    let second = network.start(MembershipConfig {
        address: "elsewhere".into(),
        epoch: 2_000_000,
        incarnation: 99,
        ..member_config(5, &[0])
    });
    let took = network.advance_until(60 * SECOND, |network| {
        network.nodes[5].membership.local_health() == LocalHealth::Replaced
    });
    assert!(took.is_some(), "the older never noticed");
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
fn an_entry_reaches_all_with_its_age() {
    for (n, loss, bound) in [
        (40, 0.0, 2 * SECOND),
        (40, 0.2, 4 * SECOND),
        (120, 0.0, 3 * SECOND),
    ] {
        let mut network = joined(n, 11);
        network.conditions.loss = loss;
        let wrote = network.now;
        network
            .with_member(0, |member, now, _| {
                member.write(now, 1, b"link 3: 0.7".to_vec())
            })
            .unwrap();
        let holds = |network: &SimulatedNetwork, i: usize| {
            network.nodes[i]
                .membership
                .entry(network.now, &front_name(0), 1)
                .is_some()
        };
        let most = |network: &SimulatedNetwork| {
            (1..n).filter(|i| holds(network, *i)).count() * 100 >= 99 * (n - 1)
        };
        let took = network
            .advance_until(20 * SECOND, most)
            .expect("it spreads");
        assert!(took <= bound, "{n} at {loss}: {took:?}");
        let took = network.advance_until(60 * SECOND, |network| (1..n).all(|i| holds(network, i)));
        assert!(took.is_some(), "digests deliver what gossip missed");
        let real = network.now.duration_since(wrote);
        for i in 1..n {
            let entry = network.nodes[i]
                .membership
                .entry(network.now, &front_name(0), 1)
                .expect("held");
            assert!(
                entry.age <= real && real - entry.age < 100 * MS,
                "{:?} for {real:?}",
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
    let mut network = joined(10, 12);
    network
        .with_member(0, |member, now, _| member.write(now, 1, b"true".to_vec()))
        .unwrap();
    network.run(5 * SECOND);
    // A malicious process with the key: it runs as front 0, whose incarnation it knows, and writes often.
    let me = network.nodes[0].membership.own_version();
    let mut forger = SimulatedNetwork::new(1);
    forger.is_capturing = true;
    forger.start(MembershipConfig {
        epoch: me.epoch,
        incarnation: me.incarnation,
        ..member_config(0, &[])
    });
    forger.start(member_config(1, &[0]));
    forger.run(2 * SECOND);
    forger.captured.clear();
    for i in 0..50u8 {
        forger
            .with_member(0, |member, now, _| member.write(now, 1, vec![i]))
            .unwrap();
    }
    forger.run(2 * SECOND);
    let forged = captured_from(&forger, 1);
    let forged_by_zero = captured_from(&forger, 0);
    assert!(!forged_by_zero.is_empty());
    for bytes in forged.into_iter().chain(forged_by_zero) {
        for to in 1..10 {
            network.transmit(SentDatagram {
                from: 1,
                to,
                bytes: bytes.clone(),
            });
        }
    }
    network.run(SECOND / 2);
    let right = |network: &SimulatedNetwork| {
        (0..10).all(|i| {
            network.nodes[i]
                .membership
                .entry(network.now, &front_name(0), 1)
                .is_some_and(|e| e.value == b"true")
        })
    };
    assert!(
        network.advance_until(30 * SECOND, right).is_some(),
        "the owner's entry prevails"
    );
    assert!(
        network.nodes[0].membership.counters().forged > 0,
        "the forged entry reached its owner"
    );
}

#[test]
fn a_flooding_peer_is_answered_at_a_limited_rate_and_malformed_datagrams_are_counted() {
    let mut network = joined(10, 13);
    network.is_capturing = true;
    network.run(3 * SECOND);
    network.is_capturing = false;
    let one = network
        .captured
        .iter()
        .find(|datagram| (datagram.from, datagram.to) == (2, 1))
        .expect("they speak")
        .clone();
    let before = network.nodes[1].membership.counters();
    for _ in 0..20_000 {
        network.transmit(one.clone());
    }
    for bytes in [b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0; 1400]] {
        network.transmit(SentDatagram {
            bytes,
            ..one.clone()
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
    let mut network = joined(10, 14);
    for i in 10..40 {
        network.start(member_config(i, &[0]));
        network.run(500 * MS);
    }
    let took = network.advance_until(20 * SECOND, |network| {
        network.all_see(&all(40), &all(40), MemberState::Alive)
    });
    assert!(took.is_some());

    for i in 15..40 {
        network.with_member(i, Membership::leave);
        network.kill(i);
        network.run(300 * MS);
    }
    let gone: Vec<usize> = (15..40).collect();
    let took = network.advance_until(20 * SECOND, |network| {
        network.all_see(&all(15), &gone, MemberState::Left)
    });
    let state = |i: usize| (0..15).map(|at| network.state(at, i)).collect::<Vec<_>>();
    assert!(
        took.is_some(),
        "{:?}",
        gone.iter()
            .map(|i| state(*i))
            .find(|s| s.iter().any(|s| *s != Some(MemberState::Left)))
    );
    assert!(
        network.accusations(Time(0)).is_empty(),
        "{:?}",
        network.accusations(Time(0))
    );
}

#[test]
fn the_rate_of_a_front_does_not_grow_with_the_fleet() {
    let sent = |n: usize| {
        let mut network = joined(n, 15);
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
        rates.fold((0.0f64, 0.0f64), |most, r| {
            (most.0.max(r.0), most.1.max(r.1))
        })
    };
    for n in [10, 40, 120] {
        let (datagrams, bytes) = sent(n);
        eprintln!("{n} members, calm: at most {datagrams:.1} datagrams and {bytes:.0} bytes a second each");
        assert!(
            datagrams <= 12.0 && bytes <= 6_000.0,
            "{n}: {datagrams} {bytes}"
        );
    }
}
