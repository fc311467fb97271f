//! Sets of fronts, written as a comma-separated list of `all`, `none`, `3`, `3-7`, `0/10`, `0%-50%` or the name of a group; a
//! leading `!` selects all fronts that are not in the list.
use crate::error::ParseFrontsError;
use std::collections::HashMap;

/// A set of fronts that is defined independently of the size of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontSet {
    is_complement: bool, // If true, the set contains the fronts that are in none of the subsets.
    subsets: Vec<Subset>,
}

#[derive(Clone, Debug, PartialEq)]
enum Subset {
    All,
    /// Consecutive fronts, including the last one.
    Range {
        first: usize,
        last: usize,
    },
    EveryNth {
        first: usize,
        step: usize,
    },
    /// The fronts between two fractions (0 to 1) of the fleet, without the end.
    FractionRange {
        begin: f64,
        end: f64,
    },
    Group(Box<FrontSet>),
}

impl Subset {
    fn contains(&self, front: usize, fleet_size: usize) -> bool {
        match self {
            Subset::All => true,
            Subset::Range { first, last } => (*first..=*last).contains(&front),
            Subset::EveryNth { first, step } => {
                front >= *first && (front - first).is_multiple_of(*step)
            }
            Subset::FractionRange { begin, end } => {
                let position = front as f64;
                position >= begin * fleet_size as f64 && position < end * fleet_size as f64
            }
            Subset::Group(fronts) => fronts.contains(front, fleet_size),
        }
    }

    fn parse(item: &str, groups: &HashMap<String, FrontSet>) -> Option<Subset> {
        if item == "all" {
            return Some(Subset::All);
        }
        if let Some(group) = groups.get(item) {
            return Some(Subset::Group(Box::new(group.clone())));
        }
        if let Some((first, step)) = item.split_once('/') {
            return Some(Subset::EveryNth {
                first: parse_number(first)?,
                step: parse_number(step).filter(|step| *step > 0)?,
            });
        }
        if let Some((begin, end)) = item.split_once('-') {
            return Subset::parse_range(begin, end);
        }
        let front = parse_number(item)?;
        Some(Subset::Range {
            first: front,
            last: front,
        })
    }

    fn parse_range(begin: &str, end: &str) -> Option<Subset> {
        if let (Some(begin), Some(end)) = (parse_percent(begin), parse_percent(end)) {
            return Some(Subset::FractionRange { begin, end });
        }
        Some(Subset::Range {
            first: parse_number(begin)?,
            last: parse_number(end)?,
        })
    }
}

impl FrontSet {
    /// The set of all fronts.
    #[must_use]
    pub fn all() -> FrontSet {
        FrontSet {
            is_complement: false,
            subsets: vec![Subset::All],
        }
    }

    /// Whether the front of this number belongs to the set, in a fleet of this size.
    #[must_use]
    pub fn contains(&self, front: usize, fleet_size: usize) -> bool {
        let is_in_subsets = self
            .subsets
            .iter()
            .any(|subset| subset.contains(front, fleet_size));
        is_in_subsets != self.is_complement
    }

    /// The numbers of the fronts in the set, in a fleet of this size, in ascending order.
    #[must_use]
    pub fn members(&self, fleet_size: usize) -> Vec<usize> {
        (0..fleet_size)
            .filter(|front| self.contains(*front, fleet_size))
            .collect()
    }

    pub(super) fn parse(
        text: &str,
        groups: &HashMap<String, FrontSet>,
    ) -> Result<FrontSet, ParseFrontsError> {
        let (is_complement, list) = match text.strip_prefix('!') {
            Some(list) => (true, list),
            None => (false, text),
        };
        let mut subsets = Vec::new();
        for item in list.split(',').map(str::trim) {
            if item == "none" {
                continue;
            }
            let subset =
                Subset::parse(item, groups).ok_or_else(|| ParseFrontsError::UnknownItem {
                    item: item.to_owned(),
                    groups: groups.keys().cloned().collect(),
                })?;
            subsets.push(subset);
        }
        Ok(FrontSet {
            is_complement,
            subsets,
        })
    }
}

fn parse_number(text: &str) -> Option<usize> {
    text.parse().ok()
}

/// Reads a percentage as a fraction from 0 to 1.
fn parse_percent(text: &str) -> Option<f64> {
    let percent: f64 = text.strip_suffix('%')?.parse().ok()?;
    (0.0..=100.0).contains(&percent).then_some(percent / 100.0)
}
