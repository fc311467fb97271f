//! The directory's responses, made here with the same DNS library that other programs use, and corrupted by hand.
use crankpaddle_node_protocol::directory::{parse_response, query, ResponseError, State};
use hickory_proto::op::{Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use proptest::prelude::*;
use std::str::FromStr;

fn name(text: &str) -> Name {
    Name::from_str(text).expect("a name")
}

/// A server as the directory lists it.
struct ListedServer {
    name: &'static str,
    zone: &'static str,
    priority: u16,
    weight: u16,
    port: u16,
    started_ms: u64,
}

/// A response that lists servers, with this serial.
fn response(id: u16, serial: u32, servers: &[ListedServer]) -> Message {
    let mut message = Message::new(id, MessageType::Response, OpCode::Query);
    let service = name("_work._tcp.fleet.local.");
    for server in servers {
        let host = name(&format!("{}.{}.hosts.", server.name, server.zone));
        let srv = SRV::new(server.priority, server.weight, server.port, host.clone());
        message.add_answer(Record::from_rdata(service.clone(), 0, RData::SRV(srv)));
        message.add_additional(Record::from_rdata(
            host.clone(),
            0,
            RData::A(A::new(10, 1, 0, 9)),
        ));
        let text = vec![
            "kind=std".to_owned(),
            "cell=2".to_owned(),
            format!("started={}", server.started_ms),
        ];
        message.add_additional(Record::from_rdata(host, 0, RData::TXT(TXT::new(text))));
    }
    let soa = SOA::new(
        name("ns.fleet.local."),
        name("ops.fleet.local."),
        serial,
        1,
        1,
        1,
        1,
    );
    message.add_authority(Record::from_rdata(name("fleet.local."), 0, RData::SOA(soa)));
    message
}

fn bytes(message: &Message) -> Vec<u8> {
    message.to_vec().expect("written")
}

const TWO_SERVERS: [ListedServer; 2] = [
    ListedServer {
        name: "s-00c41f7a",
        zone: "east",
        priority: 0,
        weight: 40,
        port: 3868,
        started_ms: 0,
    },
    ListedServer {
        name: "s-0badcafe",
        zone: "west",
        priority: 1,
        weight: 15,
        port: 3869,
        started_ms: 1_700_000_000_123,
    },
];

#[test]
fn the_query_asks_for_the_service() {
    let read = Message::from_vec(&query(77).expect("written")).expect("read");
    assert_eq!(read.metadata.id, 77);
    let asked: Vec<_> = read
        .queries
        .iter()
        .map(|q| (q.name().to_string(), q.query_type()))
        .collect();
    assert_eq!(
        asked,
        [("_work._tcp.fleet.local.".to_owned(), RecordType::SRV)]
    );
}

#[test]
fn a_complete_list_is_read_with_its_serial() {
    let list = parse_response(5, &bytes(&response(5, 41, &TWO_SERVERS))).expect("a list");
    assert_eq!(list.serial, 41);
    let [a, b] = list.entries.as_slice() else {
        panic!("{list:?}")
    };
    assert_eq!(
        (a.name.as_str(), a.zone.as_str(), a.kind.as_str()),
        ("s-00c41f7a", "east", "std")
    );
    assert_eq!(
        (a.address.to_string().as_str(), a.cell, a.state),
        ("10.1.0.9:3868", 2, State::Ready)
    );
    assert_eq!((a.weight, a.started_ms), (4.0, 0));
    assert_eq!(
        (b.weight, b.started_ms, b.state),
        (1.5, 1_700_000_000_123, State::Draining)
    );
}

#[test]
fn unusable_responses_have_distinct_errors() {
    let good = response(5, 41, &TWO_SERVERS);
    assert_eq!(
        parse_response(6, &bytes(&good)),
        Err(ResponseError::OtherId)
    );
    let with = |change: &dyn Fn(&mut Message)| {
        let mut message = good.clone();
        change(&mut message);
        parse_response(5, &bytes(&message))
    };
    assert_eq!(
        with(&|m| m.metadata.truncation = true),
        Err(ResponseError::Truncated)
    );
    assert_eq!(
        with(&|m| m.metadata.response_code = ResponseCode::ServFail),
        Err(ResponseError::Failed(2))
    );
    assert_eq!(
        with(&|m| m.metadata.message_type = MessageType::Query),
        Err(ResponseError::NoAnswer)
    );
    assert_eq!(
        with(&|m| m.authorities.clear()),
        Err(ResponseError::NoSerial)
    );
    let without =
        |kind| with(&move |m: &mut Message| m.additionals.retain(|r| r.record_type() != kind));
    assert_eq!(
        without(RecordType::A),
        Err(ResponseError::Server("s-00c41f7a".into()))
    );
    assert_eq!(
        without(RecordType::TXT),
        Err(ResponseError::Server("s-00c41f7a".into()))
    );
}

#[test]
fn a_truncated_response_is_an_error() {
    let whole = bytes(&response(5, 41, &TWO_SERVERS));
    for end in 0..whole.len() {
        assert!(parse_response(5, &whole[..end]).is_err(), "cut at {end}");
    }
}

#[test]
fn a_pointer_that_loops_ends_in_an_error() {
    let mut bytes = bytes(&response(5, 41, &[]));
    bytes.truncate(12); // The header only; after it one answer whose name points at itself.
    bytes[6..12].copy_from_slice(&[0, 1, 0, 0, 0, 0]);
    bytes.extend_from_slice(&[0xc0, 12, 0, 33, 0, 1, 0, 0, 0, 0, 0, 0]);
    assert!(matches!(
        parse_response(5, &bytes),
        Err(ResponseError::Malformed(_))
    ));
}

proptest! {
    #[test]
    fn noise_never_panics(noise in prop::collection::vec(any::<u8>(), 0..400), at in 0usize..400, byte in any::<u8>()) {
        let _ = parse_response(0, &noise);
        let mut bytes = bytes(&response(5, 41, &TWO_SERVERS));
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(list) = parse_response(5, &bytes) {
            prop_assert!(list.entries.len() <= 2);
        }
    }
}
