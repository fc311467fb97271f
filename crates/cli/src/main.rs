//! The program: `crankpaddle front`, `crankpaddle node`, `crankpaddle check`, `crankpaddle api`, `crankpaddle members`,
//! `crankpaddle traffic`, `crankpaddle lab`. Each subcommand has a module.
#![forbid(unsafe_code)]
mod api;
mod check;
mod failure;
mod front;
mod lifecycle;
mod logging;
mod members;
mod node;
mod testbed;
mod traffic;

use clap::{Parser, Subcommand};
use failure::CommandFailure;
use std::path::PathBuf;
use std::process::ExitCode;

/// A session front: it places video sessions on streaming servers and shapes their rates.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  crankpaddle check deploy/front.textproto\n  \
    crankpaddle front -c deploy/front.textproto\n  crankpaddle lab day trouble --seed 7 --report day.jsonl"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a front until SIGTERM or SIGINT. It prints "listening ADDRESS" as soon as it accepts players.
    #[command(
        after_help = "Signals:\n  TERM, INT   accept no new sessions, answer pending requests, end active sessions, exit 0\n  \
        HUP         reload the file and apply its traffic budgets\n\n\
        Example:\n  crankpaddle front -c deploy/front.textproto 2>front.log"
    )]
    Front {
        /// The configuration file.
        #[arg(short, long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Run a front node of the platform: it talks JSON lines with viewers, RTSP with servers and DNS with the directory.
    #[command(
        after_help = "All settings are read from the configuration (JSON): address, limits, directory, known servers, settings.\n\n\
        Signals:\n  TERM, INT   accept no new sessions, answer pending requests, end with the last session, exit 0\n  \
        HUP         reload the file and poll the directory at its new address; an invalid file changes nothing\n\n\
        CRANKPADDLE_LOG sets what is logged (standard error; default: warn).\n\n\
        Example:\n  NODE_CONFIG=/run/balancer/config.json crankpaddle node"
    )]
    Node {
        /// The configuration file; default: the file in NODE_CONFIG.
        #[arg(short, long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Check a configuration. Prints each problem as FILE:LINE:COLUMN and exits 2, or prints nothing and exits 0.
    Check {
        /// The configuration file.
        file: PathBuf,
        /// Print the configuration with all defaults filled in.
        #[arg(long)]
        print: bool,
    },
    /// Write or compare the descriptions of the session API, or check recorded traffic against them.
    #[command(subcommand)]
    Api(api::ApiCommand),
    /// Print the fleet's members as a running front sees them (state, since when, reported by whom), and its own connectivity.
    #[command(after_help = "Example:\n  crankpaddle members 127.0.0.1:7400 --json")]
    Members {
        /// The address on which the front listens for players.
        front: std::net::SocketAddr,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Report or watch cross-zone traffic.
    #[command(subcommand)]
    Traffic(traffic::TrafficCommand),
    /// Run the testbed: simulated servers and players, scripted scenarios and the invariant checker, all on loopback.
    #[command(subcommand, name = "lab")] // The documented name of the testbed's commands.
    Testbed(testbed::TestbedCommand),
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    run(command).unwrap_or_else(|failure| {
        eprintln!("{failure}");
        failure.exit_code()
    })
}

fn run(command: Command) -> Result<ExitCode, CommandFailure> {
    match command {
        Command::Front { config } => front::run(config),
        Command::Node { config } => node::run(config),
        Command::Check { file, print } => check::run(&file, print),
        Command::Api(command) => api::run(command),
        Command::Members { front, json } => members::run(&front, json),
        Command::Traffic(command) => traffic::run(command),
        Command::Testbed(command) => testbed::run(command),
    }
}
