use super::{parse_case, CaseAction, CaseStep, FrontSet, BUILT_IN_CASES};
use std::collections::HashMap;

#[test]
fn fronts_are_selected_by_number_range_step_percentage_group_and_exclusion() {
    let dead = FrontSet::parse("0/4,9", &HashMap::new()).unwrap();
    let groups: HashMap<String, FrontSet> = [("dead".to_owned(), dead)].into();
    for (text, expected) in [
        ("all", vec![0, 1, 2, 3, 4, 5, 6, 7, 8, 9]),
        ("none", vec![]),
        ("3", vec![3]),
        ("7-12", vec![7, 8, 9]),
        ("1/3", vec![1, 4, 7]),
        ("0%-25%", vec![0, 1, 2]),
        ("25%-50%", vec![3, 4]),
        ("dead", vec![0, 4, 8, 9]),
        ("!dead,1", vec![2, 3, 5, 6, 7]),
    ] {
        assert_eq!(
            FrontSet::parse(text, &groups).unwrap().members(10),
            expected,
            "{text}"
        );
    }
    for invalid in ["", "x", "3/0", "5%-200%", "-", "!!3"] {
        assert!(
            FrontSet::parse(invalid, &groups)
                .unwrap_err()
                .to_string()
                .contains("allowed: all"),
            "{invalid}"
        );
    }
}

#[test]
fn the_built_in_cases_are_valid() {
    for (name, text) in BUILT_IN_CASES {
        let case = parse_case(text).unwrap_or_else(|problems| panic!("{name}: {problems:?}"));
        assert_eq!(case.name, name);
        assert!(
            case.steps
                .iter()
                .any(|step| matches!(step, CaseStep::Claim { .. })),
            "{name} has no claims"
        );
    }
}

#[test]
fn a_bandwidth_in_any_unit_is_converted_to_bytes_per_second() {
    for (text, expected) in [("500B/s", 500.0), ("4kB/s", 4000.0)] {
        let case = parse_case(&format!(
            "name: \"x\" step {{ net {{ bandwidth: {text:?} }} }}"
        ))
        .unwrap();
        let CaseStep::Action(CaseAction::SetNetwork { bandwidth, .. }) = case.steps[0] else {
            panic!("{:?}", case.steps)
        };
        assert!((bandwidth - expected).abs() < 1e-6, "{text}: {bandwidth}");
    }
}

#[test]
fn each_problem_is_reported_with_its_line_and_field() {
    let (_, valid_text) = BUILT_IN_CASES[1];
    for (text, replacement, expected) in [
        ("kill: \"dead\"", "kill: \"deaf\"", "names no fronts"),
        ("state: GONE", "", "has no state"),
        (
            "within: \"8s\"",
            "within: \"8 parsecs\"",
            "step[3].see.bound.within",
        ),
        ("kill: \"dead\"", "kil: \"dead\"", "kil"),
        ("claim: \"each death is known to all\"", "", "has no claim"),
    ] {
        assert!(valid_text.contains(text), "{text}");
        let problems = parse_case(&valid_text.replacen(text, replacement, 1)).unwrap_err();
        assert!(
            problems
                .iter()
                .any(|problem| problem.what.contains(expected) && problem.line > 1),
            "{text}: {problems:?}"
        );
    }
}
