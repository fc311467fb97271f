//! The simulated network as a cluster that scenarios run on.
use super::{
    front_name, member_config, LastWrite, SentBefore, SimulatedNetwork, SimulatedNode,
    RESTART_EPOCH, RESTART_INCARNATIONS,
};
use crate::cluster::{Cluster, Entry, MemberTransition, Rate};
use crate::error::ActionError;
use crate::network_conditions::NetworkConditions;
use crate::scenario::{Act, Power};
use crate::seconds;
use crate::simulated_process::{carry_out, SimulatedProcesses, START_OF_TIME};
use crankpaddle_membership::{LocalHealth, MemberState, Membership, MembershipConfig};
use crankpaddle_time::Time;
use std::time::Duration;

/// The key of the entry that a scenario writes.
const ENTRY_KEY: u8 = 1;
/// Its length, bytes.
const ENTRY_BYTES: usize = 100;

impl SimulatedProcesses for SimulatedNetwork {
    fn count(&self) -> usize {
        self.nodes.len()
    }

    fn is_running(&self, front: usize) -> bool {
        self.nodes[front].is_running
    }

    /// Starts a process from nothing, on a host whose clock was set back.
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

    fn write(&mut self, front: usize) -> Result<(), ActionError> {
        self.with_member(front, |member, now, _| {
            member.write(now, ENTRY_KEY, vec![7; ENTRY_BYTES])
        })?;
        self.last_write = Some(LastWrite {
            node: front,
            at: self.now,
        });
        Ok(())
    }

    fn act_on_hosts(&mut self, _: &Power) -> Result<(), ActionError> {
        let what = "only processes have disks and servers; play it without --virtual";
        Err(ActionError::Unsupported(what.to_owned()))
    }

    fn advance(&mut self, time: Duration) {
        SimulatedNetwork::advance(self, time);
    }

    fn conditions(&mut self) -> &mut NetworkConditions {
        &mut self.conditions
    }
}

impl Cluster for SimulatedNetwork {
    fn fronts(&self) -> usize {
        self.nodes.len()
    }

    fn now(&self) -> Time {
        self.now
    }

    fn run(&mut self, time: Duration) {
        self.advance(time);
    }

    fn act(&mut self, act: &Act) -> Result<(), ActionError> {
        carry_out(self, act)
    }

    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.nodes[at].membership.state_of(&front_name(of))
    }

    fn local_health(&self, at: usize) -> Option<LocalHealth> {
        Some(self.nodes[at].membership.local_health())
    }

    fn transitions(&self, from: Time) -> Vec<MemberTransition> {
        let first = self.changes.partition_point(|record| record.at < from);
        let transition = |record: &super::ChangeRecord| {
            Some(MemberTransition {
                at: record.at,
                by: record.by,
                of: *self.numbers.get(&record.change.name)?,
                state: record.change.state,
                restarted: record.change.restarted,
            })
        };
        self.changes[first..]
            .iter()
            .filter_map(transition)
            .collect()
    }

    fn entry(&self, at: usize) -> Option<Entry> {
        let write = self.last_write.as_ref()?;
        let reader = &self.nodes[at].membership;
        let entry = reader.entry(self.now, &front_name(write.node), ENTRY_KEY)?;
        Some(Entry {
            reported_age: entry.age,
            actual_age: self.now.duration_since(write.at),
        })
    }

    fn sent(&self) -> Rate {
        let elapsed = self.now.duration_since(START_OF_TIME);
        let seconds = seconds(elapsed.max(Duration::from_nanos(1)));
        let rate = |(node, before): (&SimulatedNode, &SentBefore)| {
            let counters = node.membership.counters();
            (
                (counters.datagrams_sent + before.datagrams) as f64 / seconds,
                (counters.bytes_sent + before.bytes) as f64 / seconds,
            )
        };
        self.nodes
            .iter()
            .zip(&self.sent_before)
            .map(rate)
            .fold((0.0, 0.0), |most: Rate, rate: Rate| {
                (most.0.max(rate.0), most.1.max(rate.1))
            })
    }
}
