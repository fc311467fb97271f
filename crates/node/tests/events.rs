//! The placement policy gets the same events, in the same order, from sockets as through the simulator's protocol.
mod support;
use crankpaddle::{EndpointListKind, Event, LoadField, RequestId};
use crankpaddle_node_protocol::rtsp;
use crankpaddle_simhost::wire::{attach_report_values, Batch, Record};
use std::collections::BTreeMap;
use std::sync::mpsc::{channel, Receiver};
use support::*;

/// Formats events without their times. Requests are numbered in the order in which they first occur.
#[derive(Default)]
struct EventFormatter(BTreeMap<RequestId, usize>);

impl EventFormatter {
    fn number_of(&mut self, request: RequestId) -> usize {
        let next = self.0.len();
        *self.0.entry(request).or_insert(next)
    }

    fn format(&mut self, event: &Event) -> Option<String> {
        let request_text = |session: &crankpaddle::SessionRequest| {
            format!(
                "viewer {:x} class {} tenant {} title {:x} cells {}+{} max rung {} hint {:?} retry {} migration {}",
                session.viewer, session.class, session.tenant, session.title, session.first_cell, session.cell_count, session.max_rung, session.duration_hint, session.is_retry, session.is_migration
            )
        };
        Some(match event {
            Event::Timer(_) => return None,
            Event::EndpointList(kind, list) => format!("{kind:?} {list:?}"),
            Event::SessionRequested(session) => {
                let number = self.number_of(session.request);
                format!("requested {number}: {}", request_text(session))
            }
            Event::SessionAdopted(session, server) => {
                let number = self.number_of(session.request);
                format!("adopted {number} at {server:?}: {}", request_text(session))
            }
            Event::SessionEstablished {
                request,
                attempt,
                server,
                ..
            } => {
                let number = self.number_of(*request);
                format!("established {number} {attempt} {server:?}")
            }
            Event::SessionUpdated {
                request,
                server,
                update,
            } => {
                format!("updated {} {server:?} {update:?}", self.number_of(*request))
            }
            Event::AttemptEnded {
                request,
                attempt,
                server,
                outcome,
                is_final,
                report,
            } => {
                let number = self.number_of(*request);
                format!(
                    "ended {number} {attempt} {server:?} {outcome:?} final {is_final} {report:?}"
                )
            }
            Event::ClientLeft(request) => format!("left {}", self.number_of(*request)),
            other => format!("{other:?}"),
        })
    }
}

// ---- The scenario in the simulator's protocol ----

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let mut bytes = vec![code, 9, 0, 0, 0];
    fields
        .iter()
        .for_each(|field| bytes.extend_from_slice(field));
    bytes.resize(72, 0);
    bytes
}

fn request_record(request: u64, class: u8, flags: u16) -> Vec<u8> {
    record(
        10,
        &[
            &request.to_le_bytes(),
            &0xb4d6_5521u64.to_le_bytes(),
            &flags.to_le_bytes(),
            &5_000_000_000u64.to_le_bytes(),
            &1f32.to_le_bytes(), // Copies.
            &1f32.to_le_bytes(), // Best rung.
            &[0; 8],
            &[0; 2],
            &0x7f3a_9c21_e0b4_d655u64.to_le_bytes(),
            &[class],
            &0f32.to_le_bytes(), // First cell.
        ],
    )
}

fn adopted_record(request: u64, class: u8, server: u32) -> Vec<u8> {
    record(
        110,
        &[
            &request.to_le_bytes(),
            &0xb4d6_5521u64.to_le_bytes(),
            &[0; 8],
            &[0; 8],
            &1f32.to_le_bytes(),
            &server.to_le_bytes(),
            &0x7f3a_9c21_e0b4_d655u64.to_le_bytes(),
            &[0; 2],
            &[0; 2],
            &0f32.to_le_bytes(),
            &1f32.to_le_bytes(),
            &[class],
        ],
    )
}

fn established_record(request: u64, server: u32) -> Vec<u8> {
    record(
        60,
        &[&request.to_le_bytes(), &[0], &server.to_le_bytes(), &[0; 8]],
    )
}

fn update_record(request: u64, server: u32, kind: u8, amount: f32) -> Vec<u8> {
    record(
        90,
        &[
            &request.to_le_bytes(),
            &[0],
            &server.to_le_bytes(),
            &[kind],
            &amount.to_le_bytes(),
        ],
    )
}

fn result_record(
    request: u64,
    server: u32,
    closed: bool,
    outcome: u16,
    reported: Option<f32>,
) -> Vec<u8> {
    let value_count = u8::from(reported.is_some());
    record(
        50,
        &[
            &request.to_le_bytes(),
            &server.to_le_bytes(),
            &[0; 8],
            &[u8::from(closed)],
            &outcome.to_le_bytes(),
            &[0],
            &[value_count],
            &reported.unwrap_or(0.0).to_le_bytes(),
        ],
    )
}

fn list_entry(server: u32, lifecycle: u8) -> Vec<u8> {
    let mut bytes = server.to_le_bytes().to_vec();
    bytes.extend([0, 0, 0, 0, 0, lifecycle]);
    bytes.extend(1f32.to_le_bytes());
    bytes.resize(22, 0);
    bytes
}

/// The events of the simulator's records as text. An endpoint list takes two records, its entries and the event.
fn simulator_event_texts(records: &[(Vec<u8>, Vec<u8>)]) -> Vec<String> {
    let (mut formatter, mut texts, mut lists) =
        (EventFormatter::default(), Vec::new(), BTreeMap::new());
    for (number, (record, tail)) in records.iter().enumerate() {
        let mut frame = (number as u32).to_le_bytes().to_vec();
        frame.extend(7u64.to_le_bytes());
        frame.extend((4 + record.len() as u32 + tail.len() as u32).to_le_bytes());
        frame.extend(1u32.to_le_bytes());
        frame.extend(record);
        frame.extend(tail);
        let batch = Batch::read(&mut frame.as_slice())
            .expect("a frame")
            .expect("a batch");
        let event = match batch.record(0).expect("a record") {
            Record::Directory { list, entries } => {
                lists.insert(list, entries);
                continue;
            }
            Record::Topology { kind, list, .. } => Event::EndpointList(kind, lists[&list].clone()),
            Record::Front { event, .. } => event,
            Record::Reported {
                mut event, values, ..
            } => {
                attach_report_values(&mut event, &values, &[LoadField::LinkDemand]);
                event
            }
            Record::Spawn { .. } | Record::Stop { .. } => continue,
        };
        texts.extend(formatter.format(&event));
    }
    texts
}

fn list_records(kind: u8, entries: &[Vec<u8>]) -> [(Vec<u8>, Vec<u8>); 2] {
    let tail = entries.concat();
    let mut directory = vec![20u8, 0];
    directory.extend(0u32.to_le_bytes());
    directory.extend((entries.len() as u32).to_le_bytes());
    directory.resize(72, 0);
    [
        (directory, tail),
        (
            record(130, &[&[kind], &5u64.to_le_bytes(), &[0]]),
            Vec::new(),
        ),
    ]
}

// ---- The same scenario over sockets ----

struct ObservedNode {
    events: Receiver<String>,
    seen: Vec<String>,
}

impl ObservedNode {
    fn start(servers: u32) -> (Harness, ObservedNode) {
        let (sender, events) = channel();
        let mut formatter = EventFormatter::default();
        let observer = move |_, event: &Event| {
            if let Some(text) = formatter.format(event) {
                let _ = sender.send(text); // The test may be over.
            }
        };
        let harness = Harness::start_observed(servers, |_| {}, Some(Box::new(observer)));
        let seen = Vec::new();
        (harness, ObservedNode { events, seen })
    }

    /// Waits until the policy has got an event whose text starts with `prefix`.
    fn wait_for_event(&mut self, prefix: &str) {
        loop {
            let text = self
                .events
                .recv_timeout(TEST_TIMEOUT)
                .unwrap_or_else(|_| panic!("no event {prefix:?} among {:?}", self.seen));
            let found = text.starts_with(prefix);
            self.seen.push(text);
            if found {
                return;
            }
        }
    }
}

/// Runs the scenario over sockets.
fn run_scenario_over_sockets(harness: &Harness, observed: &mut ObservedNode) {
    let mut viewer = harness.viewer();
    let server = &harness.servers[0];
    let adoption = format!(";at:{}", server.name);
    viewer.send_json(&start_message(tag(1), PAID, "-1", &adoption));
    observed.wait_for_event("adopted");
    let link = server.wait_for_connection();
    server.send(link, &session_update(tag(1), "at_rung", 1.0));
    observed.wait_for_event("updated 0");
    // A set-up that is a retry is established. The server sends an update before its response.
    let mut retry = start_message(tag(2), FREE, "15000", ";again:1");
    retry["opts"]["retry"] = serde_json::json!("1");
    viewer.send_json(&retry);
    let (_, connection, _) = harness.next_set_up();
    server.send(connection, &session_update(tag(2), "link_use", 0.25));
    server.send(connection, &ok_response(tag(2), "x"));
    observed.wait_for_event("updated 1");
    server.send(connection, &session_update(tag(2), "served", 0.5));
    observed.wait_for_event("updated 1");
    server.send(connection, b"TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: 0000000000000002\r\nReason: cause=16\r\nX-State: x0:0.5;later:3\r\nContent-Length: 0\r\n\r\n");
    observed.wait_for_event("ended 1");
    // A paid set-up is rejected for lack of capacity, with a load report.
    viewer.start(tag(3), PAID, 15_000);
    let (_, connection, _) = harness.next_set_up();
    server.send(
        connection,
        &response(453, 1, tag(3), "X-State: x0:0.75\r\n", ""),
    );
    observed.wait_for_event("ended 2");
    // A paid set-up is cancelled by its viewer.
    viewer.start(tag(4), PAID, 15_000);
    harness.next_set_up();
    viewer.finish(tag(4), 16);
    observed.wait_for_event("ended 3");
    // The server ends the adopted session.
    server.send(link, &rtsp::release(tag(1), 41));
    observed.wait_for_event("ended 0");
    for priority in [1, 2] {
        harness.directory.update(|state| {
            state.serial += 1;
            match priority {
                1 => state.servers[0].priority = 1,
                _ => state.servers.clear(),
            }
        });
        observed.wait_for_event("Delta");
    }
}

/// The same scenario as the simulator records it.
fn simulator_records() -> Vec<(Vec<u8>, Vec<u8>)> {
    let server = 1;
    let single = |record: Vec<u8>| vec![(record, Vec::new())];
    [
        list_records(0, &[list_entry(server, 1)]).to_vec(),
        single(adopted_record(70, 1, server)),
        single(update_record(70, server, 2, 1.0)),
        single(request_record(71, 0, 16)),
        single(established_record(71, server)),
        single(update_record(71, server, 3, 0.25)),
        single(update_record(71, server, 1, 0.5)),
        single(result_record(71, server, true, 200, Some(0.5))),
        single(request_record(72, 1, 0)),
        single(result_record(72, server, false, 503, Some(0.75))),
        single(request_record(73, 1, 0)),
        single(record(100, &[&73u64.to_le_bytes()])),
        single(result_record(73, server, true, 499, None)),
        single(result_record(70, server, true, 598, None)),
        list_records(1, &[list_entry(server, 2)]).to_vec(),
        list_records(1, &[list_entry(server, 0)]).to_vec(),
    ]
    .concat()
}

#[test]
fn the_policy_gets_the_same_events_from_sockets_as_from_the_simulator() {
    let (harness, mut observed) = ObservedNode::start(1);
    run_scenario_over_sockets(&harness, &mut observed);
    let expected = simulator_event_texts(&simulator_records());
    assert_eq!(observed.seen, expected);
    assert!(expected[0].starts_with(&format!("{:?}", EndpointListKind::Cached)));
}

#[test]
fn a_connection_that_breaks_while_its_server_is_alive_is_a_server_error() {
    let (harness, mut observed) = ObservedNode::start(1);
    let mut viewer = harness.viewer();
    // A server that sends malformed bytes is alive.
    viewer.start(tag(1), FREE, 15_000);
    let (server, connection, _) = harness.next_set_up();
    server.send(connection, b"\x00\x01");
    observed.wait_for_event("ended 0 0 ServerId(1) ServerError final false");
    // One connection is closed while another is open.
    let (harness, mut observed) = ObservedNode::start(1);
    let mut viewer = harness.viewer();
    viewer.start(tag(1), PAID, 15_000);
    let (server, first, _) = harness.next_set_up();
    viewer.start(tag(2), PAID, 15_000);
    let (_, second, _) = harness.next_set_up();
    server.close(first);
    observed.wait_for_event("ended 0 0 ServerId(1) ServerError final false");
    // The last connection is closed, so the process may have died.
    server.close(second);
    observed.wait_for_event("ended 1 0 ServerId(1) Reset final false");
}
