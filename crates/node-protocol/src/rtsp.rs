//! Servers: RTSP messages, each with its `Content-Length`.
use crate::{ReceiveBuffer, Tag, MOST};
use std::fmt::{self, Write};

/// Sequence numbers that the protocol fixes.
pub mod cseq {
    /// Of `SETUP` and its answers.
    pub const SET_UP: u32 = 1;
    /// Of `TEARDOWN`.
    pub const TEAR_DOWN: u32 = 2;
    /// Of `OPTIONS`.
    pub const OPTIONS: u32 = 3;
    /// Of what wants no answer.
    pub const NOTE: u32 = 4;
}

/// Why a stream is of no use any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A message is longer, or claims to be, than any may be.
    TooLong,
    /// The first line is none.
    StartLine,
    /// A header is none, or one that must stand once stands more often.
    Header,
    /// The length of the body is missing or no number.
    Length,
    /// The text of a header is not UTF-8.
    Text,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::TooLong => "a message that is too long",
            Fault::StartLine => "a first line that is none",
            Fault::Header => "a header that is none",
            Fault::Length => "a body without a length",
            Fault::Text => "text that is not UTF-8",
        })
    }
}

/// What a message is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request: its method and address.
    Request(String, String),
    /// An answer: its status.
    Response(u16),
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it is.
    pub kind: Kind,
    /// Its sequence number, if it has one that can be read.
    pub cseq: Option<u32>,
    /// The session, if it names one.
    pub session: Option<Tag>,
    /// Its other headers.
    pub headers: Vec<(String, String)>,
    /// Its body, byte for byte. It may be anything: an answer that is nobody's here has one, too.
    pub body: Vec<u8>,
}

impl Message {
    /// The body as text, if it is text.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.body).ok()
    }

    /// A header, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether it releases a session.
    pub fn is_release(&self) -> bool {
        matches!(&self.kind, Kind::Request(method, _) if method == "TEARDOWN")
    }

    /// The cause of a release, if it has one.
    pub fn cause(&self) -> Option<u16> {
        self.header("Reason")?
            .trim()
            .strip_prefix("cause=")?
            .trim()
            .parse()
            .ok()
    }

    /// The figures of a load report (`x0:0.4;x1:0.8`); what can't be read is left out.
    pub fn state(&self) -> Vec<(&str, f64)> {
        let figure = |part: &'_ str| -> Option<(usize, f64)> {
            let (name, value) = part.split_once(':')?;
            value
                .trim()
                .parse::<f64>()
                .ok()
                .filter(|v| v.is_finite())
                .map(|v| (name.len(), v))
        };
        let parts = self.header("X-State").unwrap_or_default().split(';');
        parts
            .filter_map(|part| figure(part).map(|(n, v)| (part[..n].trim(), v)))
            .collect()
    }

    /// A note on a session: its name and figure.
    pub fn note(&self) -> Option<(&str, f64)> {
        let figure = self
            .header("Figure")?
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|v| v.is_finite())?;
        Some((self.header("X-Note")?.trim(), figure))
    }
}

/// Reads what a server's connection gives.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Takes bytes and adds the messages that are whole now to `out`.
    ///
    /// # Errors
    /// The stream is of no use any more; what was read before the fault is in `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<Message>) -> Result<(), Fault> {
        self.0.feed(bytes, |rest| match read(rest)? {
            Some((message, taken)) => {
                out.push(message);
                Ok(taken)
            }
            None => Ok(0),
        })
    }

    /// Whether a message has begun and is not whole.
    pub fn has_partial_message(&self) -> bool {
        !self.0.is_empty()
    }
}

/// The first line of `rest` without its end, and how long it is with it.
fn line(rest: &[u8]) -> Option<(&[u8], usize)> {
    let end = rest.iter().position(|b| *b == b'\n')?;
    let text = &rest[..end];
    Some((text.strip_suffix(b"\r").unwrap_or(text), end + 1))
}

fn read(rest: &[u8]) -> Result<Option<(Message, usize)>, Fault> {
    let within = &rest[..rest.len().min(MOST)];
    let more = || {
        if rest.len() >= MOST {
            Err(Fault::TooLong)
        } else {
            Ok(None)
        }
    };
    let Some((first, mut at)) = line(within) else {
        // What begins like nothing that is ever sent need not be waited for to its end.
        let begun = within.first().is_none_or(u8::is_ascii_uppercase);
        return if begun { more() } else { Err(Fault::StartLine) };
    };
    let kind = start_line(first)?;
    let (mut headers, mut length, mut number, mut session) = (Vec::new(), None, None, None);
    loop {
        let Some((text, taken)) = line(&within[at..]) else {
            return more();
        };
        at += taken;
        if text.is_empty() {
            break;
        }
        let text = std::str::from_utf8(text).map_err(|_| Fault::Text)?;
        let (name, value) = text.split_once(':').ok_or(Fault::Header)?;
        if name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
            return Err(Fault::Header);
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("Content-Length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let bytes = value
                .parse::<usize>()
                .ok()
                .filter(|_| digits)
                .ok_or(Fault::Length)?;
            if length.replace(bytes).is_some() {
                return Err(Fault::Header);
            }
        } else if name.eq_ignore_ascii_case("CSeq") {
            if number.replace(value.parse::<u32>().ok()).is_some() {
                return Err(Fault::Header);
            }
        } else if name.eq_ignore_ascii_case("Session") {
            if session.replace(Tag::parse(value)).is_some() {
                return Err(Fault::Header);
            }
        } else {
            headers.push((name.to_owned(), value.to_owned()));
        }
    }
    // Danger: a claimed length is never trusted with memory or time; what can't be a message ends the stream at once.
    let length = length.ok_or(Fault::Length)?;
    let end = at
        .checked_add(length)
        .filter(|end| *end <= MOST)
        .ok_or(Fault::TooLong)?;
    let Some(body) = rest.get(at..end) else {
        return Ok(None);
    };
    let body = body.to_vec();
    let (cseq, session) = (number.flatten(), session.flatten());
    Ok(Some((
        Message {
            kind,
            cseq,
            session,
            headers,
            body,
        },
        end,
    )))
}

fn start_line(text: &[u8]) -> Result<Kind, Fault> {
    let text = std::str::from_utf8(text).map_err(|_| Fault::StartLine)?;
    let mut words = text.splitn(3, ' ');
    let (Some(first), Some(second)) = (words.next(), words.next()) else {
        return Err(Fault::StartLine);
    };
    if first == "RTSP/1.0" {
        let digits = second.len() == 3 && second.bytes().all(|b| b.is_ascii_digit());
        let status = second
            .parse::<u16>()
            .ok()
            .filter(|s| digits && (100..600).contains(s));
        return status.map(Kind::Response).ok_or(Fault::StartLine);
    }
    let method = !first.is_empty() && first.bytes().all(|b| b.is_ascii_uppercase() || b == b'_');
    if method && second.starts_with("rtsp://") && words.next() == Some("RTSP/1.0") {
        Ok(Kind::Request(first.to_owned(), second.to_owned()))
    } else {
        Err(Fault::StartLine)
    }
}

/// What a server is asked to set up.
#[derive(Clone, Copy, Debug)]
pub struct SetUp<'a> {
    /// The session.
    pub tag: Tag,
    /// The title as it came.
    pub title: &'a str,
    /// The class's name.
    pub class: &'a str,
    /// How long the front node waits, milliseconds.
    pub patience: u64,
    /// The rung.
    pub rung: u8,
    /// The description, byte for byte.
    pub blob: &'a str,
}

fn request(method: &str, address: &str, cseq: u32, tag: Option<Tag>) -> String {
    let mut text = format!("{method} rtsp://media/{address} RTSP/1.0\r\nCSeq: {cseq}\r\n");
    if let Some(tag) = tag {
        let _ = write!(text, "Session: {tag}\r\n"); // Writing to a string does not fail.
    }
    text
}

fn end(mut text: String, body: &str) -> Vec<u8> {
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// A set-up.
pub fn set_up(s: &SetUp<'_>) -> Vec<u8> {
    let mut text = request("SETUP", s.title, cseq::SET_UP, Some(s.tag));
    let _ = write!(
        text,
        "Subject: {}\r\nX-Patience: {}\r\nRate-Step: {}\r\n",
        s.class, s.patience, s.rung
    );
    end(text, s.blob)
}

/// A set-up is given up.
pub fn cancel(tag: Tag) -> Vec<u8> {
    end(
        request("TEARDOWN", tag.as_str(), cseq::TEAR_DOWN, Some(tag)),
        "",
    )
}

/// A session that stands, or may stand, is released.
pub fn release(tag: Tag, cause: u16) -> Vec<u8> {
    let mut text = request("TEARDOWN", tag.as_str(), cseq::TEAR_DOWN, Some(tag));
    let _ = write!(text, "Reason: cause={cause}\r\n");
    end(text, "")
}

/// A new rung.
pub fn rate(tag: Tag, rung: u8) -> Vec<u8> {
    let mut text = request("SET_PARAMETER", tag.as_str(), cseq::NOTE, Some(tag));
    let _ = write!(text, "Rate-Step: {rung}\r\n");
    end(text, "")
}

/// Asks for a load report.
pub fn probe(tag: Tag) -> Vec<u8> {
    end(request("OPTIONS", "load", cseq::OPTIONS, Some(tag)), "")
}

/// A request of a server was heard.
pub fn acknowledge(cseq: u32, tag: Option<Tag>) -> Vec<u8> {
    let mut text = format!("RTSP/1.0 200 OK\r\nCSeq: {cseq}\r\n");
    if let Some(tag) = tag {
        let _ = write!(text, "Session: {tag}\r\n");
    }
    end(text, "")
}
