//! The directory: one DNS query brings the whole list of servers.
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, RecordType};
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// What is asked for.
const SERVICE: &str = "_work._tcp.fleet.local.";
/// Answers hold up to so many bytes.
pub const MOST_ANSWER: usize = 8192;

/// A server's state in the list. One that is gone is not in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It runs.
    Ready,
    /// It ends its work.
    Draining,
}

/// A server as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its kind's name.
    pub kind: String,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: State,
    /// Its size against others.
    pub weight: f64,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Number of the last event that is in it.
    pub serial: u32,
    /// The servers.
    pub entries: Vec<Entry>,
}

impl List {
    /// Whether its serial lies before the other's, by serial number arithmetic (RFC 1982): serials may pass their end.
    pub fn is_older_than(&self, other: &List) -> bool {
        let ahead = other.serial.wrapping_sub(self.serial);
        (1..1 << 31).contains(&ahead)
    }
}

/// Why an answer says nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It can't be read.
    Malformed(String),
    /// It answers another query.
    OtherId,
    /// It is no answer to what was asked.
    NoAnswer,
    /// It was cut short.
    Truncated,
    /// The directory reports a failure.
    Failed(u16),
    /// It names no serial.
    NoSerial,
    /// A server's records do not fit together: its name.
    Server(String),
}

impl std::error::Error for Fault {}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Malformed(what) => write!(f, "malformed: {what}"),
            Fault::OtherId => f.write_str("an answer to another query"),
            Fault::NoAnswer => f.write_str("no answer to what was asked"),
            Fault::Truncated => f.write_str("cut short"),
            Fault::Failed(code) => write!(f, "the directory failed (code {code})"),
            Fault::NoSerial => f.write_str("no serial"),
            Fault::Server(name) => write!(f, "records of server {name:?} do not fit together"),
        }
    }
}

/// The query with this id.
///
/// # Errors
/// It could not be written.
pub fn query(id: u16) -> Result<Vec<u8>, Fault> {
    let malformed = |e: &dyn fmt::Display| Fault::Malformed(e.to_string());
    let name = Name::from_str(SERVICE).map_err(|e| malformed(&e))?;
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    let mut query = Query::query(name, RecordType::SRV);
    query.set_query_class(DNSClass::IN);
    message.add_query(query);
    message.to_vec().map_err(|e| malformed(&e))
}

/// The id of a message, which says what question it answers.
pub fn id_of(bytes: &[u8]) -> Option<u16> {
    bytes.first_chunk().map(|id| u16::from_be_bytes(*id))
}

/// Reads the answer to the query with this id.
///
/// # Errors
/// It says nothing that can be used: what is held goes on to hold.
pub fn answer(id: u16, bytes: &[u8]) -> Result<List, Fault> {
    let message = Message::from_vec(bytes).map_err(|e| Fault::Malformed(e.to_string()))?;
    let head = &message.metadata;
    if head.id != id {
        return Err(Fault::OtherId);
    }
    if head.message_type != MessageType::Response {
        return Err(Fault::NoAnswer);
    }
    if head.response_code != ResponseCode::NoError {
        return Err(Fault::Failed(head.response_code.into()));
    }
    if head.truncation {
        return Err(Fault::Truncated);
    }
    let serial = message
        .authorities
        .iter()
        .find_map(|record| match &record.data {
            RData::SOA(soa) => Some(soa.serial),
            _ => None,
        });
    let serial = serial.ok_or(Fault::NoSerial)?;
    let (mut addresses, mut texts) = (HashMap::new(), HashMap::new());
    let mut servers = Vec::new();
    for record in message.answers.iter().chain(&message.additionals) {
        match &record.data {
            RData::SRV(srv) => servers.push(srv.clone()),
            RData::A(a) => drop(addresses.insert(record.name.to_lowercase(), IpAddr::from(a.0))),
            RData::TXT(txt) => {
                let fields = txt
                    .txt_data
                    .iter()
                    .map(|text| String::from_utf8_lossy(text).into_owned());
                texts.insert(record.name.to_lowercase(), fields.collect::<Vec<_>>());
            }
            _ => {}
        }
    }
    let entries = servers.iter().map(|srv| {
        let target = srv.target.to_lowercase();
        let labels: Vec<String> = target
            .iter()
            .map(|label| String::from_utf8_lossy(label).into_owned())
            .collect();
        let name = labels.first().cloned().unwrap_or_default();
        let bad = || Fault::Server(name.clone());
        let address = addresses.get(&target).ok_or_else(bad)?;
        let text = texts.get(&target).ok_or_else(bad)?;
        let field = |key: &str| {
            text.iter()
                .find_map(|t| t.strip_prefix(key)?.strip_prefix('='))
        };
        Ok(Entry {
            address: SocketAddr::new(*address, srv.port),
            zone: labels.get(1).cloned().unwrap_or_default(),
            kind: field("kind").ok_or_else(bad)?.to_owned(),
            cell: field("cell").and_then(|v| v.parse().ok()).ok_or_else(bad)?,
            state: if srv.priority == 0 {
                State::Ready
            } else {
                State::Draining
            },
            weight: f64::from(srv.weight) / 10.0,
            started_ms: field("started")
                .and_then(|v| v.parse().ok())
                .ok_or_else(bad)?,
            name,
        })
    });
    Ok(List {
        serial,
        entries: entries.collect::<Result<_, Fault>>()?,
    })
}
