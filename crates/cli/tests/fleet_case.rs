//! `lab fleet` with front processes and faults between each pair of them: a case whose claims hold, one whose claims fail,
//! and an invalid one. The cases only make claims that hold on a busy machine. That no running member is suspected is not
//! claimed: at this probe interval it requires that processes are scheduled within some tens of milliseconds. It is measured
//! at the default interval (`docs/fleet.md`).
mod support;

use std::process::Output;
use std::sync::{Mutex, PoisonError};
use support::{folder, program, text};

/// Held while a fleet runs. The fleets of the tests run one at a time, so that they don't compete for processors.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// The exit status of a played case, and what it printed.
struct PlayedCase {
    status: Option<i32>,
    stdout: String,
    stderr: String,
}

impl From<Output> for PlayedCase {
    fn from(output: Output) -> PlayedCase {
        PlayedCase {
            status: output.status.code(),
            stdout: text(&output.stdout),
            stderr: text(&output.stderr),
        }
    }
}

const PASSING_CASE: &str = r#"
name: "small"
what: "a kill, a stop, a one-way cut, a restart and a shutdown"
step { see { claim: "all fronts are alive" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { mark {} }
step { kill: "1" }
step { see { claim: "a killed front is declared failed" at: "!1" of: "1" state: GONE bound { within: "30s" } } }
step { start: "1" }
step { see { claim: "a front that is started again is alive" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { mark {} }
step { net { loss: 0.1 doubled: 0.1 least: "1ms" most: "20ms" } }
step { stop: "2" }
step { run: "500ms" }
step { go_on: "2" }
step { see { claim: "a stopped front is alive again" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { net {} }
step { cut { from: "3" to: "all" one_way: true } }
step { see { claim: "a front whose datagrams are lost is declared failed" at: "!3" of: "3" state: GONE bound { within: "30s" } } }
step { stands { claim: "it detects that it is cut off" at: "3" as: CUT_OFF bound { within: "20s" } } }
step { heal {} }
step { see { claim: "all views agree after healing" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { mark {} }
step { restart { fronts: "4" after: "50ms" } }
step { news { claim: "a restart is reported" at: "!4" of: "4" bound { within: "30s" } } }
step { end: "0" }
step { see { claim: "a front that shuts down leaves the fleet" at: "!0" of: "0" state: LEFT bound { within: "20s" } } }
"#;

const FAILING_CASE: &str = r#"
name: "broken"
what: "one kill, and claims that do not hold"
step { see { claim: "all fronts are alive" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { see { claim: "the first front is declared failed" at: "!0" of: "0" state: GONE bound { within: "200ms" } } }
step { mark {} }
step { kill: "1" }
step { see { claim: "the second front is declared failed" at: "!1" of: "1" state: GONE bound { within: "30s" } } }
step { accused { claim: "no front is declared failed" by: "all" } }
"#;

fn play(name: &str, script: &str, fronts: u32) -> PlayedCase {
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let dir = folder(&format!("fleet-case-{name}"));
    let case = dir.join("case.textproto");
    std::fs::write(&case, script).unwrap();
    let output = program()
        .args(["lab", "fleet"])
        .arg(&case)
        .args(["--fronts", &fronts.to_string()])
        .args(["--seed", "7"])
        .args(["--probe-every", "200ms"])
        .args(["--rate", "10"])
        .arg("--dir")
        .arg(dir.join("fronts"))
        .output()
        .unwrap();
    PlayedCase::from(output)
}

#[test]
fn members_detect_faults_between_processes_and_the_rules_hold() {
    let played = play("small", PASSING_CASE, 5);
    let PlayedCase { stdout, stderr, .. } = &played;
    assert_eq!(played.status, Some(0), "{stdout}{stderr}");
    assert!(
        stdout.starts_with("fleet small: fronts 5, sessions "),
        "{stdout}"
    );
    assert!(
        stdout.contains("rules kept 6/6, claims kept 9/9"),
        "{stdout}{stderr}"
    );
    let sessions = stderr
        .lines()
        .find(|line| line.starts_with("sessions: "))
        .unwrap_or_default();
    assert!(
        !sessions.contains(" 0 played"),
        "no session was played: {sessions}"
    );
}

#[test]
fn a_claim_that_does_not_hold_is_printed_and_fails_the_case() {
    let played = play("broken", FAILING_CASE, 4);
    let PlayedCase { stdout, stderr, .. } = &played;
    assert_eq!(played.status, Some(1), "{stdout}{stderr}");
    assert!(stdout.contains("claims kept 2/4"), "{stdout}{stderr}");
    for claim in [
        "the first front is declared failed",
        "no front is declared failed",
    ] {
        assert!(stderr.contains(&format!("BROKEN: {claim}")), "{stderr}");
    }
}

#[test]
fn an_invalid_case_is_rejected_with_its_line_before_anything_starts() {
    let played = play("wrong", "name: \"x\"\nstep { kill: \"many\" }\n", 4);
    let stderr = &played.stderr;
    assert_eq!(played.status, Some(2), "{stderr}");
    assert!(stderr.contains(":2:"), "{stderr}");
    assert!(stderr.contains("names no fronts"), "{stderr}");
}
