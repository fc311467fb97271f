use super::*;
const SECOND: u64 = crate::SECOND;

#[test]
fn sums_fall_into_their_spans_and_old_ones_are_forgotten() {
    let mut w = Windows::default();
    let start = 7200 * SECOND;
    w.add(start, 5);
    w.add(start + 61 * SECOND, 7);
    w.add(start + 30 * SECOND, 1); // Late, and counted where it belongs.
    let at = |w: &Windows, span, at: u64| {
        w.recent(span)
            .into_iter()
            .find(|(t, _)| *t == at)
            .map(|(_, b)| b)
    };
    assert_eq!(at(&w, Span::Second, start + 30 * SECOND), Some(1));
    assert_eq!(at(&w, Span::Minute, start), Some(6));
    assert_eq!((at(&w, Span::Hour, start), w.total()), (Some(13), 13));
    w.add(start + 400 * SECOND, 2);
    assert_eq!(at(&w, Span::Second, start + 61 * SECOND), None);
    assert_eq!(
        w.recent(Span::Second).iter().map(|(_, b)| b).sum::<u64>(),
        2
    );
    w.add(start, 100); // Too old for a second's sum.
    assert_eq!(
        (
            w.recent(Span::Second).iter().map(|(_, b)| b).sum::<u64>(),
            w.total()
        ),
        (2, 115)
    );
}

#[test]
fn totals_are_exact_beyond_what_a_float_holds() {
    let mut w = Windows::default();
    w.set_total((1 << 53) + 1);
    w.add(SECOND, 1);
    assert_eq!(w.total(), (1 << 53) + 2);
    w.set_total(u64::MAX);
    w.add(SECOND, 1);
    assert_eq!(w.total(), u64::MAX, "full is not around again");
}
