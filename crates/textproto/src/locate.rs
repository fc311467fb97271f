//! Where each field of a text-format file stands, so that what is checked later can be said with line and column.
//!
//! The values themselves are read by prost-reflect; this only follows the structure: `name: value`, `name { ... }`,
//! `name: [ ... ]`, comments.
use winnow::combinator::{alt, delimited, opt, preceded, repeat, separated};
use winnow::error::ContextError;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, take_till, take_while};
use winnow::{Parser, Result};

type Input<'a> = LocatingSlice<&'a str>;

/// A field, where its name and its value begin, and where it ends, in bytes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    pub name: String,
    pub at: usize,
    pub value_at: usize,
    pub end: usize,
    pub fields: Option<Vec<Node>>, // Of a message.
}

enum Value {
    Scalar,
    Message(Vec<Node>),
    List(Vec<(usize, Value, usize)>),
}

fn blank(input: &mut Input<'_>) -> Result<()> {
    let comment = ('#', take_till(0.., '\n')).void();
    repeat(
        0..,
        alt((take_while(1.., char::is_whitespace).void(), comment)),
    )
    .parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> Result<()> {
    let piece = |quote: char| {
        repeat::<_, _, (), ContextError, _>(
            0..,
            alt((('\\', any).void(), none_of([quote, '\\', '\n']).void())),
        )
    };
    alt((
        delimited('"', piece('"'), '"'),
        delimited('\'', piece('\''), '\''),
    ))
    .parse_next(input)
}

fn scalar(input: &mut Input<'_>) -> Result<()> {
    let strings = repeat::<_, _, (), _, _>(1.., (quoted, blank));
    let word = take_while(1.., |c: char| {
        !c.is_whitespace() && !"{}<>[],;#\"':".contains(c)
    })
    .void();
    let negative = ('-', blank, word).void();
    let word = take_while(1.., |c: char| {
        !c.is_whitespace() && !"{}<>[],;#\"':".contains(c)
    })
    .void();
    alt((strings, negative, word)).parse_next(input)
}

fn value(input: &mut Input<'_>) -> Result<Value> {
    let items = separated(
        0..,
        (blank, place, value, place, blank).map(|((), at, v, end, ())| (at, v, end)),
        ',',
    );
    alt((
        delimited('{', fields, (blank, '}')).map(Value::Message),
        delimited('<', fields, (blank, '>')).map(Value::Message),
        delimited('[', items, (blank, ']')).map(Value::List),
        scalar.map(|()| Value::Scalar),
    ))
    .parse_next(input)
}

fn place(input: &mut Input<'_>) -> Result<usize> {
    Ok(input.current_token_start())
}

fn field(input: &mut Input<'_>) -> Result<Vec<Node>> {
    blank(input)?;
    let at = place(input)?;
    let name: &str =
        take_while(1.., |c: char| c.is_alphanumeric() || c == '_').parse_next(input)?;
    preceded(blank, opt(':')).parse_next(input)?;
    blank(input)?;
    let value_at = place(input)?;
    let value = value(input)?;
    let end = place(input)?;
    preceded(blank, opt(alt((',', ';')))).parse_next(input)?;
    // Each element of a list is an occurrence of the field.
    let node = |at, value_at, value, end| {
        let fields = if let Value::Message(fields) = value {
            Some(fields)
        } else {
            None
        };
        Node {
            name: name.to_owned(),
            at,
            value_at,
            end,
            fields,
        }
    };
    Ok(match value {
        Value::List(items) => items
            .into_iter()
            .map(|(item, v, end)| node(item, item, v, end))
            .collect(),
        other => vec![node(at, value_at, other, end)],
    })
}

fn fields(input: &mut Input<'_>) -> Result<Vec<Node>> {
    let mut all = Vec::new();
    loop {
        let start = input.checkpoint();
        match field(input) {
            Ok(nodes) => all.extend(nodes),
            Err(_) => {
                input.reset(&start);
                return Ok(all);
            }
        }
    }
}

/// The fields of a file as far as they can be followed.
pub(crate) fn locate(text: &str) -> Vec<Node> {
    fields(&mut LocatingSlice::new(text)).unwrap_or_default()
}

/// Where a path such as `class[1].aim` stands; where it is missing, the innermost message that is there.
pub(crate) fn find(nodes: &[Node], path: &str) -> usize {
    let (mut nodes, mut at) = (nodes, 0);
    for step in path.split('.') {
        let (name, index) = match step.split_once('[') {
            Some((name, index)) => (name, index.trim_end_matches(']').parse().unwrap_or(0)),
            None => (step, 0),
        };
        let Some(node) = nodes.iter().filter(|n| n.name == name).nth(index) else {
            return at;
        };
        at = if node.fields.is_some() {
            node.at
        } else {
            node.value_at
        };
        nodes = node.fields.as_deref().unwrap_or(&[]);
    }
    at
}

#[cfg(test)]
mod tests;
