use super::*;

#[test]
fn bytes_are_counted_in_their_spans_and_old_spans_are_removed() {
    let mut windows = Windows::default();
    let start = 7200 * SECOND;
    windows.add(start, 5);
    windows.add(start + 61 * SECOND, 7);
    windows.add(start + 30 * SECOND, 1); // Late, and counted where it belongs.
    let at = |windows: &Windows, span, at: u64| {
        windows
            .recent(span)
            .into_iter()
            .find(|(t, _)| *t == at)
            .map(|(_, b)| b)
    };
    assert_eq!(at(&windows, Span::Second, start + 30 * SECOND), Some(1));
    assert_eq!(at(&windows, Span::Minute, start), Some(6));
    assert_eq!(
        (at(&windows, Span::Hour, start), windows.total()),
        (Some(13), 13)
    );
    windows.add(start + 400 * SECOND, 2);
    assert_eq!(at(&windows, Span::Second, start + 61 * SECOND), None);
    assert_eq!(
        windows
            .recent(Span::Second)
            .iter()
            .map(|(_, b)| b)
            .sum::<u64>(),
        2
    );
    windows.add(start, 100); // Too old for its second.
    assert_eq!(
        (
            windows
                .recent(Span::Second)
                .iter()
                .map(|(_, b)| b)
                .sum::<u64>(),
            windows.total()
        ),
        (2, 115)
    );
}

#[test]
fn totals_are_exact_beyond_what_a_float_holds() {
    let mut windows = Windows::default();
    windows.set_total((1 << 53) + 1);
    windows.add(SECOND, 1);
    assert_eq!(windows.total(), (1 << 53) + 2);
    windows.set_total(u64::MAX);
    windows.add(SECOND, 1);
    assert_eq!(windows.total(), u64::MAX, "the total saturates");
}
