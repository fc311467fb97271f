//! Checks the sections `title`: where each title is stored, and under which group its traffic is counted.
use super::ConfigChecker;
use crate::{schema, Title};
use std::collections::HashMap;

const MAX_TITLE_GROUPS: usize = 1000;

/// The titles by name, and the names of their groups, indexed by group number.
pub(super) struct Titles {
    pub(super) titles: HashMap<String, Title>,
    pub(super) groups: Vec<String>,
}

impl ConfigChecker<'_, '_> {
    pub(super) fn titles(&mut self, raw: &[schema::Title], cells: u32) -> Titles {
        let names: Vec<&str> = raw.iter().map(|title| title.name.as_str()).collect();
        self.unique_names("title", ".name", &names);
        let mut titles = HashMap::new();
        let mut groups = vec![String::new()]; // The group of titles without a group.
        for (index, title) in raw.iter().enumerate() {
            let path = |field: &str| format!("title[{index}].{field}");
            let first_cell = self.count(&path("first_cell"), title.first_cell, 0, cells - 1);
            let copies = self.count(&path("copies"), title.copies, 1, cells);
            let group = group_index(&mut groups, &title.group);
            self.require(
                group <= MAX_TITLE_GROUPS,
                &path("group"),
                "is the name of a further group; allowed: at most 1000 groups",
            );
            let checked = Title {
                number: index as u64 + 1,
                first_cell,
                copies,
                group: group as u16,
            };
            titles.insert(title.name.clone(), checked);
        }
        Titles { titles, groups }
    }
}

/// Returns the index of a group, which is added if it is new.
fn group_index(groups: &mut Vec<String>, name: &str) -> usize {
    if let Some(index) = groups.iter().position(|group| group == name) {
        return index;
    }
    groups.push(name.to_owned());
    groups.len() - 1
}
