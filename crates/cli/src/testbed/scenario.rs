//! `crankpaddle lab day`: plays a scripted scenario against front processes.
use super::cross_zone_summary::print_cross_zone_summary;
use super::files::{read_scenario, temporary_dir, write_report};
use super::judge::breach_line;
use crate::failure::CommandFailure;
use clap::Args;
use crankpaddle_testbed::scenario_runner::{self, ScenarioOptions, ScenarioOutcome};
use std::path::PathBuf;
use std::process::ExitCode;

/// The scenario, and how it is played.
#[derive(Args)]
pub(crate) struct ScenarioArgs {
    /// A built-in scenario or the path of a script.
    day: String,
    /// Seed of all random draws; default: a random one, which is printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Write all records to this file as JSON lines.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Directory for the fronts' configurations and logs; default: a temporary directory that is removed on success.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Number of worker threads of each front.
    #[arg(long, default_value_t = 1)]
    workers: u32,
    /// Ignore the scenario's budgets for cross-zone traffic.
    #[arg(long)]
    without_budgets: bool,
    /// Let the fronts form a membership.
    #[arg(long)]
    peers: bool,
    /// Maximum number of violations to print.
    #[arg(long, default_value_t = 20)]
    most: usize,
}

/// Plays the scenario and prints its outcome.
///
/// # Errors
///
/// The scenario can't be read or played, or the records can't be written.
pub(super) fn run(args: &ScenarioArgs) -> Result<ExitCode, CommandFailure> {
    let mut scenario = read_scenario(&args.day)?;
    if args.without_budgets {
        scenario.fleet = scenario.fleet_without_budgets.clone();
    }
    let seed = args.seed.unwrap_or_else(|| rand::random::<u32>().into());
    crankpaddle_net::start(None);
    eprintln!(
        "day {}: seed {seed}, {} fronts, {} servers, {:.0} s",
        scenario.name,
        scenario.fronts,
        scenario.servers,
        scenario.seconds()
    );
    let options = ScenarioOptions {
        exe: std::env::current_exe()?,
        seed,
        dir: args.dir.clone().unwrap_or_else(temporary_dir),
        workers: args.workers,
        peers: args.peers,
    };
    let outcome = scenario_runner::play(&scenario, &options)?;
    write_report(args.report.as_deref(), &outcome.records)?;
    print_outcome(&outcome, args.most);
    print_cross_zone_summary(&scenario, &outcome);
    println!("day {}: {}", scenario.name, outcome.verdict);
    if !outcome.succeeded() {
        eprintln!("the fronts' logs are in {}", options.dir.display());
        return Ok(ExitCode::FAILURE);
    }
    if args.dir.is_none() {
        let _ = std::fs::remove_dir_all(&options.dir); // A directory that is left in the temporary directory is harmless.
    }
    Ok(ExitCode::SUCCESS)
}

fn print_outcome(outcome: &ScenarioOutcome, max_breaches: usize) {
    let verdict = &outcome.verdict;
    for breach in verdict.breaches.iter().take(max_breaches) {
        println!("{}", breach_line(breach));
    }
    for fault in &outcome.failures {
        println!("fault: {fault}");
    }
    let (sent_bytes, read_bytes) = (outcome.bytes.sent, outcome.bytes.read);
    eprintln!(
        "played {}, refused {}, failed {}; media bytes sent {sent_bytes} read {read_bytes}; simulated servers, loopback",
        verdict.played, verdict.refused, verdict.failed
    );
    for (flow, bytes) in outcome.flows() {
        let (sent, reported) = (bytes.sent, bytes.reported);
        let (from, to, class) = (&flow.from, &flow.to, &flow.class);
        let deviation_percent = (reported as f64 / sent.max(1) as f64 - 1.0) * 100.0;
        eprintln!(
            "traffic {from} > {to}, {class}: servers sent {sent}, fronts report {reported} ({deviation_percent:+.2}%)"
        );
    }
}
