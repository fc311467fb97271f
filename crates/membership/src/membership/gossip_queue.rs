//! The queue of updates to disseminate. Those sent least often are sent first (SWIM's infection-style dissemination).
use crate::gossip_state::EntryKey;
use std::collections::{BTreeMap, BTreeSet};

/// The member or entry that an update describes. The update itself is created when it is sent, so that it is never out of date.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum GossipItem {
    Member(String),
    Entry(EntryKey),
}

/// An item with the number of times that it was sent. Items are ordered by that number first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuedItem {
    pub(super) transmissions: u32,
    pub(super) item: GossipItem,
}

/// The items to disseminate, each at most once.
#[derive(Clone, Default)]
pub(super) struct GossipQueue {
    by_transmissions: BTreeSet<QueuedItem>,
    transmissions: BTreeMap<GossipItem, u32>,
}

impl GossipQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.by_transmissions.is_empty()
    }

    /// Queues an item that was not sent yet. If it is queued already, its count restarts at zero.
    pub(super) fn push(&mut self, item: GossipItem) {
        if let Some(transmissions) = self.transmissions.insert(item.clone(), 0) {
            self.by_transmissions.remove(&QueuedItem {
                transmissions,
                item: item.clone(),
            });
        }
        self.by_transmissions.insert(QueuedItem {
            transmissions: 0,
            item,
        });
    }

    /// Up to `limit` items, those sent least often first.
    pub(super) fn least_sent(&self, limit: usize) -> Vec<QueuedItem> {
        self.by_transmissions.iter().take(limit).cloned().collect()
    }

    /// Counts one more transmission of an item. Removes the item once it was sent `limit` times.
    pub(super) fn record_transmission(&mut self, sent: QueuedItem, limit: u32) {
        self.by_transmissions.remove(&sent);
        let QueuedItem {
            transmissions,
            item,
        } = sent;
        let transmissions = transmissions + 1;
        if transmissions < limit {
            self.transmissions.insert(item.clone(), transmissions);
            self.by_transmissions.insert(QueuedItem {
                transmissions,
                item,
            });
        } else {
            self.transmissions.remove(&item);
        }
    }
}
