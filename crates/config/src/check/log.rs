//! The section `log`.
use super::ConfigChecker;
use crate::schema;

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const FORMS: [&str; 2] = ["json", "human"];

/// How the front logs.
pub(super) struct Log {
    pub(super) level: String,
    /// Whether the log is JSON lines.
    pub(super) json: bool,
}

impl ConfigChecker<'_, '_> {
    pub(super) fn log(&mut self, log: &schema::Log) -> Log {
        self.must(
            LEVELS.contains(&log.level()),
            "log.level",
            "allowed: error, warn, info, debug, trace",
        );
        self.must(
            FORMS.contains(&log.form()),
            "log.form",
            "allowed: json, human",
        );
        Log {
            level: log.level().to_owned(),
            json: log.form() != "human",
        }
    }
}
