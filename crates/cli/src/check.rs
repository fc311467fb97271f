//! `crankpaddle check`: validation of a front's configuration.
use crate::failure::CommandFailure;
use std::path::Path;
use std::process::ExitCode;

/// Checks a configuration file. With `print`, writes the configuration with all defaults filled in.
///
/// # Errors
///
/// The file can't be read or has problems. The failure lists all of them with their lines and columns.
pub(crate) fn run(file: &Path, print: bool) -> Result<ExitCode, CommandFailure> {
    let text =
        crankpaddle_config::text_with_defaults(file).map_err(CommandFailure::invalid_input)?;
    if print {
        println!("{text}");
    }
    Ok(ExitCode::SUCCESS)
}
