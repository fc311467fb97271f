//! Power losses of the hosts of fronts and servers.
use super::Harness;
use crate::player::LossCounts;
use crankpaddle_fault_simulation::{Fronts, HostAction};
use std::io;

impl Harness<'_> {
    /// Viewers that lost their session with the power, of all classes or the paid ones.
    pub(super) fn lost(&self, paid: bool) -> LossCounts {
        let is_paid = |class: u8| {
            let classes = &self.stage.config.settings.classes;
            let class = classes.get(usize::from(class));
            class.is_some_and(|c| c.idempotency == crankpaddle::Idempotency::AtMostOnce)
        };
        self.players.lost(|class| !paid || is_paid(class))
    }

    /// Carries out a step of a power loss.
    pub(super) fn power(&mut self, action: &HostAction) -> io::Result<()> {
        let fronts = self.processes.len();
        let servers = self.stage.fleet.servers.len();
        let Some(hosts) = &mut self.hosts else {
            return Err(io::Error::other("the case has no hosts"));
        };
        match action {
            HostAction::PowerOff {
                fronts: of_fronts,
                servers: of_servers,
                list_service,
            } => self.power_off(
                &of_fronts.of(fronts),
                &of_servers.of(servers),
                *list_service,
            ),
            HostAction::PowerOn {
                fronts: of_fronts,
                servers: of_servers,
                list_service,
            } => self.power_on(
                &of_fronts.of(fronts),
                &of_servers.of(servers),
                *list_service,
            ),
            HostAction::CopyDisks(of_fronts) => hosts.copy(&of_fronts.of(fronts)),
            HostAction::SetDisks {
                fronts: of_fronts,
                state,
            } => hosts.set_disks(&of_fronts.of(fronts), *state),
            HostAction::LoseSessionInventories(of_servers) => {
                self.lose_inventories(of_servers);
                Ok(())
            }
        }
    }

    fn power_off(&mut self, fronts: &[usize], servers: &[usize], list: bool) -> io::Result<()> {
        self.players.on_power_loss();
        if let Some(hosts) = &mut self.hosts {
            hosts.off(fronts)?;
            // Why: the servers first, by microseconds, as in a real power loss: a front that runs on for that long sees
            // their connections break.
            hosts.servers_off(&self.stage.fleet, servers);
        }
        if list {
            self.stage.list.set_gone(true);
        }
        self.kill(fronts)
    }

    fn power_on(&mut self, fronts: &[usize], servers: &[usize], list: bool) -> io::Result<()> {
        if let Some(hosts) = &self.hosts {
            hosts.servers_on(&self.stage.fleet, &self.stage.list, servers)?;
        }
        if list {
            self.stage.list.set_gone(false);
        }
        self.start(fronts)
    }

    fn lose_inventories(&self, of_servers: &Fronts) {
        let servers = self.stage.fleet.servers.len();
        for id in of_servers.of(servers) {
            self.stage.fleet.lose_inventory(id as u32);
        }
    }
}
