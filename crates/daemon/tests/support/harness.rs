//! A front under test, with servers and a list service of its own.
use super::{wait_until, Backend, TestPlayer, FREE, TEST_TIMEOUT};
use crankpaddle_config::Config;
use crankpaddle_daemon::Daemon;
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::fault_mode::ServerFaults;
use crankpaddle_testbed::invariant_checker::{check_invariants, Rules, Verdict};
use crankpaddle_testbed::list_service::ListService;
use crankpaddle_testbed::record::{Record, Recorder, Seen};
use crankpaddle_testbed::server::SimulatedFleet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A front with its servers and its list service.
pub(crate) struct Harness {
    pub config: Arc<Config>,
    pub fleet: Arc<SimulatedFleet>,
    pub list: Arc<ListService>,
    pub daemon: Daemon,
    pub recorder: Recorder,
}

impl Harness {
    pub(crate) fn new(changes: &[(&str, &str)]) -> Harness {
        Harness::with_tenant(changes, "")
    }

    /// Starts a front whose configuration has `changes`. If they configure tenants, `tenant` must be one of them.
    pub(crate) fn with_tenant(changes: &[(&str, &str)], tenant: &str) -> Harness {
        Harness::start_on(Backend::new(changes), tenant, |_| {})
    }

    /// Calls `prepare`, then starts a front on this backend.
    pub(crate) fn start_on(
        backend: Backend,
        tenant: &str,
        prepare: impl FnOnce(&Backend),
    ) -> Harness {
        prepare(&backend);
        let daemon = backend.start_front();
        Harness::with_front(backend, daemon, tenant)
    }

    /// Creates a harness for a front that the caller started, and waits until it can place requests.
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

    /// Waits until the front has an endpoint list, without which it can't place requests.
    pub(crate) fn wait_for_list(&self, tenant: &str) {
        wait_until("the endpoint list to be sent", || {
            self.count_seen(|seen| matches!(seen, Seen::Listed { .. })) > 0
        });
        // The front may not have handled the list yet, so requests are repeated until one is established.
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
        wait_until("the probe's session to end", || self.fleet.streams() == 0);
    }

    /// Crashes a server and waits until its port is closed.
    ///
    /// The simulated server closes its listener in a coroutine of its own. Until then connections are accepted and reset a
    /// moment later, instead of being refused.
    pub(crate) fn crash(&self, id: u32) {
        self.fleet.crash(id);
        let address = self.fleet.servers[id as usize].address;
        wait_until("the port to be closed", || {
            TcpStream::connect(address).is_err()
        });
    }

    /// Changes the behavior of all servers.
    pub(crate) fn set_faults_on_all(&self, change: impl Fn(&mut ServerFaults)) {
        for id in 0..12 {
            self.fleet.set_faults(id, &change);
        }
    }

    /// The number of recorded events that `is_counted` selects.
    pub(crate) fn count_seen(&self, is_counted: impl Fn(&Seen) -> bool) -> usize {
        let records = self.recorder.all();
        let counted = records.iter().filter(|record| is_counted(&record.seen));
        counted.count()
    }

    /// How often servers received a set-up for this key, and how often they billed it.
    pub(crate) fn set_ups_and_bills(&self, key: &str) -> (usize, usize) {
        let billing_key = crankpaddle_server_protocol::sessions::billing_key(key);
        let set_ups = self
            .count_seen(|seen| matches!(seen, Seen::SetUp { bill, .. } if *bill == billing_key));
        let bills = self
            .count_seen(|seen| matches!(seen, Seen::Billed { bill, .. } if *bill == billing_key));
        (set_ups, bills)
    }

    /// The invariant checker's verdict on the events at the servers; players are not recorded here.
    pub(crate) fn verdict(&self) -> Verdict {
        let records: Vec<Record> = self.recorder.all();
        let drain_grace = Duration::from_nanos(1_000_000_000);
        let tolerance = Duration::from_nanos(150_000_000);
        let rules = Rules::of(&self.config, drain_grace, tolerance);
        check_invariants(&rules, &records)
    }

    pub(crate) fn connect_player(&self) -> TestPlayer {
        TestPlayer::connect(self.daemon.address())
    }

    /// Opens a plain TCP connection to the front.
    pub(crate) fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.daemon.address()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    /// Sends bytes over a new connection and returns everything that is received until it ends.
    pub(crate) fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response); // The connection may also end with a reset.
        String::from_utf8_lossy(&response).into_owned()
    }
}
