//! Measures the cost of checking a call: parsing alone, parsing with the codec's checks, and checking by the published schemas.
use crate::conform::ConformanceChecker;
use crankpaddle_session_api::jsonrpc::{self, Message};
use crankpaddle_session_api::methods::Method;
use std::hint::black_box;
use std::time::Instant;

/// The call that is measured.
const CALL: &str = r#"{"jsonrpc":"2.0","id":17,"method":"session.open","params":{"key":"4f1c9a7730b2","title":"clip-03","class":"preview","viewer":"v81","top":3,"give_up_ms":4000}}"#;

/// Runs `call` this often and returns its mean duration in nanoseconds.
fn mean_nanoseconds(calls: u32, call: impl Fn()) -> f64 {
    let started_at = Instant::now();
    for _ in 0..calls {
        call();
    }
    started_at.elapsed().as_nanos() as f64 / f64::from(calls.max(1))
}

/// Measures each variant in each round. Returns a table with the minimum, median and maximum of each, in nanoseconds per call.
///
/// # Errors
/// A published document is invalid.
pub fn run(rounds: usize, calls: u32) -> Result<String, crate::ApiError> {
    let checker = ConformanceChecker::new(crate::PRESENT, crate::OPENAPI)?;
    let value: serde_json::Value = serde_json::from_str(CALL)?;
    let parse = || drop(black_box(jsonrpc::read(black_box(CALL))));
    let parse_and_check = || {
        if let Message::Single(Ok(call)) = jsonrpc::read(black_box(CALL)) {
            let _ = black_box(Method::parse(&call.method, call.params)); // The result is not needed.
        }
    };
    let check_by_schemas = || {
        black_box(checker.allows_call(black_box(&value)));
    };
    let mut measurements: [Vec<f64>; 4] = Default::default();
    for _ in 0..rounds.max(1) {
        let (parsing, with_checks, by_schemas) = (
            mean_nanoseconds(calls, parse),
            mean_nanoseconds(calls, parse_and_check),
            mean_nanoseconds(calls, check_by_schemas),
        );
        for (durations, duration) in
            measurements
                .iter_mut()
                .zip([parsing, with_checks, with_checks - parsing, by_schemas])
        {
            durations.push(duration);
        }
    }
    let names = [
        "reading a call as JSON-RPC",
        "the same with the codec's checks",
        "added by the checks",
        "by the published schemas, reading not counted",
    ];
    let mut text =
        String::from("| ns a call | least | median | most |\n| --- | --- | --- | --- |\n");
    for (name, mut durations) in names.into_iter().zip(measurements) {
        durations.sort_by(f64::total_cmp);
        let min = durations[0];
        let median = durations[durations.len() / 2];
        let max = durations[durations.len() - 1];
        text += &format!("| {name} | {min:.0} | {median:.0} | {max:.0} |\n");
    }
    Ok(text)
}
