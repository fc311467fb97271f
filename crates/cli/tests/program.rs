//! The program as its users start it: checks, signals, and a whole day with front processes.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const EXAMPLE: &str = include_str!("../../../deploy/front.textproto");

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_crankpaddle"))
}

fn run(args: &[&str]) -> Output {
    program().args(args).output().unwrap()
}

fn file(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("crankpaddle-program-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

struct Front(Child, String);

impl Front {
    fn start(name: &str) -> Front {
        let text = EXAMPLE
            .replace("127.0.0.1:7400", "127.0.0.1:0")
            .replace("127.0.0.1:7300", "127.0.0.1:1");
        let config = file(name, &text);
        let mut child = program()
            .args(["front", "-c"])
            .arg(config)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = line
            .trim()
            .strip_prefix("listening ")
            .expect("it says where it listens")
            .to_owned();
        Front(child, address)
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.0.id() as i32).unwrap(), signal).unwrap();
    }

    fn health(&self) -> String {
        let mut stream = TcpStream::connect(&self.1).unwrap();
        stream
            .write_all(b"GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    fn ends(&mut self) -> std::process::ExitStatus {
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < until, "it does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.0.kill(); // Most have ended.
    }
}

#[test]
fn a_good_file_passes_and_a_bad_one_is_refused_with_place_and_status_2() {
    let good = file("good.textproto", EXAMPLE);
    assert!(run(&["check", good.to_str().unwrap()]).status.success());
    // What is printed with the defaults filled in is a file that says the same.
    let printed = run(&["check", "--print", good.to_str().unwrap()]);
    let text = String::from_utf8(printed.stdout).unwrap();
    assert!(
        printed.status.success()
            && text.contains("attempts: 3")
            && text.contains("note_delay: \"300ms\"")
    );
    let again = run(&[
        "check",
        "--print",
        file("printed.textproto", &text).to_str().unwrap(),
    ]);
    assert_eq!(String::from_utf8(again.stdout).unwrap(), text);
    let bad = file(
        "bad.textproto",
        &EXAMPLE
            .replace("index: 0", "index: 5")
            .replace("cells: 4", "cels: 4"),
    );
    for args in [
        ["check", bad.to_str().unwrap()].as_slice(),
        ["front", "-c", bad.to_str().unwrap()].as_slice(),
    ] {
        let out = run(args);
        let said = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{said}");
        for what in [
            "bad.textproto:2:16: front.index: is 5; allowed: 0 to 1",
            "no field \"cels\" in fleet",
        ] {
            assert!(said.contains(what), "{what}: {said}");
        }
        assert!(out.stdout.is_empty(), "nothing was started");
    }
    let none = run(&["check", "no-such-file"]);
    assert_eq!(none.status.code(), Some(2));
}

#[test]
fn an_address_in_use_is_an_error_and_not_shared() {
    let front = Front::start("in-use.textproto");
    let text = EXAMPLE.replace("127.0.0.1:7400", &front.1);
    let second = file("second.textproto", &text);
    let out = run(&["front", "-c", second.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stderr).contains(&front.1));
}

#[test]
fn sigterm_and_sigint_end_a_front_with_status_0() {
    for (name, signal) in [
        ("term.textproto", Signal::TERM),
        ("int.textproto", Signal::INT),
    ] {
        let mut front = Front::start(name);
        assert!(front.health().starts_with("HTTP/1.1 200 "));
        front.signal(signal);
        assert_eq!(front.ends().code(), Some(0));
    }
}

#[test]
fn a_front_that_was_stopped_goes_on() {
    let mut front = Front::start("stopped.textproto");
    front.signal(Signal::STOP);
    let mut stream = TcpStream::connect(&front.1).unwrap();
    stream
        .write_all(b"GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    front.signal(Signal::CONT);
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    front.signal(Signal::TERM);
    assert_eq!(front.ends().code(), Some(0));
}

#[test]
fn hup_takes_new_budgets_over_and_a_bad_file_changes_nothing() {
    let mut front = Front::start("reloaded.textproto");
    let text = EXAMPLE
        .replace("127.0.0.1:7400", "127.0.0.1:0")
        .replace("127.0.0.1:7300", "127.0.0.1:1");
    let budget = "budget { from: \"south\" to: \"north\" rate: \"5MB/s\" burst: \"1GiB\" }\n";
    let report = |form: &str| run(&["traffic", "report", &front.1, "--form", form]);
    let rates = || {
        let out = report("json");
        assert!(
            out.status.success(),
            "{}",
            String::from_utf8_lossy(&out.stderr)
        );
        String::from_utf8(out.stdout)
            .unwrap()
            .matches("\"rate_kb\": 5000.0")
            .count()
    };
    assert_eq!(rates(), 0);
    let until = Instant::now() + Duration::from_secs(20);
    let reload = |text: &str, done: &dyn Fn() -> bool| {
        file("reloaded.textproto", text);
        front.signal(Signal::HUP);
        while !done() {
            assert!(Instant::now() < until, "waited in vain");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    reload(&format!("{text}{budget}"), &|| rates() == 1);
    assert!(String::from_utf8_lossy(&report("table").stdout).contains("BUDGET kB/s"));
    assert!(String::from_utf8_lossy(&report("csv").stdout).starts_with("from,to,class"));
    // A file that is wrong, or needs a restart, leaves the budgets as they are; a good one after it is taken.
    file("reloaded.textproto", "nonsense {");
    front.signal(Signal::HUP);
    file(
        "reloaded.textproto",
        &text.replace("siblings: 2", "siblings: 3"),
    );
    front.signal(Signal::HUP);
    assert_eq!(rates(), 1);
    reload(
        &format!(
            "{text}{budget}{}",
            budget
                .replace("} }", "}")
                .replace("rate:", "class: \"preview\" rate:")
        ),
        &|| rates() == 2,
    );
    let watched = run(&[
        "traffic", "watch", &front.1, "--every", "0.05", "--looks", "2",
    ]);
    assert_eq!(
        String::from_utf8_lossy(&watched.stdout)
            .matches("of 5000 kB/s (0%)")
            .count(),
        4
    );
    // Who can't be asked is named, and the rest not passed off as the whole.
    let part = run(&["traffic", "report", &front.1, "127.0.0.1:1"]);
    assert!(
        !part.status.success()
            && String::from_utf8_lossy(&part.stderr).contains("missing: 127.0.0.1:1")
    );
    front.signal(Signal::TERM);
    assert_eq!(front.ends().code(), Some(0));
}

/// Three front processes, twelve stand-in servers, and in eight seconds a hang, failures, a stopped front (SIGSTOP), a
/// lost hall, a drain and a lost list service.
#[test]
fn a_day_with_troubles_keeps_all_rules() {
    let seed = "5";
    let report = file("smoke.jsonl", "");
    let out = run(&[
        "lab",
        "day",
        "smoke",
        "--seed",
        seed,
        "--report",
        report.to_str().unwrap(),
    ]);
    let (said, more) = (
        String::from_utf8_lossy(&out.stdout),
        String::from_utf8_lossy(&out.stderr),
    );
    println!("seed {seed}: {said}{more}");
    assert!(
        out.status.success(),
        "seed {seed}, {}: {said}{more}",
        out.status
    );
    assert!(said.contains("billed twice 0, rules kept 6/6"), "{said}");
    // The judge comes to the same from the report alone, and to another where the report is not right.
    let again = run(&["lab", "judge", "smoke", report.to_str().unwrap()]);
    assert_eq!(
        String::from_utf8_lossy(&again.stdout).lines().last(),
        said.lines().last()
    );
    let text = std::fs::read_to_string(&report).unwrap();
    let billed = text
        .lines()
        .find(|l| l.contains("\"billed\""))
        .expect("something was billed");
    let forged = file("forged.jsonl", &format!("{text}{billed}\n"));
    let caught = run(&["lab", "judge", "smoke", forged.to_str().unwrap()]);
    assert!(!caught.status.success());
    assert!(String::from_utf8_lossy(&caught.stdout).contains("billed twice 1, rules kept 5/6"));
}
