//! Heads of requests and responses, and the framing of the bodies that they announce.
use crate::HttpError;
use std::fmt::Write;

/// Most fields of a head.
pub const MAX_FIELDS: usize = 64;
/// Longest head in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Status: the request succeeded.
pub const OK: u16 = 200;
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// Header fields in the order of the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// The first value of a field; names are compared without case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self
            .0
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// Every value of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.0
            .iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether a comma-separated field has this member, compared without case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|member| member.trim().eq_ignore_ascii_case(token))
    }

    fn read(headers: &[httparse::Header<'_>]) -> Result<Fields, HttpError> {
        let mut fields = Vec::with_capacity(headers.len());
        for header in headers {
            let value = std::str::from_utf8(header.value).map_err(|_| HttpError::FieldNotUtf8)?;
            fields.push((header.name.to_owned(), value.trim().to_owned()));
        }
        Ok(Fields(fields))
    }

    /// Whether a connection with a message of this minor version and these fields may carry another one.
    fn keep_alive(&self, minor: u8) -> bool {
        if minor == 0 {
            self.has_token("connection", "keep-alive")
        } else {
            !self.has_token("connection", "close")
        }
    }

    /// The framing that the fields state; `None` where they state none.
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

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its target as sent.
    pub target: String,
    /// Minor version of HTTP: 0 or 1.
    pub minor: u8,
    /// Its fields.
    pub fields: Fields,
}

/// A response's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Minor version of HTTP: 0 or 1.
    pub minor: u8,
    /// Its fields.
    pub fields: Fields,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The part of `buffer` that a head may use.
fn head_bytes(buffer: &[u8]) -> &[u8] {
    &buffer[..buffer.len().min(MAX_HEAD_BYTES)]
}

/// The length of a parsed head; `None` where `buffer` does not hold a complete one.
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
    /// The head at the start of `buffer` and its length; `None` while it is incomplete.
    ///
    /// # Errors
    /// It is malformed or too long.
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
            minor: head.version.unwrap_or(1),
            fields: Fields::read(head.headers)?,
        };
        request.check_host()?;
        Ok(Some((request, length)))
    }

    /// RFC 9112, 3.2: exactly one Host field in HTTP/1.1, at most one in HTTP/1.0.
    fn check_host(&self) -> Result<(), HttpError> {
        let hosts = self.fields.all("host").count();
        if hosts > 1 || self.minor == 1 && hosts == 0 {
            return Err(HttpError::HostField);
        }
        Ok(())
    }

    /// How its body is framed.
    ///
    /// Why both fields together are rejected: where an intermediary takes one length and this reader the other, the
    /// rest of the body is read as a second request that the intermediary never checked (RFC 9112, 6.3).
    ///
    /// # Errors
    /// Fields that contradict each other or an unsupported coding.
    pub fn framing(&self) -> Result<Framing, HttpError> {
        Ok(self.fields.framing()?.unwrap_or(Framing::Length(0)))
    }

    /// Whether the connection may carry another request after this one.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.fields.keep_alive(self.minor)
    }

    /// The target's path and query.
    #[must_use]
    pub fn path(&self) -> (&str, &str) {
        self.target.split_once('?').unwrap_or((&self.target, ""))
    }
}

impl Response {
    /// The head at the start of `buffer` and its length; `None` while it is incomplete.
    ///
    /// # Errors
    /// It is malformed or too long.
    pub fn parse(buffer: &[u8]) -> Result<Option<(Response, usize)>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(head_bytes(buffer));
        let Some(length) = head_length(parsed, buffer)? else {
            return Ok(None);
        };
        let response = Response {
            status: head.code.unwrap_or(0),
            minor: head.version.unwrap_or(1),
            fields: Fields::read(head.headers)?,
        };
        Ok(Some((response, length)))
    }

    /// How its body is framed, for a response to any method but HEAD.
    ///
    /// # Errors
    /// Fields that contradict each other or an unsupported coding.
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
        self.fields.keep_alive(self.minor) && self.framing() != Ok(Framing::UntilClose)
    }
}

/// The standard reason phrase of a status; empty for statuses that are not used here.
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

/// The bytes of a message: its start line, fields, content-length if one is given, and body.
fn message(
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

/// A complete response with the given fields; its content-length is stated unless its status allows no body.
#[must_use]
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let start_line = format!("HTTP/1.1 {status} {}", reason_phrase(status));
    let has_length = status != SWITCHING_PROTOCOLS && status != NO_CONTENT;
    let content_length = has_length.then_some(body.len());
    message(&start_line, fields, content_length, body)
}

/// A complete request with the given fields; its content-length is stated unless its body is empty.
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
    message(&start_line, &all_fields, content_length, body)
}

#[cfg(test)]
mod tests;
