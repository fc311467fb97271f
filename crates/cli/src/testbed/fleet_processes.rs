//! Plays a case of a fleet's membership with front processes and sockets.
use super::files::{read_scenario, temporary_dir, write_report};
use super::fleet_case::{print_claims, FleetArgs, RetentionArg};
use super::judge::breach_line;
use crate::failure::CommandFailure;
use crankpaddle_fault_simulation::FleetCase;
use crankpaddle_testbed::fleet::{self, Cost, FleetCaseOptions, FleetCaseOutcome, Retention};
use crankpaddle_time::nanoseconds;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Maximum number of front processes. There is a socket for each ordered pair of them.
const MAX_PROCESSES: u32 = 100;

/// Maximum number of violations to print, and of faults.
const MAX_PRINTED_LINES: usize = 20;

const NANOSECONDS_PER_MILLISECOND: f64 = 1e6;
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Plays the case once for each kind of retention, and returns the exit code of the first.
///
/// # Errors
///
/// The case can't be played with processes, or a process can't be started.
pub(super) fn play(case: &FleetCase, args: &FleetArgs) -> Result<ExitCode, CommandFailure> {
    let mut exit_codes = Vec::new();
    for retention in retentions(args.memory) {
        if case.needs_disks() {
            eprintln!("-- what fronts keep: {}", printed_name(retention));
        }
        exit_codes.push(play_once(case, args, retention)?);
    }
    Ok(exit_codes.into_iter().next().unwrap_or(ExitCode::FAILURE))
}

fn retentions(retention: RetentionArg) -> Vec<Retention> {
    match retention {
        RetentionArg::Preserved => vec![Retention::Preserved],
        RetentionArg::Forgotten => vec![Retention::Forgotten],
        RetentionArg::Trusted => vec![Retention::Trusted],
        RetentionArg::All => vec![
            Retention::Preserved,
            Retention::Forgotten,
            Retention::Trusted,
        ],
    }
}

/// The name of a kind of retention in the documented output.
fn printed_name(retention: Retention) -> &'static str {
    match retention {
        Retention::Preserved => "Kept",
        Retention::Forgotten => "Forgotten",
        Retention::Trusted => "Trusted",
    }
}

fn play_once(
    case: &FleetCase,
    args: &FleetArgs,
    retention: Retention,
) -> Result<ExitCode, CommandFailure> {
    check_playable(case, args.fronts)?;
    crankpaddle_net::start(None);
    let mut scenario = read_scenario(&case.day)?;
    scenario.rate = args.rate.unwrap_or(scenario.rate);
    let options = options(args, retention)?;
    let outcome = fleet::run(case, &scenario, &options)?;
    write_report(args.report.as_deref(), &outcome.records)?;
    print_outcome(case, args.fronts, &outcome);
    if !outcome.succeeded() {
        eprintln!("configurations and logs: {}", options.dir.display());
        return Ok(ExitCode::FAILURE);
    }
    if args.dir.is_none() {
        let _ = std::fs::remove_dir_all(&options.dir); // A directory that is left in the temporary directory is harmless.
    }
    Ok(ExitCode::SUCCESS)
}

fn check_playable(case: &FleetCase, fronts: u32) -> Result<(), CommandFailure> {
    let reason = if fronts > MAX_PROCESSES {
        "at most 100 fronts can be processes; play more with --virtual"
    } else if case.needs_gossip_state() {
        "it writes gossip entries, which front processes can't do yet; play it with --virtual"
    } else {
        return Ok(());
    };
    let name = &case.name;
    Err(CommandFailure::invalid_input(format_args!(
        "{name}: {reason}"
    )))
}

fn options(args: &FleetArgs, retention: Retention) -> Result<FleetCaseOptions, CommandFailure> {
    let exe = program_or_this(args.old.as_ref())?;
    let other_exe = match args.old {
        Some(_) => Some(program_or_this(args.new.as_ref())?),
        None => None,
    };
    Ok(FleetCaseOptions {
        exe,
        other: other_exe,
        seed: args.seed,
        dir: args.dir.clone().unwrap_or_else(temporary_dir),
        fronts: args.fronts,
        workers: 1,
        probe_every: args.probe_every.clone(),
        peers: !args.without_peers,
        retention,
    })
}

/// The path of a program; by default that of this one.
fn program_or_this(program: Option<&PathBuf>) -> std::io::Result<PathBuf> {
    program.cloned().map_or_else(std::env::current_exe, Ok)
}

fn print_outcome(case: &FleetCase, fronts: u32, outcome: &FleetCaseOutcome) {
    let (passed, all) = print_claims(&outcome.played);
    let verdict = &outcome.verdict;
    for breach in verdict.breaches.iter().take(MAX_PRINTED_LINES) {
        eprintln!("{}", breach_line(breach));
    }
    for fault in outcome.failures.iter().take(MAX_PRINTED_LINES) {
        eprintln!("fault: {fault}");
    }
    eprintln!(
        "sessions: {} asked for, {} answered once, {} played, {} refused, {} failed",
        verdict.sessions, verdict.answered_once, verdict.played, verdict.refused, verdict.failed
    );
    eprintln!("billed twice: {}", verdict.billed_twice);
    print_cost(outcome.cost, verdict.sessions);
    println!(
        "fleet {}: fronts {fronts}, sessions {}, rules kept {}/6, claims kept {passed}/{all}",
        case.name,
        verdict.sessions,
        verdict.passed_rule_count()
    );
}

fn print_cost(cost: Cost, sessions: usize) {
    let milliseconds = |time: Duration| nanoseconds(time) as f64 / NANOSECONDS_PER_MILLISECOND;
    eprintln!(
        "cost: half of the answers 'plays' within {:.1} ms, 99 of 100 within {:.1} ms; processor time of all fronts {:.2} s, \
         {:.2} ms a session asked for",
        milliseconds(cost.answer_median),
        milliseconds(cost.answer_percentile_99),
        nanoseconds(cost.cpu) as f64 / NANOSECONDS_PER_SECOND,
        milliseconds(cost.cpu) / sessions.max(1) as f64
    );
}
