//! Fronts as processes of their own: started, signalled, ended, and none left behind.
use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A front must listen by then.
const START_WITHIN: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(20);

/// A front's block of a configuration with so many worker threads.
pub fn with_workers(block: &str, workers: u32) -> String {
    block.replacen("front {\n", &format!("front {{\n  workers: {workers}\n"), 1)
}

/// A front that runs, or ran. It is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    /// Where it listens to players.
    pub address: SocketAddr,
}

impl Process {
    /// Starts `EXE front` with this configuration; it and the log stay in the folder under the name.
    ///
    /// # Errors
    /// It does not listen in time; what it said is told.
    pub fn start(exe: &Path, dir: &Path, name: &str, text: &str) -> io::Result<Process> {
        let (file, log) = (
            dir.join(format!("{name}.textproto")),
            dir.join(format!("{name}.log")),
        );
        std::fs::write(&file, text)?;
        let mut child = Command::new(exe)
            .args(["front", "-c"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(OpenOptions::new().create(true).append(true).open(&log)?)
            .spawn()?;
        let stdout = child.stdout.take();
        let (said, first) = mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            if let Some(stdout) = stdout {
                let _ = BufReader::new(stdout).read_line(&mut line); // Nothing read is seen below.
            }
            let _ = said.send(line);
        });
        let line = first.recv_timeout(START_WITHIN).unwrap_or_default();
        match line
            .trim()
            .strip_prefix("listening ")
            .and_then(|a| a.parse().ok())
        {
            Some(address) => Ok(Process {
                name: name.to_owned(),
                child,
                address,
            }),
            None => {
                let _ = child.kill(); // It is reported below whether or not it still ran.
                let _ = child.wait();
                let log = std::fs::read_to_string(&log).unwrap_or_default();
                Err(io::Error::other(format!(
                    "{name} did not start: {line}{log}"
                )))
            }
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal); // One that has ended is found when it is waited for.
        }
    }

    /// Ends it at once, without a word.
    ///
    /// # Errors
    /// It can't be waited for.
    pub fn kill(mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Waits for its end; `None` if it had to be killed.
    fn wait(&mut self, until: Instant) -> io::Result<Option<ExitStatus>> {
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            std::thread::sleep(LOOK);
        }
        self.child.kill()?;
        self.child.wait()?;
        Ok(None)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have ended.
        let _ = self.child.wait();
    }
}

/// Ends processes in order, all at once, and waits for each; tells of those that ended badly or not in time.
///
/// # Errors
/// One can't be waited for.
pub fn end_all<'p>(
    processes: impl Iterator<Item = &'p mut Process>,
    within: Duration,
) -> io::Result<Vec<String>> {
    let processes: Vec<&mut Process> = processes.collect();
    processes.iter().for_each(|p| p.signal(Signal::TERM));
    let until = Instant::now() + within;
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
