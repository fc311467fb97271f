//! The directory: one DNS query brings the whole list of servers.
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::SRV;
use hickory_proto::rr::{DNSClass, Name, RData, RecordType};
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use thiserror::Error;

/// The service whose records are queried.
const SERVICE: &str = "_work._tcp.fleet.local.";
/// Responses have this many bytes at most.
pub const MAX_RESPONSE_BYTES: usize = 8192;
/// The priority of a server that is ready; any other is draining.
const READY_PRIORITY: u16 = 0;
/// Weights are tenths on the wire.
const WEIGHT_SCALE: f64 = 10.0;

/// A server's state in the list. One that was removed is not in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It runs.
    Ready,
    /// It is draining.
    Draining,
}

/// A server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its kind's name.
    pub kind: String,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub state: State,
    /// Its size in relation to others.
    pub weight: f64,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

/// The complete list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// The number of the latest change that it includes.
    pub serial: u32,
    /// The servers.
    pub entries: Vec<Entry>,
}

impl List {
    /// Whether its serial is lower than the other's by serial number arithmetic (RFC 1982), as serials wrap around.
    #[must_use]
    pub fn is_older_than(&self, other: &List) -> bool {
        let ahead = other.serial.wrapping_sub(self.serial);
        (1..1 << 31).contains(&ahead)
    }
}

/// Why a response can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// It is no DNS message.
    #[error("malformed: {0}")]
    Malformed(String),
    /// It answers another query.
    #[error("an answer to another query")]
    OtherId,
    /// It is no response.
    #[error("no answer to what was asked")]
    NoAnswer,
    /// It was truncated.
    #[error("cut short")]
    Truncated,
    /// The directory reports a failure with this code.
    #[error("the directory failed (code {0})")]
    Failed(u16),
    /// It has no serial.
    #[error("no serial")]
    NoSerial,
    /// The records of the server of this name do not fit together.
    #[error("records of server {0:?} do not fit together")]
    Server(String),
}

/// The query with this id.
///
/// # Errors
/// It could not be written.
pub fn query(id: u16) -> Result<Vec<u8>, ResponseError> {
    let name = Name::from_str(SERVICE).map_err(malformed)?;
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    let mut query = Query::query(name, RecordType::SRV);
    query.set_query_class(DNSClass::IN);
    message.add_query(query);
    message.to_vec().map_err(malformed)
}

fn malformed(error: impl fmt::Display) -> ResponseError {
    ResponseError::Malformed(error.to_string())
}

/// The id of a message; a response has that of its query.
#[must_use]
pub fn message_id(bytes: &[u8]) -> Option<u16> {
    bytes.first_chunk().map(|id| u16::from_be_bytes(*id))
}

/// Reads the response to the query with this id.
///
/// # Errors
/// It can't be used: the list in force stays.
pub fn parse_response(id: u16, bytes: &[u8]) -> Result<List, ResponseError> {
    let message = Message::from_vec(bytes).map_err(malformed)?;
    check_header(id, &message)?;
    let serial = serial(&message).ok_or(ResponseError::NoSerial)?;
    let records = Records::of(&message);
    let entries = records
        .services
        .iter()
        .map(|service| records.entry(service))
        .collect::<Result<_, ResponseError>>()?;
    Ok(List { serial, entries })
}

fn check_header(id: u16, message: &Message) -> Result<(), ResponseError> {
    let header = &message.metadata;
    if header.id != id {
        return Err(ResponseError::OtherId);
    }
    if header.message_type != MessageType::Response {
        return Err(ResponseError::NoAnswer);
    }
    if header.response_code != ResponseCode::NoError {
        return Err(ResponseError::Failed(header.response_code.into()));
    }
    if header.truncation {
        return Err(ResponseError::Truncated);
    }
    Ok(())
}

fn serial(message: &Message) -> Option<u32> {
    message
        .authorities
        .iter()
        .find_map(|record| match &record.data {
            RData::SOA(soa) => Some(soa.serial),
            _ => None,
        })
}

/// A response's records, by the host that they are about.
#[derive(Default)]
struct Records<'a> {
    services: Vec<&'a SRV>,
    addresses: HashMap<Name, IpAddr>,
    texts: HashMap<Name, Vec<String>>,
}

impl<'a> Records<'a> {
    fn of(message: &'a Message) -> Records<'a> {
        let mut records = Records::default();
        for record in message.answers.iter().chain(&message.additionals) {
            let host = || record.name.to_lowercase();
            match &record.data {
                RData::SRV(srv) => records.services.push(srv),
                RData::A(address) => {
                    records.addresses.insert(host(), IpAddr::from(address.0));
                }
                RData::TXT(txt) => {
                    let fields = txt.txt_data.iter().map(|text| lossy(text)).collect();
                    records.texts.insert(host(), fields);
                }
                _ => {}
            }
        }
        records
    }

    /// The server of a service record: its host's first two labels are its id and zone, the host's text record has its other
    /// fields.
    fn entry(&self, service: &SRV) -> Result<Entry, ResponseError> {
        let host = service.target.to_lowercase();
        let mut labels = host.iter().map(lossy);
        let name = labels.next().unwrap_or_default();
        let zone = labels.next().unwrap_or_default();
        let Some(fields) = self.host_fields(&host) else {
            return Err(ResponseError::Server(name));
        };
        Ok(Entry {
            name,
            address: SocketAddr::new(fields.address, service.port),
            zone,
            kind: fields.kind,
            cell: fields.cell,
            state: if service.priority == READY_PRIORITY {
                State::Ready
            } else {
                State::Draining
            },
            weight: f64::from(service.weight) / WEIGHT_SCALE,
            started_ms: fields.started_ms,
        })
    }

    /// What the address and text records have about a host; none if anything is missing.
    fn host_fields(&self, host: &Name) -> Option<HostFields> {
        let address = *self.addresses.get(host)?;
        let text = self.texts.get(host)?;
        Some(HostFields {
            address,
            kind: field(text, "kind")?.to_owned(),
            cell: field(text, "cell")?.parse().ok()?,
            started_ms: field(text, "started")?.parse().ok()?,
        })
    }
}

/// What the address and text records have about a host.
struct HostFields {
    address: IpAddr,
    kind: String,
    cell: u16,
    started_ms: u64,
}

/// The value of the first `key=value` with this key.
fn field<'a>(text: &'a [String], key: &str) -> Option<&'a str> {
    text.iter()
        .find_map(|part| part.strip_prefix(key)?.strip_prefix('='))
}

fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
