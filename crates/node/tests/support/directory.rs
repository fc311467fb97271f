//! A directory for tests.
use super::{wait, TestServer};
use hickory_proto::op::{Message as Dns, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A server as the directory lists it.
#[derive(Clone, Debug)]
pub(crate) struct ListedServer {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub priority: u16,
    pub started_ms: u64,
}

/// What the directory responds with: a list with its serial, or a fault.
#[derive(Clone, Debug)]
pub(crate) struct DirectoryState {
    pub serial: u32,
    pub servers: Vec<ListedServer>,
    /// The fault in its responses, if any.
    pub fault: Option<DirectoryFault>,
}

/// What is wrong with the directory's responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum DirectoryFault {
    /// They report a server failure.
    Failure,
    /// They are marked as truncated.
    Truncated,
    /// Their id differs from the query's.
    WrongId,
    /// None is sent.
    Silence,
    /// The process stands still: queries wait in its socket. When it goes on, it answers them all with its list of then.
    Stopped,
    /// Each response is sent after this number of further queries was received.
    DelayedBy(usize),
}

/// A directory for tests, which answers queries on a thread of its own.
pub(crate) struct TestDirectory {
    pub address: SocketAddr,
    state: Arc<Mutex<DirectoryState>>,
    queries: Arc<AtomicU64>,
}

impl TestDirectory {
    pub(crate) fn start(state: DirectoryState) -> TestDirectory {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(state));
        let queries = Arc::new(AtomicU64::new(0));
        let (current_state, query_count) = (state.clone(), queries.clone());
        std::thread::spawn(move || {
            let (mut bytes, mut delayed) = ([0u8; 1024], VecDeque::new());
            let mut waiting = Vec::new();
            while let Ok((length, from)) = socket.recv_from(&mut bytes) {
                let Ok(query) = Dns::from_vec(&bytes[..length]) else {
                    continue;
                };
                let state = current_state.lock().expect("unpoisoned").clone();
                waiting.push((query.metadata.id, from));
                match state.fault {
                    Some(DirectoryFault::Stopped) => {}
                    Some(DirectoryFault::Silence) => waiting.clear(),
                    _ => delayed.extend(waiting.drain(..).map(|(id, from)| {
                        let answer = response(id, &state);
                        (answer.to_vec().expect("an encodable response"), from)
                    })),
                }
                let delay = if let Some(DirectoryFault::DelayedBy(queries)) = state.fault {
                    queries
                } else {
                    0
                };
                for (answer, from) in delayed.drain(..delayed.len().saturating_sub(delay)) {
                    let _ = socket.send_to(&answer, from);
                }
                query_count.fetch_add(1, Ordering::AcqRel);
            }
        });
        TestDirectory {
            address,
            state,
            queries,
        }
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut DirectoryState)) {
        change(&mut self.state.lock().expect("unpoisoned"));
    }

    pub(crate) fn query_count(&self) -> u64 {
        self.queries.load(Ordering::Acquire)
    }

    /// Waits until `count` more queries were received.
    pub(crate) fn wait_for_queries(&self, count: u64) {
        let expected = self.query_count() + count;
        wait("the directory is queried", || {
            self.query_count() >= expected
        });
    }
}

fn response(id: u16, state: &DirectoryState) -> Dns {
    let name = |text: &str| Name::from_str(text).expect("a name");
    let id = if state.fault == Some(DirectoryFault::WrongId) {
        id.wrapping_add(1)
    } else {
        id
    };
    let mut message = Dns::new(id, MessageType::Response, OpCode::Query);
    for line in &state.servers {
        let host = name(&format!("{}.{}.hosts.", line.name, line.zone));
        let IpAddr::V4(ip) = line.address.ip() else {
            panic!("an IPv4 address")
        };
        let srv = SRV::new(line.priority, 10, line.address.port(), host.clone());
        message.add_answer(Record::from_rdata(
            name("_work._tcp.fleet.local."),
            0,
            RData::SRV(srv),
        ));
        message.add_additional(Record::from_rdata(host.clone(), 0, RData::A(A(ip))));
        let text = vec![
            format!("kind={}", line.kind),
            "cell=0".to_owned(),
            format!("started={}", line.started_ms),
        ];
        message.add_additional(Record::from_rdata(host, 0, RData::TXT(TXT::new(text))));
    }
    let soa = SOA::new(
        name("ns.fleet.local."),
        name("ops.fleet.local."),
        state.serial,
        1,
        1,
        1,
        1,
    );
    message.add_authority(Record::from_rdata(name("fleet.local."), 0, RData::SOA(soa)));
    message.metadata.truncation = state.fault == Some(DirectoryFault::Truncated);
    if state.fault == Some(DirectoryFault::Failure) {
        message.metadata.response_code = ResponseCode::ServFail;
    }
    message
}

pub(crate) fn listed_servers(servers: &[TestServer]) -> Vec<ListedServer> {
    let line = |s: &TestServer| ListedServer {
        name: s.name.clone(),
        address: s.address,
        zone: "east".into(),
        kind: "std".into(),
        priority: 0,
        started_ms: 0,
    };
    servers.iter().map(line).collect()
}
