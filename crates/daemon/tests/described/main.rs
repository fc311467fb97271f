//! Everything that is described is exchanged over sockets, by both versions, and compared with the published files: what no
//! description allows fails, and so does what is described and was not exchanged.
//!
//! - `transcript`: what went over the sockets, and players that record it;
//! - `sessions`, `failures`, `budgets`, `previous_incarnations`, `http`: the parts of a run;
//! - `altered_descriptions`: the check itself finds what does not agree;
//! - `versions`: which version a handshake chooses.
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
use crankpaddle_session_api::Version;
use support::{Backend, Harness};
use transcript::Transcript;

/// A front with a tenant, so that calls must name it; titles are in groups.
fn start_harness(changes: &[(&str, &str)]) -> Harness {
    start_harness_on(changes, |_| {})
}

/// The same, with something done before the front starts.
fn start_harness_on(changes: &[(&str, &str)], prepare: impl FnOnce(&Backend)) -> Harness {
    let tenant = ("log {", "tenant { name: \"main\" quota: 100000 }\nlog {");
    let group = (
        "title { name: \"clip-00\"",
        "title { group: \"sport\" name: \"clip-00\"",
    );
    let backend = Backend::new(&[&[tenant, group], changes].concat());
    Harness::start_on(backend, "main", prepare)
}

/// The published description of a version.
fn published(version: Version) -> &'static str {
    match version {
        Version::V1 => crankpaddle_api::PREVIOUS,
        Version::V2 => crankpaddle_api::PRESENT,
    }
}

/// Exchanges all that is described, its parts at the same time.
fn run(version: Version) -> Transcript {
    let transcript = Transcript::default();
    let parts = [
        sessions::play,
        failures::play,
        budgets::play,
        previous_incarnations::play,
        http::play,
    ];
    let threads = parts.map(|part| {
        let transcript = transcript.clone();
        std::thread::spawn(move || part(version, &transcript))
    });
    for thread in threads {
        thread.join().expect("a part of the run");
    }
    transcript
}

fn check<'a>(
    version: Version,
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
fn traffic_and_published_descriptions_agree_in_both_directions() {
    let exceptions: Vec<Exception> = serde_json::from_str(crankpaddle_api::EXCEPTIONS).unwrap();
    let versions = [Version::V2, Version::V1];
    let runs = versions.map(|version| (version, std::thread::spawn(move || run(version))));
    for (version, run) in runs {
        let exchanges = run.join().expect("a run").exchanges();
        let verdict = check(version, &exchanges).report(&exceptions);
        println!("{version:?}: {verdict}");
        assert!(verdict.agrees(), "{version:?}:\n{verdict}");
        if version == Version::V2 {
            altered_descriptions::check_each(&exchanges, &exceptions);
        }
        // The check can fail: without one of its messages the run no longer shows all.
        let is_kept = |exchange: &&Exchange| !matches!(exchange, Exchange::Text { text, .. } if text.contains("key_spent"));
        let incomplete = check(version, exchanges.iter().filter(is_kept));
        assert!(!incomplete.report(&exceptions).agrees());
    }
}
