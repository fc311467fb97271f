//! Collecting problems, each at the place of its field.
use crate::locate::{self, Node};
use std::collections::BTreeSet;
use std::fmt;

/// A problem in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong and what is allowed.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.line, self.column, self.what)
    }
}

/// Checks a text and collects its problems. Fields are named by paths such as `class[1].aim`.
pub struct Checks<'a> {
    pub(crate) text: &'a str,
    /// The text's fields with their places.
    pub(crate) nodes: Vec<Node>,
    problems: Vec<Problem>,
    /// Paths of fields that could not be read and were reported as such.
    pub(crate) unreadable: BTreeSet<String>,
    /// The text that was read, with defaults filled in.
    pub(crate) filled: String,
}

impl<'a> Checks<'a> {
    /// Starts checking a text.
    #[must_use]
    pub fn new(text: &'a str) -> Checks<'a> {
        Checks {
            text,
            nodes: locate::locate(text),
            problems: Vec::new(),
            unreadable: BTreeSet::new(),
            filled: String::new(),
        }
    }

    /// The value, if there were no problems.
    ///
    /// # Errors
    /// The problems, in the order of the file.
    pub fn verdict<T>(mut self, value: Option<T>) -> Result<T, Vec<Problem>> {
        self.problems.sort();
        self.problems.dedup();
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(self.problems),
        }
    }

    /// Reports a problem at a byte offset of the text.
    pub(crate) fn wrong_at(&mut self, offset: usize, what: String) {
        let offset = offset.min(self.text.len());
        let before = &self.text[..self.text.floor_char_boundary(offset)];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        self.problems.push(Problem { line, column, what });
    }

    /// Reports a problem with a field.
    pub fn wrong(&mut self, path: &str, what: impl Into<String>) {
        // A field that could not be read looks as if it were missing, and was reported already.
        if self.is_unreadable(path) {
            return;
        }
        let offset = locate::find(&self.nodes, path);
        let what: String = what.into();
        self.wrong_at(offset, format!("{path}: {what}"));
    }

    /// Whether the field, or a message around it, could not be read.
    fn is_unreadable(&self, path: &str) -> bool {
        let path = path.replace("[0]", "");
        self.unreadable.iter().any(|unreadable| {
            let rest = path.strip_prefix(unreadable.as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }

    /// Whether the text has a field of this name at its top level.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.nodes.iter().any(|node| node.name == name)
    }

    /// Reports a problem with a field if a condition does not hold.
    pub fn must(&mut self, holds: bool, path: &str, what: &str) {
        if !holds {
            self.wrong(path, what);
        }
    }

    /// The text that [`Checks::structure`] read, with defaults filled in, in text format.
    #[must_use]
    pub fn filled(&self) -> &str {
        &self.filled
    }
}
