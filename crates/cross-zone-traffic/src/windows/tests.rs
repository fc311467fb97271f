use super::*;

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

#[test]
fn bytes_are_counted_in_their_spans_and_old_spans_are_dropped() {
    let mut windows = WindowedBytes::default();
    let start = 7200;
    windows.add(at(start), 5);
    windows.add(at(start + 61), 7);
    windows.add(at(start + 30), 1); // Added late, but counted in its own span.
    let bytes_at = |windows: &WindowedBytes, span, start: u64| {
        windows
            .recent(span)
            .into_iter()
            .find(|total| total.start == at(start))
            .map(|total| total.bytes)
    };
    assert_eq!(bytes_at(&windows, Span::Second, start + 30), Some(1));
    assert_eq!(bytes_at(&windows, Span::Minute, start), Some(6));
    assert_eq!(
        (bytes_at(&windows, Span::Hour, start), windows.total()),
        (Some(13), 13)
    );
    windows.add(at(start + 400), 2);
    assert_eq!(bytes_at(&windows, Span::Second, start + 61), None);
    assert_eq!(
        windows
            .recent(Span::Second)
            .iter()
            .map(|total| total.bytes)
            .sum::<u64>(),
        2
    );
    windows.add(at(start), 100); // Its second is no longer retained.
    assert_eq!(
        (
            windows
                .recent(Span::Second)
                .iter()
                .map(|total| total.bytes)
                .sum::<u64>(),
            windows.total()
        ),
        (2, 115)
    );
}

#[test]
fn totals_are_exact_beyond_the_integers_that_a_float_can_represent() {
    let mut windows = WindowedBytes::default();
    windows.set_total((1 << 53) + 1);
    windows.add(at(1), 1);
    assert_eq!(windows.total(), (1 << 53) + 2);
    windows.set_total(u64::MAX);
    windows.add(at(1), 1);
    assert_eq!(windows.total(), u64::MAX, "the total must saturate");
}
