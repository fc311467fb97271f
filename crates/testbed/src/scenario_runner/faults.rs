//! Starts and ends the faults of a scenario at its fronts, simulated servers and list service.
use super::front::FrontProcess;
use crate::fault_mode::ResponseFault;
use crate::list_service::entry;
use crate::record::Seen;
use crate::script::{FaultKind, ScheduledFault};
use crate::stage::SimulatedBackend;
use crankpaddle_net::clock;
use crankpaddle_server_protocol::list::EndpointState;
use rustix::process::Signal;
use std::io;

const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

impl SimulatedBackend {
    /// Sends a new state of a server through the list service.
    fn change_listing(&self, server: u32, state: EndpointState) {
        let address = self.fleet.servers[server as usize].address;
        let started_ms = if state == EndpointState::Ready {
            clock::now().as_nanos() / NANOSECONDS_PER_MILLISECOND
        } else {
            0
        };
        let listing = entry(&self.config, server, address, state, started_ms);
        self.list.change(listing);
    }

    /// Starts a fault at its servers or, depending on its kind, in the whole fleet, the endpoint list or some fronts.
    pub(super) fn begin(&self, fault: &ScheduledFault, fronts: &[FrontProcess]) {
        for &server in &fault.servers {
            self.begin_at_server(&fault.kind, server);
        }
        match &fault.kind {
            FaultKind::Slow(divisor) => self.fleet.set_slow(*divisor),
            FaultKind::ListLate(extra_delay) => self.list.set_delay(self.list_delay + *extra_delay),
            FaultKind::ListGone => self.list.set_unavailable(true),
            FaultKind::Stall(numbers) => {
                for &front in numbers {
                    self.recorder.record(Seen::Stalled {
                        front,
                        stopped: true,
                    });
                    fronts[front as usize].process.signal(Signal::STOP);
                }
            }
            _ => {}
        }
    }

    fn begin_at_server(&self, kind: &FaultKind, server: u32) {
        let fleet = &self.fleet;
        match *kind {
            FaultKind::Hang => fleet.set_faults(server, |faults| faults.hangs = true),
            FaultKind::FastErrors(fraction) => {
                fleet.set_faults(server, |faults| faults.errors = fraction);
            }
            FaultKind::BillAndReset(fraction) => {
                fleet.set_faults(server, |faults| faults.bills_and_resets = fraction);
            }
            FaultKind::Trickle => fleet.set_faults(server, |faults| faults.trickles = true),
            FaultKind::ResponseFault(response_fault) => {
                fleet.set_faults(server, |faults| faults.response_fault = response_fault);
            }
            FaultKind::Vanish => {
                fleet.set_faults(server, |faults| faults.vanished = true);
                self.change_listing(server, EndpointState::Gone);
            }
            FaultKind::Crash => {
                fleet.crash(server);
                self.change_listing(server, EndpointState::Gone);
            }
            FaultKind::Drain => self.change_listing(server, EndpointState::Draining),
            _ => {}
        }
    }

    /// Ends a fault. A server that vanished, crashed or drained is restarted and listed as ready again.
    pub(super) fn end(&self, fault: &ScheduledFault, fronts: &[FrontProcess]) -> io::Result<()> {
        for &server in &fault.servers {
            self.end_at_server(&fault.kind, server)?;
        }
        match &fault.kind {
            FaultKind::Slow(_) => self.fleet.set_slow(1.0),
            FaultKind::ListLate(_) => self.list.set_delay(self.list_delay),
            FaultKind::ListGone => self.list.set_unavailable(false),
            FaultKind::Stall(numbers) => {
                for &front in numbers {
                    fronts[front as usize].process.signal(Signal::CONT);
                    self.recorder.record(Seen::Stalled {
                        front,
                        stopped: false,
                    });
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn end_at_server(&self, kind: &FaultKind, server: u32) -> io::Result<()> {
        let fleet = &self.fleet;
        match kind {
            FaultKind::Hang => fleet.set_faults(server, |faults| faults.hangs = false),
            FaultKind::FastErrors(_) => fleet.set_faults(server, |faults| faults.errors = 0.0),
            FaultKind::BillAndReset(_) => {
                fleet.set_faults(server, |faults| faults.bills_and_resets = 0.0);
            }
            FaultKind::Trickle => fleet.set_faults(server, |faults| faults.trickles = false),
            FaultKind::ResponseFault(_) => {
                fleet.set_faults(server, |faults| {
                    faults.response_fault = ResponseFault::default();
                });
            }
            FaultKind::Vanish | FaultKind::Crash => self.restart_server(server)?,
            FaultKind::Drain => {
                fleet.end_sessions(server, false);
                self.restart_server(server)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn restart_server(&self, server: u32) -> io::Result<()> {
        self.fleet.crash(server);
        self.fleet.restart(server)?;
        self.change_listing(server, EndpointState::Ready);
        Ok(())
    }
}
