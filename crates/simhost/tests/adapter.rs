//! Runs the adapter as a process: batches and replies, malformed input, and exit statuses.
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
    let _ = child
        .stdin
        .take()
        .expect("standard input is a pipe")
        .write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

/// Encodes a batch; the records are padded to their fixed size.
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

/// Encodes a record without its padding.
fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let mut record = vec![code];
    fields
        .iter()
        .for_each(|field| record.extend_from_slice(field));
    record
}

/// A record that starts instance 3 with settings of `length` bytes at the beginning of the tail.
fn spawn(length: usize) -> Vec<u8> {
    let location = [0u32.to_le_bytes(), (length as u32).to_le_bytes()].concat();
    record(80, &[&3u32.to_le_bytes(), &7u64.to_le_bytes(), &location])
}

fn assert_fails_with(input: &[u8], expected: &str) {
    let out = run(input);
    let message = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success(), "exited with success: {message}");
    assert!(
        message.contains(expected),
        "{message:?} does not contain {expected:?}"
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
    let instance = 3u32.to_le_bytes();
    let settings = SETTINGS.as_bytes();
    let mut tail = settings.to_vec();
    let mut entry = 77u32.to_le_bytes().to_vec();
    entry.extend([0, 0, 0, 0, 0, 1]);
    entry.extend(1f32.to_le_bytes());
    entry.extend(0u64.to_le_bytes());
    tail.extend(entry);
    let location = [(settings.len() as u32).to_le_bytes(), 1u32.to_le_bytes()].concat();
    let directory = record(20, &[&[2], &location]);
    let topology = record(130, &[&instance, &[3], &1u64.to_le_bytes(), &[2]]);
    let mut request = record(
        10,
        &[&instance, &9u64.to_le_bytes(), &1u64.to_le_bytes(), &[0, 0]],
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
    let codes: Vec<u8> = out.stdout[12..]
        .chunks(32)
        .map(|action| action[0])
        .collect();
    assert_eq!(codes, [130, 50, 120]);
    assert_eq!(out.stdout[12 + 64 + 21..][..4], 77u32.to_le_bytes());
}

#[test]
fn malformed_batches_are_named_in_the_error() {
    assert_fails_with(&[1, 0, 0], "batch header");
    let complete = batch(4, 5, &[record(40, &[&3u32.to_le_bytes()])], &[]);
    assert_fails_with(&complete[..complete.len() - 9], "batch 4: input ends");
    assert_fails_with(
        &batch(1, 5, &[record(99, &[])], &[]),
        "unknown event code 99",
    );
    assert_fails_with(
        &batch(1, 5, &[record(40, &[&3u32.to_le_bytes()])], &[]),
        "instance 3 was never started",
    );
    assert_fails_with(&batch(1, 5, &[spawn(400)], b"{}"), "outside the tail");
    let mut oversized = batch(1, 5, &[], &[]);
    oversized[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_fails_with(&oversized, "out of range");
    let mut too_many = batch(1, 5, &[], &[]);
    too_many[16..20].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_fails_with(&too_many, "do not fit");
}

#[test]
fn missing_or_contradictory_settings_are_named_in_the_error() {
    assert_fails_with(&batch(1, 5, &[spawn(5)], b"hello"), "settings");
    let incomplete = SETTINGS.replace("\"cold-share\":0.4,", "");
    assert_fails_with(
        &batch(1, 5, &[spawn(incomplete.len())], incomplete.as_bytes()),
        "cold-share",
    );
    let mismatched = SETTINGS.replace("\"rung-worth\":[0.3,1.0]", "\"rung-worth\":[0.3]");
    assert_fails_with(
        &batch(1, 5, &[spawn(mismatched.len())], mismatched.as_bytes()),
        "same rungs",
    );
}
