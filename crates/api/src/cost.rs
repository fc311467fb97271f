//! Measures the cost of checking a call: parsed alone, parsed with the codec's checks, and checked by the published schemas.
use crate::conform::ConformanceChecker;
use crankpaddle_session_api::jsonrpc::{self, Message};
use crankpaddle_session_api::methods::Method;
use std::hint::black_box;
use std::time::Instant;

/// A call of a player.
const CALL: &str = r#"{"jsonrpc":"2.0","id":17,"method":"session.open","params":{"key":"4f1c9a7730b2","title":"clip-03","class":"preview","viewer":"v81","top":3,"give_up_ms":4000}}"#;

/// The mean duration of a call, in nanoseconds.
fn mean_nanoseconds(calls: u32, call: impl Fn()) -> f64 {
    let started_at = Instant::now();
    for _ in 0..calls {
        call();
    }
    started_at.elapsed().as_nanos() as f64 / f64::from(calls.max(1))
}

/// Measures each variant in each round. Returns a table with the minimum, median and maximum of each, in nanoseconds a call.
///
/// # Errors
/// The published documents can't be read.
pub fn run(rounds: usize, calls: u32) -> Result<String, crate::ApiError> {
    let checker = ConformanceChecker::new(crate::PRESENT, crate::OPENAPI)?;
    let value: serde_json::Value = serde_json::from_str(CALL)?;
    let read = || drop(black_box(jsonrpc::read(black_box(CALL))));
    let checked = || {
        if let Message::One(Ok(call)) = jsonrpc::read(black_box(CALL)) {
            let _ = black_box(Method::parse(&call.method, call.params)); // Only its duration matters.
        }
    };
    let by_schema = || {
        black_box(checker.allows_call(black_box(&value)));
    };
    let mut figures: [Vec<f64>; 4] = Default::default();
    for _ in 0..rounds.max(1) {
        let (bare, codec, schema) = (
            mean_nanoseconds(calls, read),
            mean_nanoseconds(calls, checked),
            mean_nanoseconds(calls, by_schema),
        );
        for (all, one) in figures.iter_mut().zip([bare, codec, codec - bare, schema]) {
            all.push(one);
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
    for (name, mut all) in names.into_iter().zip(figures) {
        all.sort_by(f64::total_cmp);
        let (least, median, most) = (all[0], all[all.len() / 2], all[all.len() - 1]);
        text += &format!("| {name} | {least:.0} | {median:.0} | {most:.0} |\n");
    }
    Ok(text)
}
