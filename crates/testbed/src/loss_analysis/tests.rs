use super::*;

fn counts(restored: u64, left: u64, lost: u64) -> LossCounts {
    LossCounts {
        restored,
        left,
        lost,
    }
}

#[test]
fn viewers_disconnected_after_the_power_loss_are_counted_once() {
    let mut losses = Losses::default();
    losses.on_disconnected(9, 0); // Before the power loss.
    losses.on_power_loss();
    losses.on_established(5, 0); // This viewer is never disconnected.
    for visit in 1..=4 {
        losses.on_disconnected(visit, (visit % 2) as u8);
    }
    assert_eq!(losses.count(|_| true), counts(0, 0, 4));
    losses.on_established(1, 1);
    losses.on_left(2);
    losses.on_left(5);
    assert_eq!(
        (losses.count(|_| true), losses.count(|class| class == 1)),
        (counts(1, 1, 4), counts(1, 0, 2))
    );
    losses.on_disconnected(1, 1);
    assert_eq!(losses.count(|_| true), counts(0, 1, 4));
}
