//! The fields of a viewer's message, decoded without recursion.
use super::Opts;
use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Number;
use std::fmt;

/// The value of a field. The protocol has texts and numbers only; anything else is skipped, however deep it is nested.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum FieldValue {
    Text(String),
    Number(Number),
    /// Neither a text nor a number.
    Other,
}

impl FieldValue {
    pub(super) fn as_u64(&self) -> Option<u64> {
        match self {
            FieldValue::Number(number) => number.as_u64(),
            FieldValue::Text(_) | FieldValue::Other => None,
        }
    }

    /// The value as text; `None` if it is neither a text nor a number.
    pub(super) fn into_text(self) -> Option<String> {
        match self {
            FieldValue::Text(text) => Some(text),
            FieldValue::Number(number) => Some(number.to_string()),
            FieldValue::Other => None,
        }
    }
}

impl<'de> Deserialize<'de> for FieldValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<FieldValue, D::Error> {
        deserializer.deserialize_any(FieldValueVisitor)
    }
}

struct FieldValueVisitor;

impl<'de> Visitor<'de> for FieldValueVisitor {
    type Value = FieldValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the value of a field")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<FieldValue, E> {
        Ok(FieldValue::Text(text.to_owned()))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<FieldValue, E> {
        Ok(FieldValue::Number(number.into()))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<FieldValue, E> {
        Ok(FieldValue::Number(number.into()))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<FieldValue, E> {
        Ok(Number::from_f64(number).map_or(FieldValue::Other, FieldValue::Number))
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<FieldValue, E> {
        Ok(FieldValue::Other)
    }

    fn visit_unit<E: Error>(self) -> Result<FieldValue, E> {
        Ok(FieldValue::Other)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<FieldValue, A::Error> {
        while elements.next_element::<IgnoredAny>()?.is_some() {}
        Ok(FieldValue::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<FieldValue, A::Error> {
        while entries.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(FieldValue::Other)
    }
}

/// The names of the fields that are kept ([`super::SetUpParams`]).
const KNOWN_FIELDS: [&str; 7] = ["class", "tenant", "left", "retry", "key", "hint", "extras"];

/// The fields of a message with the names in [`KNOWN_FIELDS`], as text.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct FieldMap {
    pub(super) texts: Opts,
    /// Whether the value of any field, known or not, is neither a text nor a number.
    pub(super) has_other: bool,
}

impl FieldMap {
    fn insert(&mut self, name: String, value: FieldValue) {
        let Some(text) = value.into_text() else {
            self.has_other = true;
            return;
        };
        if KNOWN_FIELDS.contains(&name.as_str()) {
            self.texts.insert(name, text);
        }
    }
}

impl<'de> Deserialize<'de> for FieldMap {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<FieldMap, D::Error> {
        deserializer.deserialize_map(FieldMapVisitor)
    }
}

struct FieldMapVisitor;

impl<'de> Visitor<'de> for FieldMapVisitor {
    type Value = FieldMap;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object of fields")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<FieldMap, A::Error> {
        let mut fields = FieldMap::default();
        while let Some((name, value)) = entries.next_entry::<String, FieldValue>()? {
            fields.insert(name, value);
        }
        Ok(fields)
    }
}
