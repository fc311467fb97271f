//! Pins the stored form: the exact tables, keys and values that a store writes, read from its file without the store's own
//! code. Names in the code may change, but the literals of this file must not.
mod common;
use common::{key, put_intent};
use crankpaddle_recovery::{IntentOutcome, StoreWrite};
use crankpaddle_store::Store;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::time::Duration;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string never fails");
        text
    })
}

/// All entries of all tables in the store's file, each as a text.
fn records(dir: &Path) -> Vec<String> {
    let database = Database::create(dir.join("front.redb")).expect("opened");
    let transaction = database.begin_read().expect("a transaction");
    let mut tables: Vec<String> = transaction
        .list_tables()
        .expect("tables")
        .map(|table| table.name().to_owned())
        .collect();
    tables.sort();
    assert_eq!(tables, ["intents", "numbers", "words"]);
    let mut records = Vec::new();
    let intents: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("intents");
    for entry in transaction.open_table(intents).unwrap().iter().unwrap() {
        let (key, value) = entry.unwrap();
        records.push(format!("intents {:?} {}", key.value(), hex(value.value())));
    }
    let numbers: TableDefinition<&str, u64> = TableDefinition::new("numbers");
    for entry in transaction.open_table(numbers).unwrap().iter().unwrap() {
        let (key, value) = entry.unwrap();
        records.push(format!("numbers {} {}", key.value(), value.value()));
    }
    let texts: TableDefinition<&str, &str> = TableDefinition::new("words");
    for entry in transaction.open_table(texts).unwrap().iter().unwrap() {
        let (key, value) = entry.unwrap();
        records.push(format!("words {} {:?}", key.value(), value.value()));
    }
    records
}

/// The records in a new store after an incarnation made these writes.
fn records_after(writes: &[StoreWrite]) -> Vec<String> {
    let dir = tempfile::tempdir().expect("a folder");
    let mut opened = Store::open(dir.path(), "boot-1").expect("opened");
    opened.store.write(writes).expect("written");
    drop(opened);
    assert_eq!(
        fs::read(dir.path().join("VERSION")).expect("a version file"),
        b"1\n"
    );
    records(dir.path())
}

/// The records of a new store.
const RECORDS_OF_A_NEW_STORE: [&str; 3] = [
    "numbers ended-in-order 0",
    "numbers epoch 1",
    "words boot \"boot-1\"",
];

/// Writes, and the records that they add to the records of a new store.
struct Case {
    name: &'static str,
    writes: Vec<StoreWrite>,
    added: &'static [&'static str],
}

/// Cases that write intents.
fn intent_cases() -> Vec<Case> {
    vec![
        Case {
            name: "attempt in flight",
            writes: vec![put_intent(0, IntentOutcome::InFlight)],
            added: &[
                r#"intents ("t0", "00000000000000000000000000000000") 0d6c6963656e7365642d766965770012303030303030303030303030303030302d3001310000"#,
            ],
        },
        Case {
            name: "established",
            writes: vec![put_intent(1, IntentOutcome::Established)],
            added: &[
                r#"intents ("t1", "00000000000000000000000000000001") 0d6c6963656e7365642d766965770112303030303030303030303030303030312d3101310101"#,
            ],
        },
        Case {
            name: "completed",
            writes: vec![put_intent(300, IntentOutcome::Completed)],
            added: &[
                r#"intents ("t0", "0000000000000000000000000000012c") 0d6c6963656e7365642d766965770014303030303030303030303030303132632d313263013102ac02"#,
            ],
        },
        Case {
            name: "failed",
            writes: vec![put_intent(70_000, IntentOutcome::Failed)],
            added: &[
                r#"intents ("t1", "00000000000000000000000000011170") 0d6c6963656e7365642d766965770416303030303030303030303031313137302d3131313730013103f0a204"#,
            ],
        },
        Case {
            name: "removed",
            writes: vec![
                put_intent(1, IntentOutcome::InFlight),
                StoreWrite::Remove(key(1)),
            ],
            added: &[],
        },
    ]
}

/// Cases that write other state or nothing.
fn other_cases() -> Vec<Case> {
    vec![
        Case {
            name: "nothing",
            writes: vec![],
            added: &[],
        },
        Case {
            name: "fleet size",
            writes: vec![StoreWrite::FleetSize(40)],
            added: &["numbers fleet 40"],
        },
        Case {
            name: "uptime",
            writes: vec![StoreWrite::Uptime(Duration::from_millis(u64::MAX))],
            added: &["numbers ran 18446744073709551615"],
        },
        Case {
            name: "clean shutdown",
            writes: vec![StoreWrite::CleanShutdown],
            added: &["numbers ended-in-order 1"],
        },
    ]
}

#[test]
fn each_write_leaves_the_pinned_records() {
    let cases = intent_cases().into_iter().chain(other_cases());
    for case in cases {
        let mut records = records_after(&case.writes);
        records.retain(|record| !RECORDS_OF_A_NEW_STORE.contains(&record.as_str()));
        assert_eq!(records, case.added, "{}", case.name);
    }
    assert_eq!(records_after(&[]), RECORDS_OF_A_NEW_STORE);
}
