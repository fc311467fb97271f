//! Quantities with a unit: "800ms", "620kB/s", "64KiB".
use winnow::ascii::{digit1, space0};
use winnow::combinator::{alt, opt, preceded};
use winnow::error::ContextError;
use winnow::token::take_while;
use winnow::{Parser, Result};

/// What a quantity measures, and in which unit it is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Nanoseconds.
    Time,
    /// kB (1,000 bytes) a second.
    Rate,
    /// Bytes.
    Size,
}

impl Unit {
    /// The forms that are allowed.
    #[must_use]
    pub fn allowed(self) -> &'static str {
        match self {
            Unit::Time => "a time such as \"800ms\", \"4s\", \"250us\", \"2m\" or \"1h\"",
            Unit::Rate => "a rate such as \"620kB/s\", \"1.8MB/s\" or \"9000B/s\"",
            Unit::Size => "a size such as \"512B\", \"64KiB\", \"1MiB\" or \"2GiB\"",
        }
    }

    /// The names of units and the factors to the unit in which a quantity is returned.
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
    /// It is not a number with the name of a unit.
    #[error("{text:?} is not {}", unit.allowed())]
    Malformed {
        /// The text.
        text: String,
        /// What it should measure.
        unit: Unit,
    },
    /// It is [`MAX_QUANTITY`] or more.
    #[error("{0:?} is too large")]
    TooLarge(String),
}

/// Quantities are below this: as integers they fit 64 bits.
const MAX_QUANTITY: f64 = 1e18;

fn number(input: &mut &str) -> Result<f64> {
    (digit1, opt(preceded('.', digit1)))
        .take()
        .try_map(|text: &str| text.parse())
        .parse_next(input)
}

/// The factor of the unit that is named next.
fn factor(unit: Unit, input: &mut &str) -> Result<f64, ContextError> {
    let is_unit_character = |c: char| c.is_ascii_alphabetic() || c == '/';
    let name = alt((take_while(1.., is_unit_character), "")).parse_next(input)?;
    let known = unit.factors().iter().find(|(known, _)| *known == name);
    known
        .map(|(_, factor)| *factor)
        .ok_or_else(ContextError::new)
}

/// The quantity in nanoseconds, kB a second or bytes.
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
    if !value.is_finite() || value >= MAX_QUANTITY {
        return Err(QuantityError::TooLarge(text.to_owned()));
    }
    Ok(value)
}

#[cfg(test)]
mod tests;
