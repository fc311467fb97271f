//! Errors in the settings.
use thiserror::Error;

/// The reason why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A list with an entry for each class has fewer entries than there are classes.
    #[error("family-info.{field} has {entries} entries for {classes} classes")]
    MissingEntries {
        /// Key of the list in the JSON document.
        field: &'static str,
        /// Number of entries in the list.
        entries: usize,
        /// Number of classes in the document, which is the least number of entries.
        classes: usize,
    },
    /// There are no rungs, or the numbers of their rates and utilities differ.
    #[error("family-info.level-kb and rung-worth must name the same rungs")]
    RungsDiffer,
    /// The number of cells, racks or replicas is 0, or there are no classes.
    #[error("cells, cabinets, siblings and services must not be empty")]
    Empty,
}
