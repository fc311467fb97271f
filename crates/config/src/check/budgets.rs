//! Checks the sections `budget`, which limit the traffic between zones.
use super::front::Zones;
use super::ConfigChecker;
use crate::schema;
use crankpaddle_cross_zone_traffic::budget::SharedBudget;
use crankpaddle_cross_zone_traffic::cross_zone_admission::CrossZoneLimit;
use crankpaddle_textproto::Unit;
use std::collections::HashMap;

/// The traffic that a budget limits. `from` and `to` are zone indices, `None` if the zone is unknown. `class` is a class
/// index, `None` if the class is unknown, or if the budget applies to all classes that have no budget of their own.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct BudgetScope {
    from: Option<usize>,
    to: Option<usize>,
    class: Option<usize>,
}

impl ConfigChecker<'_, '_> {
    /// Checks all budgets; returns those for traffic to the front's own zone.
    pub(super) fn budgets(
        &mut self,
        budgets: &[schema::Budget],
        zones: &Zones,
        classes: &[String],
    ) -> Vec<CrossZoneLimit> {
        let mut index_by_scope = HashMap::new();
        let mut limits = Vec::new();
        for (index, budget) in budgets.iter().enumerate() {
            let scope = self.budget_scope(index, budget, zones, classes);
            if let Some(other) = index_by_scope.insert(scope, index) {
                let message = format!(
                    "has the same zones and class as budget[{other}]; allowed: one budget for each"
                );
                self.report_problem(&format!("budget[{index}].from"), message);
            }
            let shared = self.shared_budget(index, budget);
            let Some(from) = scope.from else {
                continue;
            };
            if scope.to == Some(zones.own) {
                limits.push(CrossZoneLimit {
                    from_zone: from as u8,
                    class: scope.class.map(|class| class as u8),
                    shared,
                });
            }
        }
        limits
    }

    fn budget_scope(
        &mut self,
        index: usize,
        budget: &schema::Budget,
        zones: &Zones,
        classes: &[String],
    ) -> BudgetScope {
        let path = |field: &str| format!("budget[{index}].{field}");
        let from = self.zone_index(&zones.names, &path("from"), &budget.from);
        let to = self.zone_index(&zones.names, &path("to"), &budget.to);
        self.require(
            from.is_none() || from != to,
            &path("to"),
            "is the same zone as from; allowed: another zone",
        );
        let class = classes.iter().position(|class| *class == budget.class);
        if class.is_none() && !budget.class.is_empty() {
            let known = classes.join(", ");
            let message = format!("{:?} is not a class: {known}", budget.class);
            self.report_problem(&path("class"), message);
        }
        BudgetScope { from, to, class }
    }

    fn shared_budget(&mut self, index: usize, budget: &schema::Budget) -> SharedBudget {
        let path = |field: &str| format!("budget[{index}].{field}");
        let has_volume = !budget.volume.is_empty() || !budget.period.is_empty();
        // A rate of zero is allowed: it forbids all traffic except that of paid classes.
        let rate_kb = self.measure(&path("rate"), &budget.rate, Unit::Rate, 0.0);
        let burst_bytes = self.measure(&path("burst"), &budget.burst, Unit::Size, 1.0);
        let mut volume_bytes = f64::INFINITY;
        let mut period = None;
        if has_volume {
            volume_bytes = self.size(&path("volume"), &budget.volume) as f64;
            period = Some(self.duration(&path("period"), &budget.period));
        }
        SharedBudget {
            rate_kb,
            burst_bytes,
            volume_bytes,
            period,
            max_repayment_time: self.duration(&path("repay"), budget.repay()),
        }
    }
}
