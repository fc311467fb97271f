//! Conformance tests for the published descriptions of the API. Scenarios exchange everything that is described, over
//! sockets and in both versions. The test fails if a message does not match the descriptions, and also if something
//! described was never exchanged.
//!
//! - `transcript`: the record of what was exchanged, and players that add to it;
//! - `sessions`, `failures`, `budgets`, `previous_incarnations`, `http`: the scenarios of a run;
//! - `altered_descriptions`: checks that the conformance check finds deviations;
//! - `versions`: negotiation of the API version in the handshake.
mod altered_descriptions;
mod budgets;
mod failures;
mod http;
mod previous_incarnations;
mod sessions;
#[path = "../support/mod.rs"]
mod support;
mod transcript;
mod versions;

use crankpaddle_api::conform::{ConformanceChecker, Exception, Exchange};
use crankpaddle_session_api::SessionApiVersion;
use support::{Backend, Harness};
use transcript::Transcript;

/// Starts a front with a tenant, so that calls must name one, and with a title that is in a group.
fn start_harness(changes: &[(&str, &str)]) -> Harness {
    start_harness_on(changes, |_| {})
}

/// Like [`start_harness`], but calls `prepare` before the front starts.
fn start_harness_on(changes: &[(&str, &str)], prepare: impl FnOnce(&Backend)) -> Harness {
    let tenant = ("log {", "tenant { name: \"main\" quota: 100000 }\nlog {");
    let group = (
        "title { name: \"clip-00\"",
        "title { group: \"sport\" name: \"clip-00\"",
    );
    let backend = Backend::new(&[&[tenant, group], changes].concat());
    Harness::start_on(backend, "main", prepare)
}

/// The published description of a version of the session API.
fn published(version: SessionApiVersion) -> &'static str {
    match version {
        SessionApiVersion::V1 => crankpaddle_api::PREVIOUS,
        SessionApiVersion::V2 => crankpaddle_api::PRESENT,
    }
}

/// Runs all scenarios with one version, concurrently. Together they exchange everything that is described.
fn run_scenarios(version: SessionApiVersion) -> Transcript {
    let transcript = Transcript::default();
    let scenarios = [
        sessions::run,
        failures::run,
        budgets::run,
        previous_incarnations::run,
        http::run,
    ];
    let threads = scenarios.map(|scenario| {
        let transcript = transcript.clone();
        std::thread::spawn(move || scenario(version, &transcript))
    });
    for thread in threads {
        thread.join().expect("a scenario failed");
    }
    transcript
}

fn check<'a>(
    version: SessionApiVersion,
    exchanges: impl IntoIterator<Item = &'a Exchange>,
) -> ConformanceChecker {
    let mut checker =
        ConformanceChecker::new(published(version), crankpaddle_api::OPENAPI).unwrap();
    for exchange in exchanges {
        checker.record(exchange);
    }
    checker
}

#[test]
fn exchanged_messages_and_published_descriptions_agree_in_both_directions() {
    let exceptions: Vec<Exception> = serde_json::from_str(crankpaddle_api::EXCEPTIONS).unwrap();
    let versions = [SessionApiVersion::V2, SessionApiVersion::V1];
    let runs =
        versions.map(|version| (version, std::thread::spawn(move || run_scenarios(version))));
    for (version, run) in runs {
        let exchanges = run.join().expect("a run failed").exchanges();
        let verdict = check(version, &exchanges).report(&exceptions);
        println!("{version:?}: {verdict}");
        assert!(verdict.agrees(), "{version:?}:\n{verdict}");
        if version == SessionApiVersion::V2 {
            altered_descriptions::check_each(&exchanges, &exceptions);
        }
        // Checks that the check itself can fail: it must, if one of the described messages is missing.
        let is_kept = |exchange: &&Exchange| !matches!(exchange, Exchange::Text { text, .. } if text.contains("key_spent"));
        let incomplete = check(version, exchanges.iter().filter(is_kept));
        assert!(!incomplete.report(&exceptions).agrees());
    }
}
