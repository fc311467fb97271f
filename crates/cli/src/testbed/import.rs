//! `crankpaddle lab import`: converts a day file of the bench into a script.
use crate::failure::CommandFailure;
use clap::Args;
use crankpaddle_testbed::import::{import, ImportScale};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The file to import, and how to scale it.
#[derive(Args)]
pub(crate) struct ImportArgs {
    /// The day file (JSON).
    file: PathBuf,
    /// Directory to which NAME.textproto and NAME-fleet.textproto are written.
    #[arg(long, default_value = ".")]
    into: PathBuf,
    /// Name of the scenario; default: the file name without its extension.
    #[arg(long)]
    name: Option<String>,
    /// Factor applied to all rates, so that one machine can carry the load.
    #[arg(long, default_value_t = 0.1)]
    rates: f64,
    /// Maximum number of servers.
    #[arg(long, default_value_t = 24)]
    servers: u32,
    /// Maximum number of fronts.
    #[arg(long, default_value_t = 4)]
    fronts: u32,
}

/// Writes the script and its fleet, and prints the path of the script.
///
/// # Errors
///
/// The file is not a day file of the bench, or a file can't be read or written.
pub(super) fn run(args: ImportArgs) -> Result<ExitCode, CommandFailure> {
    let text = std::fs::read_to_string(&args.file)
        .map_err(|error| CommandFailure::invalid_file(&args.file, error))?;
    let name = args.name.unwrap_or_else(|| file_stem(&args.file));
    let fleet_name = format!("{name}-fleet.textproto");
    let scale = ImportScale {
        rates: args.rates,
        servers: args.servers,
        fronts: args.fronts,
    };
    let imported = import(&text, &name, &fleet_name, scale)
        .map_err(|error| CommandFailure::invalid_file(&args.file, error))?;
    let script_path = args.into.join(format!("{name}.textproto"));
    write(&script_path, &imported.day)?;
    write(&args.into.join(&fleet_name), &imported.fleet)?;
    for fault_kind in &imported.left_out {
        eprintln!("left out, not supported by the testbed: {fault_kind}");
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
