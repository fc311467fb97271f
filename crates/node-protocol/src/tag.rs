//! The id of a session as it is on the wire.
use std::fmt;

/// The id of a session: 16 hex digits, which are passed on exactly as received, including their case.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag([u8; 16]);

impl Tag {
    /// Parses a tag; `None` unless `text` is exactly 16 hex digits.
    #[must_use]
    pub fn parse(text: &str) -> Option<Tag> {
        let digits: [u8; 16] = text.as_bytes().try_into().ok()?;
        let is_hex = digits.iter().all(u8::is_ascii_hexdigit);
        is_hex.then_some(Tag(digits))
    }

    /// The digits exactly as received.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or_default() // Never fails: hex digits are ASCII.
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
