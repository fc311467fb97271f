//! The measured process: the front or the relay.
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// A process that listens; it is killed when this is dropped.
pub(super) struct Target {
    child: Child,
    /// Where it listens.
    pub(super) address: SocketAddr,
}

impl Target {
    /// Starts a process and waits for its line `listening ADDRESS`.
    pub(super) fn start(mut command: Command) -> io::Result<Target> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let address = line
            .trim()
            .strip_prefix("listening ")
            .and_then(|address| address.parse().ok());
        match address {
            Some(address) => Ok(Target { child, address }),
            None => Err(io::Error::other(format!("it did not start: {line}"))),
        }
    }

    /// Its process id.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have ended.
        let _ = self.child.wait();
    }
}
