//! Errors of this package. Their texts are part of the command line's output.
use crankpaddle_http::HttpError;
use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use thiserror::Error;

/// Why a report could not be fetched or loaded.
#[derive(Debug, Error)]
pub enum SourceError {
    /// The front could not be reached, or the file could not be read. The source's text is this error's own.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// What was received or read is no report.
    #[error("is no report of traffic: {0}")]
    InvalidReport(#[from] serde_json::Error),
    /// The front's response is not valid HTTP.
    #[error("answered no HTTP: {}", .0.detail())]
    InvalidHttp(#[source] HttpError),
    /// The connection was closed before the response was complete.
    #[error("broke off within its answer")]
    IncompleteResponse,
    /// The front responded with another status than 200.
    #[error("answered with status {0}")]
    UnexpectedStatus(u16),
}

/// Why a plot could not be drawn.
#[derive(Debug, Error)]
pub enum PlotError {
    /// There is nothing to draw.
    #[error("nothing crossed in late minutes")]
    NothingCrossed,
    /// The plotting library failed. The source's text is this error's own.
    #[error(transparent)]
    Drawing(#[from] DrawingAreaErrorKind<io::Error>),
}
