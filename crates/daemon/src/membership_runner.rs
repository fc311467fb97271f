//! Runs the membership protocol of the fleet over UDP. One coroutine reads datagrams, and another owns the protocol's
//! state machine and sends datagrams.
//!
//! The event loop receives nothing but the number of fronts, so that no set-up waits behind a peer's datagram. A
//! datagram that can't be sent at once is dropped; the protocol tolerates loss.
use crate::errors::StartError;
use crate::key_file;
use crate::membership_status::{describe_members, ChangeHistory};
use crankpaddle_api::describe::Members;
use crankpaddle_config::Peers as PeersConfig;
use crankpaddle_membership::{
    LocalHealth, MemberChange, MemberState, Membership, MembershipConfig, MembershipOutput,
};
use crankpaddle_net::{clock, drain_queue, recv_until, spawn, Stack};
use crankpaddle_time::Time;
use may::net::UdpSocket;
use may::sync::mpsc::{channel, Receiver, Sender};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Most commands handled before timers are checked.
const COMMAND_BATCH_SIZE: usize = 64;
/// The pause after a failed read of the socket.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the receive buffer; a peer's datagram is never longer.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Most datagrams that were read and not handled. Further ones are dropped, as the kernel drops them when its buffer is full.
const MAX_QUEUED_DATAGRAMS: usize = 1024;
/// Longest wait until the announcement that this front leaves is sent.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// A command to the coroutine that owns the membership.
enum Command {
    Receive {
        from: SocketAddr,
        bytes: Vec<u8>,
        /// Dropped when the datagram is handled, which makes room for another.
        queued: Arc<()>,
    },
    Leave {
        done: std::sync::mpsc::Sender<()>,
    },
    DescribeMembers {
        reply: Sender<Members>,
    },
}

/// A handle to the coroutine that owns the membership.
#[derive(Clone)]
pub(crate) struct MembershipHandle(Sender<Command>);

impl MembershipHandle {
    /// This front's view of its peers; `None` if there is no reply before `deadline`. Must be called in a coroutine.
    pub(crate) fn members(&self, deadline: Time) -> Option<Members> {
        let (reply, replies) = channel();
        self.0.send(Command::DescribeMembers { reply }).ok()?;
        recv_until(&replies, deadline).ok()
    }

    /// Announces to the peers that this front leaves. It blocks, so it must be called on a thread, not in a coroutine.
    pub(crate) fn leave(&self) {
        let (done, left) = std::sync::mpsc::channel();
        if self.0.send(Command::Leave { done }).is_ok() {
            // After a timeout nothing is lost: the peers' probes detect that this front is gone.
            let _ = left.recv_timeout(LEAVE_TIMEOUT);
        }
    }
}

/// A membership that is ready to run: its configuration, socket and command queue.
pub(crate) struct OpenedMembership {
    config: MembershipConfig,
    socket: Arc<UdpSocket>,
    /// Configured addresses of peers, by name. They take precedence over the addresses that peers announce.
    address_overrides: HashMap<String, SocketAddr>,
    commands: Sender<Command>,
    inbox: Receiver<Command>,
}

/// Reads the key file and opens the socket.
///
/// # Errors
/// The key can't be read, or the front can't listen on the address.
pub(crate) fn open(
    config: &PeersConfig,
) -> Result<(OpenedMembership, MembershipHandle), StartError> {
    let key = key_file::read_key(&config.key_file)?;
    let listen_error = |source| StartError::Listen {
        address: config.listen,
        source,
    };
    let socket = Arc::new(UdpSocket::bind(config.listen).map_err(listen_error)?);
    let bound_address = socket.local_addr().map_err(listen_error)?;
    let own_address = config.address.unwrap_or(bound_address);
    let membership_config = membership_config(config, own_address, key);
    tracing::info!(
        name = config.name,
        address = %own_address,
        seeds = ?membership_config.seeds,
        "membership opened"
    );
    let (commands, inbox) = channel();
    let handle = MembershipHandle(commands.clone());
    let opened = OpenedMembership {
        config: membership_config,
        socket,
        address_overrides: config.address_overrides.clone(),
        commands,
        inbox,
    };
    Ok((opened, handle))
}

fn membership_config(
    config: &PeersConfig,
    own_address: SocketAddr,
    key: [u8; 16],
) -> MembershipConfig {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
    let epoch = unix_time.unwrap_or(Duration::ZERO).as_millis() as u64;
    let probe_interval = config.probe_every;
    MembershipConfig {
        name: config.name.clone(),
        address: own_address.to_string(),
        epoch,
        incarnation: rand::random(),
        key,
        seeds: config.seeds.iter().map(SocketAddr::to_string).collect(),
        probe_interval,
        probe_timeout: probe_interval * 2 / 5,
        datagrams_per_second: f64::from(config.datagrams),
        bytes_per_second: config.bytes as f64,
        ..MembershipConfig::default()
    }
}

impl OpenedMembership {
    /// Starts the coroutines. Whenever the number of known fronts changes, `on_fleet_size` is called with it; the number
    /// includes this front.
    pub(crate) fn run(self, on_fleet_size: impl Fn(u32) + Send + 'static) {
        let reader_socket = self.socket.clone();
        let commands = self.commands;
        spawn(Stack::Default, move || {
            read_datagrams(&reader_socket, &commands);
        });
        let runner = MembershipRunner {
            membership: Membership::new(self.config, rand::random(), clock::now()),
            socket: self.socket,
            address_overrides: self.address_overrides,
            outputs: Vec::new(),
            history: ChangeHistory::default(),
            on_fleet_size: Box::new(on_fleet_size),
            reported_fleet_size: 0,
        };
        let inbox = self.inbox;
        spawn(Stack::Large, move || runner.run(&inbox));
    }
}

fn read_datagrams(socket: &UdpSocket, commands: &Sender<Command>) {
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
    let queued_datagrams = Arc::new(()); // Each queued datagram holds a reference.
    loop {
        match socket.recv_from(&mut buffer) {
            Ok(_) if Arc::strong_count(&queued_datagrams) > MAX_QUEUED_DATAGRAMS => {}
            Ok((length, from)) => {
                let command = Command::Receive {
                    from,
                    bytes: buffer[..length].to_vec(),
                    queued: queued_datagrams.clone(),
                };
                if commands.send(command).is_err() {
                    return;
                }
            }
            // An error may only report that a peer can't be reached, so the socket is still used.
            Err(_) => crankpaddle_net::sleep(READ_RETRY_INTERVAL),
        }
    }
}

/// The state of the coroutine that owns the membership.
struct MembershipRunner {
    membership: Membership,
    socket: Arc<UdpSocket>,
    address_overrides: HashMap<String, SocketAddr>,
    outputs: Vec<MembershipOutput>,
    history: ChangeHistory,
    on_fleet_size: Box<dyn Fn(u32) + Send>,
    /// The number last passed to `on_fleet_size`; 0 before the first call.
    reported_fleet_size: u32,
}

impl MembershipRunner {
    fn run(mut self, inbox: &Receiver<Command>) {
        while self.run_once(inbox).is_continue() {}
    }

    /// Waits for commands until the next timer is due, then handles queued commands and due timers.
    fn run_once(&mut self, inbox: &Receiver<Command>) -> ControlFlow<()> {
        let now = clock::now();
        let deadline = self.membership.next_expiry();
        if deadline > now {
            match recv_until(inbox, deadline) {
                Ok(command) => self.handle_command(command)?,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return ControlFlow::Break(()),
            }
        }
        let mut commands = Vec::new();
        drain_queue(inbox, COMMAND_BATCH_SIZE, |command| commands.push(command));
        for command in commands {
            self.handle_command(command)?;
        }
        self.membership.expire(clock::now(), &mut self.outputs);
        self.perform_outputs();
        ControlFlow::Continue(())
    }

    /// Handles a command. Returns [`ControlFlow::Break`] after [`Command::Leave`].
    fn handle_command(&mut self, command: Command) -> ControlFlow<()> {
        match command {
            Command::Receive {
                from,
                bytes,
                queued: _queued,
            } => {
                let from = from.to_string();
                self.membership
                    .receive(clock::now(), &from, &bytes, &mut self.outputs);
                self.perform_outputs();
            }
            Command::DescribeMembers { reply } => {
                let members = describe_members(clock::now(), &self.membership, &self.history);
                let _ = reply.send(members); // The requester may be gone.
            }
            Command::Leave { done } => {
                self.membership.leave(clock::now(), &mut self.outputs);
                self.perform_outputs();
                let _ = done.send(()); // The requester may have timed out.
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    fn perform_outputs(&mut self) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            match output {
                MembershipOutput::Send {
                    name,
                    address,
                    bytes,
                } => self.send_datagram(&name, &address, &bytes),
                MembershipOutput::MemberChanged(change) => self.member_changed(change),
                MembershipOutput::LocalHealthChanged(LocalHealth::Replaced) => {
                    tracing::error!(
                        reason = "another process joined the fleet under this front's name",
                        "membership stopped"
                    );
                }
                MembershipOutput::LocalHealthChanged(local_health) => {
                    tracing::info!(?local_health, "local health changed");
                }
            }
        }
        self.outputs = outputs; // Reuses the allocation.
        self.report_fleet_size();
    }

    fn send_datagram(&self, name: &str, announced_address: &str, bytes: &[u8]) {
        let configured = self.address_overrides.get(name).copied();
        if let Some(address) = configured.or_else(|| announced_address.parse().ok()) {
            // A datagram that can't be sent at once is dropped.
            let _ = self.socket.inner().send_to(bytes, address);
        }
    }

    /// Logs and records a change of a member's state. `crates/cli/tests/fleet.rs` matches the field `by` and the names of
    /// the states in the log.
    fn member_changed(&mut self, change: MemberChange) {
        let state = change.state;
        match state {
            MemberState::Alive | MemberState::Left => tracing::info!(
                member = change.name,
                ?state,
                by = change.reported_by,
                restarted = change.restarted,
                "member state changed"
            ),
            MemberState::Suspect | MemberState::Dead => tracing::warn!(
                member = change.name,
                ?state,
                by = change.reported_by,
                "member state changed"
            ),
        }
        self.history.record(clock::now(), change);
    }

    fn report_fleet_size(&mut self) {
        let fleet_size = self.membership.estimated_fleet_size() + 1;
        if fleet_size != self.reported_fleet_size {
            self.reported_fleet_size = fleet_size;
            (self.on_fleet_size)(fleet_size);
        }
    }
}
