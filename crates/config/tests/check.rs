//! Every problem in a configuration is reported in one run, with its line and column and the allowed values.
use crankpaddle_config::{parse, Problem};
use proptest::prelude::*;
use std::time::Duration;

/// The example in `deploy` with its limits and rules given explicitly.
const VALID: &str = include_str!("full.textproto");
/// The documented configuration that an operator starts from.
const EXAMPLE: &str = include_str!("../../../deploy/front.textproto");

/// The problems of the valid configuration after one replacement.
fn problems_after(from: &str, to: &str) -> Vec<Problem> {
    assert!(VALID.contains(from), "{from}");
    parse(&VALID.replacen(from, to, 1)).expect_err("the altered configuration must be rejected")
}

/// The number of the first line that contains this text.
fn line_of(text: &str) -> usize {
    VALID.lines().position(|line| line.contains(text)).unwrap() + 1
}

/// Counts the problems of a line, given by a text in it, whose messages contain this text.
fn count_at(problems: &[Problem], line: &str, message: &str) -> usize {
    problems
        .iter()
        .filter(|problem| problem.line == line_of(line) && problem.what.contains(message))
        .count()
}

fn any_contains(messages: &[String], text: &str) -> bool {
    messages.iter().any(|message| message.contains(text))
}

#[test]
fn a_valid_configuration_is_parsed_with_its_values() {
    let config = parse(VALID).unwrap();
    assert_eq!(config.settings.rung_kb, [60.0, 120.0, 200.0, 400.0]);
    assert_eq!(config.settings.classes[0].latency_objective, 800_000_000);
    assert_eq!(config.settings.classes[0].max_rung, 3);
    assert_eq!(
        config.terms.max_wait,
        [4_000_000_000, 5_000_000_000].map(Duration::from_nanos)
    );
    assert_eq!(config.limits.max_message_bytes, 65536);
    assert_eq!(config.classes, ["paid-view", "preview"]);
    assert_eq!(config.titles["old-bridge"].first_cell, 2);
    assert_eq!(
        (config.settings.zone, config.settings.replica_count),
        (0, 2)
    );
}

type Text = &'static str;

/// A mistake in the valid configuration, and the problem that is reported for it.
struct Mistake {
    /// Text that is replaced.
    from: Text,
    /// Text that replaces it.
    to: Text,
    /// Text in the line for which the problem is reported.
    line: Text,
    /// Part of the message.
    message: Text,
}

const fn mistake(from: Text, to: Text, line: Text, message: Text) -> Mistake {
    Mistake {
        from,
        to,
        line,
        message,
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
fn each_mistake_is_reported_with_its_line() {
    for mistake in MISTAKES {
        let (from, to) = (mistake.from, mistake.to);
        let found = problems_after(from, to);
        let count = count_at(&found, mistake.line, mistake.message);
        assert_eq!(count, 1, "{from} -> {to}: {found:?}");
    }
}

#[test]
fn unknown_fields_are_reported_with_the_allowed_ones() {
    let found = problems_after("cells: 4", "cels: 4\n  rackz: 1");
    let messages: Vec<String> = found.iter().map(ToString::to_string).collect();
    let with_allowed = "no field \"cels\" in fleet; allowed: cells, join";
    assert!(any_contains(&messages, with_allowed), "{messages:?}");
    assert!(
        any_contains(&messages, "no field \"rackz\""),
        "{messages:?}"
    );
    assert_eq!((found[0].line, found[0].column), (line_of("cells: 4"), 3));
}

#[test]
fn all_problems_are_reported_in_the_order_of_the_file() {
    let text = VALID
        .replace("index: 0", "index: 9")
        .replace("fall: \"1s\"", "fall: \"\"")
        .replace("copies: 3", "copies: 0");
    let found = parse(&text).unwrap_err();
    assert_eq!(found.len(), 6, "{found:?}");
    assert!(found.windows(2).all(|pair| pair[0].line <= pair[1].line));
}

#[test]
fn an_empty_file_reports_the_missing_sections() {
    let messages: Vec<String> = parse("")
        .unwrap_err()
        .iter()
        .map(|problem| problem.what.clone())
        .collect();
    for section in ["front", "fleet", "ladder", "class", "title"] {
        assert!(
            messages.contains(&format!("{section}: is missing")),
            "{section}: {messages:?}"
        );
    }
}

#[test]
fn a_short_configuration_is_valid_and_defaults_fill_in_the_rest() {
    let line_count = EXAMPLE
        .lines()
        .filter(|line| !line.trim().is_empty() && !line.starts_with('#'))
        .count();
    assert!(line_count <= 12, "{line_count} lines");
    let config = parse(EXAMPLE).unwrap();
    assert_eq!(
        (
            config.settings.max_attempts,
            config.limits.max_message_bytes,
            config.terms.max_retained_keys
        ),
        (3, 65536, 100_000)
    );
    assert_eq!(
        (
            config.settings.classes[0].latency_objective,
            config.settings.classes[1].priority_weight
        ),
        (1_000_000_000, 1.0)
    );
    assert!(config.log_json && config.log_level == "info");
    // An explicit zero is not replaced by the default.
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
        "the other fields of the section get their defaults"
    );
}

#[test]
fn unknown_and_malformed_fields_do_not_hide_other_problems() {
    let text = VALID
        .replace("index: 0", "index: 9")
        .replace("siblings: 2", "siblings: -2")
        .replace("cells: 4", "cels: 4")
        .replace("effect: FREE", "effect: PIAD")
        .replace(
            "copies: 3 }\ntitle { name: \"old",
            "copies: 0 }\ntitle { name: \"old",
        );
    let found = parse(&text).unwrap_err();
    let messages: Vec<String> = found.iter().map(ToString::to_string).collect();
    for (line, message) in [
        ("siblings: 2", "expected"),
        ("cells: 4", "no field \"cels\" in fleet"),
        ("effect: FREE", "PIAD"),
        ("mill-weir", "title[1].copies"),
    ] {
        let count = count_at(&found, line, message);
        assert_eq!(count, 1, "{line}: {messages:?}");
    }
    assert!(
        !any_contains(&messages, "front.siblings: is"),
        "reported once: {messages:?}"
    );
    assert!(
        !any_contains(&messages, "class[1].effect: is missing"),
        "reported once: {messages:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// The check of any text ends without a panic, and the places of all problems are inside the text.
    #[test]
    fn no_text_makes_the_check_panic(start in 0..VALID.len(), removed in 0..40usize, inserted in "[ -~\n\u{e9}]{0,12}") {
        let mut text = VALID.to_owned();
        let end = (start + removed).min(text.len());
        if text.is_char_boundary(start) && text.is_char_boundary(end) {
            text.replace_range(start..end, &inserted);
        }
        if let Err(problems) = parse(&text) {
            prop_assert!(!problems.is_empty());
            let lines = text.matches('\n').count() + 1;
            prop_assert!(problems.iter().all(|problem| (1..=lines).contains(&problem.line) && problem.column >= 1));
        }
    }
}

#[test]
fn only_budgets_of_the_own_zone_are_kept_and_all_are_checked() {
    let budget = |fields: &str| {
        format!("{VALID}budget {{ from: \"south\" to: \"north\" rate: \"5MB/s\" {fields} }}\n")
    };
    let text = budget("burst: \"2GiB\"")
        + "budget { from: \"north\" to: \"south\" rate: \"1MB/s\" burst: \"1MiB\" }\n";
    let config = parse(&text).unwrap();
    let [limit] = config.budgets[..] else {
        panic!("{:?}", config.budgets)
    };
    assert_eq!(
        (limit.from_zone, limit.class, limit.shared.rate_kb),
        (1, None, 5000.0)
    );
    assert_eq!(
        (limit.shared.volume_bytes, limit.shared.max_repayment_time),
        (f64::INFINITY, Duration::from_nanos(60_000_000_000))
    );
    let forbidden = parse(&budget("burst: \"1MiB\"").replace("5MB/s", "0kB/s")).unwrap();
    assert_eq!(
        forbidden.budgets[0].shared.rate_kb, 0.0,
        "an explicit zero forbids the traffic"
    );
    for (text, message) in [
        (
            budget("burst: \"1MiB\"").replace("from: \"south\" to", "from: \"sth\" to"),
            "budget[0].from: \"sth\" is not in fleet.zone",
        ),
        (
            budget("burst: \"1MiB\"").replace("from: \"south\" to", "from: \"north\" to"),
            "budget[0].to: is the same zone as from; allowed: another zone",
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
            budget("burst: \"1MiB\"") + &budget("burst: \"1MiB\"")[VALID.len()..],
            "the same zones and class as budget[0]",
        ),
    ] {
        let found = parse(&text).unwrap_err();
        assert!(
            found.iter().any(|problem| problem.what.contains(message)),
            "{message}: {found:?}"
        );
    }
}
