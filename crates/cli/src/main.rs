//! The program: `crankpaddle front`, `crankpaddle node`, `crankpaddle check`, `crankpaddle api`, `crankpaddle traffic`,
//! `crankpaddle lab`.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
mod api;
mod front;
mod testbed;
mod logging;
mod members;
mod node;
mod lifecycle;
mod traffic;

use clap::{Parser, Subcommand};
use crankpaddle_config::{load, Error};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status for a file that can't be used: nothing was started.
const BAD_FILE: u8 = 2;

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
    /// Run a front until SIGTERM or SIGINT; it prints "listening ADDRESS" when it takes players.
    #[command(
        after_help = "Signals:\n  TERM, INT   take nothing new, answer what is under way, end what plays, exit 0\n  \
        HUP         read the file again and take its budgets for traffic over\n\n\
        Example:\n  crankpaddle front -c deploy/front.textproto 2>front.log"
    )]
    Front {
        /// The configuration.
        #[arg(short, long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Run as a front node of the platform: viewers on JSON lines, servers on RTSP, the directory on DNS.
    #[command(
        after_help = "All is read from the configuration (JSON): address, limits, directory, servers known, settings.\n\n\
        Signals:\n  TERM, INT   take nothing new, answer what is under way, end with the last session, exit 0\n  \
        HUP         read the file again and ask the directory where it says now; a bad file changes nothing\n\n\
        CRANKPADDLE_LOG sets what is logged (standard error; default: warn).\n\n\
        Example:\n  NODE_CONFIG=/run/balancer/config.json crankpaddle node"
    )]
    Node {
        /// The configuration; default: what NODE_CONFIG names.
        #[arg(short, long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Check a configuration: says all that is wrong as FILE:LINE:COLUMN and exits 2, or says nothing and exits 0.
    Check {
        /// The configuration.
        file: PathBuf,
        /// Print it with every default filled in.
        #[arg(long)]
        print: bool,
    },
    /// Descriptions of the session API: write them, compare them, hold traffic against them.
    #[command(subcommand)]
    Api(api::Api),
    /// The other fronts as a front that runs sees them: state, since when, who said so; its own standing.
    #[command(after_help = "Example:\n  crankpaddle members 127.0.0.1:7400 --json")]
    Members {
        /// Where the front listens for players.
        front: std::net::SocketAddr,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Traffic between halls: reports and a live view.
    #[command(subcommand)]
    Traffic(traffic::Traffic),
    /// Stand-ins, scripted days and the judge of the rules; all on loopback, all simulated.
    #[command(subcommand)]
    Lab(testbed::Lab),
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Front { config } => load(&config)
            .map_err(bad_file)
            .and_then(|c| front::run(c, config)),
        Command::Node { config } => node::run(config),
        Command::Check { file, print } => {
            let show = |text: String| {
                if print {
                    println!("{text}");
                }
            };
            crankpaddle_config::filled(&file)
                .map(show)
                .map(|()| ExitCode::SUCCESS)
                .map_err(bad_file)
        }
        Command::Api(api) => api::run(api),
        Command::Members { front, json } => members::run(&front, json),
        Command::Traffic(traffic) => traffic::run(traffic),
        Command::Lab(lab) => testbed::run(lab),
    };
    done.unwrap_or_else(|failure| {
        eprintln!("{}", failure.what);
        ExitCode::from(failure.status)
    })
}

/// Why a command did not do its work.
struct Failure {
    what: String,
    status: u8,
}

impl Failure {
    /// What happened, and what can be done.
    fn advised(e: &dyn miette::Diagnostic) -> Failure {
        let code = e
            .code()
            .map(|code| format!(" ({code})"))
            .unwrap_or_default();
        let help = e
            .help()
            .map(|help| format!("\n  do: {help}"))
            .unwrap_or_default();
        Failure {
            what: format!("{e}{code}{help}"),
            status: 1,
        }
    }
}

impl<E: std::error::Error> From<E> for Failure {
    fn from(e: E) -> Failure {
        Failure {
            what: e.to_string(),
            status: 1,
        }
    }
}

fn bad_file(e: Error) -> Failure {
    Failure {
        what: e.to_string(),
        status: BAD_FILE,
    }
}
