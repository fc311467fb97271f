//! Support shared by the tests of the program: its commands, its running processes and the directories of its files.
#![allow(dead_code)] // Each test binary uses only a part of it.
use procfs::process::Process;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::process::{kill_process, pidfd_open, Pid, PidfdFlags, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Timeout of each wait for a process, long enough for a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

/// The key of a fleet's members, in hex digits.
pub(crate) const KEY: &str = "00112233445566778899aabbccddeeff";

/// The documented configuration of a front.
pub(crate) const EXAMPLE_CONFIG: &str = include_str!("../../../../deploy/front.textproto");

/// A command that runs the program under test.
pub(crate) fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_crankpaddle"))
}

/// Runs the program with these arguments to its end.
pub(crate) fn run(args: &[&str]) -> Output {
    program().args(args).output().unwrap()
}

/// Converts printed bytes to text.
pub(crate) fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Creates a directory for the files of this process's tests.
pub(crate) fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("crankpaddle-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The documented configuration with any free port, and with a list service that can't be reached.
pub(crate) fn isolated_config() -> String {
    EXAMPLE_CONFIG
        .replace("127.0.0.1:7400", "127.0.0.1:0")
        .replace("127.0.0.1:7300", "127.0.0.1:9")
}

/// The command that runs a front with this configuration.
pub(crate) fn front_command(config: &Path) -> Command {
    let mut command = program();
    command.args(["front", "-c"]).arg(config);
    command
}

/// A running front or front node, which is killed when dropped.
pub(crate) struct RunningProgram {
    /// The address on which it listens.
    pub(crate) address: String,
    child: Child,
    log: Receiver<String>,
}

impl RunningProgram {
    /// Starts the command and waits until it announces its address.
    pub(crate) fn start(command: &mut Command) -> RunningProgram {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let log = read_lines(child.stderr.take().unwrap());
        let program = RunningProgram {
            address: line.trim().trim_start_matches("listening ").to_owned(),
            child,
            log,
        };
        assert!(
            line.starts_with("listening "),
            "the first line is not the address: {line}{:?}",
            program.logged()
        );
        program
    }

    /// The id of the process.
    pub(crate) fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.pid()).unwrap(), signal).unwrap();
    }

    /// Returns the log lines that were not read yet.
    pub(crate) fn logged(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Reads the log up to the first line that contains `text`; returns that line.
    pub(crate) fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(TIMEOUT)
                .unwrap_or_else(|_| panic!("not logged in time: {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits until the process has ended.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let pid = Pid::from_raw(self.pid()).unwrap();
        let process = pidfd_open(pid, PidfdFlags::empty()).unwrap();
        let timeout = Timespec::try_from(TIMEOUT).unwrap();
        let mut ended = [PollFd::new(&process, PollFlags::IN)];
        let ready = poll(&mut ended, Some(&timeout)).unwrap();
        assert!(ready == 1, "the process does not end in time");
        self.child.wait().unwrap()
    }

    /// Connects to its address. Reads time out after [`TIMEOUT`].
    pub(crate) fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    /// Returns the answer to `GET /health`.
    pub(crate) fn health(&self) -> String {
        let mut stream = self.connect();
        send_health_request(&mut stream);
        read_answer(&mut stream)
    }

    /// The entry of the process in `/proc`.
    pub(crate) fn process(&self) -> Process {
        Process::new(self.pid()).unwrap()
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        let _ = self.child.kill(); // The process may have ended already.
        let _ = self.child.wait();
    }
}

/// Sends `GET /health` on a connection.
pub(crate) fn send_health_request(stream: &mut TcpStream) {
    stream
        .write_all(b"GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
}

/// Reads from a connection until it is closed.
pub(crate) fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// Starts a thread that reads the lines of a pipe until it is closed.
fn read_lines(pipe: impl Read + Send + 'static) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(pipe).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}
