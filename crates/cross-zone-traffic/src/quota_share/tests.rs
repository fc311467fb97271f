use super::*;

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

fn observed(at: Time, usage: f64) -> Option<ObservedUsage> {
    Some(ObservedUsage { at, usage })
}

#[test]
fn a_quota_grows_only_with_demand_and_reports_and_is_reduced_at_once() {
    let mut adaptive_quota = AdaptiveQuota::new(0.1);
    assert_eq!(
        adaptive_quota.update(at(1), 0.1, observed(at(1), 0.1)),
        0.1,
        "without demand, the quota must not grow"
    );
    adaptive_quota.record_demand(at(1));
    let grown = adaptive_quota.update(at(1), 0.1, observed(at(1), 0.1));
    assert!(grown > 0.1 && grown < 0.11, "{grown}");
    assert_eq!(
        adaptive_quota.update(at(2), grown, None),
        0.1,
        "without reports, the quota must be an equal one"
    );
    for second in 2..600 {
        adaptive_quota.record_demand(at(second));
        let own_usage = adaptive_quota.quota;
        adaptive_quota.update(at(second), own_usage, observed(at(second), own_usage));
    }
    assert!(
        adaptive_quota.quota > 0.9 && adaptive_quota.exceeds_equal_quota(),
        "{}",
        adaptive_quota.quota
    );
    let reduced = adaptive_quota.update(at(600), 0.9, observed(at(600), 1.2));
    assert!(
        (0.7..0.85).contains(&reduced),
        "must be reduced to its proportion of the usage: {reduced}"
    );
    let quotas_without_demand: Vec<f64> = (690..790)
        .map(|second| adaptive_quota.update(at(second), 0.3, observed(at(second), 0.3)))
        .collect();
    assert!(
        quotas_without_demand
            .windows(2)
            .all(|pair| pair[1] <= pair[0])
            && quotas_without_demand[60] < 0.32,
        "{quotas_without_demand:?}"
    );
    let last = (790..900)
        .map(|second| adaptive_quota.update(at(second), 0.0, observed(at(second), 0.0)))
        .last();
    assert_eq!(last, Some(0.1));
}

#[test]
fn all_fronts_together_take_a_bounded_fraction_of_the_headroom_in_an_update() {
    for (front_count, usages) in [
        (3, vec![0.4, 0.2, 0.0]),
        (40, vec![0.02; 40]),
        (240, vec![0.003; 240]),
    ] {
        let equal_quota = 1.0 / f64::from(front_count);
        let total_usage: f64 = usages.iter().sum();
        let total_growth: f64 = usages
            .iter()
            .map(|own_usage| {
                let mut adaptive_quota = AdaptiveQuota::new(equal_quota);
                adaptive_quota.record_demand(at(1));
                adaptive_quota.update(at(1), *own_usage, observed(at(1), total_usage)) - equal_quota
            })
            .sum();
        assert!(
            total_growth > 0.0 && total_growth <= GROWTH_PER_UPDATE * (1.0 - total_usage) + 1e-9,
            "{front_count} fronts: {total_growth}"
        );
    }
}

#[test]
fn the_total_is_known_only_if_every_server_reported_recently() {
    let mut reports = UsageReports::default();
    let rates = |rate_kb: f64| BTreeMap::from([(0u8, rate_kb), (1, 10.0 * rate_kb)]);
    reports.record(1, at(10), rates(5.0));
    assert_eq!(reports.total(at(11), [1, 2].into_iter(), |_| true), None);
    reports.record(2, at(11), rates(1.0));
    assert_eq!(
        reports.total(at(11), [1, 2].into_iter(), |class| class == 0),
        observed(at(10), 6.0)
    );
    // A report that arrives after a later one is ignored.
    reports.record(1, at(9), rates(100.0));
    assert_eq!(
        reports.total(at(11), [1, 2].into_iter(), |_| true),
        observed(at(10), 66.0)
    );
    assert_eq!(
        reports.total(at(14), [1, 2].into_iter(), |_| true),
        None,
        "the reports are too old"
    );
    reports.remove_server(1);
    assert_eq!(
        reports.total(at(14), [2].into_iter(), |_| true),
        observed(at(11), 11.0)
    );
}
