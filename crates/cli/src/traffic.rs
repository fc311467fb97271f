//! `crankpaddle traffic`: reports on cross-zone traffic.
use crate::failure::{exit_code_of, CommandFailure};
use clap::{Args, Subcommand, ValueEnum};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficReport};
use crankpaddle_traffic_report::{fetch, format_csv, format_tables, load, plot_svg, watch_line};
use std::io::Write;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// A front that does not answer within this time counts as unreachable.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Allowed intervals between two polls of `traffic watch`, in seconds.
const POLL_INTERVAL_SECONDS: RangeInclusive<f64> = 0.01..=86_400.0;

/// The commands on cross-zone traffic.
#[derive(Subcommand)]
pub(crate) enum TrafficCommand {
    /// Report cross-zone bytes by zones, class, tenant and hour, the use of each budget, and overdrafts by cause.
    #[command(
        after_help = "A front that is given by its address and by its file counts once, with its latest report.\n\nExamples:\n  \
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
    /// Print the use of each budget at an interval, until interrupted.
    Watch {
        #[command(flatten)]
        sources: Sources,
        /// Seconds between polls.
        #[arg(long, default_value_t = 2.0, value_parser = parse_poll_interval)]
        every: f64,
        /// End after this many polls.
        #[arg(long)]
        looks: Option<u64>,
    },
}

/// The error for an interval that is not a number of seconds in the allowed range.
#[derive(Debug, thiserror::Error)]
#[error("allowed: 0.01 to 86400 seconds")]
struct PollIntervalError;

fn parse_poll_interval(text: &str) -> Result<f64, PollIntervalError> {
    match text.parse::<f64>() {
        Ok(seconds) if POLL_INTERVAL_SECONDS.contains(&seconds) => Ok(seconds),
        _ => Err(PollIntervalError),
    }
}

/// The fronts and files whose reports are merged.
#[derive(Args)]
pub(crate) struct Sources {
    /// Addresses of running fronts.
    #[arg(value_name = "ADDRESS", required_unless_present = "file")]
    fronts: Vec<SocketAddr>,
    /// Files in which fronts persisted their reports (front.traffic_file).
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
    /// A table to read.
    Table,
    /// CSV (RFC 4180) with a line for each flow and hour.
    Csv,
    /// JSON, in the format of the fronts' reports.
    Json,
    /// An SVG plot of the latest minutes.
    Plot,
}

/// The merged report, and the sources that had none. They are printed, so that a partial report is not taken for a complete
/// one.
struct MergedReport {
    report: TrafficReport,
    missing: Vec<String>,
}

impl MergedReport {
    fn print_missing(&self) {
        for source in &self.missing {
            eprintln!("missing: {source}");
        }
    }
}

fn fetch_and_merge(sources: &Sources) -> MergedReport {
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
    MergedReport {
        report: merge(reports),
        missing,
    }
}

fn render(report: &TrafficReport, format: OutputFormat) -> Result<String, CommandFailure> {
    Ok(match format {
        OutputFormat::Table => format_tables(report) + "\n",
        OutputFormat::Csv => format_csv(report),
        OutputFormat::Json => serde_json::to_string_pretty(report)? + "\n",
        OutputFormat::Plot => plot_svg(report).map_err(CommandFailure::failed)?,
    })
}

fn print_report(sources: &Sources, format: OutputFormat) -> Result<ExitCode, CommandFailure> {
    let merged = fetch_and_merge(sources);
    let text = render(&merged.report, format)?;
    std::io::stdout().write_all(text.as_bytes())?;
    merged.print_missing();
    Ok(exit_code_of(merged.missing.is_empty()))
}

/// Prints a line at each poll. Succeeds if any source had a report at any poll.
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
        let merged = fetch_and_merge(sources);
        all_missing &= merged.missing.len() == sources.count();
        writeln!(std::io::stdout(), "{}", watch_line(&merged.report))?;
        merged.print_missing();
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
