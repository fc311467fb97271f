use super::*;
const SECOND: u64 = 1_000_000_000;

#[test]
fn a_part_grows_only_while_wanted_and_with_reports_and_falls_at_once() {
    let mut p = QuotaShare::new(0.1);
    assert_eq!(
        p.update(SECOND, 0.1, Some((SECOND, 0.1))),
        0.1,
        "nothing more is wanted"
    );
    p.request_more(SECOND);
    let first = p.update(SECOND, 0.1, Some((SECOND, 0.1)));
    assert!(first > 0.1 && first < 0.11, "{first}");
    assert_eq!(
        p.update(2 * SECOND, first, None),
        0.1,
        "without reports an equal part"
    );
    for step in 2..600 {
        p.request_more(step * SECOND);
        let own = p.part;
        p.update(step * SECOND, own, Some((step * SECOND, own)));
    }
    assert!(p.part > 0.9 && p.exceeds_equal_share(), "{}", p.part);
    let share = p.update(600 * SECOND, 0.9, Some((600 * SECOND, 1.2)));
    assert!(
        (0.7..0.85).contains(&share),
        "its share of what is over: {share}"
    );
    let given_back: Vec<f64> = (690..790)
        .map(|s| p.update(s * SECOND, 0.3, Some((s * SECOND, 0.3))))
        .collect();
    assert!(
        given_back.windows(2).all(|w| w[1] <= w[0]) && given_back[60] < 0.32,
        "{given_back:?}"
    );
    let last = (790..900)
        .map(|s| p.update(s * SECOND, 0.0, Some((s * SECOND, 0.0))))
        .last();
    assert_eq!(last, Some(0.1));
}

#[test]
fn all_fronts_together_take_no_more_than_a_share_of_the_room_in_a_step() {
    for (fronts, uses) in [
        (3, vec![0.4, 0.2, 0.0]),
        (40, vec![0.02; 40]),
        (240, vec![0.003; 240]),
    ] {
        let equal = 1.0 / f64::from(fronts);
        let all: f64 = uses.iter().sum();
        let grown: f64 = uses
            .iter()
            .map(|own| {
                let mut p = QuotaShare::new(equal);
                p.request_more(SECOND);
                p.update(SECOND, *own, Some((SECOND, all))) - equal
            })
            .sum();
        assert!(
            grown > 0.0 && grown <= GROWTH * (1.0 - all) + 1e-9,
            "{fronts}: {grown}"
        );
    }
}

#[test]
fn reports_count_only_when_every_server_was_heard_of_late() {
    let mut r = UsageReports::default();
    let kb = |kb: f64| BTreeMap::from([(0u8, kb), (1, 10.0 * kb)]);
    r.record(1, 10 * SECOND, kb(5.0));
    assert_eq!(r.total(11 * SECOND, [1, 2].into_iter(), |_| true), None);
    r.record(2, 11 * SECOND, kb(1.0));
    assert_eq!(
        r.total(11 * SECOND, [1, 2].into_iter(), |c| c == 0),
        Some((10 * SECOND, 6.0))
    );
    r.record(1, 9 * SECOND, kb(100.0)); // Overtaken on its way.
    assert_eq!(
        r.total(11 * SECOND, [1, 2].into_iter(), |_| true),
        Some((10 * SECOND, 66.0))
    );
    assert_eq!(
        r.total(14 * SECOND, [1, 2].into_iter(), |_| true),
        None,
        "too old"
    );
    r.server_removed(1);
    assert_eq!(
        r.total(14 * SECOND, [2].into_iter(), |_| true),
        Some((11 * SECOND, 11.0))
    );
}
