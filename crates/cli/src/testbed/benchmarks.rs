//! `crankpaddle lab bench`, `lab account` and `lab relay`: the benchmarks and the relay that one of them compares with.
use super::files::temporary_folder;
use crate::failure::{exit_code_of, CommandFailure};
use clap::Args;
use crankpaddle_benchmark::{account, bench, relay};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Worker threads of the process that plays the clients and servers of a front's benchmark.
const BENCHMARK_WORKERS: usize = 2;

/// Worker threads of the relay: as many as the front beside it has.
const RELAY_WORKERS: usize = 1;

/// How a front's cost is measured.
#[derive(Args)]
pub(crate) struct FrontBenchmarkArgs {
    /// Rounds of each.
    #[arg(long, default_value_t = 11)]
    rounds: usize,
    /// Seconds of a round.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Idle connections.
    #[arg(long, default_value_t = 5000)]
    idle: usize,
    /// Active sessions.
    #[arg(long, default_value_t = 1000)]
    sessions: usize,
    /// The front's log level.
    #[arg(long, default_value = "info")]
    log: String,
    /// Exit 1 if more than this fraction of either side's set-ups failed; failures are counted and reported in any case.
    #[arg(long, default_value_t = 0.001)]
    most_failed: f64,
}

/// How the cost of usage accounting is measured.
#[derive(Args)]
pub(crate) struct AccountingBenchmarkArgs {
    /// Active sessions.
    #[arg(long, default_value_t = 100_000, value_parser = clap::value_parser!(u64).range(600..=10_000_000))]
    sessions: u64,
    /// Seconds of the simulated clock.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Rounds with and without, alternating.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
    rounds: u64,
}

/// Measures the cost of a front against a bare relay.
///
/// # Errors
///
/// A process or a socket can't be started.
pub(super) fn run_front(args: FrontBenchmarkArgs) -> Result<ExitCode, CommandFailure> {
    crankpaddle_net::start(Some(BENCHMARK_WORKERS));
    let plan = bench::Plan {
        exe: std::env::current_exe()?,
        dir: temporary_folder(),
        rounds: args.rounds,
        seconds: args.seconds,
        idle: args.idle,
        sessions: args.sessions,
        log: args.log,
    };
    let measured = bench::run(&plan)?;
    println!("{}", measured.text);
    let _ = std::fs::remove_dir_all(&plan.dir); // A folder left in the temporary directory is harmless.
    Ok(exit_code_of(measured.failed <= args.most_failed))
}

/// Measures the cost of usage accounting.
///
/// # Errors
///
/// As the benchmark's.
pub(super) fn run_accounting(args: &AccountingBenchmarkArgs) -> Result<ExitCode, CommandFailure> {
    let plan = account::Plan {
        sessions: args.sessions,
        seconds: args.seconds,
        rounds: args.rounds as usize,
    };
    println!("{}", account::run(&plan)?);
    Ok(ExitCode::SUCCESS)
}

/// Runs the bare relay until the process is killed.
///
/// # Errors
///
/// The relay can't listen.
pub(super) fn run_relay(servers: Vec<SocketAddr>) -> Result<ExitCode, CommandFailure> {
    crankpaddle_net::start(Some(RELAY_WORKERS));
    println!("listening {}", relay::start(servers)?);
    loop {
        std::thread::park();
    }
}
