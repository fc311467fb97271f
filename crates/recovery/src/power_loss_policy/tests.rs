use super::*;

#[test]
fn a_conservative_bound_never_lowers_the_observed_value() {
    assert_eq!(ConservativeBound::new(40).at_least(11), 40);
    assert_eq!(ConservativeBound::new(11).at_least(40), 40);
}

#[test]
fn the_page_on_power_loss_lists_the_policy_of_each_kind_of_state() {
    let page = include_str!("../../../../docs/power.md");
    for kind in StateKind::ALL {
        let policy = match kind.policy() {
            PowerLossPolicy::StillValid => "still valid",
            PowerLossPolicy::Conservative => "conservative",
            PowerLossPolicy::Discarded => "discarded",
        };
        let row = format!("| {kind:?} | {policy} | {} |", kind.rationale());
        assert!(page.contains(&row), "docs/power.md lacks: {row}");
    }
}
