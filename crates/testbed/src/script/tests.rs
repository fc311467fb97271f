use super::*;

fn read(text: &str) -> Result<Scenario, Vec<Problem>> {
    parse(text, |name| {
        built_in_fleet(name).ok_or_else(|| format!("no fleet {name:?}"))
    })
}

#[test]
fn the_built_in_scenarios_are_valid() {
    for (name, text) in BUILT_IN_SCENARIOS {
        let scenario = read(text).unwrap_or_else(|problems| panic!("{name}: {problems:?}"));
        assert_eq!(scenario.name, name);
    }
}

#[test]
fn each_problem_is_reported_with_its_line() {
    let (_, good) = BUILT_IN_SCENARIOS[1];
    for (from, to, reported) in [
        (
            "servers {",
            "servers {\n  colour: 1",
            "no field \"colour\" in servers",
        ),
        (
            "zone: \"south\"",
            "zone: \"suth\"",
            "not a zone: north, south",
        ),
        ("crash {}", "", "has no kind"),
        ("fleet: \"fleet\"", "fleet: \"flet\"", "no fleet \"flet\""),
        (
            "share: [0.35, 0.65]",
            "share: [0.35]",
            "one value for each class",
        ),
    ] {
        assert!(good.contains(from), "{from}");
        let problems = read(&good.replacen(from, to, 1)).unwrap_err();
        assert!(
            problems
                .iter()
                .any(|problem| problem.what.contains(reported) && problem.line > 1),
            "{from}: {problems:?}"
        );
    }
}

#[test]
fn bursts_raise_the_rate_while_they_last() {
    let scenario = read(BUILT_IN_SCENARIOS[1].1).unwrap();
    let burst = scenario
        .faults
        .iter()
        .find(|fault| matches!(fault.kind, FaultKind::Burst(_)))
        .unwrap();
    assert!(
        scenario.rate_at(burst.at) > scenario.rate
            && scenario.rate_at(burst.at + burst.length) == scenario.rate
    );
}
