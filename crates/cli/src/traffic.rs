//! `crankpaddle traffic`: reports on cross-zone traffic.
use crate::failure::{exit_code_of, CommandFailure};
use clap::{Args, Subcommand, ValueEnum};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficReport};
use crankpaddle_traffic_report::{csv, fetch, load, svg, table, watch_line};
use std::io::Write;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// A front that does not answer within this time counts as unreachable.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Allowed intervals between two polls of `traffic watch`, seconds.
const POLL_INTERVAL_SECONDS: RangeInclusive<f64> = 0.01..=86_400.0;

/// The commands on cross-zone traffic.
#[derive(Subcommand)]
pub(crate) enum TrafficCommand {
    /// Cross-zone bytes by zones, class, tenant and hour; budgets against their use; overdrafts with their cause.
    #[command(
        after_help = "A front that is named by its address and by its file counts once: its latest report.\n\nExamples:\n  \
        crankpaddle traffic report 127.0.0.1:7400 127.0.0.1:7401\n  \
        crankpaddle traffic report --file front-0.traffic --form csv > traffic.csv\n  \
        crankpaddle traffic report 127.0.0.1:7400 --form plot > traffic.svg"
    )]
    Report {
        #[command(flatten)]
        sources: Sources,
        /// The output format.
        #[arg(long, value_enum, default_value = "table")]
        form: OutputFormat,
    },
    /// Budgets against their use, polled until interrupted.
    Watch {
        #[command(flatten)]
        sources: Sources,
        /// Seconds between polls.
        #[arg(long, default_value_t = 2.0, value_parser = poll_interval)]
        every: f64,
        /// End after so many polls.
        #[arg(long)]
        looks: Option<u64>,
    },
}

/// An interval that is no number of seconds in the allowed range.
#[derive(Debug, thiserror::Error)]
#[error("allowed: 0.01 to 86400 seconds")]
struct PollIntervalError;

fn poll_interval(text: &str) -> Result<f64, PollIntervalError> {
    match text.parse::<f64>() {
        Ok(seconds) if POLL_INTERVAL_SECONDS.contains(&seconds) => Ok(seconds),
        _ => Err(PollIntervalError),
    }
}

/// Whose reports are merged.
#[derive(Args)]
pub(crate) struct Sources {
    /// Running fronts.
    #[arg(value_name = "ADDRESS", required_unless_present = "file")]
    fronts: Vec<SocketAddr>,
    /// Reports that fronts persisted (front.traffic_file).
    #[arg(long, value_name = "FILE")]
    file: Vec<PathBuf>,
}

impl Sources {
    fn count(&self) -> usize {
        self.fronts.len() + self.file.len()
    }
}

/// The output format of a report.
#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Columns to read.
    Table,
    /// RFC 4180, a line for each flow and hour.
    Csv,
    /// As fronts report it.
    Json,
    /// SVG of the latest minutes.
    Plot,
}

/// The reports merged, and the sources that had none: a partial report is never passed off as complete.
struct Collected {
    report: TrafficReport,
    missing: Vec<String>,
}

impl Collected {
    fn print_missing(&self) {
        for source in &self.missing {
            eprintln!("missing: {source}");
        }
    }
}

fn collect(sources: &Sources) -> Collected {
    let mut reports = Vec::new();
    let mut missing = Vec::new();
    let fronts = sources
        .fronts
        .iter()
        .map(|address| (address.to_string(), fetch(address, FETCH_TIMEOUT)));
    let files = sources
        .file
        .iter()
        .map(|path| (path.display().to_string(), load(path)));
    for (name, report) in fronts.chain(files) {
        match report {
            Ok(report) => reports.push(report),
            Err(error) => missing.push(format!("{name}: {error}")),
        }
    }
    Collected {
        report: merge(reports),
        missing,
    }
}

fn render(report: &TrafficReport, format: OutputFormat) -> Result<String, CommandFailure> {
    Ok(match format {
        OutputFormat::Table => table(report) + "\n",
        OutputFormat::Csv => csv(report),
        OutputFormat::Json => serde_json::to_string_pretty(report)? + "\n",
        OutputFormat::Plot => svg(report).map_err(CommandFailure::failed)?,
    })
}

fn print_report(sources: &Sources, format: OutputFormat) -> Result<ExitCode, CommandFailure> {
    let collected = collect(sources);
    let text = render(&collected.report, format)?;
    std::io::stdout().write_all(text.as_bytes())?;
    collected.print_missing();
    Ok(exit_code_of(collected.missing.is_empty()))
}

/// Succeeds when any source had a report at any poll.
fn watch(
    sources: &Sources,
    interval: Duration,
    polls: Option<u64>,
) -> Result<ExitCode, CommandFailure> {
    let mut all_missing = true;
    for poll in 0.. {
        if polls.is_some_and(|limit| poll >= limit) {
            break;
        }
        if poll > 0 {
            std::thread::sleep(interval);
        }
        let collected = collect(sources);
        all_missing &= collected.missing.len() == sources.count();
        writeln!(std::io::stdout(), "{}", watch_line(&collected.report))?;
        collected.print_missing();
    }
    Ok(exit_code_of(!all_missing))
}

/// Runs a command on cross-zone traffic.
///
/// # Errors
///
/// The report can't be rendered or written.
pub(crate) fn run(command: TrafficCommand) -> Result<ExitCode, CommandFailure> {
    match command {
        TrafficCommand::Report { sources, form } => print_report(&sources, form),
        TrafficCommand::Watch {
            sources,
            every,
            looks,
        } => watch(&sources, Duration::from_secs_f64(every), looks),
    }
}
