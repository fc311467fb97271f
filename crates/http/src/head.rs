//! Heads of requests and responses, and the framing of the bodies that follow them.
use crate::HttpError;
use std::fmt::Write;

/// The most header fields that a head may have.
pub const MAX_FIELDS: usize = 64;
/// The longest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The status of a request that succeeded.
pub const OK: u16 = 200;
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// Header fields, in the order received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// The first value of a header field, or `None`; names are compared without case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self
            .0
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// All values of a header field, in the order received.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.0
            .iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether the comma-separated list in a header field contains `token`, compared without case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|member| member.trim().eq_ignore_ascii_case(token))
    }

    /// Copies the parsed headers; their values must be UTF-8.
    fn read(headers: &[httparse::Header<'_>]) -> Result<Fields, HttpError> {
        let mut fields = Vec::with_capacity(headers.len());
        for header in headers {
            let value = std::str::from_utf8(header.value).map_err(|_| HttpError::FieldNotUtf8)?;
            fields.push((header.name.to_owned(), value.trim().to_owned()));
        }
        Ok(Fields(fields))
    }

    /// Whether a connection may carry another message after one with this minor version of HTTP and these fields.
    fn keep_alive(&self, minor_version: u8) -> bool {
        if minor_version == 0 {
            self.has_token("connection", "keep-alive")
        } else {
            !self.has_token("connection", "close")
        }
    }

    /// The framing of the body that the fields state; `None` if they state none.
    fn framing(&self) -> Result<Option<Framing>, HttpError> {
        let mut lengths = self.all("content-length");
        let length = lengths.next();
        let lengths_differ = lengths.any(|other| Some(other) != length);
        let codings: Vec<&str> = self.all("transfer-encoding").collect();
        if lengths_differ || length.is_some() && !codings.is_empty() {
            return Err(HttpError::ContradictoryFraming);
        }
        if !codings.is_empty() {
            return parse_codings(&codings).map(Some);
        }
        length.map(parse_content_length).transpose()
    }
}

/// The framing for the values of transfer-encoding, of which only a single `chunked` is supported.
fn parse_codings(codings: &[&str]) -> Result<Framing, HttpError> {
    match codings {
        [coding] if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        _ => Err(HttpError::UnsupportedCoding(codings.join(", "))),
    }
}

fn parse_content_length(value: &str) -> Result<Framing, HttpError> {
    // `parse` would accept a sign.
    let is_decimal = value.bytes().all(|byte| byte.is_ascii_digit());
    match value.parse() {
        Ok(length) if is_decimal => Ok(Framing::Length(length)),
        _ => Err(HttpError::ContentLength(value.to_owned())),
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: String,
    /// The request target, as received.
    pub target: String,
    /// The minor version of HTTP/1: 0 or 1.
    pub minor_version: u8,
    /// The header fields, in the order received.
    pub fields: Fields,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code, such as 200.
    pub status: u16,
    /// The minor version of HTTP/1: 0 or 1.
    pub minor_version: u8,
    /// The header fields, in the order received.
    pub fields: Fields,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By the length, in bytes.
    Length(u64),
    /// By the last chunk of a chunked body.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The part of `buffer` in which a head has to end.
fn head_bytes(buffer: &[u8]) -> &[u8] {
    &buffer[..buffer.len().min(MAX_HEAD_BYTES)]
}

/// The length of a parsed head in bytes; `None` if `buffer` does not hold a complete head.
fn head_length(parsed: httparse::Result<usize>, buffer: &[u8]) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            Err(HttpError::HeadTooLong)
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HttpError::TooManyFields),
        Err(httparse::Error::Version) => Err(HttpError::UnsupportedVersion),
        Err(other) => Err(HttpError::Head(other)),
    }
}

impl Request {
    /// Parses the head at the start of `buffer`; returns it with its length in bytes, or `None` while it is incomplete.
    ///
    /// # Errors
    /// The head is malformed or too long.
    pub fn parse(buffer: &[u8]) -> Result<Option<(Request, usize)>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Request::new(&mut headers);
        let parsed = head.parse(head_bytes(buffer));
        let Some(length) = head_length(parsed, buffer)? else {
            return Ok(None);
        };
        let request = Request {
            method: head.method.unwrap_or("").to_owned(),
            target: head.path.unwrap_or("").to_owned(),
            minor_version: head.version.unwrap_or(1),
            fields: Fields::read(head.headers)?,
        };
        request.check_host()?;
        Ok(Some((request, length)))
    }

    /// Checks the number of Host fields (RFC 9112, section 3.2): exactly one in HTTP/1.1, at most one in HTTP/1.0.
    fn check_host(&self) -> Result<(), HttpError> {
        let hosts = self.fields.all("host").count();
        if hosts > 1 || self.minor_version == 1 && hosts == 0 {
            return Err(HttpError::HostField);
        }
        Ok(())
    }

    /// The framing of the request's body.
    ///
    /// A request with both content-length and transfer-encoding is rejected. If an intermediary used one of them and this
    /// parser the other, the rest of the body would be parsed as a second request that the intermediary never checked
    /// (request smuggling; RFC 9112, section 6.3).
    ///
    /// # Errors
    /// The fields contradict each other, or the transfer coding is not supported.
    pub fn framing(&self) -> Result<Framing, HttpError> {
        Ok(self.fields.framing()?.unwrap_or(Framing::Length(0)))
    }

    /// Whether the connection may carry another request after this one.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.fields.keep_alive(self.minor_version)
    }

    /// The path and the query of the target; the query is empty if there is none.
    #[must_use]
    pub fn path(&self) -> (&str, &str) {
        self.target.split_once('?').unwrap_or((&self.target, ""))
    }
}

impl Response {
    /// Parses the head at the start of `buffer`; returns it with its length in bytes, or `None` while it is incomplete.
    ///
    /// # Errors
    /// The head is malformed or too long.
    pub fn parse(buffer: &[u8]) -> Result<Option<(Response, usize)>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(head_bytes(buffer));
        let Some(length) = head_length(parsed, buffer)? else {
            return Ok(None);
        };
        let response = Response {
            status: head.code.unwrap_or(0),
            minor_version: head.version.unwrap_or(1),
            fields: Fields::read(head.headers)?,
        };
        Ok(Some((response, length)))
    }

    /// The framing of the response's body, for a response to any method except HEAD.
    ///
    /// # Errors
    /// The fields contradict each other, or the transfer coding is not supported.
    pub fn framing(&self) -> Result<Framing, HttpError> {
        let is_interim = self.status < 200;
        if is_interim || self.status == NO_CONTENT || self.status == NOT_MODIFIED {
            return Ok(Framing::Length(0));
        }
        Ok(self.fields.framing()?.unwrap_or(Framing::UntilClose))
    }

    /// Whether the connection may carry another request after this response.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.fields.keep_alive(self.minor_version) && self.framing() != Ok(Framing::UntilClose)
    }
}

/// The standard reason phrase of a status; empty for a status that this project does not send.
#[must_use]
pub(crate) fn reason_phrase(status: u16) -> &'static str {
    match status {
        101 => "Switching Protocols",
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        426 => "Upgrade Required",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "",
    }
}

/// Encodes a message with its start line, fields, content-length if one is given, and body.
fn encode_message(
    start_line: &str,
    fields: &[(&str, &str)],
    content_length: Option<usize>,
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{start_line}\r\n");
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n"); // Writing to a String never fails.
    }
    if let Some(length) = content_length {
        let _ = write!(head, "content-length: {length}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a complete response with the given fields. Its content-length is added unless its status allows no body.
#[must_use]
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let start_line = format!("HTTP/1.1 {status} {}", reason_phrase(status));
    let has_length = status != SWITCHING_PROTOCOLS && status != NO_CONTENT;
    let content_length = has_length.then_some(body.len());
    encode_message(&start_line, fields, content_length, body)
}

/// Encodes a complete request with the given fields. Its content-length is added unless its body is empty.
#[must_use]
pub fn request(
    method: &str,
    target: &str,
    host: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let start_line = format!("{method} {target} HTTP/1.1");
    let mut all_fields = vec![("host", host)];
    all_fields.extend_from_slice(fields);
    let content_length = (!body.is_empty()).then_some(body.len());
    encode_message(&start_line, &all_fields, content_length, body)
}

#[cfg(test)]
mod tests;
