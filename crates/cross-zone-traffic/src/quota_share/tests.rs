use super::*;

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

fn observed(at: Time, usage: f64) -> Option<ObservedUsage> {
    Some(ObservedUsage { at, usage })
}

#[test]
fn a_quota_grows_only_with_demand_and_reports_and_falls_at_once() {
    let mut share = AdaptiveQuota::new(0.1);
    assert_eq!(
        share.update(at(1), 0.1, observed(at(1), 0.1)),
        0.1,
        "there is no demand"
    );
    share.record_demand(at(1));
    let first = share.update(at(1), 0.1, observed(at(1), 0.1));
    assert!(first > 0.1 && first < 0.11, "{first}");
    assert_eq!(
        share.update(at(2), first, None),
        0.1,
        "without reports an equal quota"
    );
    for step in 2..600 {
        share.record_demand(at(step));
        let own = share.quota;
        share.update(at(step), own, observed(at(step), own));
    }
    assert!(
        share.quota > 0.9 && share.exceeds_equal_quota(),
        "{}",
        share.quota
    );
    let reduced = share.update(at(600), 0.9, observed(at(600), 1.2));
    assert!(
        (0.7..0.85).contains(&reduced),
        "its share of what is over: {reduced}"
    );
    let given_back: Vec<f64> = (690..790)
        .map(|s| share.update(at(s), 0.3, observed(at(s), 0.3)))
        .collect();
    assert!(
        given_back.windows(2).all(|w| w[1] <= w[0]) && given_back[60] < 0.32,
        "{given_back:?}"
    );
    let last = (790..900)
        .map(|s| share.update(at(s), 0.0, observed(at(s), 0.0)))
        .last();
    assert_eq!(last, Some(0.1));
}

#[test]
fn all_fronts_together_take_no_more_than_a_share_of_the_headroom_in_a_step() {
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
                let mut share = AdaptiveQuota::new(equal);
                share.record_demand(at(1));
                share.update(at(1), *own, observed(at(1), all)) - equal
            })
            .sum();
        assert!(
            grown > 0.0 && grown <= GROWTH_PER_UPDATE * (1.0 - all) + 1e-9,
            "{fronts}: {grown}"
        );
    }
}

#[test]
fn reports_count_only_when_every_server_reported_recently() {
    let mut reports = UsageReports::default();
    let kb = |kb: f64| BTreeMap::from([(0u8, kb), (1, 10.0 * kb)]);
    reports.record(1, at(10), kb(5.0));
    assert_eq!(reports.total(at(11), [1, 2].into_iter(), |_| true), None);
    reports.record(2, at(11), kb(1.0));
    assert_eq!(
        reports.total(at(11), [1, 2].into_iter(), |c| c == 0),
        observed(at(10), 6.0)
    );
    reports.record(1, at(9), kb(100.0)); // Overtaken on its way.
    assert_eq!(
        reports.total(at(11), [1, 2].into_iter(), |_| true),
        observed(at(10), 66.0)
    );
    assert_eq!(
        reports.total(at(14), [1, 2].into_iter(), |_| true),
        None,
        "too old"
    );
    reports.remove_server(1);
    assert_eq!(
        reports.total(at(14), [2].into_iter(), |_| true),
        observed(at(11), 11.0)
    );
}
