//! Sets of fronts, written as text: `all`, `none`, `3`, `3-7`, `0/10`, `0%-50%`, a group's name; `!` for all others.
use crate::error::FrontsError;
use std::collections::HashMap;

/// A set of fronts, for a fleet of any size.
#[derive(Clone, Debug, PartialEq)]
pub struct Fronts {
    is_complement: bool, // All fronts except the listed ones.
    listed: Vec<Subset>,
}

#[derive(Clone, Debug, PartialEq)]
enum Subset {
    All,
    /// Both ends belong to it.
    Range {
        first: usize,
        last: usize,
    },
    Every {
        first: usize,
        step: usize,
    },
    /// A part of the fleet, without its end.
    Part {
        begin: f64,
        end: f64,
    },
    Group(Box<Fronts>),
}

impl Subset {
    fn has(&self, front: usize, fleet: usize) -> bool {
        match self {
            Subset::All => true,
            Subset::Range { first, last } => (*first..=*last).contains(&front),
            Subset::Every { first, step } => {
                front >= *first && (front - first).is_multiple_of(*step)
            }
            Subset::Part { begin, end } => {
                let position = front as f64;
                position >= begin * fleet as f64 && position < end * fleet as f64
            }
            Subset::Group(fronts) => fronts.has(front, fleet),
        }
    }

    fn parse(item: &str, groups: &HashMap<String, Fronts>) -> Option<Subset> {
        if item == "all" {
            return Some(Subset::All);
        }
        if let Some(group) = groups.get(item) {
            return Some(Subset::Group(Box::new(group.clone())));
        }
        if let Some((first, step)) = item.split_once('/') {
            return Some(Subset::Every {
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
            return Some(Subset::Part { begin, end });
        }
        Some(Subset::Range {
            first: parse_number(begin)?,
            last: parse_number(end)?,
        })
    }
}

impl Fronts {
    /// All of them.
    #[must_use]
    pub fn all() -> Fronts {
        Fronts {
            is_complement: false,
            listed: vec![Subset::All],
        }
    }

    /// Whether the front of this number belongs to the set, in a fleet of so many.
    #[must_use]
    pub fn has(&self, front: usize, fleet: usize) -> bool {
        let is_listed = self.listed.iter().any(|subset| subset.has(front, fleet));
        is_listed != self.is_complement
    }

    /// Their numbers in a fleet of so many.
    #[must_use]
    pub fn of(&self, fleet: usize) -> Vec<usize> {
        (0..fleet).filter(|front| self.has(*front, fleet)).collect()
    }

    pub(super) fn parse(
        text: &str,
        groups: &HashMap<String, Fronts>,
    ) -> Result<Fronts, FrontsError> {
        let (is_complement, list) = match text.strip_prefix('!') {
            Some(list) => (true, list),
            None => (false, text),
        };
        let mut listed = Vec::new();
        for item in list.split(',').map(str::trim) {
            if item == "none" {
                continue;
            }
            let subset = Subset::parse(item, groups).ok_or_else(|| FrontsError::UnknownItem {
                item: item.to_owned(),
                groups: groups.keys().cloned().collect(),
            })?;
            listed.push(subset);
        }
        Ok(Fronts {
            is_complement,
            listed,
        })
    }
}

fn parse_number(text: &str) -> Option<usize> {
    text.parse().ok()
}

/// A part from 0 to 1.
fn parse_percent(text: &str) -> Option<f64> {
    let percent: f64 = text.strip_suffix('%')?.parse().ok()?;
    (0.0..=100.0).contains(&percent).then_some(percent / 100.0)
}
