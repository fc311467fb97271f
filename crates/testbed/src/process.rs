//! Runs fronts as processes of their own and makes sure that none is left running.
use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Time within which a front must print the address at which it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the end of a process is checked.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Adds the number of worker threads to the front's block of a configuration.
#[must_use]
pub fn with_workers(block: &str, workers: u32) -> String {
    block.replacen("front {\n", &format!("front {{\n  workers: {workers}\n"), 1)
}

/// The process of a front. It is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    /// Address at which the front listens to players.
    pub address: SocketAddr,
}

impl Process {
    /// Starts `EXE front` with the configuration `text`. Configuration and log are written to `dir` as `NAME.textproto` and
    /// `NAME.log`.
    ///
    /// # Errors
    /// The front does not listen in time; the error has its output and log.
    pub fn start(exe: &Path, dir: &Path, name: &str, text: &str) -> io::Result<Process> {
        let config = dir.join(format!("{name}.textproto"));
        let log = dir.join(format!("{name}.log"));
        std::fs::write(&config, text)?;
        let mut child = Command::new(exe)
            .args(["front", "-c"])
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(OpenOptions::new().create(true).append(true).open(&log)?)
            .spawn()?;
        let line = first_line(child.stdout.take());
        let address = line.trim().strip_prefix("listening ");
        if let Some(address) = address.and_then(|address| address.parse().ok()) {
            return Ok(Process {
                name: name.to_owned(),
                child,
                address,
            });
        }
        let _ = child.kill(); // The process may have ended; the failure is reported below.
        let _ = child.wait();
        let log = std::fs::read_to_string(&log).unwrap_or_default();
        let failure = format!("{name} did not start: {line}{log}");
        Err(io::Error::other(failure))
    }

    /// Sends a signal to the process. A process that has ended is ignored.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal); // If the process has ended, waiting for it shows that.
        }
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// The process can't be killed or waited for.
    pub fn kill(mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Waits for the end of the process. `None` if it still ran at `until` and was killed.
    fn wait(&mut self, until: Instant) -> io::Result<Option<ExitStatus>> {
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            std::thread::sleep(EXIT_CHECK_INTERVAL);
        }
        self.child.kill()?;
        self.child.wait()?;
        Ok(None)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill(); // The process may have ended already.
        let _ = self.child.wait();
    }
}

/// Ends processes gracefully, all at the same time, and waits for each. Returns a description for each process that ended
/// with an error or did not end in time.
///
/// # Errors
/// A process can't be killed or waited for.
pub fn end_all<'p>(
    processes: impl Iterator<Item = &'p mut Process>,
    timeout: Duration,
) -> io::Result<Vec<String>> {
    let processes: Vec<&mut Process> = processes.collect();
    for process in &processes {
        process.signal(Signal::TERM);
    }
    let until = Instant::now() + timeout;
    let mut faults = Vec::new();
    for process in processes {
        match process.wait(until)? {
            Some(status) if status.success() => {}
            Some(status) => faults.push(format!("{} ended with {status}", process.name)),
            None => faults.push(format!("{} did not end and was killed", process.name)),
        }
    }
    Ok(faults)
}

/// The first line of a process's output; empty where no line arrives in time.
fn first_line(output: Option<ChildStdout>) -> String {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        if let Some(output) = output {
            let _ = BufReader::new(output).read_line(&mut line); // A failure leaves the line empty.
        }
        let _ = sender.send(line);
    });
    receiver.recv_timeout(START_TIMEOUT).unwrap_or_default()
}
