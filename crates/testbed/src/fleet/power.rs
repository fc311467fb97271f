//! Carries out power losses of the hosts of fronts and servers.
use super::ProcessCluster;
use crate::player::LossCounts;
use crankpaddle_fault_simulation::{FrontSet, HostAction};
use std::io;

impl ProcessCluster<'_> {
    /// Counts the viewers that lost their session in a power loss, of the paid classes or of all classes.
    pub(super) fn loss_counts(&self, paid: bool) -> LossCounts {
        let is_paid = |class: u8| {
            let classes = &self.backend.config.settings.classes;
            let class = classes.get(usize::from(class));
            class.is_some_and(|class| class.idempotency == crankpaddle::Idempotency::AtMostOnce)
        };
        self.players.lost(|class| !paid || is_paid(class))
    }

    /// Carries out an action at the hosts.
    pub(super) fn run_host_action(&mut self, action: &HostAction) -> io::Result<()> {
        let fronts = self.processes.len();
        let servers = self.backend.fleet.servers.len();
        let Some(hosts) = &mut self.hosts else {
            return Err(io::Error::other("the case has no hosts"));
        };
        match action {
            HostAction::PowerOff {
                fronts: of_fronts,
                servers: of_servers,
                list_service,
            } => self.power_off(
                &of_fronts.members(fronts),
                &of_servers.members(servers),
                *list_service,
            ),
            HostAction::PowerOn {
                fronts: of_fronts,
                servers: of_servers,
                list_service,
            } => self.power_on(
                &of_fronts.members(fronts),
                &of_servers.members(servers),
                *list_service,
            ),
            HostAction::CopyDisks(of_fronts) => hosts.copy_disks(&of_fronts.members(fronts)),
            HostAction::SetDisks {
                fronts: of_fronts,
                state,
            } => hosts.set_disks(&of_fronts.members(fronts), *state),
            HostAction::LoseSessionInventories(of_servers) => {
                self.lose_inventories(of_servers);
                Ok(())
            }
        }
    }

    fn power_off(&mut self, fronts: &[usize], servers: &[usize], list: bool) -> io::Result<()> {
        self.players.on_power_loss();
        if let Some(hosts) = &mut self.hosts {
            hosts.power_off_fronts(fronts)?;
            // The servers lose power some microseconds before the fronts, as in a real power loss. A front that runs on for
            // that time sees its connections to the servers break.
            hosts.power_off_servers(&self.backend.fleet, servers);
        }
        if list {
            self.backend.list.set_unavailable(true);
        }
        self.kill(fronts)
    }

    fn power_on(&mut self, fronts: &[usize], servers: &[usize], list: bool) -> io::Result<()> {
        if let Some(hosts) = &self.hosts {
            hosts.power_on_servers(&self.backend.fleet, &self.backend.list, servers)?;
        }
        if list {
            self.backend.list.set_unavailable(false);
        }
        self.start(fronts)
    }

    fn lose_inventories(&self, of_servers: &FrontSet) {
        let servers = self.backend.fleet.servers.len();
        for id in of_servers.members(servers) {
            self.backend.fleet.lose_inventory(id as u32);
        }
    }
}
