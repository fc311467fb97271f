//! The table of a comparison.
use super::load::Memory;
use super::Plan;
use crate::failures::Failures;
use hdrhistogram::Histogram;
use std::fmt::Write as _;

/// Figures of one side, one entry for each round.
#[derive(Clone, Debug, Default)]
pub(super) struct Side {
    /// Set-ups a second.
    pub(super) rates: Vec<f64>,
    /// Processor time of a set-up, microseconds.
    pub(super) cpu_us: Vec<f64>,
    /// Latencies, microseconds.
    pub(super) latencies: Vec<Histogram<u64>>,
    /// Set-ups that failed.
    pub(super) failures: Failures,
}

impl Side {
    /// A quantile of each round, milliseconds.
    fn quantile_ms(&self, quantile: f64) -> Vec<f64> {
        self.latencies
            .iter()
            .map(|round| round.value_at_quantile(quantile) as f64 / 1000.0)
            .collect()
    }
}

/// The results of the front and of the relay.
pub(super) struct Sides {
    pub(super) front: Side,
    pub(super) relay: Side,
    /// Set-ups a second at which latencies were measured.
    pub(super) latency_rate: f64,
    pub(super) front_memory: Memory,
    pub(super) relay_memory: Memory,
}

pub(super) fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Least and largest.
fn range(values: &[f64]) -> (f64, f64) {
    let start = (f64::INFINITY, f64::NEG_INFINITY);
    values.iter().fold(start, |(least, most), value| {
        (least.min(*value), most.max(*value))
    })
}

fn row(out: &mut String, name: &str, front: f64, relay: f64, comparison: &str) {
    let _ = writeln!(out, "| {name} | {front:.1} | {relay:.1} | {comparison} |");
}

/// The table, and the failures of both sides.
pub(super) fn text(plan: &Plan, sides: &Sides) -> String {
    let mut out = format!(
        "{} rounds of {} s in turns, front log level {}\n",
        plan.rounds, plan.seconds, plan.log
    );
    out.push_str("| | front | relay | front to relay |\n| --- | --- | --- | --- |\n");
    throughput_rows(&mut out, sides);
    latency_rows(&mut out, sides);
    memory_rows(&mut out, plan, sides);
    for (name, side) in [("front", &sides.front), ("relay", &sides.relay)] {
        let _ = writeln!(out, "{name}: set-ups, {}", side.failures);
    }
    out
}

fn throughput_rows(out: &mut String, sides: &Sides) {
    let (front, relay) = (median(&sides.front.rates), median(&sides.relay.rates));
    let ratio = format!("{:.2}", front / relay);
    row(out, "set-ups a second, one core", front, relay, &ratio);
    let (front, relay) = (&sides.front.cpu_us, &sides.relay.cpu_us);
    let ratios: Vec<f64> = front.iter().zip(relay).map(|(f, r)| f / r).collect();
    let (least, most) = range(&ratios);
    let ratio = format!("{:.2} ({least:.2} to {most:.2})", median(&ratios));
    let name = "CPU a set-up with its close, us";
    row(out, name, median(front), median(relay), &ratio);
}

fn latency_rows(out: &mut String, sides: &Sides) {
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let front = sides.front.quantile_ms(quantile);
        let relay = sides.relay.quantile_ms(quantile);
        let added: Vec<f64> = front.iter().zip(&relay).map(|(f, r)| f - r).collect();
        let (least, most) = range(&added);
        let (front, relay) = (median(&front), median(&relay));
        let added = format!("{:+.2} ms ({least:+.2} to {most:+.2})", front - relay);
        let name = format!("{name} at {:.0} set-ups a second, ms", sides.latency_rate);
        row(out, &name, front, relay, &added);
    }
}

fn memory_rows(out: &mut String, plan: &Plan, sides: &Sides) {
    let (front, relay) = (&sides.front_memory, &sides.relay_memory);
    let name = format!("bytes an idle connection, {}", plan.idle);
    let ratio = format!("{:.2}", front.idle_connection / relay.idle_connection);
    row(
        out,
        &name,
        front.idle_connection,
        relay.idle_connection,
        &ratio,
    );
    let name = format!("bytes a session that plays, {}", plan.sessions);
    let ratio = format!("{:.2}", front.session / relay.session.max(1.0));
    row(out, &name, front.session, relay.session, &ratio);
}
