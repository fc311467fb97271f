//! The commands on the API's descriptions.
use crate::{Failure, BAD_FILE};
use clap::Subcommand;
use crankpaddle_api::conform::{ConformanceChecker, Exception, Exchange};
use crankpaddle_api::{cost, describe, diff};
use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The commands on the API's descriptions.
#[derive(Subcommand)]
pub(crate) enum Api {
    /// Write the descriptions of this program: AsyncAPI of both versions, OpenAPI, and a page to read offline.
    Describe {
        /// The folder.
        #[arg(default_value = "api")]
        into: PathBuf,
    },
    /// Class each change from one description to another; exits 1 if one is not compatible for old clients.
    #[command(
        after_help = "Example:\n  crankpaddle api diff api/session.v1.asyncapi.json api/session.v2.asyncapi.json"
    )]
    Diff {
        /// What clients were made by.
        old: PathBuf,
        /// What is to take its place.
        new: PathBuf,
    },
    /// Measure what checking a call costs, beside reading it alone.
    Cost {
        /// Rounds, in turns.
        #[arg(long, default_value_t = 11)]
        rounds: usize,
        /// Calls in each.
        #[arg(long, default_value_t = 100_000)]
        calls: u32,
    },
    /// Hold recorded traffic (JSON lines) against published descriptions, in both directions; exits 1 if they disagree.
    Check {
        /// The recording.
        traffic: PathBuf,
        /// The AsyncAPI document of the version that was spoken.
        #[arg(long, default_value = "api/session.v2.asyncapi.json")]
        asyncapi: PathBuf,
        /// The OpenAPI document.
        #[arg(long, default_value = "api/openapi.json")]
        openapi: PathBuf,
        /// What need not be exchanged, each with its reason.
        #[arg(long)]
        exceptions: Option<PathBuf>,
        /// Only look for what no description allows; a part of a run does not exchange all.
        #[arg(long)]
        part: bool,
    },
}

fn bad(path: &Path, what: impl std::fmt::Display) -> Failure {
    Failure {
        what: format!("{}: {what}", path.display()),
        status: BAD_FILE,
    }
}

fn read(path: &Path) -> Result<String, Failure> {
    fs::read_to_string(path).map_err(|e| bad(path, e))
}

fn json(path: &Path) -> Result<Value, Failure> {
    serde_json::from_str(&read(path)?).map_err(|e| bad(path, e))
}

/// Runs a command.
pub(crate) fn run(api: Api) -> Result<ExitCode, Failure> {
    match api {
        Api::Describe { into } => {
            fs::create_dir_all(&into).map_err(|e| bad(&into, e))?;
            for (name, text) in describe::files() {
                let path = into.join(name);
                fs::write(&path, text).map_err(|e| bad(&path, e))?;
                println!("{}", path.display());
            }
            Ok(ExitCode::SUCCESS)
        }
        Api::Diff { old, new } => {
            let changes = diff::diff(&json(&old)?, &json(&new)?).map_err(|e| Failure {
                what: e.to_string(),
                status: BAD_FILE,
            })?;
            changes.iter().for_each(|change| println!("{change}"));
            let is_listed = |c: &diff::Change| {
                matches!(
                    c.class,
                    diff::Class::Compatible | diff::Class::ForOldClients
                )
            };
            println!("{} changes", changes.len());
            Ok(if changes.iter().all(is_listed) {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Api::Cost { rounds, calls } => {
            print!("{}", cost::run(rounds, calls)?);
            Ok(ExitCode::SUCCESS)
        }
        Api::Check {
            traffic,
            asyncapi,
            openapi,
            exceptions,
            part,
        } => {
            let checker = ConformanceChecker::new(&read(&asyncapi)?, &read(&openapi)?);
            let mut checker = checker.map_err(|e| Failure {
                what: e.to_string(),
                status: BAD_FILE,
            })?;
            let lines =
                BufReader::new(fs::File::open(&traffic).map_err(|e| bad(&traffic, e))?).lines();
            for (n, line) in lines.enumerate() {
                let line = line.map_err(|e| bad(&traffic, e))?;
                let exchange: Exchange = serde_json::from_str(&line)
                    .map_err(|e| bad(&traffic, format!("line {}: {e}", n + 1)))?;
                checker.take(&exchange);
            }
            let excused: Vec<Exception> = match &exceptions {
                None => Vec::new(),
                Some(path) => serde_json::from_str(&read(path)?).map_err(|e| bad(path, e))?,
            };
            let mut verdict = checker.verdict(&excused);
            if part {
                verdict.unseen.clear();
                verdict.needless.clear();
            }
            println!("{verdict}");
            Ok(if verdict.agrees() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
    }
}
