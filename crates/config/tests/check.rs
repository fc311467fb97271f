//! Every problem in a file is reported at once, with its place and with what is allowed.
use crankpaddle_config::{parse, Problem};
use proptest::prelude::*;
use std::time::Duration;

/// All fields: the example in deploy, with its limits and rules stated.
const GOOD: &str = include_str!("full.textproto");
/// What an operator starts from.
const EXAMPLE: &str = include_str!("../../../deploy/front.textproto");

fn problems(from: &str, to: &str) -> Vec<Problem> {
    assert!(GOOD.contains(from), "{from}");
    parse(&GOOD.replacen(from, to, 1)).expect_err("this must not pass")
}

fn line_of(text: &str) -> usize {
    GOOD.lines().position(|l| l.contains(text)).unwrap() + 1
}

#[test]
fn the_example_is_read_as_written() {
    let config = parse(GOOD).unwrap();
    assert_eq!(config.settings.rung_kb, [60.0, 120.0, 200.0, 400.0]);
    assert_eq!(config.settings.classes[0].latency_objective, 800_000_000);
    assert_eq!(config.settings.classes[0].max_rung, 3);
    assert_eq!(
        config.terms.max_wait,
        [4_000_000_000, 5_000_000_000].map(Duration::from_nanos)
    );
    assert_eq!(config.limits.message, 65536);
    assert_eq!(config.classes, ["paid-view", "preview"]);
    assert_eq!(config.titles["old-bridge"].first_cell, 2);
    assert_eq!(
        (config.settings.zone, config.settings.replica_count),
        (0, 2)
    );
}

/// A mistake in the good file, and how it is reported.
struct Mistake {
    /// The text that is replaced.
    from: &'static str,
    /// What it is replaced by.
    to: &'static str,
    /// A text in the line that is reported.
    line: &'static str,
    /// A part of the report.
    report: &'static str,
}

const fn mistake(
    from: &'static str,
    to: &'static str,
    line: &'static str,
    report: &'static str,
) -> Mistake {
    Mistake {
        from,
        to,
        line,
        report,
    }
}

const MISTAKES: [Mistake; 15] = [
    mistake("index: 0", "index: 2", "index: 0", "allowed: 0 to 1"),
    mistake(
        "zone: \"north\"",
        "zone: \"nrth\"",
        "zone: \"north\"",
        "not in fleet.zone: north, south",
    ),
    mistake(
        "aim: \"800ms\"",
        "aim: \"800kB/s\"",
        "aim: \"800ms\"",
        "is not a time such as",
    ),
    mistake(
        "rate: \"60kB/s\"",
        "rate: \"60ms\"",
        "rate: \"60kB/s\"",
        "is not a rate such as",
    ),
    mistake(
        "unread: \"64KiB\"",
        "unread: \"64\"",
        "unread:",
        "is not a size such as",
    ),
    mistake(
        "rate: \"120kB/s\"",
        "rate: \"50kB/s\"",
        "rate: \"120kB/s\"",
        "does not rise",
    ),
    mistake(
        "worth: 0.5 }",
        "worth: 0.1 }",
        "worth: 0.5 }",
        "does not rise",
    ),
    mistake("effect: FREE", "effect: PIAD", "effect: FREE", "PIAD"),
    mistake(
        "attempts: 4",
        "attempts: 0",
        "attempts: 4",
        "allowed: 1 to 200",
    ),
    mistake("copies: 3", "copies: 9", "copies: 3", "allowed: 1 to 4"),
    mistake(
        "give_up: \"4s\"",
        "give_up: \"150ms\"",
        "give_up: \"4s\"",
        "under aim",
    ),
    mistake(
        "listen: \"127.0.0.1:7400\"",
        "listen: \"localhost\"",
        "listen:",
        "not an address",
    ),
    mistake("siblings: 2", "siblings: -2", "siblings: 2", "expected"),
    mistake(
        "cold_share: 0.4",
        "cold_share: 4",
        "cold_share: 0.4",
        "allowed: 0.001 to 1",
    ),
    mistake(
        "name: \"mill-weir\"",
        "name: \"harbour-lights\"",
        "mill-weir",
        "taken by title[0]",
    ),
];

#[test]
fn each_mistake_is_reported_at_its_place() {
    for Mistake {
        from,
        to,
        line,
        report,
    } in MISTAKES
    {
        let found = problems(from, to);
        let here: Vec<_> = found
            .iter()
            .filter(|p| p.line == line_of(line) && p.what.contains(report))
            .collect();
        assert_eq!(here.len(), 1, "{from} -> {to}: {found:?}");
    }
}

#[test]
fn unknown_fields_are_listed_with_what_is_allowed() {
    let found = problems("cells: 4", "cels: 4\n  rackz: 1");
    let said: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert!(
        said.iter()
            .any(|s| s.contains("no field \"cels\" in fleet; allowed: cells, join")),
        "{said:?}"
    );
    assert!(
        said.iter().any(|s| s.contains("no field \"rackz\"")),
        "{said:?}"
    );
    assert_eq!((found[0].line, found[0].column), (line_of("cells: 4"), 3));
}

#[test]
fn all_problems_are_reported_at_once_in_order() {
    let text = GOOD
        .replace("index: 0", "index: 9")
        .replace("fall: \"1s\"", "fall: \"\"")
        .replace("copies: 3", "copies: 0");
    let found = parse(&text).unwrap_err();
    assert_eq!(found.len(), 6, "{found:?}");
    assert!(found.windows(2).all(|w| w[0].line <= w[1].line));
}

#[test]
fn an_empty_file_said_the_missing_sections() {
    let said: Vec<String> = parse("")
        .unwrap_err()
        .iter()
        .map(|p| p.what.clone())
        .collect();
    for block in ["front", "fleet", "ladder", "class", "title"] {
        assert!(
            said.contains(&format!("{block}: is missing")),
            "{block}: {said:?}"
        );
    }
}

#[test]
fn a_few_lines_are_enough_and_defaults_fill_in_the_rest() {
    let stated = EXAMPLE
        .lines()
        .filter(|l| !l.trim().is_empty() && !l.starts_with('#'))
        .count();
    assert!(stated <= 12, "{stated} lines");
    let few = parse(EXAMPLE).unwrap();
    assert_eq!(
        (
            few.settings.max_attempts,
            few.limits.message,
            few.terms.max_retained_keys
        ),
        (3, 65536, 100_000)
    );
    assert_eq!(
        (
            few.settings.classes[0].latency_objective,
            few.settings.classes[1].priority_weight
        ),
        (1_000_000_000, 1.0)
    );
    assert!(few.log_json && few.log_level == "info");
    // Zero is a value, not an absence.
    let text = EXAMPLE.to_owned() + "rules { over_share_worth: 0 cold_share: 0.5 }\n";
    let config = parse(&text).unwrap();
    assert_eq!(
        (
            config.settings.over_quota_weight,
            config.settings.slow_start_min_factor
        ),
        (0.0, 0.5)
    );
    assert_eq!(
        config.settings.max_attempts, 3,
        "the rest of the block is filled in all the same"
    );
}

#[test]
fn unknown_and_malformed_fields_do_not_hide_other_problems() {
    let text = GOOD
        .replace("index: 0", "index: 9")
        .replace("siblings: 2", "siblings: -2")
        .replace("cells: 4", "cels: 4")
        .replace("effect: FREE", "effect: PIAD")
        .replace(
            "copies: 3 }\ntitle { name: \"old",
            "copies: 0 }\ntitle { name: \"old",
        );
    let found = parse(&text).unwrap_err();
    let said: Vec<String> = found.iter().map(ToString::to_string).collect();
    for (line, what) in [
        ("siblings: 2", "expected"),
        ("cells: 4", "no field \"cels\" in fleet"),
        ("effect: FREE", "PIAD"),
        ("mill-weir", "title[1].copies"),
    ] {
        let here = found
            .iter()
            .filter(|p| p.line == line_of(line) && p.what.contains(what))
            .count();
        assert_eq!(here, 1, "{line}: {said:?}");
    }
    assert!(
        !said.iter().any(|s| s.contains("front.siblings: is")),
        "told once: {said:?}"
    );
    assert!(
        !said
            .iter()
            .any(|s| s.contains("class[1].effect: is missing")),
        "told once: {said:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever a file holds, checking it ends with a verdict and places inside the file.
    #[test]
    fn no_text_makes_the_check_panic(at in 0..GOOD.len(), cut in 0..40usize, put in "[ -~\n\u{e9}]{0,12}") {
        let mut text = GOOD.to_owned();
        let end = (at + cut).min(text.len());
        if text.is_char_boundary(at) && text.is_char_boundary(end) {
            text.replace_range(at..end, &put);
        }
        if let Err(problems) = parse(&text) {
            prop_assert!(!problems.is_empty());
            let lines = text.matches('\n').count() + 1;
            prop_assert!(problems.iter().all(|p| (1..=lines).contains(&p.line) && p.column >= 1));
        }
    }
}

#[test]
fn budgets_are_those_of_the_fronts_own_zone_and_all_are_checked() {
    let budget = |more: &str| {
        format!("{GOOD}budget {{ from: \"south\" to: \"north\" rate: \"5MB/s\" {more} }}\n")
    };
    let config = parse(
        &(budget("burst: \"2GiB\"")
            + "budget { from: \"north\" to: \"south\" rate: \"1MB/s\" burst: \"1MiB\" }\n"),
    )
    .unwrap();
    let [limit] = config.budgets[..] else {
        panic!("{:?}", config.budgets)
    };
    assert_eq!(
        (limit.from, limit.class, limit.shared.rate_kb),
        (1, None, 5000.0)
    );
    assert_eq!(
        (limit.shared.volume, limit.shared.repay),
        (f64::INFINITY, 60_000_000_000)
    );
    let none = parse(&budget("burst: \"1MiB\"").replace("5MB/s", "0kB/s")).unwrap();
    assert_eq!(
        none.budgets[0].shared.rate_kb, 0.0,
        "nothing may cross: a value, not an absence"
    );
    for (text, said) in [
        (
            budget("burst: \"1MiB\"").replace("from: \"south\" to", "from: \"sth\" to"),
            "budget[0].from: \"sth\" is not in fleet.zone",
        ),
        (
            budget("burst: \"1MiB\"").replace("from: \"south\" to", "from: \"north\" to"),
            "only what crosses has a budget",
        ),
        (
            budget("burst: \"1MiB\" class: \"x\""),
            "budget[0].class: \"x\" is not a class: paid-view, preview",
        ),
        (
            budget("burst: \"1MiB\" volume: \"1GiB\""),
            "budget[0].period: is missing",
        ),
        (budget(""), "budget[0].burst: is missing"),
        (
            budget("burst: \"1MiB\"").replace("rate: \"5MB/s\"", ""),
            "budget[0].rate: is missing",
        ),
        (
            budget("burst: \"1MiB\"") + &budget("burst: \"1MiB\"")[GOOD.len()..],
            "the same zones and class as budget[0]",
        ),
    ] {
        let found = parse(&text).unwrap_err();
        assert!(
            found.iter().any(|p| p.what.contains(said)),
            "{said}: {found:?}"
        );
    }
}
