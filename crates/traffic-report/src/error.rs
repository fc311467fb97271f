//! Errors of this package. The command line prints their texts after the name of the front or file.
use crankpaddle_http::HttpError;
use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use thiserror::Error;

/// Why a report could not be fetched or loaded.
#[derive(Debug, Error)]
pub enum SourceError {
    /// The front could not be reached, or the file could not be read. The text is that of the I/O error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The content of the response or file is not a traffic report.
    #[error("not a traffic report: {0}")]
    InvalidReport(#[from] serde_json::Error),
    /// The front's response is not valid HTTP.
    #[error("invalid HTTP response: {}", .0.detail())]
    InvalidHttp(#[source] HttpError),
    /// The connection was closed before the response was complete, or the response was too long.
    #[error("incomplete HTTP response")]
    IncompleteResponse,
    /// The front responded with a status other than 200.
    #[error("unexpected HTTP status {0}")]
    UnexpectedStatus(u16),
}

/// Why a plot could not be drawn.
#[derive(Debug, Error)]
pub enum PlotError {
    /// The report contains no traffic between zones in recent minutes.
    #[error("no traffic between zones in recent minutes")]
    NothingCrossed,
    /// The plotting library failed. The text is that of the library's error.
    #[error(transparent)]
    Drawing(#[from] DrawingAreaErrorKind<io::Error>),
}
