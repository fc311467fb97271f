//! Failures of commands, with their text on standard error and their exit status.
use std::fmt::{self, Display};
use std::path::Path;
use std::process::ExitCode;

/// Exit status of a command that ran and did not succeed.
const STATUS_FAILED: u8 = 1;

/// Exit status of a command that did not start anything, because its input can't be used.
const STATUS_INVALID_INPUT: u8 = 2;

/// Why a command failed. It does not implement `std::error::Error`, so that `?` converts any error into it.
#[derive(Debug)]
pub(crate) struct CommandFailure {
    message: String,
    status: u8,
}

impl CommandFailure {
    /// A failure of a command that ran, with exit status 1.
    pub(crate) fn failed(message: impl Display) -> CommandFailure {
        CommandFailure {
            message: message.to_string(),
            status: STATUS_FAILED,
        }
    }

    /// A failure because a file or an argument can't be used, with exit status 2.
    pub(crate) fn invalid_input(message: impl Display) -> CommandFailure {
        CommandFailure {
            message: message.to_string(),
            status: STATUS_INVALID_INPUT,
        }
    }

    /// Like [`CommandFailure::invalid_input`], for a file that can't be read, parsed or written.
    pub(crate) fn invalid_file(path: &Path, reason: impl Display) -> CommandFailure {
        CommandFailure::invalid_input(format_args!("{}: {reason}", path.display()))
    }

    /// A failure with the error's code and its advice to the operator, with exit status 1.
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

    /// Returns the exit status of the process.
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

/// Returns exit status 0 for a check that passed, and 1 for one that failed.
pub(crate) fn exit_code_of(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(STATUS_FAILED)
    }
}
