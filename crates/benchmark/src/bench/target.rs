//! The process that is measured: a front or a relay.
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// A child process that listens for clients; it is killed when this value is dropped.
pub(super) struct MeasuredProcess {
    child: Child,
    /// Address on which the process listens.
    pub(super) address: SocketAddr,
}

impl MeasuredProcess {
    /// Starts a process and waits until it prints the line `listening ADDRESS`.
    pub(super) fn start(mut command: Command) -> io::Result<MeasuredProcess> {
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
            Some(address) => Ok(MeasuredProcess { child, address }),
            None => Err(io::Error::other(format!(
                "the process did not report its address; its first line: {line:?}"
            ))),
        }
    }

    /// The process id, for measurements.
    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // The error is ignored, because the process may have ended already.
        let _ = self.child.wait();
    }
}
