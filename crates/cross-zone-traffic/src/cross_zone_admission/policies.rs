//! The policies for serving classes from other zones, and their changes.
use super::types::PolicyChange;
use super::{CrossZoneAdmission, CrossZonePolicy};
use crankpaddle_time::Time;

/// Classes are numbered by a `u8`.
const MAX_CLASSES: usize = 256;

/// A zone and a class that may be served from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZoneClass {
    zone: u8,
    class: u8,
}

impl CrossZoneAdmission {
    /// The current policy for serving a class from a zone.
    pub fn policy(&mut self, now: Time, zone: u8, class: u8) -> CrossZonePolicy {
        let key = self.budget_key(zone, class);
        let Some(pool) = key.and_then(|key| self.pools.get_mut(&key)) else {
            return CrossZonePolicy::Allowed;
        };
        if !pool.update_exhaustion(now) && pool.budget.conforms(now, 0.0) {
            return CrossZonePolicy::Allowed;
        }
        if self.is_paid(class) {
            CrossZonePolicy::LastResort
        } else {
            CrossZonePolicy::Forbidden
        }
    }

    /// Returns the policies that changed since the previous call. The caller must apply them before it places requests.
    pub fn policy_changes(&mut self, now: Time) -> Vec<PolicyChange> {
        let mut changes = Vec::new();
        for key in self.policies_to_check() {
            let ZoneClass { zone, class } = key;
            let policy = self.policy(now, zone, class);
            let previous = self.notified_policies.insert(key, policy);
            if previous.unwrap_or_default() != policy {
                changes.push(PolicyChange {
                    zone,
                    class,
                    policy,
                });
            }
        }
        changes
    }

    /// All classes of zones that have a budget, followed by the classes of zones that no longer have one but of which a
    /// policy was returned before.
    fn policies_to_check(&self) -> Vec<ZoneClass> {
        let zones = self.budgeted_zones();
        let class_count = self.paid_classes.len().min(MAX_CLASSES) as u16;
        let budgeted = zones.iter().flat_map(|zone| {
            (0..class_count).map(|class| ZoneClass {
                zone: *zone,
                class: class as u8,
            })
        });
        let no_longer_budgeted = self
            .notified_policies
            .keys()
            .filter(|key| !zones.contains(&key.zone))
            .copied();
        budgeted.chain(no_longer_budgeted).collect()
    }
}
