//! Checks the sections `tenant`: the tenants that share the fleet, and their quotas.
use super::ConfigChecker;
use crate::schema;

/// The tenants, indexed by tenant number. Empty if the fleet is not shared among tenants.
pub(super) struct Tenants {
    pub(super) names: Vec<String>,
    /// Quota of each tenant in requests per second over all fronts.
    pub(super) quotas: Vec<f64>,
}

impl ConfigChecker<'_, '_> {
    pub(super) fn tenants(&mut self, tenants: &[schema::Tenant]) -> Tenants {
        let names: Vec<&str> = tenants.iter().map(|tenant| tenant.name.as_str()).collect();
        let names = self.unique_names("tenant", ".name", &names);
        let mut quotas = Vec::with_capacity(tenants.len());
        for (index, tenant) in tenants.iter().enumerate() {
            let path = format!("tenant[{index}].quota");
            quotas.push(self.number_in_range(&path, tenant.quota, 0.001, 1e9));
        }
        Tenants { names, quotas }
    }
}
