use super::*;

#[test]
fn only_who_was_cut_off_counts_and_who_is_cut_off_again_counts_once() {
    let mut l = Losses::default();
    l.is_cut_off(9, 0); // Before the power went.
    l.power_went();
    l.watches(5, 0); // Goes on undisturbed.
    for visit in 1..=4 {
        l.is_cut_off(visit, (visit % 2) as u8);
    }
    assert_eq!(l.count(|_| true), (0, 0, 4));
    l.watches(1, 1);
    l.leaves(2);
    l.leaves(5);
    assert_eq!(
        (l.count(|_| true), l.count(|class| class == 1)),
        ((1, 1, 4), (1, 0, 2))
    );
    l.is_cut_off(1, 1);
    assert_eq!(l.count(|_| true), (0, 1, 4));
}
