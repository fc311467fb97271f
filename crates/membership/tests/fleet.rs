//! Fleets on a net in memory: deaths, partitions, loss, stops, restarts. Each bound stated in `docs/fleet.md` is held here.
use crankpaddle_fault_simulation::*;
use crankpaddle_membership::{LocalHealth, MemberState, MembershipConfig};

fn all(n: usize) -> Vec<usize> {
    (0..n).collect()
}

fn joined(n: usize, seed: u64) -> Net {
    let mut net = Net::fleet(n, seed);
    let took = net.until(30 * SECOND, |net| {
        net.all(&all(n), &all(n), MemberState::Alive)
    });
    assert!(took.is_some(), "seed {seed}: {n} never met");
    net.run(5 * SECOND);
    assert!(
        net.accused(0).is_empty(),
        "seed {seed}: accused while they met: {:?}",
        net.accused(0)
    );
    net
}

#[test]
fn forty_meet_through_one_seed_and_also_when_it_is_dead_but_another_is_not() {
    for seed in 1..4 {
        joined(40, seed);
    }
    let mut net = Net::new(9);
    for i in 0..10 {
        net.start(settings(i, &[99, 3]));
    }
    assert!(net
        .until(30 * SECOND, |net| net.all(
            &all(10),
            &all(10),
            MemberState::Alive
        ))
        .is_some());
}

#[test]
fn twelve_of_forty_killed_in_one_instant_are_known_to_be_gone_by_all_and_nobody_else_is_accused() {
    for seed in 1..6 {
        let mut net = joined(40, seed);
        let (dead, living): (Vec<usize>, Vec<usize>) = (all(12), (12..40).collect());
        dead.iter().for_each(|i| net.kill(*i));
        let from = net.now;
        let took = net.until(60 * SECOND, |net| {
            net.all(&living, &dead, MemberState::Dead)
        });
        assert!(
            took.is_some_and(|t| t <= 40 * SECOND),
            "seed {seed}: {took:?}"
        );
        let wrong: Vec<_> = net
            .accused(from)
            .into_iter()
            .filter(|(_, n)| living.iter().any(|l| name(*l) == *n))
            .collect();
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    }
}

#[test]
fn nobody_is_taken_for_gone_under_a_fifth_of_loss_and_jitter() {
    for seed in 1..6 {
        let mut net = joined(40, seed);
        (net.weather.loss, net.weather.delay) = (0.2, (5 * MS, 150 * MS));
        let from = net.now;
        net.run(120 * SECOND);
        assert!(
            net.accused(from).is_empty(),
            "seed {seed}: {:?}",
            net.accused(from)
        );
    }
}

#[test]
fn five_that_stand_still_for_five_seconds_accuse_nobody_and_are_back_soon() {
    for seed in 1..6 {
        let mut net = joined(40, seed);
        (0..5).for_each(|i| net.stop(i));
        net.run(5 * SECOND);
        let back = net.now;
        (0..5).for_each(|i| net.go_on(i));
        let took = net.until(20 * SECOND, |net| {
            net.all(&all(40), &all(40), MemberState::Alive)
        });
        assert!(
            took.is_some_and(|t| t <= 8 * SECOND),
            "seed {seed}: {took:?}"
        );
        let by_them: Vec<_> = net
            .accused(back)
            .into_iter()
            .filter(|(by, _)| *by < 5)
            .collect();
        assert!(by_them.is_empty(), "seed {seed}: {by_them:?}");
        assert!(net
            .standings
            .iter()
            .any(|(at, i, s)| *at >= back && *i < 5 && *s == LocalHealth::Degraded));
    }
}

#[test]
fn two_partitions_heal_without_an_operator() {
    for seed in 1..4 {
        let mut net = joined(40, seed);
        net.weather.lets = Box::new(|a, b| (a < 20) == (b < 20));
        net.run(10 * SECOND);
        net.weather.lets = Box::new(|a, b| a % 2 == b % 2);
        net.run(10 * SECOND);
        net.weather.lets = Box::new(|_, _| true);
        let took = net.until(60 * SECOND, |net| {
            net.all(&all(40), &all(40), MemberState::Alive)
        });
        assert!(
            took.is_some_and(|t| t <= 30 * SECOND),
            "seed {seed}: {took:?}"
        );
        let connected = |net: &Net| {
            net.nodes
                .iter()
                .all(|n| n.peers.local_health() == LocalHealth::Connected)
        };
        assert!(net.until(15 * SECOND, connected).is_some());
    }
}

/// Held for long enough that each side takes the other for gone.
#[test]
fn a_long_partition_heals_too_and_a_lone_front_accuses_nobody() {
    let mut net = joined(20, 3);
    net.weather.lets = Box::new(|a, b| (a == 0) == (b == 0));
    let from = net.now;
    let others: Vec<usize> = (1..20).collect();
    let took = net.until(90 * SECOND, |net| net.all(&others, &[0], MemberState::Dead));
    assert!(took.is_some(), "the others see that it is gone");
    net.run(30 * SECOND);
    assert!(
        net.accused(from).iter().all(|(by, _)| *by != 0),
        "who hears nobody accuses nobody"
    );
    assert_eq!(
        net.nodes[0].peers.local_health(),
        LocalHealth::Isolated,
        "{:?}",
        net.standings
            .iter()
            .filter(|s| s.1 == 0)
            .collect::<Vec<_>>()
    );
    net.weather.lets = Box::new(|_, _| true);
    let took = net.until(60 * SECOND, |net| {
        net.all(&all(20), &all(20), MemberState::Alive)
    });
    assert!(took.is_some_and(|t| t <= 30 * SECOND), "{took:?}");
    assert!(net
        .until(15 * SECOND, |net| net.nodes[0].peers.local_health()
            == LocalHealth::Connected)
        .is_some());
}

#[test]
fn a_cut_one_way_and_a_front_that_none_hears_are_borne() {
    let mut net = joined(20, 5);
    let from = net.now;
    net.weather.lets = Box::new(|a, b| !(a == 1 && b == 2)); // One direction of one pair.
    net.run(60 * SECOND);
    assert!(
        net.accused(from).is_empty(),
        "helpers reach it: {:?}",
        net.accused(from)
    );
    net.weather.lets = Box::new(|a, _| a != 3); // It hears all and is heard by none.
    net.run(60 * SECOND);
    assert!(net.all(&[0, 1, 2, 4, 5], &[3], MemberState::Dead));
    let wrong: Vec<_> = net
        .accused(from)
        .into_iter()
        .filter(|(by, n)| *by == 3 || *n != name(3))
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    assert_eq!(net.nodes[3].peers.local_health(), LocalHealth::Isolated);
}

#[test]
fn a_restart_under_the_same_name_is_news_and_its_old_datagrams_are_not() {
    for set_back in [false, true] {
        let mut net = joined(12, 4);
        net.keep_copies = true;
        net.run(5 * SECOND);
        net.keep_copies = false;
        let old: Vec<_> = std::mem::take(&mut net.copies)
            .into_iter()
            .filter(|(from, ..)| *from == 7)
            .collect();
        net.kill(7);
        net.run(50 * MS);
        let epoch = if set_back { 500_000 } else { 1_005_000 };
        net.start(MembershipConfig {
            epoch,
            incarnation: 777,
            ..settings(7, &[0])
        });
        let from = net.now;
        for (from, to, bytes) in old.clone() {
            net.carry(from, to, bytes);
        }
        let others: Vec<usize> = all(12).into_iter().filter(|i| *i != 7).collect();
        let took = net.until(20 * SECOND, |net| {
            let life = |i: &usize| {
                net.changes
                    .iter()
                    .any(|(_, at, c)| at == i && c.name == name(7) && c.restarted)
            };
            others.iter().all(life) && net.all(&all(12), &all(12), MemberState::Alive)
        });
        assert!(
            took.is_some_and(|t| t <= 12 * SECOND),
            "clock set back {set_back}: {took:?}"
        );
        assert!(net.accused(from).is_empty());
        let back = net.now;
        for (from, to, bytes) in old {
            net.carry(from, to, bytes);
        }
        net.run(5 * SECOND);
        assert!(
            !net.changes
                .iter()
                .any(|(at, _, c)| *at > back && c.name == name(7)),
            "old words changed something"
        );
        assert!(others
            .iter()
            .any(|i| net.nodes[*i].peers.counters().previous_incarnation > 0));
    }
}

#[test]
fn who_left_in_order_is_known_to_have_left_and_never_comes_back_from_old_news() {
    let mut net = joined(20, 6);
    net.keep_copies = true;
    net.run(3 * SECOND);
    let old = std::mem::take(&mut net.copies);
    net.keep_copies = false;
    net.tell(4, crankpaddle_membership::Membership::leave);
    net.kill(4);
    let others: Vec<usize> = all(20).into_iter().filter(|i| *i != 4).collect();
    let took = net.until(20 * SECOND, |net| net.all(&others, &[4], MemberState::Left));
    assert!(took.is_some_and(|t| t <= 3 * SECOND), "{took:?}");
    for (from, to, bytes) in old {
        net.carry(from, to, bytes);
    }
    net.run(30 * SECOND);
    assert!(net.all(&others, &[4], MemberState::Left));
}

#[test]
fn of_two_processes_under_one_name_the_older_gives_way_and_says_so() {
    let mut net = joined(8, 8);
    net.run(15 * SECOND);
    // The second one has an address of its own and the first one's name.
    let second = net.start(MembershipConfig {
        address: "elsewhere".into(),
        epoch: 2_000_000,
        incarnation: 99,
        ..settings(5, &[0])
    });
    let took = net.until(60 * SECOND, |net| {
        net.nodes[5].peers.local_health() == LocalHealth::Replaced
    });
    assert!(took.is_some(), "the older never noticed");
    net.run(10 * SECOND);
    assert_ne!(
        net.nodes[second].peers.local_health(),
        LocalHealth::Replaced
    );
    assert!(net
        .standings
        .iter()
        .any(|(_, i, s)| *i == 5 && *s == LocalHealth::Replaced));
}

#[test]
fn a_change_on_the_board_reaches_all_and_its_age_is_told() {
    for (n, loss, bound) in [
        (40, 0.0, 2 * SECOND),
        (40, 0.2, 4 * SECOND),
        (120, 0.0, 3 * SECOND),
    ] {
        let mut net = joined(n, 11);
        net.weather.loss = loss;
        let wrote = net.now;
        net.tell(0, |p, now, _| p.write(now, 1, b"link 3: 0.7".to_vec()))
            .unwrap();
        let holds = |net: &Net, i: usize| net.nodes[i].peers.entry(net.now, &name(0), 1).is_some();
        let most = |net: &Net| (1..n).filter(|i| holds(net, *i)).count() * 100 >= 99 * (n - 1);
        let took = net.until(20 * SECOND, most).expect("it spreads");
        assert!(took <= bound, "{n} at {loss}: {took}");
        let took = net.until(60 * SECOND, |net| (1..n).all(|i| holds(net, i)));
        assert!(took.is_some(), "digests mend what gossip missed");
        let real = net.now - wrote;
        for i in 1..n {
            let entry = net.nodes[i]
                .peers
                .entry(net.now, &name(0), 1)
                .expect("held");
            assert!(
                entry.age <= real && real - entry.age < 100 * MS,
                "{} for {real}",
                entry.age
            );
        }
    }
}

#[test]
fn wrong_versions_of_others_entries_are_written_over_by_their_owner() {
    let mut net = joined(10, 12);
    net.tell(0, |p, now, _| p.write(now, 1, b"true".to_vec()))
        .unwrap();
    net.run(5 * SECOND);
    // A liar with the key: it runs as front 0, whose life it knows, and writes much.
    let me = net.nodes[0].peers.own_version();
    let mut liar = Net::new(1);
    liar.keep_copies = true;
    liar.start(MembershipConfig {
        epoch: me.epoch,
        incarnation: me.incarnation,
        ..settings(0, &[])
    });
    liar.start(settings(1, &[0]));
    liar.run(2 * SECOND);
    liar.copies.clear();
    for i in 0..50u8 {
        liar.tell(0, |p, now, _| p.write(now, 1, vec![i])).unwrap();
    }
    liar.run(2 * SECOND);
    let lies: Vec<_> = liar
        .copies
        .iter()
        .filter(|(from, ..)| *from == 1)
        .map(|(.., bytes)| bytes.clone())
        .collect();
    let lies_of_zero: Vec<_> = liar
        .copies
        .iter()
        .filter(|(from, ..)| *from == 0)
        .map(|(.., bytes)| bytes.clone())
        .collect();
    assert!(!lies_of_zero.is_empty());
    for bytes in lies.into_iter().chain(lies_of_zero) {
        (1..10).for_each(|to| net.carry(1, to, bytes.clone()));
    }
    net.run(SECOND / 2);
    let right = |net: &Net| {
        (0..10).all(|i| {
            net.nodes[i]
                .peers
                .entry(net.now, &name(0), 1)
                .is_some_and(|e| e.value == b"true")
        })
    };
    assert!(
        net.until(30 * SECOND, right).is_some(),
        "the owner's word comes through"
    );
    assert!(
        net.nodes[0].peers.counters().forged > 0,
        "the lie reached somebody"
    );
}

#[test]
fn a_peer_that_floods_is_answered_at_a_bounded_rate_and_garbage_is_counted() {
    let mut net = joined(10, 13);
    net.keep_copies = true;
    net.run(3 * SECOND);
    net.keep_copies = false;
    let one = net
        .copies
        .iter()
        .find(|(from, to, _)| (*from, *to) == (2, 1))
        .expect("they speak")
        .2
        .clone();
    let before = net.nodes[1].peers.counters();
    for _ in 0..20_000 {
        net.carry(2, 1, one.clone());
    }
    net.carry(2, 1, b"GET / HTTP/1.1\r\n\r\n".to_vec());
    net.carry(2, 1, vec![0; 1400]);
    let from = net.now;
    net.run(10 * SECOND);
    let after = net.nodes[1].peers.counters();
    assert!(
        after.datagrams_sent - before.datagrams_sent <= 700,
        "{} datagrams in 10 s",
        after.datagrams_sent - before.datagrams_sent
    );
    assert_eq!(after.malformed - before.malformed, 2);
    assert!(net.accused(from).is_empty());
}

#[test]
fn the_fleet_grows_from_ten_to_forty_and_shrinks_to_fifteen_within_a_minute() {
    let mut net = joined(10, 14);
    for i in 10..40 {
        net.start(settings(i, &[0]));
        net.run(500 * MS);
    }
    let took = net.until(20 * SECOND, |net| {
        net.all(&all(40), &all(40), MemberState::Alive)
    });
    assert!(took.is_some());

    for i in 15..40 {
        net.tell(i, crankpaddle_membership::Membership::leave);
        net.kill(i);
        net.run(300 * MS);
    }
    let gone: Vec<usize> = (15..40).collect();
    let took = net.until(20 * SECOND, |net| {
        net.all(&all(15), &gone, MemberState::Left)
    });
    let state = |i: usize| (0..15).map(|at| net.state(at, i)).collect::<Vec<_>>();
    assert!(
        took.is_some(),
        "{:?}",
        gone.iter()
            .map(|i| state(*i))
            .find(|s| s.iter().any(|s| *s != Some(MemberState::Left)))
    );
    assert!(net.accused(0).is_empty(), "{:?}", net.accused(0));
}

#[test]
fn what_a_front_sends_does_not_grow_with_the_fleet() {
    let sent = |n: usize| {
        let mut net = joined(n, 15);
        let before: Vec<_> = net.nodes.iter().map(|node| node.peers.counters()).collect();
        net.run(20 * SECOND);
        let after = net.nodes.iter().map(|node| node.peers.counters());
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
