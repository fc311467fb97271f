//! The id of a session on the wire.
use std::fmt;

/// The 16 hex digits that name a session, passed on as they came.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag([u8; 16]);

impl Tag {
    /// Reads a tag; `None` unless it is 16 hex digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Tag> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        let is_hex = digits.iter().all(u8::is_ascii_hexdigit);
        is_hex.then_some(Tag(digits))
    }

    /// The digits as they came.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default() // Hex digits are text.
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl fmt::Debug for Tag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
