//! Control and observation of the simulated network's processes by cases.
use super::{
    front_name, member_config, ChangeRecord, LastWrite, SimulatedNetwork, RESTART_EPOCH,
    RESTART_INCARNATIONS,
};
use crate::cluster::{EntryAge, MemberTransition};
use crate::error::ActionError;
use crate::network_conditions::NetworkConditions;
use crate::scenario::HostAction;
use crate::simulated_process::{SentCounts, SimulatedProcesses};
use crankpaddle_membership::{LocalHealth, MemberState, Membership, MembershipConfig};
use crankpaddle_time::Time;
use std::time::Duration;

/// Key of the entry of the gossip state that a case writes.
const ENTRY_KEY: u8 = 1;
/// Length of that entry in bytes.
const ENTRY_BYTES: usize = 100;

impl SimulatedProcesses for SimulatedNetwork {
    fn count(&self) -> usize {
        self.nodes.len()
    }

    fn is_running(&self, front: usize) -> bool {
        self.nodes[front].process.is_running()
    }

    /// Starts a process without any state of the previous one, on a host whose clock was set back.
    fn restart(&mut self, front: usize) {
        let seeds = self.nodes[front].seeds.clone();
        self.restarts += 1;
        self.start(MembershipConfig {
            epoch: RESTART_EPOCH,
            incarnation: RESTART_INCARNATIONS + self.restarts,
            ..member_config(front, &seeds)
        });
    }

    fn kill(&mut self, front: usize) {
        SimulatedNetwork::kill(self, front);
    }

    fn leave(&mut self, front: usize) {
        self.with_member(front, Membership::leave);
    }

    fn pause(&mut self, front: usize) {
        SimulatedNetwork::pause(self, front);
    }

    fn resume(&mut self, front: usize) {
        SimulatedNetwork::resume(self, front);
    }

    fn write_entry(&mut self, front: usize) -> Result<(), ActionError> {
        self.with_member(front, |member, now, _| {
            member.write(now, ENTRY_KEY, vec![7; ENTRY_BYTES])
        })?;
        self.last_write = Some(LastWrite {
            node: front,
            at: self.now,
        });
        Ok(())
    }

    fn act_on_hosts(&mut self, _: &HostAction) -> Result<(), ActionError> {
        let message = "power, disks and servers exist only with real processes; run the case without --virtual";
        Err(ActionError::Unsupported(message.to_owned()))
    }

    fn advance(&mut self, time: Duration) {
        SimulatedNetwork::advance(self, time);
    }

    fn conditions(&mut self) -> &mut NetworkConditions {
        &mut self.conditions
    }

    fn clock(&self) -> Time {
        self.now
    }

    fn member_state(&self, viewer: usize, viewed: usize) -> Option<MemberState> {
        self.nodes[viewer].membership.state_of(&front_name(viewed))
    }

    fn own_health(&self, front: usize) -> Option<LocalHealth> {
        Some(self.nodes[front].membership.local_health())
    }

    fn transitions_since(&self, from: Time) -> Vec<MemberTransition> {
        let first = self.changes.partition_point(|record| record.at < from);
        let transition = |record: &ChangeRecord| {
            Some(MemberTransition {
                at: record.at,
                viewer: record.viewer,
                viewed: *self.numbers_by_address.get(&record.change.name)?,
                state: record.change.state,
                restarted: record.change.restarted,
            })
        };
        self.changes[first..]
            .iter()
            .filter_map(transition)
            .collect()
    }

    fn last_entry_age(&self, reader: usize) -> Option<EntryAge> {
        let write = self.last_write.as_ref()?;
        let reader = &self.nodes[reader].membership;
        let entry = reader.entry(self.now, &front_name(write.node), ENTRY_KEY)?;
        Some(EntryAge {
            reported: entry.age,
            actual: self.now.duration_since(write.at),
        })
    }

    fn sent_by(&self, front: usize) -> SentCounts {
        self.sent_counts(front)
    }
}
