//! The event queue of a discrete-event simulation.
use crankpaddle_time::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A queue of events ordered by time. Events of the same time keep the order in which they were scheduled, so that a run can be
/// repeated exactly.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled_count: u64,
}

struct Scheduled<E> {
    at: Time,
    sequence_number: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn sort_key(&self) -> (Time, u64) {
        (self.at, self.sequence_number)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Scheduled<E>) -> bool {
        self.sort_key() == other.sort_key()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Scheduled<E>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Scheduled<E>) -> Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue {
            heap: BinaryHeap::new(),
            scheduled_count: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event that happens at a time.
    pub fn schedule(&mut self, at: Time, event: E) {
        self.scheduled_count += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            sequence_number: self.scheduled_count,
            event,
        }));
    }

    /// Removes the earliest event and returns it with its time, unless it is later than `until` or the queue is empty.
    pub fn pop_until(&mut self, until: Time) -> Option<(Time, E)> {
        let Reverse(first) = self.heap.peek()?;
        if first.at > until {
            return None;
        }
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
