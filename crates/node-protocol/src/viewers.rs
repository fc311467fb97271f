//! Viewers: one JSON object a line.
use crate::{ReceiveBuffer, Tag, MOST};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt;

/// Causes of a release that the protocol names.
pub mod cause {
    /// The session has come to its end; before the answer: the set-up is given up.
    pub const NORMAL: u16 = 16;
    /// Moved, or ended by its viewer.
    pub const CANCELLED: u16 = 31;
    /// Refused: no server has room.
    pub const NO_ROOM: u16 = 34;
    /// The session was cut, or its set-up failed.
    pub const CUT: u16 = 41;
    /// Refused: the front node has too much to do.
    pub const CONGESTION: u16 = 42;
    /// What is asked for can't be read (no such class, a figure out of range).
    pub const INVALID: u16 = 100;
}

/// Why a stream is of no use any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A line is longer than any message.
    TooLong,
    /// A line is no message: what is wrong.
    NoMessage(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::TooLong => write!(f, "a line of over {MOST} bytes"),
            Fault::NoMessage(what) => write!(f, "no message: {what}"),
        }
    }
}

/// A set-up as it was sent. Its figures are looked at by [`SetUp::set_up_params`], so that one that is wrong in them can be
/// answered by its tag.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    /// The session.
    pub tag: Tag,
    /// Its fields.
    pub opts: Opts,
    /// The description, passed on unchanged.
    pub blob: Option<String>,
}

/// Fields of a message: text or numbers, both as text.
pub type Opts = BTreeMap<String, String>;

/// What a viewer says.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// It wants a session.
    Start(SetUp),
    /// It gives its set-up up, or ends its session.
    Finish {
        /// The session.
        tag: Tag,
        /// Why.
        cause: u16,
    },
    /// A test.
    Echo(Tag),
    /// Something that wants nothing done: progress, a release heard, a note.
    Idle,
}

#[derive(Deserialize)]
struct Line {
    verb: String,
    tag: String,
    #[serde(default)]
    opts: BTreeMap<String, Value>,
    rc: Option<Value>,
    blob: Option<String>,
}

/// Reads what a viewer's connection gives.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Takes bytes and adds the messages that are whole now to `out`.
    ///
    /// # Errors
    /// The stream is of no use any more; what was read before the fault is in `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<Message>) -> Result<(), Fault> {
        self.0.feed(bytes, |rest| {
            let within = &rest[..rest.len().min(MOST)];
            let Some(end) = within.iter().position(|b| *b == b'\n') else {
                return if rest.len() >= MOST {
                    Err(Fault::TooLong)
                } else {
                    Ok(0)
                };
            };
            out.push(read(&rest[..end])?);
            Ok(end + 1)
        })
    }

    /// Whether a message has begun and is not whole.
    pub fn has_partial_message(&self) -> bool {
        !self.0.is_empty()
    }
}

fn no(what: &str) -> Fault {
    Fault::NoMessage(what.to_owned())
}

fn read(line: &[u8]) -> Result<Message, Fault> {
    let line: Line = serde_json::from_slice(line).map_err(|e| Fault::NoMessage(e.to_string()))?;
    let tag = Tag::parse(&line.tag).ok_or_else(|| no("the tag is not 16 hex digits"))?;
    match line.verb.as_str() {
        "START" => {
            let text = |(name, value)| match value {
                Value::String(text) => Ok((name, text)),
                Value::Number(number) => Ok((name, number.to_string())),
                _ => Err(no("a field that is neither text nor a number")),
            };
            let opts = line
                .opts
                .into_iter()
                .map(text)
                .collect::<Result<Opts, Fault>>()?;
            Ok(Message::Start(SetUp {
                tag,
                opts,
                blob: line.blob,
            }))
        }
        "FINISH" => {
            let cause = line
                .rc
                .as_ref()
                .and_then(Value::as_u64)
                .and_then(|rc| u16::try_from(rc).ok());
            Ok(Message::Finish {
                tag,
                cause: cause.ok_or_else(|| no("a release without a cause"))?,
            })
        }
        "ECHO" => Ok(Message::Echo(tag)),
        "PENDING" | "FINISHED" | "NOTICE" | "ECHOED" => Ok(Message::Idle),
        _ => Err(no("an unknown type")),
    }
}

/// What a set-up asks for, in numbers; the names are looked up by who knows them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SetUpParams {
    /// Name of the class.
    pub class: String,
    /// Name of the tenant, where there are tenants.
    pub tenant: Option<String>,
    /// How long the viewer waits, milliseconds; 0 where it plays already.
    pub left: u64,
    /// Whether it is marked as a retry, or as coming again.
    pub again: bool,
    /// Whether it comes back from a move.
    pub moved: bool,
    /// The title as it came, which is how it is passed on ...
    pub key: String,
    /// ... and its number.
    pub title: u64,
    /// A guess of how long it is watched, milliseconds.
    pub hint: Option<f64>,
    /// First cell that holds the title.
    pub home: u32,
    /// Cells that hold it.
    pub copies: u32,
    /// Best rung of the viewer.
    pub top: u8,
    /// Who watches.
    pub viewer: u64,
    /// It plays at this server already.
    pub at: Option<String>,
}

impl SetUp {
    /// The figures of a set-up.
    ///
    /// # Errors
    /// A field is missing or out of range: its name.
    pub fn set_up_params(&self) -> Result<SetUpParams, &'static str> {
        let opt = |name| self.opts.get(name).map(String::as_str);
        let mut ask = SetUpParams {
            class: opt("class").ok_or("class")?.to_owned(),
            tenant: opt("tenant").map(str::to_owned),
            again: flag(opt("retry")).ok_or("retry")?,
            ..SetUpParams::default()
        };
        if let Some(hint) = opt("hint") {
            let hint = hint
                .parse::<f64>()
                .ok()
                .filter(|h| h.is_finite() && (0.0..=1e12).contains(h));
            ask.hint = Some(hint.ok_or("hint")?);
        }
        let key = opt("key").ok_or("key")?;
        ask.title = hex(key).ok_or("key")?;
        ask.key = key.to_owned();
        let mut found = 0;
        for part in opt("extras")
            .ok_or("extras")?
            .split(';')
            .filter(|part| !part.is_empty())
        {
            let (name, value) = part.split_once(':').ok_or("extras")?;
            match name {
                "home" => ask.home = small(value).ok_or("home")?,
                "copies" => ask.copies = small(value).filter(|n| *n > 0).ok_or("copies")?,
                "top" => {
                    ask.top = small(value)
                        .and_then(|top| u8::try_from(top).ok())
                        .ok_or("top")?;
                }
                "viewer" => ask.viewer = hex(value).ok_or("viewer")?,
                "again" => ask.again |= flag(Some(value)).ok_or("again")?,
                "moved" => ask.moved = flag(Some(value)).ok_or("moved")?,
                "at" => ask.at = Some(value.to_owned()),
                _ => continue, // Figures may be added.
            }
            found += i32::from(matches!(name, "home" | "copies" | "top" | "viewer"));
        }
        if found != 4 {
            return Err("extras");
        }
        // Nobody waits for one that plays already: what its field says there means nothing.
        let left = whole(opt("left")).filter(|left| *left > 0);
        ask.left = if ask.at.is_some() {
            left.unwrap_or(0)
        } else {
            left.ok_or("left")?
        };
        if ask.at.is_none() && self.blob.is_none() {
            return Err("blob");
        }
        Ok(ask)
    }
}

fn whole(text: Option<&str>) -> Option<u64> {
    let text = text?;
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

fn small(text: &str) -> Option<u32> {
    whole(Some(text))
        .and_then(|n| u32::try_from(n).ok())
        .filter(|n| *n < 65_536)
}

fn hex(text: &str) -> Option<u64> {
    Tag::parse(text).and_then(|_| u64::from_str_radix(text, 16).ok())
}

fn flag(text: Option<&str>) -> Option<bool> {
    match text {
        None | Some("0") => Some(false),
        Some("1") => Some(true),
        Some(_) => None,
    }
}

fn line(value: &Value) -> Vec<u8> {
    let mut bytes = value.to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

/// The session stands.
pub fn started(tag: Tag, blob: &str) -> Vec<u8> {
    line(&json!({"verb": "STARTED", "tag": tag.as_str(), "opts": {}, "blob": blob}))
}

/// A refusal, a failure or the end of a session; `wait`: milliseconds to stay away.
pub fn finish(tag: Tag, cause: u16, wait: Option<u64>) -> Vec<u8> {
    let opts = wait.map_or(json!({}), |wait| json!({"wait": wait.to_string()}));
    line(&json!({"verb": "FINISH", "tag": tag.as_str(), "opts": opts, "rc": cause}))
}

/// A release was heard.
pub fn finished(tag: Tag) -> Vec<u8> {
    line(&json!({"verb": "FINISHED", "tag": tag.as_str(), "opts": {}}))
}

/// A test was passed.
pub fn echoed(tag: Tag) -> Vec<u8> {
    line(&json!({"verb": "ECHOED", "tag": tag.as_str(), "opts": {}, "rc": 1}))
}

/// The session ends and its viewer is to come again.
pub fn moved(tag: Tag) -> Vec<u8> {
    line(&json!({"verb": "MOVE", "tag": tag.as_str(), "opts": {}}))
}
