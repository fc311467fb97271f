//! The adapter on the wire: frames, malformed input, and exits.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"index":0,"siblings":1,"az":0,"unknown-key":[1],
 "services":[{"aim":800000000,"deadline":4000000000,"semantics":"free","worth":1.0,"name":"x"}],
 "family-info":{"cells":1,"cabinets":1,"class-top":[1],"lowest-rung":[0],"rate-factor":[1.0],"fleet-kb":6000.0,
  "kb-per-weight":6000.0,"level-kb":[200.0,400.0],"rung-worth":[0.3,1.0],"places-by-kind":[20],"uplink-kb":6000.0},
 "limits":{"attempts-cap":4},
 "rules":{"cold-share":0.4,"cold":1000000000,"tip-multiple":2.5,"fall":1000000000},
 "telemetry":{"fields":["x0","later"],"how":"answers"}}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_crankpaddle-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read everything.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(number: u32, now: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = number.to_le_bytes().to_vec();
    frame.extend(now.to_le_bytes());
    frame.extend((4 + 72 * records.len() as u32 + tail.len() as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    for record in records {
        let mut record = record.clone();
        record.resize(72, 0);
        frame.extend(record);
    }
    frame.extend(tail);
    frame
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let mut record = vec![code];
    fields.iter().for_each(|f| record.extend_from_slice(f));
    record
}

fn spawn(length: usize) -> Vec<u8> {
    let place = [0u32.to_le_bytes(), (length as u32).to_le_bytes()].concat();
    record(80, &[&3u32.to_le_bytes(), &7u64.to_le_bytes(), &place])
}

fn assert_fails_with(input: &[u8], about: &str) {
    let out = run(input);
    let message = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success(), "exit 0; {message}");
    assert!(
        message.contains(about),
        "{message:?} does not name {about:?}"
    );
    assert!(!message.contains("panicked"), "{message}");
}

#[test]
fn the_end_of_input_between_batches_is_a_clean_exit() {
    assert!(run(&[]).status.success());
    let out = run(&batch(1, 5, &[], &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [1, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn a_request_is_set_up_at_a_listed_server_of_its_cell() {
    let who = 3u32.to_le_bytes();
    let settings = SETTINGS.as_bytes();
    let mut tail = settings.to_vec();
    let mut entry = 77u32.to_le_bytes().to_vec();
    entry.extend([0, 0, 0, 0, 0, 1]);
    entry.extend(1f32.to_le_bytes());
    entry.extend(0u64.to_le_bytes());
    tail.extend(entry);
    let place = [(settings.len() as u32).to_le_bytes(), 1u32.to_le_bytes()].concat();
    let directory = record(20, &[&[2], &place]);
    let topology = record(130, &[&who, &[3], &1u64.to_le_bytes(), &[2]]);
    let mut request = record(
        10,
        &[&who, &9u64.to_le_bytes(), &1u64.to_le_bytes(), &[0, 0]],
    );
    request.extend(4_000_000_000u64.to_le_bytes());
    request.extend(1f32.to_le_bytes());
    request.extend(1f32.to_le_bytes());
    let frame = batch(
        1,
        1000,
        &[spawn(settings.len()), directory, topology, request],
        &tail,
    );
    let out = run(&frame);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let codes: Vec<u8> = out.stdout[12..].chunks(32).map(|r| r[0]).collect();
    assert_eq!(codes, [130, 50, 120]);
    assert_eq!(out.stdout[12 + 64 + 21..][..4], 77u32.to_le_bytes());
}

#[test]
fn malformed_batches_are_named_in_the_error() {
    assert_fails_with(&[1, 0, 0], "batch header");
    let whole = batch(4, 5, &[record(40, &[&3u32.to_le_bytes()])], &[]);
    assert_fails_with(&whole[..whole.len() - 9], "batch 4: input ends");
    assert_fails_with(
        &batch(1, 5, &[record(99, &[])], &[]),
        "unknown event code 99",
    );
    assert_fails_with(
        &batch(1, 5, &[record(40, &[&3u32.to_le_bytes()])], &[]),
        "instance 3 was never started",
    );
    assert_fails_with(&batch(1, 5, &[spawn(400)], b"{}"), "outside the tail");
    let mut long = batch(1, 5, &[], &[]);
    long[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_fails_with(&long, "out of range");
    let mut many = batch(1, 5, &[], &[]);
    many[16..20].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_fails_with(&many, "do not fit");
}

#[test]
fn missing_or_contradictory_settings_are_named_in_the_error() {
    assert_fails_with(&batch(1, 5, &[spawn(5)], b"hello"), "settings");
    let lacking = SETTINGS.replace("\"cold-share\":0.4,", "");
    assert_fails_with(
        &batch(1, 5, &[spawn(lacking.len())], lacking.as_bytes()),
        "cold-share",
    );
    let uneven = SETTINGS.replace("\"rung-worth\":[0.3,1.0]", "\"rung-worth\":[0.3]");
    assert_fails_with(
        &batch(1, 5, &[spawn(uneven.len())], uneven.as_bytes()),
        "same rungs",
    );
}
