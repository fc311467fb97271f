//! The place of each field in a text-format file, so that later checks can report line and column.
//!
//! The values themselves are read by prost-reflect; this only parses the structure: `name: value`, `name { ... }`,
//! `name: [ ... ]`, comments.
use winnow::combinator::{alt, delimited, opt, preceded, repeat, separated};
use winnow::error::ContextError;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, take_till, take_while};
use winnow::{Parser, Result};

type Input<'a> = LocatingSlice<&'a str>;

/// A field and its places, in bytes from the start of the text.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    pub name: String,
    /// Where its name begins; for an element of a list, where the element begins.
    pub start: usize,
    /// Where its value begins.
    pub value_start: usize,
    /// Where it ends.
    pub end: usize,
    /// The fields of a message; `None` for any other value.
    pub fields: Option<Vec<Node>>,
}

enum Value {
    Scalar,
    Message(Vec<Node>),
    List(Vec<ListElement>),
}

struct ListElement {
    start: usize,
    value: Value,
    end: usize,
}

/// Blank space and comments.
fn skip_blank(input: &mut Input<'_>) -> Result<()> {
    let comment = ('#', take_till(0.., '\n')).void();
    let space = take_while(1.., char::is_whitespace).void();
    repeat(0.., alt((space, comment))).parse_next(input)
}

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

/// The current place in the text.
fn offset(input: &mut Input<'_>) -> Result<usize> {
    Ok(input.current_token_start())
}

/// A field; each element of a list is an occurrence of the field.
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

/// The fields of a text, as far as it can be parsed.
pub(crate) fn locate(text: &str) -> Vec<Node> {
    fields(&mut LocatingSlice::new(text)).unwrap_or_default()
}

/// The place of a field's value by a path such as `class[1].aim`; where it is missing, that of the innermost message around
/// it.
pub(crate) fn find(nodes: &[Node], path: &str) -> usize {
    let mut nodes = nodes;
    let mut place = 0;
    for step in path.split('.') {
        let (name, index) = match step.split_once('[') {
            Some((name, index)) => (name, index.trim_end_matches(']').parse().unwrap_or(0)),
            None => (step, 0),
        };
        let Some(node) = nodes.iter().filter(|node| node.name == name).nth(index) else {
            return place;
        };
        place = match node.fields {
            Some(_) => node.start,
            None => node.value_start,
        };
        nodes = node.fields.as_deref().unwrap_or(&[]);
    }
    place
}

#[cfg(test)]
mod tests;
