//! `crankpaddle api`: the published descriptions of the session API.
use crate::failure::{exit_code_of, CommandFailure};
use clap::{Args, Subcommand};
use crankpaddle_api::conform::{ConformanceChecker, Exception, Exchange};
use crankpaddle_api::{cost, describe, diff};
use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The subcommands of `crankpaddle api`.
#[derive(Subcommand)]
pub(crate) enum ApiCommand {
    /// Write the descriptions of this program's API: AsyncAPI for both versions, OpenAPI, and an HTML page.
    Describe {
        /// The directory to write to; it is created if it does not exist.
        #[arg(default_value = "api")]
        into: PathBuf,
    },
    /// Print and classify the changes from one description to another. Exits 1 if old clients can't rely on the new one.
    #[command(
        after_help = "Example:\n  crankpaddle api diff api/session.v1.asyncapi.json api/session.v2.asyncapi.json"
    )]
    Diff {
        /// The description that clients were built from.
        old: PathBuf,
        /// The description that replaces it.
        new: PathBuf,
    },
    /// Measure the cost of checking a call, compared with parsing it alone.
    Cost {
        /// Number of rounds; each round measures every variant.
        #[arg(long, default_value_t = 11)]
        rounds: usize,
        /// Number of calls per variant and round.
        #[arg(long, default_value_t = 100_000)]
        calls: u32,
    },
    /// Check recorded traffic (JSON lines) against published descriptions, in both directions. Exits 1 if they disagree.
    Check(CheckArgs),
}

/// The recording and the descriptions to compare.
#[derive(Args)]
pub(crate) struct CheckArgs {
    /// The recorded traffic.
    traffic: PathBuf,
    /// The AsyncAPI document of the version that was recorded.
    #[arg(long, default_value = "api/session.v2.asyncapi.json")]
    asyncapi: PathBuf,
    /// The OpenAPI document.
    #[arg(long, default_value = "api/openapi.json")]
    openapi: PathBuf,
    /// A file of described items that need not occur in the recording, each with a reason.
    #[arg(long)]
    exceptions: Option<PathBuf>,
    /// Only report messages that no description allows, for a recording that doesn't contain every described item.
    #[arg(long)]
    part: bool,
}

fn read(path: &Path) -> Result<String, CommandFailure> {
    fs::read_to_string(path).map_err(|error| CommandFailure::invalid_file(path, error))
}

fn read_json(path: &Path) -> Result<Value, CommandFailure> {
    serde_json::from_str(&read(path)?).map_err(|error| CommandFailure::invalid_file(path, error))
}

/// Runs a command on the API's descriptions.
///
/// # Errors
///
/// A file can't be read, parsed or written, or the documents can't be compared.
pub(crate) fn run(command: ApiCommand) -> Result<ExitCode, CommandFailure> {
    match command {
        ApiCommand::Describe { into } => write_descriptions(&into),
        ApiCommand::Diff { old, new } => print_diff(&old, &new),
        ApiCommand::Cost { rounds, calls } => {
            print!("{}", cost::run(rounds, calls)?);
            Ok(ExitCode::SUCCESS)
        }
        ApiCommand::Check(args) => check(&args),
    }
}

fn write_descriptions(folder: &Path) -> Result<ExitCode, CommandFailure> {
    fs::create_dir_all(folder).map_err(|error| CommandFailure::invalid_file(folder, error))?;
    for (name, text) in describe::files() {
        let path = folder.join(name);
        fs::write(&path, text).map_err(|error| CommandFailure::invalid_file(&path, error))?;
        println!("{}", path.display());
    }
    Ok(ExitCode::SUCCESS)
}

fn print_diff(old: &Path, new: &Path) -> Result<ExitCode, CommandFailure> {
    let changes =
        diff::diff(&read_json(old)?, &read_json(new)?).map_err(CommandFailure::invalid_input)?;
    for change in &changes {
        println!("{change}");
    }
    println!("{} changes", changes.len());
    Ok(exit_code_of(changes.iter().all(keeps_old_clients)))
}

fn keeps_old_clients(change: &diff::Change) -> bool {
    matches!(
        change.compatibility,
        diff::Compatibility::Compatible | diff::Compatibility::ForOldClients
    )
}

fn check(args: &CheckArgs) -> Result<ExitCode, CommandFailure> {
    let mut checker = ConformanceChecker::new(&read(&args.asyncapi)?, &read(&args.openapi)?)
        .map_err(CommandFailure::invalid_input)?;
    feed_recording(&mut checker, &args.traffic)?;
    let exceptions = read_exceptions(args.exceptions.as_deref())?;
    let mut verdict = checker.report(&exceptions);
    if args.part {
        verdict.unseen.clear();
        verdict.needless_exceptions.clear();
    }
    println!("{verdict}");
    Ok(exit_code_of(verdict.agrees()))
}

fn feed_recording(
    checker: &mut ConformanceChecker,
    recording: &Path,
) -> Result<(), CommandFailure> {
    let file = fs::File::open(recording)
        .map_err(|error| CommandFailure::invalid_file(recording, error))?;
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(|error| CommandFailure::invalid_file(recording, error))?;
        let exchange: Exchange = serde_json::from_str(&line).map_err(|error| {
            let line_number = index + 1;
            CommandFailure::invalid_file(recording, format_args!("line {line_number}: {error}"))
        })?;
        checker.record(&exchange);
    }
    Ok(())
}

fn read_exceptions(path: Option<&Path>) -> Result<Vec<Exception>, CommandFailure> {
    let Some(path) = path else {
        return Ok(Vec::new());
    };
    serde_json::from_str(&read(path)?).map_err(|error| CommandFailure::invalid_file(path, error))
}
