//! How a command fails: the text on standard error and the exit status.
use std::fmt::{self, Display};
use std::path::Path;
use std::process::ExitCode;

/// Exit status when the command ran and did not succeed.
const STATUS_FAILED: u8 = 1;

/// Exit status for input that can't be used: nothing was started.
const STATUS_INVALID_INPUT: u8 = 2;

/// Why a command failed. It is no `std::error::Error`, so that any error converts into it by `?`.
#[derive(Debug)]
pub(crate) struct CommandFailure {
    message: String,
    status: u8,
}

impl CommandFailure {
    /// The command ran and failed: exit status 1.
    pub(crate) fn failed(message: impl Display) -> CommandFailure {
        CommandFailure {
            message: message.to_string(),
            status: STATUS_FAILED,
        }
    }

    /// A file or an argument can't be used: exit status 2.
    pub(crate) fn invalid_input(message: impl Display) -> CommandFailure {
        CommandFailure {
            message: message.to_string(),
            status: STATUS_INVALID_INPUT,
        }
    }

    /// As [`CommandFailure::invalid_input`], for a file that can't be read, parsed or written.
    pub(crate) fn invalid_file(path: &Path, reason: impl Display) -> CommandFailure {
        CommandFailure::invalid_input(format_args!("{}: {reason}", path.display()))
    }

    /// The error with its code and its advice to the operator: exit status 1.
    pub(crate) fn with_advice(error: &dyn miette::Diagnostic) -> CommandFailure {
        let mut message = error.to_string();
        if let Some(code) = error.code() {
            message += &format!(" ({code})");
        }
        if let Some(help) = error.help() {
            message += &format!("\n  do: {help}");
        }
        CommandFailure::failed(message)
    }

    /// The exit status of the process.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.status)
    }
}

impl Display for CommandFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl<E: std::error::Error> From<E> for CommandFailure {
    fn from(error: E) -> CommandFailure {
        CommandFailure::failed(error)
    }
}

/// Exit status 0 for a check that passed, 1 for one that did not.
pub(crate) fn exit_code_of(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(STATUS_FAILED)
    }
}
