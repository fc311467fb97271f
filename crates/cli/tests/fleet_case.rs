//! Several processes of the program with faults between every pair of them: `lab fleet` on a case of its own, and on one whose
//! claim is not kept. Only what holds on a busy machine too is claimed here: that nobody who lives is accused takes processors that
//! come to them within some tens of milliseconds at this pace, and is measured at the usual one (`docs/fleet.md`).
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Mutex, PoisonError};

/// One fleet at a time.
static ALONE: Mutex<()> = Mutex::new(());

const CASE: &str = r#"
name: "small"
what: "deaths, a stop, one that is heard by none, a restart, a leave"
step { see { claim: "all meet" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { mark {} }
step { kill: "1" }
step { see { claim: "a death is known" at: "!1" of: "1" state: GONE bound { within: "30s" } } }
step { start: "1" }
step { see { claim: "its new life is known" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { mark {} }
step { net { loss: 0.1 doubled: 0.1 least: "1ms" most: "20ms" } }
step { stop: "2" }
step { run: "500ms" }
step { go_on: "2" }
step { see { claim: "one that stood still is back" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { net {} }
step { cut { from: "3" to: "all" one_way: true } }
step { see { claim: "one that is heard by none is given up" at: "!3" of: "3" state: GONE bound { within: "30s" } } }
step { stands { claim: "it knows that it is cut off" at: "3" as: CUT_OFF bound { within: "20s" } } }
step { heal {} }
step { see { claim: "all views agree after healing" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { mark {} }
step { restart { fronts: "4" after: "50ms" } }
step { news { claim: "its new life is news" at: "!4" of: "4" bound { within: "30s" } } }
step { end: "0" }
step { see { claim: "who leaves says so" at: "!0" of: "0" state: LEFT bound { within: "20s" } } }
"#;

const BROKEN: &str = r#"
name: "broken"
what: "nothing, and much is claimed"
step { see { claim: "all meet" at: "all" of: "all" state: ALIVE bound { within: "30s" } } }
step { see { claim: "the first is gone" at: "!0" of: "0" state: GONE bound { within: "200ms" } } }
step { mark {} }
step { kill: "1" }
step { see { claim: "the second is gone" at: "!1" of: "1" state: GONE bound { within: "30s" } } }
step { accused { claim: "nobody is accused" by: "all" } }
"#;

fn play(name: &str, text: &str, fronts: u32) -> (Output, String, String) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let dir: PathBuf =
        std::env::temp_dir().join(format!("crankpaddle-rig-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let case = dir.join("case.textproto");
    std::fs::write(&case, text).unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_crankpaddle"))
        .args(["lab", "fleet"])
        .arg(&case)
        .args([
            "--fronts",
            &fronts.to_string(),
            "--seed",
            "7",
            "--probe-every",
            "200ms",
            "--rate",
            "10",
        ])
        .arg("--dir")
        .arg(dir.join("fronts"))
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (said, told) = (text(&out.stdout), text(&out.stderr));
    (out, said, told)
}

#[test]
fn faults_between_processes_are_seen_for_what_they_are_and_the_rules_hold() {
    let (out, said, told) = play("small", CASE, 5);
    assert!(out.status.success(), "{said}{told}");
    assert!(
        said.starts_with("fleet small: fronts 5, sessions "),
        "{said}"
    );
    assert!(
        said.contains("rules kept 6/6, claims kept 9/9"),
        "{said}{told}"
    );
    let sessions = told
        .lines()
        .find(|l| l.starts_with("sessions: "))
        .unwrap_or_default();
    assert!(
        !sessions.contains(" 0 played"),
        "players came to no session: {sessions}"
    );
}

#[test]
fn a_claim_that_is_not_kept_is_told_and_fails_the_case() {
    let (out, said, told) = play("broken", BROKEN, 4);
    assert_eq!(out.status.code(), Some(1), "{said}{told}");
    assert!(said.contains("claims kept 2/4"), "{said}{told}");
    for claim in ["the first is gone", "nobody is accused"] {
        assert!(told.contains(&format!("BROKEN: {claim}")), "{told}");
    }
}

#[test]
fn what_is_wrong_with_a_case_is_told_and_nothing_is_started() {
    let (out, _, told) = play("wrong", "name: \"x\"\nstep { kill: \"many\" }\n", 4);
    assert_eq!(out.status.code(), Some(2), "{told}");
    assert!(
        told.contains(":2:") && told.contains("names no fronts"),
        "{told}"
    );
}
