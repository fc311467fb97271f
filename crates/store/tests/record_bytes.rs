//! Record bytes: the exact tables, keys and values that a store writes, read from its file without the store's own code. Names in the
//! code may change; the literals here may not.
#![allow(clippy::too_many_lines)] // One table of records.
mod common;
use common::{intent, key};
use crankpaddle_recovery::{IntentOutcome, StoreWrite};
use crankpaddle_store::Store;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes all");
        text
    })
}

/// Every entry of every table of the store's file, one text each.
fn records(dir: &Path) -> Vec<String> {
    let db = Database::create(dir.join("front.redb")).expect("opened");
    let reading = db.begin_read().expect("a transaction");
    let mut tables: Vec<String> = reading
        .list_tables()
        .expect("tables")
        .map(|table| table.name().to_owned())
        .collect();
    tables.sort();
    assert_eq!(tables, ["intents", "numbers", "words"]);
    let mut records = Vec::new();
    let intents: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("intents");
    for entry in reading.open_table(intents).unwrap().iter().unwrap() {
        let (key, value) = entry.unwrap();
        records.push(format!("intents {:?} {}", key.value(), hex(value.value())));
    }
    let numbers: TableDefinition<&str, u64> = TableDefinition::new("numbers");
    for entry in reading.open_table(numbers).unwrap().iter().unwrap() {
        let (key, value) = entry.unwrap();
        records.push(format!("numbers {} {}", key.value(), value.value()));
    }
    let words: TableDefinition<&str, &str> = TableDefinition::new("words");
    for entry in reading.open_table(words).unwrap().iter().unwrap() {
        let (key, value) = entry.unwrap();
        records.push(format!("words {} {:?}", key.value(), value.value()));
    }
    records
}

/// The records after a life that wrote this.
fn written(writes: &[StoreWrite]) -> Vec<String> {
    let dir = tempfile::tempdir().expect("a folder");
    let mut taken = Store::open(dir.path(), "boot-1").expect("opened");
    taken.store.write(writes).expect("written");
    drop(taken);
    assert_eq!(fs::read(dir.path().join("VERSION")).expect("there"), b"1\n");
    records(dir.path())
}

#[test]
fn each_write_leaves_these_records() {
    let begun = [
        "numbers ended-in-order 0",
        "numbers epoch 1",
        "words boot \"boot-1\"",
    ];
    let keep = |n, fate| StoreWrite::Put(key(n), intent(n, fate));
    let table: [(&str, Vec<StoreWrite>, &[&str]); 9] = [
        ("nothing", vec![], &[]),
        (
            "attempt out",
            vec![keep(0, IntentOutcome::InFlight)],
            &[
                r#"intents ("t0", "00000000000000000000000000000000") 0d6c6963656e7365642d766965770012303030303030303030303030303030302d3001310000"#,
            ],
        ),
        (
            "playing",
            vec![keep(1, IntentOutcome::Established)],
            &[
                r#"intents ("t1", "00000000000000000000000000000001") 0d6c6963656e7365642d766965770112303030303030303030303030303030312d3101310101"#,
            ],
        ),
        (
            "over",
            vec![keep(300, IntentOutcome::Completed)],
            &[
                r#"intents ("t0", "0000000000000000000000000000012c") 0d6c6963656e7365642d766965770014303030303030303030303030303132632d313263013102ac02"#,
            ],
        ),
        (
            "failed",
            vec![keep(70_000, IntentOutcome::Failed)],
            &[
                r#"intents ("t1", "00000000000000000000000000011170") 0d6c6963656e7365642d766965770416303030303030303030303031313137302d3131313730013103f0a204"#,
            ],
        ),
        (
            "forgotten",
            vec![keep(1, IntentOutcome::InFlight), StoreWrite::Remove(key(1))],
            &[],
        ),
        (
            "fleet",
            vec![StoreWrite::FleetSize(40)],
            &["numbers fleet 40"],
        ),
        (
            "ran",
            vec![StoreWrite::Uptime(u64::MAX)],
            &["numbers ran 18446744073709551615"],
        ),
        (
            "in order",
            vec![StoreWrite::CleanShutdown],
            &["numbers ended-in-order 1"],
        ),
    ];
    for (name, writes, expected) in table {
        let mut new = written(&writes);
        new.retain(|record| !begun.contains(&record.as_str()));
        assert_eq!(new, expected, "{name}");
    }
    assert_eq!(written(&[]), begun);
}
