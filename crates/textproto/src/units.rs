//! Parses quantities with a unit, such as "800ms", "620kB/s" or "64KiB".
use winnow::ascii::{digit1, space0};
use winnow::combinator::{alt, opt, preceded};
use winnow::error::ContextError;
use winnow::token::take_while;
use winnow::{Parser, Result};

/// What a quantity measures. Each variant states the unit in which the parsed quantity is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// A time, in nanoseconds.
    Time,
    /// A rate, in kB (1,000 bytes) per second.
    Rate,
    /// A size, in bytes.
    Size,
}

impl Unit {
    /// Describes the allowed forms, for messages about a missing or malformed quantity.
    #[must_use]
    pub fn allowed(self) -> &'static str {
        match self {
            Unit::Time => "a time such as \"800ms\", \"4s\", \"250us\", \"2m\" or \"1h\"",
            Unit::Rate => "a rate such as \"620kB/s\", \"1.8MB/s\" or \"9000B/s\"",
            Unit::Size => "a size such as \"512B\", \"64KiB\", \"1MiB\" or \"2GiB\"",
        }
    }

    /// The allowed unit names, with the factors that convert to the unit in which a quantity is returned.
    fn factors(self) -> &'static [(&'static str, f64)] {
        match self {
            Unit::Time => &[
                ("ns", 1.0),
                ("us", 1e3),
                ("ms", 1e6),
                ("s", 1e9),
                ("m", 6e10),
                ("h", 3.6e12),
            ],
            Unit::Rate => &[("B/s", 1e-3), ("kB/s", 1.0), ("MB/s", 1e3), ("GB/s", 1e6)],
            Unit::Size => &[
                ("B", 1.0),
                ("KiB", 1024.0),
                ("MiB", 1048576.0),
                ("GiB", 1073741824.0),
            ],
        }
    }
}

/// Why a text is not a quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum QuantityError {
    /// The text is not a number followed by the name of a unit.
    #[error("{text:?} is not {}", unit.allowed())]
    Malformed {
        /// The text, as it is in the file.
        text: String,
        /// What the quantity should measure.
        unit: Unit,
    },
    /// The quantity is [`QUANTITY_LIMIT`] or more.
    #[error("{0:?} is too large")]
    TooLarge(String),
}

/// Quantities must be below this limit, so that they fit into 64 bits as integers.
const QUANTITY_LIMIT: f64 = 1e18;

/// A decimal number without a sign or an exponent.
fn number(input: &mut &str) -> Result<f64> {
    (digit1, opt(preceded('.', digit1)))
        .take()
        .try_map(|text: &str| text.parse())
        .parse_next(input)
}

/// The factor of the unit whose name is next in the input.
fn factor(unit: Unit, input: &mut &str) -> Result<f64, ContextError> {
    let is_unit_character = |c: char| c.is_ascii_alphabetic() || c == '/';
    let name = alt((take_while(1.., is_unit_character), "")).parse_next(input)?;
    let known = unit.factors().iter().find(|(known, _)| *known == name);
    known
        .map(|(_, factor)| *factor)
        .ok_or_else(ContextError::new)
}

/// Parses a quantity; returns it in the unit that [`Unit`] states.
pub(crate) fn quantity(text: &str, unit: Unit) -> std::result::Result<f64, QuantityError> {
    let with_unit = |input: &mut &str| -> Result<f64> {
        let (number, _) = (number, space0).parse_next(input)?;
        Ok(number * factor(unit, input)?)
    };
    let value = { with_unit }
        .parse(text)
        .map_err(|_| QuantityError::Malformed {
            text: text.to_owned(),
            unit,
        })?;
    if !value.is_finite() || value >= QUANTITY_LIMIT {
        return Err(QuantityError::TooLarge(text.to_owned()));
    }
    Ok(value)
}

#[cfg(test)]
mod tests;
