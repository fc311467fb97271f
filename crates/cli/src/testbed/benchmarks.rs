//! `crankpaddle lab bench`, `lab account` and `lab relay`: the benchmarks, and the relay that serves as the baseline of one.
use super::files::temporary_dir;
use crate::failure::{exit_code_of, CommandFailure};
use clap::Args;
use crankpaddle_benchmark::{account, bench, relay};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Number of worker threads of the process that runs the clients and servers of a front's benchmark.
const BENCHMARK_WORKER_THREADS: usize = 2;

/// Number of worker threads of the relay, the same as that of the front it is compared with.
const RELAY_WORKER_THREADS: usize = 1;

/// Parameters of the measurement of a front's cost.
#[derive(Args)]
pub(crate) struct FrontBenchmarkArgs {
    /// Number of rounds with the front and with the relay.
    #[arg(long, default_value_t = 11)]
    rounds: usize,
    /// Length of a round in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Number of idle connections.
    #[arg(long, default_value_t = 5000)]
    idle: usize,
    /// Number of active sessions.
    #[arg(long, default_value_t = 1000)]
    sessions: usize,
    /// The front's log level.
    #[arg(long, default_value = "info")]
    log: String,
    /// Exit 1 if more than this fraction of the set-ups failed, with the front or with the relay. Failures are always reported.
    #[arg(long, default_value_t = 0.001)]
    most_failed: f64,
}

/// Parameters of the measurement of the cost of usage accounting.
#[derive(Args)]
pub(crate) struct AccountingBenchmarkArgs {
    /// Number of active sessions.
    #[arg(long, default_value_t = 100_000, value_parser = clap::value_parser!(u64).range(600..=10_000_000))]
    sessions: u64,
    /// Simulated time in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Number of rounds with and without accounting, which alternate.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
    rounds: u64,
}

/// Measures the cost of a front, compared with a bare relay.
///
/// # Errors
///
/// A process or a socket can't be started.
pub(super) fn run_front(args: FrontBenchmarkArgs) -> Result<ExitCode, CommandFailure> {
    crankpaddle_net::start(Some(BENCHMARK_WORKER_THREADS));
    let plan = bench::ComparisonPlan {
        exe: std::env::current_exe()?,
        dir: temporary_dir(),
        rounds: args.rounds,
        seconds: args.seconds,
        idle: args.idle,
        sessions: args.sessions,
        log: args.log,
    };
    let result = bench::run(&plan)?;
    println!("{}", result.text);
    let _ = std::fs::remove_dir_all(&plan.dir); // A directory that is left in the temporary directory is harmless.
    Ok(exit_code_of(result.failed <= args.most_failed))
}

/// Measures the cost of usage accounting.
///
/// # Errors
///
/// The benchmark fails, as described there.
pub(super) fn run_accounting(args: &AccountingBenchmarkArgs) -> Result<ExitCode, CommandFailure> {
    let plan = account::AccountingPlan {
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
    crankpaddle_net::start(Some(RELAY_WORKER_THREADS));
    println!("listening {}", relay::start(servers)?);
    loop {
        std::thread::park();
    }
}
