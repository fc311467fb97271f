//! Parses a text by its schema, reports unknown and malformed fields, and fills in defaults.
use crate::locate::Node;
use crate::Checks;
use miette::Diagnostic;
use prost_reflect::text_format::FormatOptions;
use prost_reflect::{DescriptorPool, DynamicMessage, Kind, MessageDescriptor, Value};
use std::collections::HashMap;
use std::ops::Range;

impl Checks<'_> {
    /// Parses the text as the message type `root` of a compiled schema and fills in absent fields from `defaults`, another text
    /// of the same message type. Unknown and malformed fields are reported and left out, so that all others can be checked.
    /// Returns `None` if the text can't be parsed even without these fields.
    ///
    /// # Panics
    /// The schema or the defaults are malformed, which is a fault of the program, as both are compiled into it.
    pub fn parse_message<T: prost::Message + Default>(
        &mut self,
        descriptors: &[u8],
        root: &str,
        defaults: &str,
    ) -> Option<T> {
        let descriptor = DescriptorPool::decode(descriptors)
            .ok()
            .and_then(|pool| pool.get_message_by_name(root))
            .expect("the schema was compiled with this program");
        let nodes = std::mem::take(&mut self.nodes);
        let mut text = self.text.to_owned();
        self.report_unknown_fields(&nodes, &descriptor, "", &mut text);
        let message = self.parse_readable_fields(&nodes, &descriptor, &mut text);
        self.nodes = nodes;
        let mut message = message?;
        let defaults = DynamicMessage::parse_text_format(descriptor, defaults)
            .expect("the defaults are part of this program");
        fill_defaults(&mut message, &defaults);
        self.text_with_defaults =
            message.to_text_format_with_options(&FormatOptions::new().pretty(true));
        message.transcode_to().ok()
    }

    /// Parses the text. A field that can't be parsed is reported and blanked, and then the text is parsed again.
    fn parse_readable_fields(
        &mut self,
        nodes: &[Node],
        descriptor: &MessageDescriptor,
        text: &mut String,
    ) -> Option<DynamicMessage> {
        // Each iteration blanks one more field, so there are no more iterations than fields.
        loop {
            let error = match DynamicMessage::parse_text_format(descriptor.clone(), text) {
                Ok(message) => return Some(message),
                Err(error) => error,
            };
            let label = error.labels().and_then(|mut labels| labels.next());
            let offset = label.map_or(self.text.len(), |label| label.offset());
            let help = error.help().map(|help| format!(" ({help})"));
            self.report_problem_at(offset, format!("{error}{}", help.unwrap_or_default()));
            let (path, span) = innermost_field(nodes, offset)?;
            if text[span.clone()].trim().is_empty() {
                return None;
            }
            blank(text, span);
            self.unreadable.insert(path);
        }
    }

    /// Reports fields that the schema does not have, at any depth, and blanks them in `text`.
    fn report_unknown_fields(
        &mut self,
        nodes: &[Node],
        message: &MessageDescriptor,
        path: &str,
        text: &mut String,
    ) {
        for (node, node_path) in with_paths(nodes, path) {
            let Some(field) = message.get_field_by_name(&node.name) else {
                self.report_problem_at(node.start, unknown_field(&node.name, message, path));
                blank(text, node.start..node.end);
                continue;
            };
            if let (Kind::Message(inner), Some(fields)) = (field.kind(), &node.fields) {
                self.report_unknown_fields(fields, &inner, &node_path, text);
            }
        }
    }
}

/// The problem with a field that the message type does not have.
fn unknown_field(name: &str, message: &MessageDescriptor, path: &str) -> String {
    let mut allowed: Vec<String> = message
        .fields()
        .map(|field| field.name().to_owned())
        .collect();
    allowed.sort();
    let place = if path.is_empty() { "the file" } else { path };
    let allowed = allowed.join(", ");
    format!("no field {name:?} in {place}; allowed: {allowed}")
}

/// The fields with their paths below `path`. The paths of all but the first occurrence of a repeated field have an index.
fn with_paths<'n>(nodes: &'n [Node], path: &str) -> Vec<(&'n Node, String)> {
    let mut occurrences: HashMap<&str, usize> = HashMap::new();
    let mut all = Vec::with_capacity(nodes.len());
    for node in nodes {
        let occurrence = occurrences.entry(&node.name).or_default();
        let index = match *occurrence {
            0 => String::new(),
            number => format!("[{number}]"),
        };
        *occurrence += 1;
        let dot = if path.is_empty() { "" } else { "." };
        all.push((node, format!("{path}{dot}{}{index}", node.name)));
    }
    all
}

/// The path and the byte range of the innermost field that contains a byte offset.
fn innermost_field(nodes: &[Node], offset: usize) -> Option<(String, Range<usize>)> {
    let mut found = None;
    let mut nodes = nodes;
    let mut path = String::new();
    while let Some((node, node_path)) = with_paths(nodes, &path)
        .into_iter()
        .find(|(node, _)| (node.start..node.end.max(node.start + 1)).contains(&offset))
    {
        found = Some((node_path.clone(), node.start..node.end));
        path = node_path;
        nodes = node.fields.as_deref().unwrap_or(&[]);
    }
    found
}

/// Replaces a range of the text with spaces but keeps its line breaks, so that the positions of all other fields stay the same.
fn blank(text: &mut String, span: Range<usize>) {
    let blanks: String = text[span.clone()]
        .bytes()
        .map(|byte| if byte == b'\n' { '\n' } else { ' ' })
        .collect();
    text.replace_range(span, &blanks);
}

/// Fills in the fields that a message lacks. For a repeated message, `defaults` has one element, whose fields are the defaults
/// of every element.
fn fill_defaults(message: &mut DynamicMessage, defaults: &DynamicMessage) {
    for (field, default) in defaults.fields() {
        match default {
            Value::Message(inner_defaults) => {
                if let Some(inner) = message.get_field_mut(&field).as_message_mut() {
                    fill_defaults(inner, inner_defaults);
                }
            }
            Value::List(templates) => {
                if let Some(Value::Message(template)) = templates.first() {
                    fill_element_defaults(message.get_field_mut(&field), template);
                }
            }
            other if !message.has_field(&field) => message.set_field(&field, other.clone()),
            _ => {}
        }
    }
}

/// Fills in the fields that the elements of a list lack.
fn fill_element_defaults(list: &mut Value, template: &DynamicMessage) {
    let Some(elements) = list.as_list_mut() else {
        return;
    };
    for element in elements {
        if let Some(element) = element.as_message_mut() {
            fill_defaults(element, template);
        }
    }
}
