//! Parsing of the directory's responses, which are encoded with hickory-proto and in some tests corrupted.
use crankpaddle_node_protocol::directory::{parse_response, query, ResponseError, ServerState};
use hickory_proto::op::{Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use proptest::prelude::*;
use std::str::FromStr;

fn dns_name(text: &str) -> Name {
    Name::from_str(text).expect("a DNS name")
}

/// The parts of a server's records that differ between the servers of a test.
struct ListedServer {
    id: &'static str,
    zone: &'static str,
    priority: u16,
    weight: u16,
    port: u16,
    started_ms: u64,
}

/// A response that lists servers, with this serial.
fn response(id: u16, serial: u32, servers: &[ListedServer]) -> Message {
    let mut message = Message::new(id, MessageType::Response, OpCode::Query);
    let service = dns_name("_work._tcp.fleet.local.");
    for server in servers {
        let host = dns_name(&format!("{}.{}.hosts.", server.id, server.zone));
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
        dns_name("ns.fleet.local."),
        dns_name("ops.fleet.local."),
        serial,
        1,
        1,
        1,
        1,
    );
    message.add_authority(Record::from_rdata(
        dns_name("fleet.local."),
        0,
        RData::SOA(soa),
    ));
    message
}

fn encoded(message: &Message) -> Vec<u8> {
    message.to_vec().expect("encodes")
}

const TWO_SERVERS: [ListedServer; 2] = [
    ListedServer {
        id: "s-00c41f7a",
        zone: "east",
        priority: 0,
        weight: 40,
        port: 3868,
        started_ms: 0,
    },
    ListedServer {
        id: "s-0badcafe",
        zone: "west",
        priority: 1,
        weight: 15,
        port: 3869,
        started_ms: 1_700_000_000_123,
    },
];

#[test]
fn the_query_is_for_the_service_records() {
    let message = Message::from_vec(&query(77).expect("encodes")).expect("decodes");
    assert_eq!(message.metadata.id, 77);
    let queries: Vec<_> = message
        .queries
        .iter()
        .map(|query| (query.name().to_string(), query.query_type()))
        .collect();
    assert_eq!(
        queries,
        [("_work._tcp.fleet.local.".to_owned(), RecordType::SRV)]
    );
}

#[test]
fn a_response_is_parsed_to_a_list_with_its_serial() {
    let list = parse_response(5, &encoded(&response(5, 41, &TWO_SERVERS))).expect("a list");
    assert_eq!(list.serial, 41);
    let [ready, draining] = list.entries.as_slice() else {
        panic!("{list:?}")
    };
    assert_eq!(
        (
            ready.name.as_str(),
            ready.zone.as_str(),
            ready.kind.as_str()
        ),
        ("s-00c41f7a", "east", "std")
    );
    assert_eq!(
        (ready.address.to_string().as_str(), ready.cell, ready.state),
        ("10.1.0.9:3868", 2, ServerState::Ready)
    );
    assert_eq!((ready.weight, ready.started_ms), (4.0, 0));
    assert_eq!(
        (draining.weight, draining.started_ms, draining.state),
        (1.5, 1_700_000_000_123, ServerState::Draining)
    );
}

#[test]
fn unusable_responses_have_distinct_errors() {
    let valid = response(5, 41, &TWO_SERVERS);
    assert_eq!(
        parse_response(6, &encoded(&valid)),
        Err(ResponseError::OtherId)
    );
    let parse_changed = |change: &dyn Fn(&mut Message)| {
        let mut message = valid.clone();
        change(&mut message);
        parse_response(5, &encoded(&message))
    };
    assert_eq!(
        parse_changed(&|message| message.metadata.truncation = true),
        Err(ResponseError::Truncated)
    );
    assert_eq!(
        parse_changed(&|message| message.metadata.response_code = ResponseCode::ServFail),
        Err(ResponseError::Failed(2))
    );
    assert_eq!(
        parse_changed(&|message| message.metadata.message_type = MessageType::Query),
        Err(ResponseError::NoAnswer)
    );
    assert_eq!(
        parse_changed(&|message| message.authorities.clear()),
        Err(ResponseError::NoSerial)
    );
    let parse_without = |record_type| {
        parse_changed(&move |message: &mut Message| {
            message
                .additionals
                .retain(|record| record.record_type() != record_type);
        })
    };
    assert_eq!(
        parse_without(RecordType::A),
        Err(ResponseError::Server("s-00c41f7a".into()))
    );
    assert_eq!(
        parse_without(RecordType::TXT),
        Err(ResponseError::Server("s-00c41f7a".into()))
    );
}

#[test]
fn a_truncated_response_is_an_error() {
    let complete = encoded(&response(5, 41, &TWO_SERVERS));
    for length in 0..complete.len() {
        assert!(
            parse_response(5, &complete[..length]).is_err(),
            "truncated to {length} bytes"
        );
    }
}

#[test]
fn a_name_whose_compression_pointer_points_at_itself_is_an_error() {
    let mut bytes = encoded(&response(5, 41, &[]));
    bytes.truncate(12); // Keeps the header only; one answer whose name points at itself follows.
    bytes[6..12].copy_from_slice(&[0, 1, 0, 0, 0, 0]);
    bytes.extend_from_slice(&[0xc0, 12, 0, 33, 0, 1, 0, 0, 0, 0, 0, 0]);
    assert!(matches!(
        parse_response(5, &bytes),
        Err(ResponseError::Malformed(_))
    ));
}

proptest! {
    #[test]
    fn malformed_bytes_never_panic(
        garbage in prop::collection::vec(any::<u8>(), 0..400), position in 0usize..400, byte in any::<u8>(),
    ) {
        let _ = parse_response(0, &garbage);
        let mut bytes = encoded(&response(5, 41, &TWO_SERVERS));
        let position = position % bytes.len();
        bytes[position] = byte;
        if let Ok(list) = parse_response(5, &bytes) {
            prop_assert!(list.entries.len() <= 2);
        }
    }
}
