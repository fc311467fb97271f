//! Checks the section `log`.
use super::ConfigChecker;
use crate::schema;

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const FORMS: [&str; 2] = ["json", "human"];

/// The checked section.
pub(super) struct LogSettings {
    pub(super) level: String,
    /// Whether the log is written as JSON lines, not as text.
    pub(super) json: bool,
}

impl ConfigChecker<'_, '_> {
    pub(super) fn log(&mut self, log: &schema::Log) -> LogSettings {
        self.require(
            LEVELS.contains(&log.level()),
            "log.level",
            "is not a log level; allowed: error, warn, info, debug, trace",
        );
        self.require(
            FORMS.contains(&log.form()),
            "log.form",
            "is not a log format; allowed: json, human",
        );
        LogSettings {
            level: log.level().to_owned(),
            json: log.form() != "human",
        }
    }
}
