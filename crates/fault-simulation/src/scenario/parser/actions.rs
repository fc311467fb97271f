//! Converts the actions of a case from the generated types of the schema.
use super::{or_default, schema, Parser, BYTES_PER_KILOBYTE};
use crate::scenario::{Build, CaseAction, DelayRange, DiskState, HostAction};

impl Parser<'_, '_> {
    pub(super) fn restart(&mut self, path: &str, raw: &schema::Restart) -> CaseAction {
        let fronts = self.fronts(&format!("{path}.fronts"), &raw.fronts);
        let after = self.time(&format!("{path}.after"), &raw.after);
        CaseAction::Restart { fronts, after }
    }

    pub(super) fn set_network(&mut self, path: &str, raw: &schema::Net) -> CaseAction {
        CaseAction::SetNetwork {
            loss: self.fraction(&format!("{path}.loss"), raw.loss),
            duplicated: self.fraction(&format!("{path}.doubled"), raw.doubled),
            delay: self.delay(path, raw),
            bandwidth: self.bandwidth(&format!("{path}.bandwidth"), &raw.bandwidth),
        }
    }

    fn delay(&mut self, path: &str, raw: &schema::Net) -> Option<DelayRange> {
        if raw.most.is_empty() {
            return None;
        }
        let min_path = format!("{path}.least");
        let min = self.optional_time(&min_path, &raw.least);
        let max = self.time(&format!("{path}.most"), &raw.most);
        self.checks
            .require(min <= max, &min_path, "is greater than `most`");
        Some(DelayRange {
            min,
            max: max.max(min),
        })
    }

    fn bandwidth(&mut self, path: &str, text: &str) -> f64 {
        if text.is_empty() {
            return f64::INFINITY;
        }
        self.checks.rate(path, text) * BYTES_PER_KILOBYTE
    }

    pub(super) fn partition(&mut self, path: &str, raw: &schema::Cut) -> CaseAction {
        CaseAction::Partition {
            from: self.fronts(&format!("{path}.from"), &raw.from),
            to: self.fronts(&format!("{path}.to"), &raw.to),
            both_ways: !raw.one_way,
        }
    }

    pub(super) fn flood(&mut self, path: &str, raw: &schema::Flood) -> CaseAction {
        let fronts = self.fronts(&format!("{path}.fronts"), &raw.fronts);
        let copies = self
            .checks
            .count(&format!("{path}.times"), raw.times, 1, 1000);
        CaseAction::Flood { fronts, copies }
    }

    pub(super) fn select_build(&mut self, path: &str, raw: &schema::Runs) -> CaseAction {
        let build = if raw.other {
            Build::Other
        } else {
            Build::First
        };
        CaseAction::SelectBuild {
            fronts: self.fronts(&format!("{path}.fronts"), &raw.fronts),
            build,
        }
    }

    pub(super) fn power_off(&mut self, path: &str, raw: &schema::Power) -> HostAction {
        HostAction::PowerOff {
            fronts: self.fronts(&format!("{path}.fronts"), or_default(&raw.fronts, "none")),
            servers: self.fronts(&format!("{path}.servers"), or_default(&raw.servers, "none")),
            list_service: raw.list,
        }
    }

    pub(super) fn power_on(&mut self, path: &str, raw: &schema::Power) -> HostAction {
        HostAction::PowerOn {
            fronts: self.fronts(&format!("{path}.fronts"), or_default(&raw.fronts, "none")),
            servers: self.fronts(&format!("{path}.servers"), or_default(&raw.servers, "none")),
            list_service: raw.list,
        }
    }

    pub(super) fn disk(&mut self, path: &str, raw: &schema::Disk) -> HostAction {
        let state = match raw.is() {
            schema::Spoil::Intact => DiskState::Intact,
            schema::Spoil::Empty => DiskState::Empty,
            schema::Spoil::Old => DiskState::Outdated,
            schema::Spoil::Torn => DiskState::Torn,
        };
        HostAction::SetDisks {
            fronts: self.fronts(&format!("{path}.fronts"), &raw.fronts),
            state,
        }
    }
}
