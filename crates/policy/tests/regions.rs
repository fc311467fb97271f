//! The loss-queue model and the sizing of regions.
use crankpaddle::{benefit, best_regions, erlang_b};

#[test]
fn loss_probability_matches_known_values() {
    for (offered, slots, expected) in
        [(1.0, 1, 0.5), (2.0, 2, 0.4), (5.0, 10, 0.018_384_6), (10.0, 10, 0.214_582), (20.0, 30, 0.008_457_5)]
    {
        assert!(
            (erlang_b(offered, slots) - expected).abs() < 1e-5,
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

/// Reference implementation of Erlang B: slot by slot, with a division each.
fn reference_erlang_b(offered: f64, slots: u32) -> f64 {
    (1..=slots).fold(1.0, |blocked, slot| offered * blocked / (f64::from(slot) + offered * blocked))
}

#[test]
fn queues_computed_in_a_batch_equal_each_alone() {
    for rung in 1..12 {
        // From a few slots to more than a thousand, from idle to heavily overloaded.
        let slots: Vec<u32> = (0..rung).map(|i| (i * i * 37 + i) % 1300).collect();
        let utility_by_rung: Vec<f64> = (1..=rung).map(|i| f64::from(i) / f64::from(rung)).collect();
        for offered in [0.01, 0.9, 7.0, 63.0, 250.0, 1000.0, 9000.0] {
            let (mut sum, mut spilled) = (0.0, offered);
            for (count, utility) in slots.iter().zip(&utility_by_rung).rev() {
                let lost = spilled * reference_erlang_b(spilled, *count);
                assert!(
                    (erlang_b(spilled, *count) - reference_erlang_b(spilled, *count)).abs() < 1e-11,
                    "{spilled} {count}"
                );
                (sum, spilled) = (sum + (spilled - lost) * utility, lost);
            }
            let batched = benefit(offered, &slots, &utility_by_rung, 0.1);
            assert!(
                (batched - (sum - 0.1 * spilled)).abs() < 1e-9 * offered.max(1.0),
                "{offered} {slots:?}: {batched} {sum}"
            );
        }
    }
}

#[test]
fn requests_without_a_slot_spill_over_to_the_next_lower_region() {
    // 3 erlangs are offered to 2 slots of the upper rung; the rest spills over to 4 slots of the lower rung.
    let spilled = 3.0 * erlang_b(3.0, 2);
    let lost = spilled * erlang_b(spilled, 4);
    let expected = (3.0 - spilled) * 1.0 + (spilled - lost) * 0.4 - 0.4 * lost;
    assert!((benefit(3.0, &[4, 2], &[0.4, 1.0], 0.4) - expected).abs() < 1e-12);
}

/// Rate of all slots, kB per second.
fn used_kb(slots: &[u32], rung_kb: &[f64]) -> f64 {
    slots.iter().zip(rung_kb).map(|(count, kb)| f64::from(*count) * kb).sum()
}

/// Highest benefit of any allocation within the budget.
fn exhaustive(offered: f64, rung_kb: &[f64], utility: &[f64], budget_kb: f64, max_slots: u32) -> f64 {
    fn search(
        rung: usize,
        slots: &mut Vec<u32>,
        free_kb: f64,
        free_slots: u32,
        rung_kb: &[f64],
        value: &dyn Fn(&[u32]) -> f64,
    ) -> f64 {
        if rung == rung_kb.len() {
            return value(slots);
        }
        let mut best = f64::NEG_INFINITY;
        for count in 0..=free_slots.min((free_kb / rung_kb[rung] + 1e-9) as u32) {
            slots[rung] = count;
            let left_kb = free_kb - f64::from(count) * rung_kb[rung];
            best = best.max(search(rung + 1, slots, left_kb, free_slots - count, rung_kb, value));
        }
        slots[rung] = 0;
        best
    }
    let value = |slots: &[u32]| benefit(offered, slots, utility, utility[0]);
    search(0, &mut vec![0; rung_kb.len()], budget_kb, max_slots, rung_kb, &value)
}

#[test]
fn chosen_regions_come_near_exhaustive_search() {
    let (rung_kb, utility) = ([200.0, 400.0, 800.0], [0.3, 0.6, 1.0]);
    for offered in [0.5, 2.0, 5.0, 9.0, 15.0, 40.0] {
        for max_slots in [6, 12, 30] {
            let slots = best_regions(offered, &rung_kb, &utility, 4000.0, max_slots);
            let found = benefit(offered, &slots, &utility, utility[0]);
            let best = exhaustive(offered, &rung_kb, &utility, 4000.0, max_slots);
            assert!(found >= best - 0.01 * best.abs(), "{offered} {max_slots}: {slots:?} {found} {best}");
            assert!(slots.iter().sum::<u32>() <= max_slots);
            assert!(used_kb(&slots, &rung_kb) <= 4000.0 + 1e-6);
        }
    }
}

#[test]
fn regions_move_down_the_ladder_as_arrivals_grow() {
    let (rung_kb, utility) = ([200.0, 400.0, 800.0], [0.3, 0.6, 1.0]);
    let mean_rung = |offered| {
        let slots = best_regions(offered, &rung_kb, &utility, 4000.0, 40);
        let total: u32 = slots.iter().sum();
        let weighted = slots.iter().enumerate().map(|(rung, count)| rung as f64 * f64::from(*count));
        weighted.sum::<f64>() / f64::from(total.max(1))
    };
    assert!(mean_rung(1.0) > mean_rung(8.0));
    assert!(mean_rung(8.0) > mean_rung(30.0));
}

#[test]
fn a_link_of_a_thousand_slots_is_sized_no_worse_than_by_trades_of_single_slots() {
    let rung_kb = [118.0, 213.0, 387.0, 700.0, 1268.0].map(|kb: f64| kb * 1.14);
    let utility = [0.25, 0.47, 0.65, 0.83, 1.0];
    // The benefits reached by an earlier version that moved one slot at a time, which took 36 to 113 ms each.
    for (offered, single_slot_benefit) in
        [(50.0, 49.99), (100.0, 98.179), (200.0, 157.382), (400.0, 230.407), (800.0, 279.907)]
    {
        let slots = best_regions(offered, &rung_kb, &utility, 151_200.0, 1312);
        let found = benefit(offered, &slots, &utility, utility[0]);
        assert!(
            found >= single_slot_benefit - 0.01,
            "{offered} erlangs: {slots:?} earns {found}, single-slot trades earn {single_slot_benefit}"
        );
        let within_kb = used_kb(&slots, &rung_kb) <= 151_200.1;
        assert!(within_kb && slots.iter().sum::<u32>() <= 1312, "{slots:?}");
    }
}
