//! Starts and ends the faults of a scenario at its fronts, simulated servers and list service.
use super::front::FrontProcess;
use crate::fault_mode::ResponseFault;
use crate::list_service::entry;
use crate::record::Seen;
use crate::script::{Kind, ScheduledFault};
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
            Kind::Slow(divisor) => self.fleet.set_slow(*divisor),
            Kind::ListLate(extra_delay) => self.list.set_delay(self.list_delay + *extra_delay),
            Kind::ListGone => self.list.set_gone(true),
            Kind::Stall(numbers) => {
                for &front in numbers {
                    self.recorder.see(Seen::Stalled {
                        front,
                        stopped: true,
                    });
                    fronts[front as usize].process.signal(Signal::STOP);
                }
            }
            _ => {}
        }
    }

    fn begin_at_server(&self, kind: &Kind, server: u32) {
        let fleet = &self.fleet;
        match *kind {
            Kind::Hang => fleet.set_mode(server, |mode| mode.hangs = true),
            Kind::FastErrors(fraction) => fleet.set_mode(server, |mode| mode.errors = fraction),
            Kind::BillAndReset(fraction) => {
                fleet.set_mode(server, |mode| mode.bills_and_resets = fraction);
            }
            Kind::Trickle => fleet.set_mode(server, |mode| mode.trickles = true),
            Kind::ResponseFault(response_fault) => {
                fleet.set_mode(server, |mode| mode.response_fault = response_fault);
            }
            Kind::Vanish => {
                fleet.set_mode(server, |mode| mode.vanished = true);
                self.change_listing(server, EndpointState::Gone);
            }
            Kind::Crash => {
                fleet.crash(server);
                self.change_listing(server, EndpointState::Gone);
            }
            Kind::Drain => self.change_listing(server, EndpointState::Draining),
            _ => {}
        }
    }

    /// Ends a fault. A server that vanished, crashed or drained is restarted and listed as ready again.
    pub(super) fn end(&self, fault: &ScheduledFault, fronts: &[FrontProcess]) -> io::Result<()> {
        for &server in &fault.servers {
            self.end_at_server(&fault.kind, server)?;
        }
        match &fault.kind {
            Kind::Slow(_) => self.fleet.set_slow(1.0),
            Kind::ListLate(_) => self.list.set_delay(self.list_delay),
            Kind::ListGone => self.list.set_gone(false),
            Kind::Stall(numbers) => {
                for &front in numbers {
                    fronts[front as usize].process.signal(Signal::CONT);
                    self.recorder.see(Seen::Stalled {
                        front,
                        stopped: false,
                    });
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn end_at_server(&self, kind: &Kind, server: u32) -> io::Result<()> {
        let fleet = &self.fleet;
        match kind {
            Kind::Hang => fleet.set_mode(server, |mode| mode.hangs = false),
            Kind::FastErrors(_) => fleet.set_mode(server, |mode| mode.errors = 0.0),
            Kind::BillAndReset(_) => fleet.set_mode(server, |mode| mode.bills_and_resets = 0.0),
            Kind::Trickle => fleet.set_mode(server, |mode| mode.trickles = false),
            Kind::ResponseFault(_) => {
                fleet.set_mode(server, |mode| {
                    mode.response_fault = ResponseFault::default();
                });
            }
            Kind::Vanish | Kind::Crash => self.restart_server(server)?,
            Kind::Drain => {
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
