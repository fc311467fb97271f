//! The state of a simulated process: running, paused or killed, and the datagrams in its socket's receive buffer.

/// Number of datagrams that the socket of a paused process buffers; further ones are dropped.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;

/// Whether a process runs, and the datagrams of type `D` that its socket buffers while the process is paused.
#[derive(Clone, Debug)]
pub struct ProcessState<D> {
    is_running: bool,
    is_paused: bool,
    buffered: Vec<D>,
}

impl<D> ProcessState<D> {
    /// A process that runs already, or one that is not started yet.
    #[must_use]
    pub fn new(is_running: bool) -> ProcessState<D> {
        ProcessState {
            is_running,
            is_paused: false,
            buffered: Vec::new(),
        }
    }

    /// Whether it was started and not killed, paused or not.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.is_running
    }

    /// Whether it is paused: it handles no datagrams and no timers, but its socket still receives.
    #[must_use]
    pub fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Marks the process as running.
    pub fn start(&mut self) {
        self.is_running = true;
    }

    /// Ends the process abruptly, without a chance to announce that it leaves.
    pub fn kill(&mut self) {
        self.is_running = false;
    }

    /// Pauses the process, as the signal SIGSTOP does.
    pub fn pause(&mut self) {
        self.is_paused = true;
    }

    /// Resumes the process and returns the datagrams that its socket buffered meanwhile, in the order of their arrival.
    #[must_use]
    pub fn resume(&mut self) -> Vec<D> {
        self.is_paused = false;
        std::mem::take(&mut self.buffered)
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
        if self.buffered.len() < SOCKET_BUFFER_DATAGRAMS {
            self.buffered.push(datagram);
        }
        None
    }
}
