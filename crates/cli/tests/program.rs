//! The program as its users run it: configuration checks, signals, and a scripted scenario with front processes.
mod support;

use rustix::process::Signal;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use support::{
    folder, front_command, isolated_config, read_answer, run, send_health_request, text,
    RunningProgram, EXAMPLE_CONFIG,
};

/// Timeout of the wait until new budgets are in force.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);

fn write_file(name: &str, content: &str) -> PathBuf {
    let path = folder("program").join(name);
    std::fs::write(&path, content).unwrap();
    path
}

fn start_front(config_name: &str) -> RunningProgram {
    let config = write_file(config_name, &isolated_config());
    RunningProgram::start(&mut front_command(&config))
}

fn as_str(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn a_valid_file_passes_the_check() {
    let valid = write_file("good.textproto", EXAMPLE_CONFIG);

    assert!(run(&["check", as_str(&valid)]).status.success());
}

#[test]
fn a_file_printed_with_its_defaults_has_the_same_meaning() {
    let valid = write_file("to-print.textproto", EXAMPLE_CONFIG);

    let printed = run(&["check", "--print", as_str(&valid)]);
    let config = text(&printed.stdout);
    let printed_file = write_file("printed.textproto", &config);
    let printed_again = run(&["check", "--print", as_str(&printed_file)]);

    assert!(printed.status.success());
    assert!(config.contains("attempts: 3"));
    assert!(config.contains("note_delay: \"300ms\""));
    assert_eq!(text(&printed_again.stdout), config);
}

#[test]
fn an_invalid_file_is_rejected_with_all_its_problems_and_status_2() {
    let invalid = write_file(
        "bad.textproto",
        &EXAMPLE_CONFIG
            .replace("index: 0", "index: 5")
            .replace("cells: 4", "cels: 4"),
    );
    for args in [
        ["check", as_str(&invalid)].as_slice(),
        ["front", "-c", as_str(&invalid)].as_slice(),
    ] {
        let output = run(args);
        let stderr = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        for problem in [
            "bad.textproto:2:16: front.index: is 5; allowed: 0 to 1",
            "no field \"cels\" in fleet",
        ] {
            assert!(stderr.contains(problem), "{problem}: {stderr}");
        }
        assert!(output.stdout.is_empty(), "a front was started");
    }
    let absent = run(&["check", "no-such-file"]);
    assert_eq!(absent.status.code(), Some(2));
}

#[test]
fn a_second_front_on_an_address_in_use_fails() {
    let front = start_front("in-use.textproto");
    let config = EXAMPLE_CONFIG.replace("127.0.0.1:7400", &front.address);
    let second = write_file("second.textproto", &config);

    let output = run(&["front", "-c", as_str(&second)]);

    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains(&front.address));
}

#[test]
fn sigterm_and_sigint_end_a_front_with_status_0() {
    for (name, signal) in [
        ("term.textproto", Signal::TERM),
        ("int.textproto", Signal::INT),
    ] {
        let mut front = start_front(name);
        assert!(front.health().starts_with("HTTP/1.1 200 "));
        front.signal(signal);
        assert_eq!(front.wait_for_exit().code(), Some(0));
    }
}

#[test]
fn a_front_that_was_stopped_answers_when_it_is_continued() {
    let mut front = start_front("stopped.textproto");
    front.signal(Signal::STOP);
    let mut stream = front.connect();
    send_health_request(&mut stream);

    front.signal(Signal::CONT);

    let answer = read_answer(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    front.signal(Signal::TERM);
    assert_eq!(front.wait_for_exit().code(), Some(0));
}

const BUDGET: &str = "budget { from: \"south\" to: \"north\" rate: \"5MB/s\" burst: \"1GiB\" }\n";

/// The same budget for one class.
fn class_budget() -> String {
    BUDGET
        .replace("} }", "}")
        .replace("rate:", "class: \"preview\" rate:")
}

fn traffic_report(front: &RunningProgram, form: &str) -> String {
    let output = run(&["traffic", "report", &front.address, "--form", form]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    text(&output.stdout)
}

/// Returns the number of budgets in force with the rate of [`BUDGET`].
fn budget_count(front: &RunningProgram) -> usize {
    traffic_report(front, "json")
        .matches("\"rate_kb\": 5000.0")
        .count()
}

/// Reloads the configuration and polls the front until this many budgets are in force.
fn reload(front: &RunningProgram, config: &str, budgets: usize) {
    write_file("reloaded.textproto", config);
    front.signal(Signal::HUP);
    let deadline = Instant::now() + RELOAD_TIMEOUT;
    while budget_count(front) != budgets {
        assert!(
            Instant::now() < deadline,
            "the budgets are not in force in time"
        );
    }
}

/// Reloads a configuration that the front must reject, and waits until it has.
fn reload_rejected(front: &RunningProgram, config: &str) {
    write_file("reloaded.textproto", config);
    front.signal(Signal::HUP);
    front.wait_for_log("not reloaded");
}

#[test]
fn sighup_applies_new_budgets_and_a_rejected_file_changes_nothing() {
    let mut front = start_front("reloaded.textproto");
    let config = isolated_config();
    assert_eq!(budget_count(&front), 0);

    reload(&front, &format!("{config}{BUDGET}"), 1);
    assert!(traffic_report(&front, "table").contains("BUDGET kB/s"));
    assert!(traffic_report(&front, "csv").starts_with("from,to,class"));

    // A file that is invalid or needs a restart doesn't change the budgets, and a later valid file is applied.
    reload_rejected(&front, "nonsense {");
    reload_rejected(&front, &config.replace("siblings: 2", "siblings: 3"));
    assert_eq!(budget_count(&front), 1);
    reload(&front, &format!("{config}{BUDGET}{}", class_budget()), 2);

    let watched = run(&[
        "traffic",
        "watch",
        &front.address,
        "--every",
        "0.05",
        "--looks",
        "2",
    ]);
    let lines = text(&watched.stdout);
    assert_eq!(lines.matches("of 5000 kB/s (0%)").count(), 4);

    front.signal(Signal::TERM);
    assert_eq!(front.wait_for_exit().code(), Some(0));
}

#[test]
fn an_unreachable_front_is_reported_as_missing_and_fails_the_report() {
    let front = start_front("partial.textproto");

    let partial = run(&["traffic", "report", &front.address, "127.0.0.1:1"]);

    assert!(!partial.status.success());
    assert!(text(&partial.stderr).contains("missing: 127.0.0.1:1"));
}

/// Plays eight seconds with three front processes, twelve simulated servers, hanging and failing servers, a stopped front
/// (SIGSTOP), the loss of a zone, a drain and the loss of the list service. The checker must come to the same verdict from the
/// report alone, and must detect a duplicate billing that is added to the report.
#[test]
fn a_scenario_with_faults_passes_all_rules_and_a_forged_report_fails() {
    let seed = "5";
    let report = write_file("smoke.jsonl", "");
    let played = run(&[
        "lab",
        "day",
        "smoke",
        "--seed",
        seed,
        "--report",
        as_str(&report),
    ]);
    let (stdout, stderr) = (text(&played.stdout), text(&played.stderr));
    println!("seed {seed}: {stdout}{stderr}");
    assert!(
        played.status.success(),
        "seed {seed}, {}: {stdout}{stderr}",
        played.status
    );
    assert!(
        stdout.contains("billed twice 0, rules kept 6/6"),
        "{stdout}"
    );

    let judged = run(&["lab", "judge", "smoke", as_str(&report)]);
    assert_eq!(text(&judged.stdout).lines().last(), stdout.lines().last());

    let records = std::fs::read_to_string(&report).unwrap();
    let billed = records
        .lines()
        .find(|line| line.contains("\"billed\""))
        .expect("something was billed");
    let forged = write_file("forged.jsonl", &format!("{records}{billed}\n"));
    let judged = run(&["lab", "judge", "smoke", as_str(&forged)]);
    assert!(!judged.status.success());
    assert!(text(&judged.stdout).contains("billed twice 1, rules kept 5/6"));
}
