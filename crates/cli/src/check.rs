//! `crankpaddle check`: validation of a front's configuration.
use crate::failure::CommandFailure;
use std::path::Path;
use std::process::ExitCode;

/// Checks the configuration; with `print`, writes it with every default filled in.
///
/// # Errors
///
/// The file can't be read, or has problems: all of them, each with its place.
pub(crate) fn run(file: &Path, print: bool) -> Result<ExitCode, CommandFailure> {
    let text = crankpaddle_config::filled(file).map_err(CommandFailure::invalid_input)?;
    if print {
        println!("{text}");
    }
    Ok(ExitCode::SUCCESS)
}
