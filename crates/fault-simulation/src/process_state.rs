//! Whether a simulated process runs, and what its socket buffers.

/// Datagrams that a paused process's socket buffers; further ones are dropped.
const SOCKET_BACKLOG: usize = 200;

/// Whether a process runs, and the datagrams that its socket buffers while it is paused.
#[derive(Clone, Debug)]
pub struct ProcessState<D> {
    is_running: bool,
    is_paused: bool,
    backlog: Vec<D>,
}

impl<D> ProcessState<D> {
    /// A process that runs, or one that is not started yet.
    #[must_use]
    pub fn new(is_running: bool) -> ProcessState<D> {
        ProcessState {
            is_running,
            is_paused: false,
            backlog: Vec::new(),
        }
    }

    /// Whether it was started and not killed, paused or not.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.is_running
    }

    /// Whether it is paused.
    #[must_use]
    pub fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Starts it.
    pub fn start(&mut self) {
        self.is_running = true;
    }

    /// Ends it without notice.
    pub fn kill(&mut self) {
        self.is_running = false;
    }

    /// Pauses it.
    pub fn pause(&mut self) {
        self.is_paused = true;
    }

    /// Resumes it; returns the datagrams that its socket buffered.
    #[must_use]
    pub fn resume(&mut self) -> Vec<D> {
        self.is_paused = false;
        std::mem::take(&mut self.backlog)
    }

    /// Returns an incoming datagram if the process handles it now. While the process is paused the datagram is buffered; if
    /// the buffer is full, or the process does not run, the datagram is dropped.
    #[must_use]
    pub fn accept(&mut self, datagram: D) -> Option<D> {
        if !self.is_running {
            return None;
        }
        if !self.is_paused {
            return Some(datagram);
        }
        if self.backlog.len() < SOCKET_BACKLOG {
            self.backlog.push(datagram);
        }
        None
    }
}
