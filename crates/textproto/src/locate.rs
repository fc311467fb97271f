//! Finds the position of each field in a text-format file, so that checks can report line and column.
//!
//! prost-reflect parses the values. This parser only handles the structure: `name: value`, `name { ... }`,
//! `name: [ ... ]` and comments.
use winnow::combinator::{alt, delimited, opt, preceded, repeat, separated};
use winnow::error::ContextError;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, take_till, take_while};
use winnow::{Parser, Result};

type Input<'a> = LocatingSlice<&'a str>;

/// A field and its positions, as byte offsets in the text.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    /// The name of the field.
    pub name: String,
    /// Where the name starts; for an element of a list, where the element starts.
    pub start: usize,
    /// Where the value starts.
    pub value_start: usize,
    /// Where the value ends.
    pub end: usize,
    /// The fields of the value if it is a message; `None` for any other value.
    pub fields: Option<Vec<Node>>,
}

/// A value without its content, except for the fields in it.
enum Value {
    /// A string, a number or an identifier.
    Scalar,
    /// A message with its fields.
    Message(Vec<Node>),
    /// A list in square brackets.
    List(Vec<ListElement>),
}

/// An element of a list, with its start and end as byte offsets in the text.
struct ListElement {
    start: usize,
    value: Value,
    end: usize,
}

/// Skips whitespace and comments.
fn skip_blank(input: &mut Input<'_>) -> Result<()> {
    let comment = ('#', take_till(0.., '\n')).void();
    let space = take_while(1.., char::is_whitespace).void();
    repeat(0.., alt((space, comment))).parse_next(input)
}

/// A string in single or double quotes. A backslash escapes the next character; a plain newline is not allowed.
fn quoted(input: &mut Input<'_>) -> Result<()> {
    let content = |quote: char| {
        let escaped = ('\\', any).void();
        let plain = none_of([quote, '\\', '\n']).void();
        repeat::<_, _, (), ContextError, _>(0.., alt((escaped, plain)))
    };
    alt((
        delimited('"', content('"'), '"'),
        delimited('\'', content('\''), '\''),
    ))
    .parse_next(input)
}

/// An identifier or a number without a sign.
fn word(input: &mut Input<'_>) -> Result<()> {
    let is_word_character = |c: char| !c.is_whitespace() && !"{}<>[],;#\"':".contains(c);
    take_while(1.., is_word_character).void().parse_next(input)
}

/// One or more adjacent strings, or a word that may have a minus sign.
fn scalar(input: &mut Input<'_>) -> Result<()> {
    let strings = repeat::<_, _, (), _, _>(1.., (quoted, skip_blank));
    let negative = ('-', skip_blank, word).void();
    alt((strings, negative, word)).parse_next(input)
}

fn list_element(input: &mut Input<'_>) -> Result<ListElement> {
    skip_blank(input)?;
    let start = offset(input)?;
    let value = value(input)?;
    let end = offset(input)?;
    skip_blank(input)?;
    Ok(ListElement { start, value, end })
}

fn value(input: &mut Input<'_>) -> Result<Value> {
    let elements = separated(0.., list_element, ',');
    alt((
        delimited('{', fields, (skip_blank, '}')).map(Value::Message),
        delimited('<', fields, (skip_blank, '>')).map(Value::Message),
        delimited('[', elements, (skip_blank, ']')).map(Value::List),
        scalar.map(|()| Value::Scalar),
    ))
    .parse_next(input)
}

/// The current byte offset in the text.
fn offset(input: &mut Input<'_>) -> Result<usize> {
    Ok(input.current_token_start())
}

/// A field. If its value is a list, each element becomes a node of its own, as if the field were repeated.
fn field(input: &mut Input<'_>) -> Result<Vec<Node>> {
    skip_blank(input)?;
    let start = offset(input)?;
    let name: &str =
        take_while(1.., |c: char| c.is_alphanumeric() || c == '_').parse_next(input)?;
    preceded(skip_blank, opt(':')).parse_next(input)?;
    skip_blank(input)?;
    let value_start = offset(input)?;
    let value = value(input)?;
    let end = offset(input)?;
    preceded(skip_blank, opt(alt((',', ';')))).parse_next(input)?;
    let Value::List(elements) = value else {
        return Ok(vec![Node {
            name: name.to_owned(),
            start,
            value_start,
            end,
            fields: message_fields(value),
        }]);
    };
    let occurrences = elements.into_iter().map(|element| Node {
        name: name.to_owned(),
        start: element.start,
        value_start: element.start,
        end: element.end,
        fields: message_fields(element.value),
    });
    Ok(occurrences.collect())
}

fn message_fields(value: Value) -> Option<Vec<Node>> {
    match value {
        Value::Message(fields) => Some(fields),
        Value::Scalar | Value::List(_) => None,
    }
}

/// All fields up to the first text that is not a field.
fn fields(input: &mut Input<'_>) -> Result<Vec<Node>> {
    let mut all = Vec::new();
    loop {
        let checkpoint = input.checkpoint();
        match field(input) {
            Ok(nodes) => all.extend(nodes),
            Err(_) => {
                input.reset(&checkpoint);
                return Ok(all);
            }
        }
    }
}

/// The fields of a text, up to the first place that can't be parsed.
pub(crate) fn locate(text: &str) -> Vec<Node> {
    fields(&mut LocatingSlice::new(text)).unwrap_or_default()
}

/// The byte offset of the field with a path such as `class[1].aim`: where its value starts, or where the field starts if its
/// value is a message. For a missing field, the start of the innermost message on the path, or 0 if there is none.
pub(crate) fn find(nodes: &[Node], path: &str) -> usize {
    let mut nodes = nodes;
    let mut position = 0;
    for segment in path.split('.') {
        let (name, index) = match segment.split_once('[') {
            Some((name, index)) => (name, index.trim_end_matches(']').parse().unwrap_or(0)),
            None => (segment, 0),
        };
        let Some(node) = nodes.iter().filter(|node| node.name == name).nth(index) else {
            return position;
        };
        position = match node.fields {
            Some(_) => node.start,
            None => node.value_start,
        };
        nodes = node.fields.as_deref().unwrap_or(&[]);
    }
    position
}

#[cfg(test)]
mod tests;
