//! Collects problems, each with the line and column of its field.
use crate::locate::{self, Node};
use std::collections::BTreeSet;
use std::fmt;

/// A problem in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The line, starting from 1.
    pub line: usize,
    /// The column in characters, starting from 1.
    pub column: usize,
    /// What is wrong and what is allowed. For a problem with a value, it starts with the path of the field.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.line, self.column, self.what)
    }
}

/// Checks a text and collects the problems in it. Fields are identified by paths such as `class[1].aim`, where an index
/// counts from 0.
pub struct Checks<'a> {
    pub(crate) text: &'a str,
    /// The fields of the text with their positions.
    pub(crate) nodes: Vec<Node>,
    problems: Vec<Problem>,
    /// Paths of fields that could not be parsed and were already reported.
    pub(crate) unreadable: BTreeSet<String>,
    /// The parsed text with defaults filled in; empty until it was parsed.
    pub(crate) text_with_defaults: String,
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
            text_with_defaults: String::new(),
        }
    }

    /// Ends the checks; returns the value if there were no problems.
    ///
    /// # Errors
    /// All problems, in the order of the file. Empty if there are none but `value` is `None`.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T, Vec<Problem>> {
        self.problems.sort();
        self.problems.dedup();
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(self.problems),
        }
    }

    /// Reports a problem at a byte offset of the text.
    pub(crate) fn report_problem_at(&mut self, offset: usize, what: String) {
        let offset = offset.min(self.text.len());
        let before = &self.text[..self.text.floor_char_boundary(offset)];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        self.problems.push(Problem { line, column, what });
    }

    /// Reports a problem with a field, unless the field could not be parsed.
    pub fn report_problem(&mut self, path: &str, message: impl Into<String>) {
        // A field that could not be parsed looks like a missing one, and was already reported.
        if self.is_unreadable(path) {
            return;
        }
        let offset = locate::find(&self.nodes, path);
        let message: String = message.into();
        self.report_problem_at(offset, format!("{path}: {message}"));
    }

    /// Whether the field, or a message that contains it, could not be parsed.
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

    /// Reports a problem with a field unless the condition `holds`.
    pub fn require(&mut self, holds: bool, path: &str, message: &str) {
        if !holds {
            self.report_problem(path, message);
        }
    }

    /// The text that [`Checks::parse_message`] parsed, in text format with defaults filled in; empty if it was not parsed.
    #[must_use]
    pub fn text_with_defaults(&self) -> &str {
        &self.text_with_defaults
    }
}
