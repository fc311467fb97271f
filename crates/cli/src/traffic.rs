//! The commands on traffic between halls.
use crate::Failure;
use clap::{Args, Subcommand, ValueEnum};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficReport};
use crankpaddle_traffic_report::{csv, fetch, load, svg, table, watch_line};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// A front answers within this time, or counts as not there.
const WITHIN: Duration = Duration::from_secs(3);

/// The commands on traffic between halls.
#[derive(Subcommand)]
pub(crate) enum Traffic {
    /// What crossed, by zones, class, tenant and hour; budgets against their use; overdrafts with their cause.
    #[command(
        after_help = "A front that is named by its address and by its file counts once: its latest word.\n\nExamples:\n  \
        crankpaddle traffic report 127.0.0.1:7400 127.0.0.1:7401\n  \
        crankpaddle traffic report --file front-0.traffic --form csv > traffic.csv\n  \
        crankpaddle traffic report 127.0.0.1:7400 --form plot > traffic.svg"
    )]
    Report {
        #[command(flatten)]
        sources: Sources,
        /// How it is shown.
        #[arg(long, value_enum, default_value = "table")]
        form: Form,
    },
    /// Budgets against their use, again and again until interrupted.
    Watch {
        #[command(flatten)]
        sources: Sources,
        /// Seconds between looks.
        #[arg(long, default_value_t = 2.0, value_parser = pause)]
        every: f64,
        /// End after so many looks.
        #[arg(long)]
        looks: Option<u64>,
    },
}

fn pause(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(seconds) if (0.01..=86_400.0).contains(&seconds) => Ok(seconds),
        _ => Err("allowed: 0.01 to 86400 seconds".into()),
    }
}

/// Whose reports are put together.
#[derive(Args)]
pub(crate) struct Sources {
    /// Fronts that run.
    #[arg(value_name = "ADDRESS", required_unless_present = "file")]
    fronts: Vec<SocketAddr>,
    /// Accounts that fronts kept (front.traffic_file).
    #[arg(long, value_name = "FILE")]
    file: Vec<PathBuf>,
}

/// How a report is shown.
#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum Form {
    /// Columns to read.
    Table,
    /// RFC 4180, a line for each flow and hour.
    Csv,
    /// As fronts tell it.
    Json,
    /// SVG of late minutes.
    Plot,
}

/// The reports together, and what could not be had. A part is never passed off as the whole.
fn collect(sources: &Sources) -> (TrafficReport, Vec<String>) {
    let (mut reports, mut missing) = (Vec::new(), Vec::new());
    let fronts = sources
        .fronts
        .iter()
        .map(|address| (address.to_string(), fetch(address, WITHIN)));
    let files = sources
        .file
        .iter()
        .map(|path| (path.display().to_string(), load(path)));
    for (name, report) in fronts.chain(files) {
        match report {
            Ok(report) => reports.push(report),
            Err(e) => missing.push(format!("{name}: {e}")),
        }
    }
    (merge(reports), missing)
}

/// Runs a command.
pub(crate) fn run(traffic: Traffic) -> Result<ExitCode, Failure> {
    match traffic {
        Traffic::Report { sources, form } => {
            let (report, missing) = collect(&sources);
            let text = match form {
                Form::Table => table(&report) + "\n",
                Form::Csv => csv(&report),
                Form::Json => serde_json::to_string_pretty(&report)? + "\n",
                Form::Plot => svg(&report).map_err(|e| Failure {
                    what: e.to_string(),
                    status: 1,
                })?,
            };
            std::io::stdout().write_all(text.as_bytes())?;
            missing.iter().for_each(|what| eprintln!("missing: {what}"));
            Ok(if missing.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Traffic::Watch {
            sources,
            every,
            looks,
        } => {
            let mut all_missing = true;
            for look in 0.. {
                if looks.is_some_and(|most| look >= most) {
                    break;
                }
                if look > 0 {
                    std::thread::sleep(Duration::from_secs_f64(every));
                }
                let (report, missing) = collect(&sources);
                all_missing &= missing.len() == sources.fronts.len() + sources.file.len();
                writeln!(std::io::stdout(), "{}", watch_line(&report))?;
                missing.iter().for_each(|what| eprintln!("missing: {what}"));
            }
            Ok(if all_missing {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            })
        }
    }
}
