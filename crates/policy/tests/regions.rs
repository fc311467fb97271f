//! The loss-queue model and the choice of regions.
use crankpaddle::{benefit, best_regions, erlang_b};

#[test]
fn loss_probability_matches_known_values() {
    for (offered, slots, known) in
        [(1.0, 1, 0.5), (2.0, 2, 0.4), (5.0, 10, 0.018_384_6), (10.0, 10, 0.214_582), (20.0, 30, 0.008_457_5)]
    {
        assert!(
            (erlang_b(offered, slots) - known).abs() < 1e-5,
            "{offered} {slots}: {}",
            erlang_b(offered, slots)
        );
    }
}

#[test]
fn loss_probability_is_defined_for_large_and_unusual_loads() {
    assert!((erlang_b(1e9, 1000) - (1.0 - 1e-6)).abs() < 1e-8);
    assert!(erlang_b(1e300, 5000) > 0.999);
    assert_eq!(erlang_b(0.0, 3), 0.0);
    assert_eq!(erlang_b(0.0, 0), 1.0);
    assert_eq!(erlang_b(f64::NAN, 3), 0.0);
}

/// Summed slot by slot, with a division each: what the sums that are made side by side must come to.
fn one_by_one(offered: f64, slots: u32) -> f64 {
    (1..=slots).fold(1.0, |blocked, n| offered * blocked / (f64::from(n) + offered * blocked))
}

#[test]
fn queues_computed_in_a_batch_equal_each_alone() {
    for rung in 1..12 {
        // Links from a few slots to some thousand, from idle to many times overrun, in one call each.
        let slots: Vec<u32> = (0..rung).map(|i| (i * i * 37 + i) % 1300).collect();
        let worth: Vec<f64> = (1..=rung).map(|i| f64::from(i) / f64::from(rung)).collect();
        for offered in [0.01, 0.9, 7.0, 63.0, 250.0, 1000.0, 9000.0] {
            let (mut sum, mut spilled) = (0.0, offered);
            for (n, w) in slots.iter().zip(&worth).rev() {
                let lost = spilled * one_by_one(spilled, *n);
                assert!((erlang_b(spilled, *n) - one_by_one(spilled, *n)).abs() < 1e-11, "{spilled} {n}");
                (sum, spilled) = (sum + (spilled - lost) * w, lost);
            }
            let all = benefit(offered, &slots, &worth, 0.1);
            assert!(
                (all - (sum - 0.1 * spilled)).abs() < 1e-9 * offered.max(1.0),
                "{offered} {slots:?}: {all} {sum}"
            );
        }
    }
}

#[test]
fn overflow_chains_the_queues() {
    // 3 erlangs at 2 slots of the upper rung, what spills over at 4 of the lower, the rest is rejected.
    let spilled = 3.0 * erlang_b(3.0, 2);
    let lost = spilled * erlang_b(spilled, 4);
    let expected = (3.0 - spilled) * 1.0 + (spilled - lost) * 0.4 - 0.4 * lost;
    assert!((benefit(3.0, &[4, 2], &[0.4, 1.0], 0.4) - expected).abs() < 1e-12);
}

fn exhaustive(offered: f64, kb: &[f64], worth: &[f64], budget: f64, places: u32) -> f64 {
    fn go(
        i: usize,
        n: &mut Vec<u32>,
        left: f64,
        places: u32,
        kb: &[f64],
        value: &dyn Fn(&[u32]) -> f64,
    ) -> f64 {
        if i == kb.len() {
            return value(n);
        }
        let mut best = f64::NEG_INFINITY;
        for k in 0..=places.min((left / kb[i] + 1e-9) as u32) {
            n[i] = k;
            best = best.max(go(i + 1, n, left - f64::from(k) * kb[i], places - k, kb, value));
        }
        n[i] = 0;
        best
    }
    let value = |n: &[u32]| benefit(offered, n, worth, worth[0]);
    go(0, &mut vec![0; kb.len()], budget, places, kb, &value)
}

#[test]
fn chosen_regions_come_near_exhaustive_search() {
    let (kb, worth) = ([200.0, 400.0, 800.0], [0.3, 0.6, 1.0]);
    for offered in [0.5, 2.0, 5.0, 9.0, 15.0, 40.0] {
        for places in [6, 12, 30] {
            let n = best_regions(offered, &kb, &worth, 4000.0, places);
            let got = benefit(offered, &n, &worth, worth[0]);
            let best = exhaustive(offered, &kb, &worth, 4000.0, places);
            assert!(got >= best - 0.01 * best.abs(), "{offered} {places}: {n:?} {got} {best}");
            assert!(n.iter().sum::<u32>() <= places);
            assert!(n.iter().zip(kb).map(|(n, k)| f64::from(*n) * k).sum::<f64>() <= 4000.0 + 1e-6);
        }
    }
}

#[test]
fn regions_move_down_the_ladder_as_arrivals_grow() {
    let (kb, worth) = ([200.0, 400.0, 800.0], [0.3, 0.6, 1.0]);
    let mean_rung = |offered| {
        let n = best_regions(offered, &kb, &worth, 4000.0, 40);
        let sum: u32 = n.iter().sum();
        n.iter().enumerate().map(|(i, n)| i as f64 * f64::from(*n)).sum::<f64>() / f64::from(sum.max(1))
    };
    assert!(mean_rung(1.0) > mean_rung(8.0));
    assert!(mean_rung(8.0) > mean_rung(30.0));
}

#[test]
fn a_link_of_a_thousand_slots_is_sized_no_worse_than_by_trades_of_single_slots() {
    let kb = [118.0, 213.0, 387.0, 700.0, 1268.0].map(|kb: f64| kb * 1.14);
    let worth = [0.25, 0.47, 0.65, 0.83, 1.0];
    // What climbs that moved one slot at a time came to, in 36 to 113 ms each.
    for (offered, before) in
        [(50.0, 49.99), (100.0, 98.179), (200.0, 157.382), (400.0, 230.407), (800.0, 279.907)]
    {
        let n = best_regions(offered, &kb, &worth, 151_200.0, 1312);
        let earns = benefit(offered, &n, &worth, worth[0]);
        assert!(earns >= before - 0.01, "{offered} erlangs: {n:?} earns {earns}, {before} before");
        let used: f64 = n.iter().zip(kb).map(|(n, kb)| f64::from(*n) * kb).sum();
        assert!(used <= 151_200.1 && n.iter().sum::<u32>() <= 1312, "{n:?}");
    }
}
