//! A front before servers of its own.
use super::{wait_until, Backend, Player, FREE, TEST_TIMEOUT};
use crankpaddle_config::Config;
use crankpaddle_daemon::Daemon;
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::fault_mode::Mode;
use crankpaddle_testbed::invariant_checker::{judge, Rules, Verdict};
use crankpaddle_testbed::list_service::ListService;
use crankpaddle_testbed::record::{Record, Recorder, Seen};
use crankpaddle_testbed::server::Fleet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A front with its servers and its list service.
pub(crate) struct Harness {
    pub config: Arc<Config>,
    pub fleet: Arc<Fleet>,
    pub list: Arc<ListService>,
    pub daemon: Daemon,
    pub recorder: Recorder,
}

impl Harness {
    pub(crate) fn new(changes: &[(&str, &str)]) -> Harness {
        Harness::with_tenant(changes, "")
    }

    /// Where the changes name tenants, one of them must be given.
    pub(crate) fn with_tenant(changes: &[(&str, &str)], tenant: &str) -> Harness {
        Harness::start_on(Backend::new(changes), tenant, |_| {})
    }

    /// A front on this backend, to which something is done before the front starts.
    pub(crate) fn start_on(
        backend: Backend,
        tenant: &str,
        prepare: impl FnOnce(&Backend),
    ) -> Harness {
        prepare(&backend);
        let daemon = backend.start_front();
        Harness::with_front(backend, daemon, tenant)
    }

    /// A front that was started by the caller.
    pub(crate) fn with_front(backend: Backend, daemon: Daemon, tenant: &str) -> Harness {
        let harness = Harness {
            config: backend.config,
            fleet: backend.fleet,
            list: backend.list,
            daemon,
            recorder: backend.recorder,
        };
        harness.wait_for_list(tenant);
        harness
    }

    /// Waits until the front has a list: only then a request can be placed.
    pub(crate) fn wait_for_list(&self, tenant: &str) {
        wait_until("the list to be sent", || {
            self.count_seen(|seen| matches!(seen, Seen::Listed { .. })) > 0
        });
        // Sent is not yet handled: requests are sent until one is placed.
        let mut player = self.connect_player();
        player.tenant = (!tenant.is_empty()).then(|| tenant.to_owned());
        let deadline = Instant::now() + TEST_TIMEOUT;
        for number in 1.. {
            let (_, event) = player.open_and_wait(&format!("probe-{number:04}"), FREE);
            if let ClientEvent::Plays { session, .. } = event {
                player.close_session(&session);
                break;
            }
            assert!(Instant::now() < deadline, "{event:?}");
        }
        wait_until("the probe to end", || self.fleet.streams() == 0);
    }

    /// Changes how all servers behave.
    /// Ends a server's process and waits until its port is closed.
    ///
    /// Why it waits: the stand-in closes its listener in a coroutine of its own; until then connections are accepted, and
    /// reset a moment later instead of refused.
    pub(crate) fn crash(&self, id: u32) {
        self.fleet.crash(id);
        let address = self.fleet.servers[id as usize].address;
        wait_until("the port to be closed", || {
            TcpStream::connect(address).is_err()
        });
    }

    pub(crate) fn set_modes(&self, change: impl Fn(&mut Mode)) {
        for id in 0..12 {
            self.fleet.set_mode(id, &change);
        }
    }

    /// How many recorded events are like this.
    pub(crate) fn count_seen(&self, is_counted: impl Fn(&Seen) -> bool) -> usize {
        let records = self.recorder.all();
        let counted = records.iter().filter(|record| is_counted(&record.seen));
        counted.count()
    }

    /// How often the session with this key was set up, and how often it was billed.
    pub(crate) fn set_ups_and_bills(&self, key: &str) -> (usize, usize) {
        let label = crankpaddle_server_protocol::sessions::billing_key(key);
        let set_ups =
            self.count_seen(|seen| matches!(seen, Seen::SetUp { bill, .. } if *bill == label));
        let bills =
            self.count_seen(|seen| matches!(seen, Seen::Billed { bill, .. } if *bill == label));
        (set_ups, bills)
    }

    /// The checker's verdict on what the servers saw; the players here are not recorded.
    pub(crate) fn verdict(&self) -> Verdict {
        let records: Vec<Record> = self.recorder.all();
        let drain_grace = Duration::from_nanos(1_000_000_000);
        let tolerance = Duration::from_nanos(150_000_000);
        let rules = Rules::of(&self.config, drain_grace, tolerance);
        judge(&rules, &records)
    }

    pub(crate) fn connect_player(&self) -> Player {
        Player::connect(self.daemon.address())
    }

    /// A connection without any protocol.
    pub(crate) fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.daemon.address()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    /// Sends bytes and reads all until the front closes.
    pub(crate) fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer); // A reset after the answer is an end too.
        String::from_utf8_lossy(&answer).into_owned()
    }
}
