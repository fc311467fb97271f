//! The directory: the response to one DNS query holds the complete list of servers.
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::SRV;
use hickory_proto::rr::{DNSClass, Name, RData, RecordType};
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use thiserror::Error;

/// The DNS name of the service whose SRV records list the servers.
const SERVICE_NAME: &str = "_work._tcp.fleet.local.";
/// The largest response of the directory, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8192;
/// SRV priority of a server that is ready. Any other priority means that the server is draining.
const READY_PRIORITY: u16 = 0;
/// SRV weights are integers and state a server's weight in tenths.
const WEIGHT_SCALE: f64 = 10.0;

/// The state of a listed server. A server that was removed is not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts new sessions.
    Ready,
    /// The server completes its sessions and should get no new ones.
    Draining,
}

/// A server in the directory's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server's id, which is the first label of its host name.
    pub name: String,
    /// The address on which the server accepts connections of front nodes.
    pub address: SocketAddr,
    /// The name of the server's zone.
    pub zone: String,
    /// The name of the server's kind, as in the settings.
    pub kind: String,
    /// The number of the server's cell.
    pub cell: u16,
    /// Whether the server is ready or draining.
    pub state: ServerState,
    /// The server's capacity relative to other servers.
    pub weight: f64,
    /// When the server started, in milliseconds of Unix time; 0 if it started long ago.
    pub started_ms: u64,
}

/// A complete list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerList {
    /// The version of the list, which wraps around; see [`ServerList::is_older_than`].
    pub serial: u32,
    /// All servers that are ready or draining. A server that is missing was removed.
    pub entries: Vec<ServerEntry>,
}

impl ServerList {
    /// Whether this list's serial is lower than the other's in serial number arithmetic (RFC 1982), as serials wrap around.
    #[must_use]
    pub fn is_older_than(&self, other: &ServerList) -> bool {
        let ahead = other.serial.wrapping_sub(self.serial);
        (1..1 << 31).contains(&ahead)
    }
}

/// Why a response of the directory can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The bytes are not a DNS message, or the query could not be encoded.
    #[error("malformed DNS message: {0}")]
    Malformed(String),
    /// The message has the id of another query.
    #[error("the response has the id of another query")]
    OtherId,
    /// The message is a query instead of a response.
    #[error("the message is not a response")]
    NoAnswer,
    /// The response has the truncation flag.
    #[error("the response is truncated")]
    Truncated,
    /// The directory reports a failure with this DNS response code.
    #[error("the directory reported an error (DNS response code {0})")]
    Failed(u16),
    /// The response has no SOA record, which states the serial.
    #[error("the response has no SOA record with a serial")]
    NoSerial,
    /// The address or text record of the server with this name is missing or malformed.
    #[error("the address or text record of server {0:?} is missing or malformed")]
    Server(String),
}

/// The DNS query for the list of servers, with this message id.
///
/// # Errors
/// [`ResponseError::Malformed`]: the query could not be encoded.
pub fn query(id: u16) -> Result<Vec<u8>, ResponseError> {
    let name = Name::from_str(SERVICE_NAME).map_err(malformed)?;
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    let mut query = Query::query(name, RecordType::SRV);
    query.set_query_class(DNSClass::IN);
    message.add_query(query);
    message.to_vec().map_err(malformed)
}

fn malformed(error: impl fmt::Display) -> ResponseError {
    ResponseError::Malformed(error.to_string())
}

/// The id of an encoded DNS message; a response has the id of its query. `None` if there are fewer than two bytes.
#[must_use]
pub fn message_id(bytes: &[u8]) -> Option<u16> {
    bytes.first_chunk().map(|id| u16::from_be_bytes(*id))
}

/// Parses the response to the query with this id.
///
/// # Errors
/// The response can't be used; the list in use should stay in use.
pub fn parse_response(id: u16, bytes: &[u8]) -> Result<ServerList, ResponseError> {
    let message = Message::from_vec(bytes).map_err(malformed)?;
    check_header(id, &message)?;
    let serial = serial(&message).ok_or(ResponseError::NoSerial)?;
    let records = Records::of(&message);
    let entries = records
        .services
        .iter()
        .map(|service| records.entry(service))
        .collect::<Result<_, ResponseError>>()?;
    Ok(ServerList { serial, entries })
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

/// The records of a response: all SRV records, and address and text records by lowercase host name.
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

    /// The server that an SRV record lists. The first two labels of its host name are the server's id and zone; the text record
    /// of the host has the other fields.
    fn entry(&self, service: &SRV) -> Result<ServerEntry, ResponseError> {
        let host = service.target.to_lowercase();
        let mut labels = host.iter().map(lossy);
        let name = labels.next().unwrap_or_default();
        let zone = labels.next().unwrap_or_default();
        let Some(fields) = self.host_fields(&host) else {
            return Err(ResponseError::Server(name));
        };
        Ok(ServerEntry {
            name,
            address: SocketAddr::new(fields.address, service.port),
            zone,
            kind: fields.kind,
            cell: fields.cell,
            state: if service.priority == READY_PRIORITY {
                ServerState::Ready
            } else {
                ServerState::Draining
            },
            weight: f64::from(service.weight) / WEIGHT_SCALE,
            started_ms: fields.started_ms,
        })
    }

    /// The fields of a host from its address and text records; `None` if one is missing or malformed.
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

/// The fields of a host from its address and text records.
struct HostFields {
    address: IpAddr,
    kind: String,
    cell: u16,
    started_ms: u64,
}

/// The value of the first string of a text record that has the form `key=value` with this key.
fn field<'a>(text: &'a [String], key: &str) -> Option<&'a str> {
    text.iter()
        .find_map(|string| string.strip_prefix(key)?.strip_prefix('='))
}

fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
