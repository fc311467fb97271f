//! Formats the results of a comparison as a table.
use super::load::MemoryUse;
use super::ComparisonPlan;
use crate::failures::Failures;
use hdrhistogram::Histogram;
use std::fmt::Write as _;

/// The results of the front or of the relay, with one entry for each round.
#[derive(Clone, Debug, Default)]
pub(super) struct SideResult {
    /// Completed set-ups per second.
    pub(super) rates: Vec<f64>,
    /// Processor time of the process for each set-up with its close, in microseconds.
    pub(super) cpu_us: Vec<f64>,
    /// Latencies of set-ups in microseconds.
    pub(super) latencies: Vec<Histogram<u64>>,
    /// Counts of the failed set-ups over all rounds.
    pub(super) failures: Failures,
}

impl SideResult {
    /// A latency quantile of each round, in milliseconds.
    fn quantile_ms(&self, quantile: f64) -> Vec<f64> {
        self.latencies
            .iter()
            .map(|round| round.value_at_quantile(quantile) as f64 / 1000.0)
            .collect()
    }
}

/// The results of the front and of the relay.
pub(super) struct Comparison {
    pub(super) front: SideResult,
    pub(super) relay: SideResult,
    /// Rate at which latencies were measured, in set-ups per second.
    pub(super) latency_rate: f64,
    pub(super) front_memory: MemoryUse,
    pub(super) relay_memory: MemoryUse,
}

/// The median, or the upper one of the two middle values; 0 if there are no values.
pub(super) fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// The minimum and the maximum; infinite if there are no values.
fn min_max(values: &[f64]) -> (f64, f64) {
    let start = (f64::INFINITY, f64::NEG_INFINITY);
    values.iter().fold(start, |(min, max), value| {
        (min.min(*value), max.max(*value))
    })
}

fn write_row(out: &mut String, name: &str, front: f64, relay: f64, comparison: &str) {
    let _ = writeln!(out, "| {name} | {front:.1} | {relay:.1} | {comparison} |");
}

/// Formats the table, followed by the failures of the front and of the relay.
pub(super) fn format_table(plan: &ComparisonPlan, comparison: &Comparison) -> String {
    let mut out = format!(
        "{} rounds of {} s in turns, front log level {}\n",
        plan.rounds, plan.seconds, plan.log
    );
    out.push_str("| | front | relay | front to relay |\n| --- | --- | --- | --- |\n");
    write_throughput_rows(&mut out, comparison);
    write_latency_rows(&mut out, comparison);
    write_memory_rows(&mut out, plan, comparison);
    for (name, side) in [("front", &comparison.front), ("relay", &comparison.relay)] {
        let _ = writeln!(out, "{name}: set-ups, {}", side.failures);
    }
    out
}

fn write_throughput_rows(out: &mut String, comparison: &Comparison) {
    let (front, relay) = (
        median(&comparison.front.rates),
        median(&comparison.relay.rates),
    );
    let ratio = format!("{:.2}", front / relay);
    write_row(out, "set-ups a second, one core", front, relay, &ratio);
    let (front, relay) = (&comparison.front.cpu_us, &comparison.relay.cpu_us);
    let ratios: Vec<f64> = front
        .iter()
        .zip(relay)
        .map(|(front, relay)| front / relay)
        .collect();
    let (min, max) = min_max(&ratios);
    let ratio = format!("{:.2} ({min:.2} to {max:.2})", median(&ratios));
    let name = "CPU a set-up with its close, us";
    write_row(out, name, median(front), median(relay), &ratio);
}

fn write_latency_rows(out: &mut String, comparison: &Comparison) {
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let front = comparison.front.quantile_ms(quantile);
        let relay = comparison.relay.quantile_ms(quantile);
        let added: Vec<f64> = front
            .iter()
            .zip(&relay)
            .map(|(front, relay)| front - relay)
            .collect();
        let (min, max) = min_max(&added);
        let (front, relay) = (median(&front), median(&relay));
        let added = format!("{:+.2} ms ({min:+.2} to {max:+.2})", front - relay);
        let name = format!(
            "{name} at {:.0} set-ups a second, ms",
            comparison.latency_rate
        );
        write_row(out, &name, front, relay, &added);
    }
}

fn write_memory_rows(out: &mut String, plan: &ComparisonPlan, comparison: &Comparison) {
    let (front, relay) = (&comparison.front_memory, &comparison.relay_memory);
    let name = format!("bytes an idle connection, {}", plan.idle);
    let ratio = format!("{:.2}", front.idle_connection / relay.idle_connection);
    write_row(
        out,
        &name,
        front.idle_connection,
        relay.idle_connection,
        &ratio,
    );
    let name = format!("bytes a session that plays, {}", plan.sessions);
    let ratio = format!("{:.2}", front.session / relay.session.max(1.0));
    write_row(out, &name, front.session, relay.session, &ratio);
}
