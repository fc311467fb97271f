//! `crankpaddle lab`: the testbed's commands. Each has a module.
mod benchmarks;
mod cross_zone_summary;
mod files;
mod fleet_case;
mod fleet_processes;
mod import;
mod judge;
mod players;
mod scenario;
mod servers;

use crate::failure::CommandFailure;
use clap::Subcommand;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// The subcommands of `crankpaddle lab`.
#[derive(Subcommand)]
pub(crate) enum TestbedCommand {
    /// Play a scripted scenario against front processes, and check the traffic that was on the sockets. Exits 1 if a rule is
    /// violated, or an answer is missing or duplicated.
    #[command(
        after_help = "Built-in scenarios: trouble (60 s), smoke (8 s), and for cross-zone traffic quiet (20 s), astray (24 s), hall (60 s).\n\nExamples:\n  crankpaddle lab day trouble\n  \
        crankpaddle lab day my-day.textproto --seed 3 --report day.jsonl"
    )]
    Day(scenario::ScenarioArgs),
    /// Play a case of a fleet's membership with faults between its members, and check its claims. Exits 1 if a claim fails.
    #[command(
        after_help = "Examples:\n  crankpaddle lab fleet deaths\n  crankpaddle lab fleet my-case.textproto --fronts 12\n  crankpaddle lab fleet deaths --virtual --fronts 240 --seed 3\n  crankpaddle lab fleet --list"
    )]
    Fleet(fleet_case::FleetArgs),
    /// Play a case with two builds of the program in one fleet. Exits 1 if a claim or a rule is violated.
    #[command(
        after_help = "Built-in cases for two builds:\n  mixed    half of the fronts each; some are killed and restart with the other build\n  replace  one build replaces the other under load, a tenth of the fronts at a time, and back\n\nExample:\n  git worktree add ../earlier REVISION && (cd ../earlier && cargo build --release)\n  crankpaddle lab pairs ../earlier/target/release/crankpaddle replace --fronts 10"
    )]
    Pairs {
        /// The program of the earlier build.
        old: PathBuf,
        /// The case, and how it is played.
        #[command(flatten)]
        args: fleet_case::FleetArgs,
        /// The program of the later build; default: this program.
        #[arg(long)]
        new: Option<PathBuf>,
    },
    /// Check the records of a played scenario against the rules.
    Judge {
        /// The scenario of the records: a built-in scenario or the path of a script.
        day: String,
        /// The file that `lab day --report` wrote.
        records: PathBuf,
    },
    /// Run the simulated servers and the list service of a scenario, without faults. Prints the configuration of a front.
    #[command(after_help = "A front can then be started by hand with the printed configuration.")]
    Servers {
        /// The scenario whose fleet is run.
        #[arg(default_value = "trouble")]
        day: String,
        /// End after this many seconds.
        #[arg(long, default_value_t = 3600)]
        seconds: u64,
    },
    /// Run the players of a scenario against a running front, and print how their calls ended.
    Players {
        /// The address on which the front listens.
        front: SocketAddr,
        /// The scenario whose players are run. Of its faults only bursts and crowds are played.
        #[arg(default_value = "trouble")]
        day: String,
        /// Seed of all random draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure the cost of a front against that of a bare relay, in turns, with servers that answer at once. Takes minutes.
    Bench(benchmarks::FrontBenchmarkArgs),
    /// Measure the cost of usage accounting per session second, compared with none, in one process on a simulated clock.
    Account(benchmarks::AccountingBenchmarkArgs),
    /// Run the bare relay that `lab bench` compares with the front.
    #[command(hide = true)]
    Relay {
        /// Addresses of the servers.
        servers: Vec<SocketAddr>,
    },
    /// Convert a day file of the bench into a script and its fleet.
    Import(import::ImportArgs),
}

/// Runs a command of the testbed.
///
/// # Errors
///
/// The command's input can't be used, or it can't be carried out.
pub(crate) fn run(command: TestbedCommand) -> Result<ExitCode, CommandFailure> {
    match command {
        TestbedCommand::Day(args) => scenario::run(&args),
        TestbedCommand::Fleet(args) => fleet_case::run(&args),
        TestbedCommand::Pairs { old, args, new } => fleet_case::run_pair(old, new, args),
        TestbedCommand::Judge { day, records } => judge::run(&day, &records),
        TestbedCommand::Bench(args) => benchmarks::run_front(args),
        TestbedCommand::Account(args) => benchmarks::run_accounting(&args),
        TestbedCommand::Players { front, day, seed } => players::run(front, &day, seed),
        TestbedCommand::Relay { servers } => benchmarks::run_relay(servers),
        TestbedCommand::Servers { day, seconds } => servers::run(&day, seconds),
        TestbedCommand::Import(args) => import::run(args),
    }
}
