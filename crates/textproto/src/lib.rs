//! Files in protobuf text format, checked whole: [`Checks`] reads a text by its schema, then every value is looked at,
//! and all that is wrong is said at once, each with line, column and what is allowed.
#![allow(clippy::missing_panics_doc)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod locate;
mod units;

use locate::{find, locate, Node};
use miette::Diagnostic;
use prost_reflect::text_format::FormatOptions;
use prost_reflect::{DescriptorPool, DynamicMessage, Kind, MessageDescriptor, Value};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
pub use units::{quantity, Unit};

/// Something wrong in a file.
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
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.what)
    }
}

/// Collects what is wrong, each at the place of its field. A path names a field: `class[1].aim`.
pub struct Checks<'a> {
    text: &'a str,
    nodes: Vec<Node>,
    problems: Vec<Problem>,
    unread: BTreeSet<String>, // Paths of fields that could not be read; what is wrong with them is told.
    filled: String,
}

/// Fields with their paths, elements of repeated ones after the first numbered.
fn paths<'n>(nodes: &'n [Node], path: &str) -> Vec<(&'n Node, String)> {
    let mut seen: HashMap<&str, usize> = HashMap::new();
    let named = |node: &'n Node| {
        let number = seen.entry(&node.name).or_default();
        let index = if *number > 0 {
            format!("[{number}]")
        } else {
            String::new()
        };
        *number += 1;
        let dot = if path.is_empty() { "" } else { "." };
        (node, format!("{path}{dot}{}{index}", node.name))
    };
    nodes.iter().map(named).collect()
}

/// The innermost field around a place, its path and its span.
fn leaf(nodes: &[Node], at: usize) -> Option<(String, Range<usize>)> {
    let mut found = None;
    let (mut nodes, mut path) = (nodes, String::new());
    while let Some((node, here)) = paths(nodes, &path)
        .into_iter()
        .find(|(n, _)| (n.at..n.end.max(n.at + 1)).contains(&at))
    {
        found = Some((here.clone(), node.at..node.end));
        path = here;
        nodes = node.fields.as_deref().unwrap_or(&[]);
    }
    found
}

/// Blanks a part of a text and keeps all places, those of its lines too.
fn blank(text: &mut String, span: Range<usize>) {
    let blanks: String = text[span.clone()]
        .bytes()
        .map(|b| if b == b'\n' { '\n' } else { ' ' })
        .collect();
    text.replace_range(span, &blanks);
}

/// Takes from `defaults` what a message leaves out. The one element of a repeated message there stands for each.
fn fill(message: &mut DynamicMessage, defaults: &DynamicMessage) {
    for (field, value) in defaults.fields() {
        match value {
            Value::Message(inner) => {
                if let Some(own) = message.get_field_mut(&field).as_message_mut() {
                    fill(own, inner);
                }
            }
            Value::List(template) => {
                let Some(Value::Message(template)) = template.first() else {
                    continue;
                };
                let elements = message.get_field_mut(&field).as_list_mut();
                elements
                    .into_iter()
                    .flatten()
                    .filter_map(|e| e.as_message_mut())
                    .for_each(|e| {
                        fill(e, template);
                    });
            }
            other if !message.has_field(&field) => message.set_field(&field, other.clone()),
            _ => {}
        }
    }
}

impl<'a> Checks<'a> {
    /// Nothing checked yet.
    pub fn new(text: &'a str) -> Checks<'a> {
        let (problems, unread) = (Vec::new(), BTreeSet::new());
        Checks {
            text,
            nodes: locate(text),
            problems,
            unread,
            filled: String::new(),
        }
    }

    /// The value, if nothing was wrong; else all that was, in the order of the file.
    ///
    /// # Errors
    /// What was wrong.
    pub fn verdict<T>(mut self, value: Option<T>) -> Result<T, Vec<Problem>> {
        self.problems.sort();
        self.problems.dedup();
        value
            .filter(|_| self.problems.is_empty())
            .ok_or(self.problems)
    }

    fn wrong_at(&mut self, at: usize, what: String) {
        let before = &self.text[..self.text.floor_char_boundary(at.min(self.text.len()))];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        self.problems.push(Problem { line, column, what });
    }

    /// Something is wrong with the field.
    pub fn wrong(&mut self, path: &str, what: impl Into<String>) {
        // Danger: what could not be read looks as if it were missing, and would be told twice.
        let plain = path.replace("[0]", "");
        let within = |unread: &String| {
            plain
                .strip_prefix(unread.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        if self.unread.iter().any(within) {
            return;
        }
        let at = find(&self.nodes, path);
        let what: String = what.into();
        self.wrong_at(at, format!("{path}: {what}"));
    }

    /// Whether the text itself has a field of this name at its top.
    pub fn has(&self, name: &str) -> bool {
        self.nodes.iter().any(|n| n.name == name)
    }

    /// Says so where something does not hold.
    pub fn must(&mut self, holds: bool, path: &str, what: &str) {
        if !holds {
            self.wrong(path, what);
        }
    }

    // ---- structure ----

    /// The text as the message `root` of a compiled schema, what is absent filled in from `defaults` (another text of
    /// the same message); `None` where that fails. Fields that are unknown or malformed are told and left out, so that
    /// all the others are still read and checked.
    pub fn structure<T: prost::Message + Default>(
        &mut self,
        descriptors: &[u8],
        root: &str,
        defaults: &str,
    ) -> Option<T> {
        let whole = DescriptorPool::decode(descriptors)
            .ok()
            .and_then(|pool| pool.get_message_by_name(root));
        let whole = whole.expect("the schema was compiled with this program");
        let nodes = std::mem::take(&mut self.nodes);
        let mut text = self.text.to_owned();
        self.unknown(&nodes, &whole, "", &mut text);
        let message = self.parse_around(&nodes, &whole, &mut text);
        self.nodes = nodes;
        let mut message = message?;
        let defaults = DynamicMessage::parse_text_format(whole, defaults);
        fill(
            &mut message,
            &defaults.expect("the defaults are part of this program"),
        );
        self.filled = message.to_text_format_with_options(&FormatOptions::new().pretty(true));
        message.transcode_to().ok()
    }

    /// What [`Checks::structure`] read, with defaults filled in, in text format.
    pub fn filled(&self) -> &str {
        &self.filled
    }

    /// Reads the text; a field that can't be read is told, blanked, and the rest read again.
    fn parse_around(
        &mut self,
        nodes: &[Node],
        whole: &MessageDescriptor,
        text: &mut String,
    ) -> Option<DynamicMessage> {
        loop {
            let e = match DynamicMessage::parse_text_format(whole.clone(), text) {
                Ok(message) => return Some(message),
                Err(e) => e,
            };
            let at = e
                .labels()
                .and_then(|mut l| l.next())
                .map_or(self.text.len(), |l| l.offset());
            let help = e.help().map(|h| format!(" ({h})")).unwrap_or_default();
            self.wrong_at(at, format!("{e}{help}"));
            // Each round blanks one more field, so there are no more rounds than fields.
            let (path, span) = leaf(nodes, at)?;
            if text[span.clone()].trim().is_empty() {
                return None;
            }
            blank(text, span);
            self.unread.insert(path);
        }
    }

    fn unknown(
        &mut self,
        nodes: &[Node],
        message: &MessageDescriptor,
        path: &str,
        text: &mut String,
    ) {
        for (node, here) in paths(nodes, path) {
            match message.get_field_by_name(&node.name) {
                None => {
                    let mut allowed: Vec<String> =
                        message.fields().map(|f| f.name().to_owned()).collect();
                    allowed.sort();
                    let place = if path.is_empty() { "the file" } else { path };
                    let list = allowed.join(", ");
                    self.wrong_at(
                        node.at,
                        format!("no field {:?} in {place}; allowed: {list}", node.name),
                    );
                    blank(text, node.at..node.end);
                }
                Some(field) => {
                    if let (Kind::Message(inner), Some(fields)) = (field.kind(), &node.fields) {
                        self.unknown(fields, &inner, &here, text);
                    }
                }
            }
        }
    }

    // ---- values ----

    /// A quantity with a unit, `least` at least.
    pub fn measure(&mut self, path: &str, text: &str, unit: Unit, least: f64) -> f64 {
        if text.is_empty() {
            self.wrong(path, format!("is missing: {}", unit.allowed()));
            return least;
        }
        match quantity(text, unit) {
            Ok(value) if value >= least => value,
            Ok(_) => {
                self.wrong(path, format!("{text:?} is too small"));
                least
            }
            Err(what) => {
                self.wrong(path, what);
                least
            }
        }
    }

    /// A time in nanoseconds, more than zero.
    pub fn time(&mut self, path: &str, text: &str) -> u64 {
        self.measure(path, text, Unit::Time, 1.0) as u64
    }

    /// A rate in kB a second, more than zero.
    pub fn rate(&mut self, path: &str, text: &str) -> f64 {
        self.measure(path, text, Unit::Rate, 1e-3)
    }

    /// A size in bytes, more than zero.
    pub fn size(&mut self, path: &str, text: &str) -> usize {
        self.measure(path, text, Unit::Size, 1.0) as usize
    }

    /// A number within bounds.
    pub fn within(&mut self, path: &str, value: f64, low: f64, high: f64) -> f64 {
        if !(low..=high).contains(&value) {
            self.wrong(path, format!("is {value}; allowed: {low} to {high}"));
            return low;
        }
        value
    }

    /// A whole number within bounds.
    pub fn count(&mut self, path: &str, value: u32, low: u32, high: u32) -> u32 {
        self.within(path, f64::from(value), f64::from(low), f64::from(high)) as u32
    }

    /// An address with a port.
    pub fn address(&mut self, path: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.wrong(
                path,
                format!("{text:?} is not an address with a port such as \"127.0.0.1:7400\""),
            );
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    /// Names of the repeated field `what`, each there and standing once; `part` is the field within it that holds the
    /// name, as ".name", or empty where it is the name itself.
    pub fn names(&mut self, what: &str, part: &str, names: &[&str]) -> Vec<String> {
        let mut seen: HashMap<&str, usize> = HashMap::new();
        for (i, name) in names.iter().enumerate() {
            let field = format!("{what}[{i}]{part}");
            if name.is_empty() {
                self.wrong(&field, "is missing: a name");
            } else if let Some(first) = seen.insert(name, i) {
                self.wrong(
                    &field,
                    format!("{name:?} is taken by {what}[{first}]; names stand once"),
                );
            }
        }
        names.iter().map(|n| (*n).to_owned()).collect()
    }
}
