//! What is told of a front's traffic, kept over its restarts, and how the reports of many fronts become one.
use crate::cross_zone_admission::CapReason;
use crate::traffic_controller::TrafficController;
use crate::usage_accounting::{Flow, Purpose, SavedFlow, REST};
use crate::windows::Span;
use crate::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MILLISECOND: u64 = SECOND / 1000;
/// The name of what is counted together because too many flows are apart.
const OTHER: &str = "other";

/// Names by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficNames {
    /// Of zones.
    pub zones: Vec<String>,
    /// Of classes.
    pub classes: Vec<String>,
    /// Of tenants; none: one owner of all.
    pub tenants: Vec<String>,
    /// Of groups of titles; the first is that of titles without one.
    pub groups: Vec<String>,
}

/// Bytes of a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields, rename = "Bytes")] // The published name.
pub struct ByteTotals {
    /// When it began, milliseconds since 1970.
    pub at_ms: u64,
    /// How many.
    pub bytes: u64,
}

/// A flow and its bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct FlowReport {
    /// Zone of the servers.
    pub from: String,
    /// Zone of the viewers.
    pub to: String,
    /// Class.
    pub class: String,
    /// Tenant; empty where there are none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// Group of titles; empty for those without one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub group: String,
    /// `playing`, `again` (played at a further attempt) or `nothing`.
    pub purpose: String,
    /// Whether it goes between halls.
    pub crosses: bool,
    /// All bytes: those of the three kinds less the overstated.
    pub bytes: u64,
    /// Counted by servers.
    pub measured_bytes: u64,
    /// Estimated, with a report of the share delivered.
    pub corrected_bytes: u64,
    /// Estimated from rung and time alone.
    pub estimated_bytes: u64,
    /// Told before and found not to have been sent.
    pub overstated_bytes: u64,
    /// Late minutes.
    pub minutes: Vec<ByteTotals>,
    /// Late hours.
    pub hours: Vec<ByteTotals>,
}

/// A budget and its use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct BudgetReport {
    /// Zone of the servers.
    pub from: String,
    /// Zone of the viewers.
    pub to: String,
    /// The class that it is for alone; empty: all without one of their own.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub class: String,
    /// What all fronts share, kB a second.
    pub rate_kb: f64,
    /// This front's part of it, 0 to 1.
    pub part: f64,
    /// Debt over the part's burst; 1 and more: only paid service starts. Absent where the rate is nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub level: Option<f64>,
    /// What crosses under it now, kB a second: paid service.
    pub paid_kb: f64,
    /// The rest.
    pub other_kb: f64,
    /// Bytes beyond it because no server of the own hall was up.
    pub overdraft_hall_lost_bytes: u64,
    /// Bytes beyond it because the own hall had no room or not the title.
    pub overdraft_hall_full_bytes: u64,
    /// Bytes of debt that were not repaid in its time.
    pub written_off_bytes: u64,
    /// Sessions at their lowest rung for it now.
    pub lowered_sessions: u64,
}

/// What a front tells of its traffic.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields, rename = "Report")] // The published name.
pub struct TrafficReport {
    /// The front's number.
    pub front: u32,
    /// When, milliseconds since 1970.
    pub at_ms: u64,
    /// Bytes by flow.
    pub flows: Vec<FlowReport>,
    /// Budgets.
    pub budgets: Vec<BudgetReport>,
    /// Sessions that flow or wait for their last count; some of their bytes are not told yet.
    pub unsettled_sessions: u64,
    /// Counts and reports that came too late to matter.
    pub too_late: u64,
}

fn purpose_name(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::Playing => "playing",
        Purpose::Again => "again",
        Purpose::Nothing => "nothing",
    }
}

fn purpose_of(name: &str) -> Option<Purpose> {
    [Purpose::Playing, Purpose::Again, Purpose::Nothing]
        .into_iter()
        .find(|p| purpose_name(*p) == name)
}

fn spans(all: BTreeMap<u64, u64>) -> Vec<ByteTotals> {
    all.into_iter()
        .map(|(at, bytes)| ByteTotals {
            at_ms: at / MILLISECOND,
            bytes,
        })
        .collect()
}

impl TrafficReport {
    /// What a desk has to tell.
    pub fn of(
        desk: &mut TrafficController,
        front: u32,
        zone: u8,
        names: &TrafficNames,
        now: u64,
    ) -> TrafficReport {
        let name =
            |names: &[String], n: usize| names.get(n).cloned().unwrap_or_else(|| OTHER.to_owned());
        let budgets = desk.budget_statuses(now).into_iter().map(|s| {
            let overdraft = |cause| s.overdrafts.get(&cause).copied().unwrap_or(0.0) as u64;
            BudgetReport {
                from: name(&names.zones, usize::from(s.limit.from)),
                to: name(&names.zones, usize::from(zone)),
                class: s
                    .limit
                    .class
                    .map(|c| name(&names.classes, usize::from(c)))
                    .unwrap_or_default(),
                rate_kb: s.limit.shared.rate_kb,
                part: s.part,
                level: s.level.is_finite().then_some(s.level),
                paid_kb: s.crossing_kb.0,
                other_kb: s.crossing_kb.1,
                overdraft_hall_lost_bytes: overdraft(CapReason::HallLost),
                overdraft_hall_full_bytes: overdraft(CapReason::HallFull),
                written_off_bytes: s.written_off as u64,
                lowered_sessions: s.lowered as u64,
            }
        });
        let budgets = budgets.collect();
        let account = desk.usage();
        let flow = |(f, sums): (&Flow, &crate::usage_accounting::FlowTotals)| FlowReport {
            from: name(&names.zones, usize::from(f.from)),
            to: name(&names.zones, usize::from(f.to)),
            class: name(&names.classes, usize::from(f.class)),
            tenant: match names.tenants.is_empty() && *f != REST {
                true => String::new(),
                false => name(&names.tenants, usize::from(f.tenant)),
            },
            group: if f.group == 0 {
                String::new()
            } else {
                name(&names.groups, usize::from(f.group))
            },
            purpose: purpose_name(f.purpose).to_owned(),
            crosses: f.crosses(),
            bytes: sums.total(),
            measured_bytes: sums.measured.total(),
            corrected_bytes: sums.corrected.total(),
            estimated_bytes: sums.estimated.total(),
            overstated_bytes: sums.overstated,
            minutes: spans(sums.recent(Span::Minute)),
            hours: spans(sums.recent(Span::Hour)),
        };
        TrafficReport {
            front,
            at_ms: now / MILLISECOND,
            flows: account.flows().map(flow).collect(),
            budgets,
            unsettled_sessions: account.sessions() as u64,
            too_late: account.dropped_late_reports(),
        }
    }

    /// What a desk takes over from the report that an earlier life kept. Flows whose names are not known any more go to
    /// the rest, so that no byte is lost when a zone or class is renamed.
    pub fn saved_flows(&self, names: &TrafficNames) -> Vec<SavedFlow> {
        let number = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let flow = |f: &FlowReport| -> Option<Flow> {
            Some(Flow {
                from: u8::try_from(number(&names.zones, &f.from)?).ok()?,
                to: u8::try_from(number(&names.zones, &f.to)?).ok()?,
                class: u8::try_from(number(&names.classes, &f.class)?).ok()?,
                tenant: if f.tenant.is_empty() {
                    0
                } else {
                    u16::try_from(number(&names.tenants, &f.tenant)?).ok()?
                },
                group: if f.group.is_empty() {
                    0
                } else {
                    u16::try_from(number(&names.groups, &f.group)?).ok()?
                },
                purpose: purpose_of(&f.purpose)?,
            })
        };
        let mut all: BTreeMap<Flow, SavedFlow> = BTreeMap::new();
        for f in &self.flows {
            let flow = flow(f).unwrap_or(REST);
            let kept = all.entry(flow).or_insert(SavedFlow {
                flow,
                bytes: [0; 3],
                overstated: 0,
                hours: vec![],
            });
            for (sum, bytes) in
                kept.bytes
                    .iter_mut()
                    .zip([f.measured_bytes, f.corrected_bytes, f.estimated_bytes])
            {
                *sum = sum.saturating_add(bytes);
            }
            kept.overstated = kept.overstated.saturating_add(f.overstated_bytes);
            kept.hours.extend(
                f.hours
                    .iter()
                    .map(|h| (h.at_ms.saturating_mul(MILLISECOND), h.bytes)),
            );
        }
        all.into_values().collect()
    }
}

/// Reports of many fronts as one. A front that is told of twice, by itself and by what it kept, counts once: its latest.
pub fn merge(reports: impl IntoIterator<Item = TrafficReport>) -> TrafficReport {
    let mut latest: BTreeMap<u32, TrafficReport> = BTreeMap::new();
    for report in reports {
        match latest.get(&report.front) {
            Some(known) if known.at_ms >= report.at_ms => {}
            _ => drop(latest.insert(report.front, report)),
        }
    }
    let mut flows: BTreeMap<[String; 6], FlowReport> = BTreeMap::new();
    let mut budgets: BTreeMap<[String; 3], BudgetReport> = BTreeMap::new();
    let mut all = TrafficReport::default();
    for report in latest.into_values() {
        all.at_ms = all.at_ms.max(report.at_ms);
        all.unsettled_sessions += report.unsettled_sessions;
        all.too_late += report.too_late;
        for f in report.flows {
            let key =
                [&f.from, &f.to, &f.class, &f.tenant, &f.group, &f.purpose].map(String::clone);
            match flows.get_mut(&key) {
                None => drop(flows.insert(key, f)),
                Some(sum) => {
                    sum.bytes = sum.bytes.saturating_add(f.bytes);
                    sum.measured_bytes = sum.measured_bytes.saturating_add(f.measured_bytes);
                    sum.corrected_bytes = sum.corrected_bytes.saturating_add(f.corrected_bytes);
                    sum.estimated_bytes = sum.estimated_bytes.saturating_add(f.estimated_bytes);
                    sum.overstated_bytes = sum.overstated_bytes.saturating_add(f.overstated_bytes);
                    sum.minutes = joined(&sum.minutes, &f.minutes);
                    sum.hours = joined(&sum.hours, &f.hours);
                }
            }
        }
        for b in report.budgets {
            let key = [&b.from, &b.to, &b.class].map(String::clone);
            match budgets.get_mut(&key) {
                None => drop(budgets.insert(key, b)),
                Some(sum) => {
                    sum.part += b.part;
                    sum.level = sum.level.into_iter().chain(b.level).reduce(f64::max);
                    sum.paid_kb += b.paid_kb;
                    sum.other_kb += b.other_kb;
                    sum.overdraft_hall_lost_bytes += b.overdraft_hall_lost_bytes;
                    sum.overdraft_hall_full_bytes += b.overdraft_hall_full_bytes;
                    sum.written_off_bytes += b.written_off_bytes;
                    sum.lowered_sessions += b.lowered_sessions;
                }
            }
        }
    }
    all.flows = flows.into_values().collect();
    all.budgets = budgets.into_values().collect();
    all
}

fn joined(a: &[ByteTotals], b: &[ByteTotals]) -> Vec<ByteTotals> {
    let mut sums: BTreeMap<u64, u64> = BTreeMap::new();
    for span in a.iter().chain(b) {
        let sum = sums.entry(span.at_ms).or_default();
        *sum = sum.saturating_add(span.bytes);
    }
    sums.into_iter()
        .map(|(at_ms, bytes)| ByteTotals { at_ms, bytes })
        .collect()
}
