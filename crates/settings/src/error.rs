//! Errors of the settings.
use thiserror::Error;

/// The settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// They are no JSON, or lack a field.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A list of the ladder has fewer entries than there are classes.
    #[error("family-info.{field} has {entries} entries for {classes} classes")]
    MissingEntries {
        /// Name of the list.
        field: &'static str,
        /// Number of its entries.
        entries: usize,
        /// Number of classes.
        classes: usize,
    },
    /// The rungs have no rates, or not as many rates as utilities.
    #[error("family-info.level-kb and rung-worth must name the same rungs")]
    RungsDiffer,
    /// A number that must not be 0 is 0, or there are no classes.
    #[error("cells, cabinets, siblings and services must not be empty")]
    Empty,
}
