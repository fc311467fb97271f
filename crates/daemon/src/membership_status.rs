//! The reply to `GET /members`: this front's view of its peers.
use crankpaddle_api::describe::{Members, OwnStanding, Peer, PeerState, PeerTurn};
use crankpaddle_membership::{LocalHealth, MemberChange, MemberSnapshot, MemberState, Membership};
use crankpaddle_time::Time;
use std::collections::VecDeque;

/// Most changes that are kept; older ones are dropped.
const MAX_CHANGES: usize = 256;

struct RecordedChange {
    at: Time,
    change: MemberChange,
}

/// The latest changes of members, numbered from 1.
#[derive(Default)]
pub(crate) struct ChangeHistory {
    changes: VecDeque<RecordedChange>,
    /// Number of all changes so far, including dropped ones.
    total: u64,
}

impl ChangeHistory {
    pub(crate) fn record(&mut self, now: Time, change: MemberChange) {
        self.total += 1;
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(RecordedChange { at: now, change });
    }

    fn describe(&self, now: Time) -> Vec<PeerTurn> {
        let first = self.total + 1 - self.changes.len() as u64;
        let numbered = self.changes.iter().zip(first..);
        let described = numbered.map(|(RecordedChange { at, change }, number)| PeerTurn {
            number,
            ago_ms: now.duration_since(*at).as_millis() as u64,
            name: change.name.clone(),
            state: peer_state(change.state),
            by: change.reported_by.clone(),
            restarted: change.restarted,
        });
        described.collect()
    }
}

/// Creates the reply as of `now`.
pub(crate) fn describe_members(
    now: Time,
    membership: &Membership,
    history: &ChangeHistory,
) -> Members {
    let counters = membership.counters();
    let members = membership.members().into_iter();
    let named_counters = counters.named().into_iter();
    Members {
        name: membership.name().to_owned(),
        address: membership.address().to_owned(),
        // The names of these fields are published in the JSON of `GET /members`, so they stay.
        standing: local_health_status(membership.local_health()),
        members: members.map(|member| describe_member(now, member)).collect(),
        sent: counters.datagrams_sent,
        heard: counters.datagrams_received,
        dropped: counters.dropped(),
        counted: named_counters
            .map(|(name, count)| (name.to_owned(), count))
            .collect(),
        turns: history.describe(now),
    }
}

fn describe_member(now: Time, member: MemberSnapshot) -> Peer {
    Peer {
        name: member.name,
        address: member.address,
        state: peer_state(member.state),
        since_ms: now.duration_since(member.since).as_millis() as u64,
        by: member.reported_by,
        rtt_us: member.rtt.map(|rtt| rtt.as_micros() as u64),
    }
}

fn local_health_status(health: LocalHealth) -> OwnStanding {
    match health {
        LocalHealth::Alone => OwnStanding::Alone,
        LocalHealth::Connected => OwnStanding::Connected,
        LocalHealth::Degraded => OwnStanding::Doubtful,
        LocalHealth::Isolated => OwnStanding::CutOff,
        LocalHealth::Replaced => OwnStanding::Replaced,
    }
}

fn peer_state(state: MemberState) -> PeerState {
    match state {
        MemberState::Alive => PeerState::Alive,
        MemberState::Suspect => PeerState::Suspect,
        MemberState::Dead => PeerState::Gone,
        MemberState::Left => PeerState::Left,
    }
}
