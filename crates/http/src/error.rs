//! Why an HTTP message is rejected. Clients get the texts of [`HttpError::detail`] in responses.
use crate::head::{MAX_FIELDS, MAX_HEAD_BYTES};
use crate::sse::MAX_EVENT_BYTES;
use std::fmt;

/// A message that is malformed, too large or not supported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The head could not be parsed.
    Head(httparse::Error),
    /// The head has more than [`MAX_FIELDS`] fields.
    TooManyFields,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    HeadTooLong,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    UnsupportedVersion,
    /// A field's value is not UTF-8.
    FieldNotUtf8,
    /// There is more than one Host field, or none in a request of HTTP/1.1.
    HostField,
    /// Header fields contradict each other about the length of the body.
    ContradictoryFraming,
    /// The value of content-length is not a number of at most 64 bits.
    ContentLength(String),
    /// The value of transfer-encoding is anything other than `chunked`.
    UnsupportedCoding(String),
    /// A chunk is not followed by CRLF.
    ChunkEnd,
    /// The size of a chunk is not a hexadecimal number, or has too many digits.
    ChunkSize,
    /// A line that holds a chunk's size or a trailer field is longer than
    /// [`crate::body::MAX_CHUNK_LINE_BYTES`].
    ChunkLineTooLong,
    /// The body is longer than the receiver allows.
    BodyTooLarge {
        /// The longest allowed body, in bytes.
        max: u64,
    },
    /// A server-sent event is longer than [`MAX_EVENT_BYTES`].
    EventTooLarge,
}

impl HttpError {
    /// The status with which a server responds to such a request.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            HttpError::Head(_)
            | HttpError::FieldNotUtf8
            | HttpError::HostField
            | HttpError::ContradictoryFraming
            | HttpError::ContentLength(_)
            | HttpError::ChunkEnd
            | HttpError::ChunkSize
            | HttpError::ChunkLineTooLong
            | HttpError::EventTooLarge => 400,
            HttpError::BodyTooLarge { .. } => 413,
            HttpError::TooManyFields | HttpError::HeadTooLong => 431,
            HttpError::UnsupportedCoding(_) => 501,
            HttpError::UnsupportedVersion => 505,
        }
    }

    /// What is wrong with the message, without the status.
    #[must_use]
    pub fn detail(&self) -> String {
        match self {
            HttpError::Head(error) => error.to_string(),
            HttpError::TooManyFields => format!("more than {MAX_FIELDS} fields"),
            HttpError::HeadTooLong => format!("a head of more than {MAX_HEAD_BYTES} bytes"),
            HttpError::UnsupportedVersion => "not HTTP/1.0 or HTTP/1.1".into(),
            HttpError::FieldNotUtf8 => "a field that is not UTF-8".into(),
            HttpError::HostField => "one Host field is needed".into(),
            HttpError::ContradictoryFraming => {
                "fields that contradict each other on the body's length".into()
            }
            HttpError::ContentLength(value) => format!("content-length {value:?}"),
            HttpError::UnsupportedCoding(codings) => format!("transfer coding {codings:?}"),
            HttpError::ChunkEnd => "a chunk that does not end where its size says".into(),
            HttpError::ChunkSize => "a chunk whose size is no number".into(),
            HttpError::ChunkLineTooLong => "a chunk line without end".into(),
            HttpError::BodyTooLarge { max } => format!("a body of more than {max} bytes"),
            HttpError::EventTooLarge => format!("an event of more than {MAX_EVENT_BYTES} bytes"),
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({})", self.detail(), self.status())
    }
}

impl std::error::Error for HttpError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            HttpError::Head(error) => Some(error),
            _ => None,
        }
    }
}
