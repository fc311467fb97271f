//! `crankpaddle lab import`: a script from a day file of the bench.
use crate::failure::CommandFailure;
use clap::Args;
use crankpaddle_testbed::import::{import, Fit};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What is imported, and how it is scaled.
#[derive(Args)]
pub(crate) struct ImportArgs {
    /// The day file (JSON).
    file: PathBuf,
    /// Where to write NAME.textproto and NAME-fleet.textproto.
    #[arg(long, default_value = ".")]
    into: PathBuf,
    /// The scenario's name; default: the file's.
    #[arg(long)]
    name: Option<String>,
    /// Factor of all rates, so that one machine can carry them.
    #[arg(long, default_value_t = 0.1)]
    rates: f64,
    /// Servers at most.
    #[arg(long, default_value_t = 24)]
    servers: u32,
    /// Fronts at most.
    #[arg(long, default_value_t = 4)]
    fronts: u32,
}

/// Writes the script and its fleet; prints the script's path.
///
/// # Errors
///
/// The file is no day file of the bench, or a file can't be read or written.
pub(super) fn run(args: ImportArgs) -> Result<ExitCode, CommandFailure> {
    let text = std::fs::read_to_string(&args.file)
        .map_err(|error| CommandFailure::invalid_file(&args.file, error))?;
    let name = args.name.unwrap_or_else(|| file_stem(&args.file));
    let fleet_name = format!("{name}-fleet.textproto");
    let fit = Fit {
        rates: args.rates,
        servers: args.servers,
        fronts: args.fronts,
    };
    let imported = import(&text, &name, &fleet_name, fit)
        .map_err(|error| CommandFailure::invalid_file(&args.file, error))?;
    let script_path = args.into.join(format!("{name}.textproto"));
    write(&script_path, &imported.day)?;
    write(&args.into.join(&fleet_name), &imported.fleet)?;
    for fault_kind in &imported.left_out {
        eprintln!("left out, it has no like here: {fault_kind}");
    }
    println!("{}", script_path.display());
    Ok(ExitCode::SUCCESS)
}

fn file_stem(path: &Path) -> String {
    path.file_stem()
        .map(|stem| stem.to_string_lossy().into_owned())
        .unwrap_or_default()
}

fn write(path: &Path, text: &str) -> Result<(), CommandFailure> {
    std::fs::write(path, text).map_err(|error| CommandFailure::invalid_file(path, error))
}
