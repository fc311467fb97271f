//! Heads of requests and responses, and the framing that they state.
use std::fmt::Write;

/// Fields of a head at most.
pub const MOST_FIELDS: usize = 64;
/// Bytes of a head at most.
pub const MOST_HEAD: usize = 16 * 1024;

/// A message that can't be taken; `status` is what a server answers it with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bad {
    /// 400, 413, 414, 431, 501 or 505.
    pub status: u16,
    /// What is wrong with it.
    pub what: String,
}

impl Bad {
    /// A message that is malformed.
    pub fn request(what: impl Into<String>) -> Bad {
        Bad {
            status: 400,
            what: what.into(),
        }
    }
}

impl std::fmt::Display for Bad {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({})", self.what, self.status)
    }
}

impl std::error::Error for Bad {}

/// Header fields in the order of the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// The first value of a field; names are compared without case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Every value of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Whether a comma-separated field holds a word, compared without case.
    pub fn has_word(&self, name: &str, word: &str) -> bool {
        self.all(name)
            .flat_map(|v| v.split(','))
            .any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    fn read(fields: &[httparse::Header<'_>]) -> Result<Fields, Bad> {
        let text = |f: &httparse::Header<'_>| {
            let value = std::str::from_utf8(f.value)
                .map_err(|_| Bad::request("a field that is not UTF-8"))?;
            Ok((f.name.to_owned(), value.trim().to_owned()))
        };
        fields
            .iter()
            .map(text)
            .collect::<Result<_, _>>()
            .map(Fields)
    }
}

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its target as sent.
    pub target: String,
    /// Minor version: 0 or 1.
    pub minor: u8,
    /// Its fields.
    pub fields: Fields,
}

/// A response's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Minor version: 0 or 1.
    pub minor: u8,
    /// Its fields.
    pub fields: Fields,
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

fn refused(e: httparse::Error) -> Bad {
    match e {
        httparse::Error::TooManyHeaders => Bad {
            status: 431,
            what: format!("more than {MOST_FIELDS} fields"),
        },
        httparse::Error::Version => Bad {
            status: 505,
            what: "not HTTP/1.0 or HTTP/1.1".into(),
        },
        other => Bad::request(other.to_string()),
    }
}

fn too_long(buffer: &[u8]) -> Result<(), Bad> {
    if buffer.len() > MOST_HEAD {
        return Err(Bad {
            status: 431,
            what: format!("a head of more than {MOST_HEAD} bytes"),
        });
    }
    Ok(())
}

impl Request {
    /// The head at the start of `buffer` and its length; `None` while it is not whole.
    ///
    /// # Errors
    /// It is malformed or too long.
    pub fn parse(buffer: &[u8]) -> Result<Option<(Request, usize)>, Bad> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut head = httparse::Request::new(&mut fields);
        let length = match head
            .parse(&buffer[..buffer.len().min(MOST_HEAD)])
            .map_err(refused)?
        {
            httparse::Status::Partial => return too_long(buffer).map(|()| None),
            httparse::Status::Complete(length) => length,
        };
        let request = Request {
            method: head.method.unwrap_or("").to_owned(),
            target: head.path.unwrap_or("").to_owned(),
            minor: head.version.unwrap_or(1),
            fields: Fields::read(head.headers)?,
        };
        let hosts = request.fields.all("host").count();
        // RFC 9112, 3.2: exactly one Host field in HTTP/1.1.
        if hosts > 1 || request.minor == 1 && hosts == 0 {
            return Err(Bad::request("one Host field is needed"));
        }
        Ok(Some((request, length)))
    }

    /// How its body ends. Danger: two readings of one length smuggle a second request past whoever reads it the
    /// other way (RFC 9112, 6.3); both fields together are refused.
    ///
    /// # Errors
    /// Fields that contradict each other or an unknown coding.
    pub fn framing(&self) -> Result<Framing, Bad> {
        match framing(&self.fields)? {
            Some(framing) => Ok(framing),
            None => Ok(Framing::Length(0)),
        }
    }

    /// Whether the connection may carry another request after this one.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.fields, self.minor)
    }

    /// The target's path and query.
    pub fn path(&self) -> (&str, &str) {
        self.target.split_once('?').unwrap_or((&self.target, ""))
    }
}

impl Response {
    /// The head at the start of `buffer` and its length; `None` while it is not whole.
    ///
    /// # Errors
    /// It is malformed or too long.
    pub fn parse(buffer: &[u8]) -> Result<Option<(Response, usize)>, Bad> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let length = match head
            .parse(&buffer[..buffer.len().min(MOST_HEAD)])
            .map_err(refused)?
        {
            httparse::Status::Partial => return too_long(buffer).map(|()| None),
            httparse::Status::Complete(length) => length,
        };
        let fields = Fields::read(head.headers)?;
        Ok(Some((
            Response {
                status: head.code.unwrap_or(0),
                minor: head.version.unwrap_or(1),
                fields,
            },
            length,
        )))
    }

    /// How the body of an answer to anything but HEAD ends.
    ///
    /// # Errors
    /// Fields that contradict each other or an unknown coding.
    pub fn framing(&self) -> Result<Framing, Bad> {
        if self.status < 200 || self.status == 204 || self.status == 304 {
            return Ok(Framing::Length(0));
        }
        Ok(framing(&self.fields)?.unwrap_or(Framing::UntilClose))
    }

    /// Whether the connection may carry another request after this answer.
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.fields, self.minor) && self.framing() != Ok(Framing::UntilClose)
    }
}

fn keeps_alive(fields: &Fields, minor: u8) -> bool {
    if minor == 0 {
        fields.has_word("connection", "keep-alive")
    } else {
        !fields.has_word("connection", "close")
    }
}

fn framing(fields: &Fields) -> Result<Option<Framing>, Bad> {
    let mut lengths = fields.all("content-length");
    let codings: Vec<&str> = fields.all("transfer-encoding").collect();
    let length = lengths.next();
    if lengths.any(|l| Some(l) != length) || length.is_some() && !codings.is_empty() {
        return Err(Bad::request(
            "fields that contradict each other on the body's length",
        ));
    }
    if !codings.is_empty() {
        let chunked = codings.len() == 1 && codings[0].eq_ignore_ascii_case("chunked");
        let unknown = Bad {
            status: 501,
            what: format!("transfer coding {:?}", codings.join(", ")),
        };
        return if chunked {
            Ok(Some(Framing::Chunked))
        } else {
            Err(unknown)
        };
    }
    let Some(length) = length else {
        return Ok(None);
    };
    let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
    let parsed = length.parse().ok().filter(|_| digits);
    parsed
        .map(|n| Some(Framing::Length(n)))
        .ok_or_else(|| Bad::request(format!("content-length {length:?}")))
}

/// The usual reason phrase of a status; empty for others.
pub fn reason(status: u16) -> &'static str {
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

/// A whole response: head with the given fields and, for a body that ends by length, the body.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if status != 101 && status != 204 {
        let _ = write!(head, "content-length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A whole request with a body that ends by length; none is stated where there is none.
pub fn request(
    method: &str,
    target: &str,
    host: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\nhost: {host}\r\n");
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if !body.is_empty() {
        let _ = write!(head, "content-length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests;
