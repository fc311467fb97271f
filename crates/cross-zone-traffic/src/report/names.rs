//! The names that reports contain for zones, classes, tenants, title groups and purposes.
use crate::usage_accounting::{Flow, Purpose, OTHER_FLOWS};

/// The name reported for numbers without a configured name, such as those of [`OTHER_FLOWS`].
const OTHER: &str = "other";

/// The configured names, each list indexed by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficNames {
    /// Names of the zones to which servers and viewers belong.
    pub zones: Vec<String>,
    /// Names of the sessions' classes.
    pub classes: Vec<String>,
    /// Names of tenants; empty if no tenants are configured.
    pub tenants: Vec<String>,
    /// Names of title groups. The first entry stands for titles without a group.
    pub groups: Vec<String>,
}

impl TrafficNames {
    pub(super) fn zone(&self, zone: u8) -> String {
        name_of(&self.zones, zone.into())
    }

    pub(super) fn class(&self, class: u8) -> String {
        name_of(&self.classes, class.into())
    }

    /// The name of a flow's tenant; empty if no tenants are configured.
    pub(super) fn tenant(&self, flow: &Flow) -> String {
        if self.tenants.is_empty() && *flow != OTHER_FLOWS {
            return String::new();
        }
        name_of(&self.tenants, flow.tenant.into())
    }

    /// The name of a title group; empty for titles without a group.
    pub(super) fn group(&self, group: u16) -> String {
        if group == 0 {
            return String::new();
        }
        name_of(&self.groups, group.into())
    }

    pub(super) fn zone_number(&self, name: &str) -> Option<u8> {
        u8::try_from(number_of(&self.zones, name)?).ok()
    }

    pub(super) fn class_number(&self, name: &str) -> Option<u8> {
        u8::try_from(number_of(&self.classes, name)?).ok()
    }

    /// The number of a tenant; 0 for an empty name, which stands for no tenants.
    pub(super) fn tenant_number(&self, name: &str) -> Option<u16> {
        if name.is_empty() {
            return Some(0);
        }
        u16::try_from(number_of(&self.tenants, name)?).ok()
    }

    /// The number of a title group; 0 for an empty name, which stands for titles without a group.
    pub(super) fn group_number(&self, name: &str) -> Option<u16> {
        if name.is_empty() {
            return Some(0);
        }
        u16::try_from(number_of(&self.groups, name)?).ok()
    }
}

fn name_of(names: &[String], number: usize) -> String {
    names
        .get(number)
        .cloned()
        .unwrap_or_else(|| OTHER.to_owned())
}

fn number_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The name of a purpose in reports.
pub(super) fn purpose_name(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::FirstAttempt => "playing",
        Purpose::Retry => "again",
        Purpose::FailedAttempt => "nothing",
    }
}

/// The purpose that has a name in reports; `None` if no purpose has it.
pub(super) fn purpose_from_name(name: &str) -> Option<Purpose> {
    [
        Purpose::FirstAttempt,
        Purpose::Retry,
        Purpose::FailedAttempt,
    ]
    .into_iter()
    .find(|purpose| purpose_name(*purpose) == name)
}
