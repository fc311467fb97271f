//! The queue of a simulation in virtual time.
use crankpaddle_time::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Events ordered by time; events of the same time keep the order in which they were scheduled.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled: u64,
}

struct Scheduled<E> {
    at: Time,
    number: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn order(&self) -> (Time, u64) {
        (self.at, self.number)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Scheduled<E>) -> bool {
        self.order() == other.order()
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
        self.order().cmp(&other.order())
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue {
            heap: BinaryHeap::new(),
            scheduled: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at a time.
    pub fn schedule(&mut self, at: Time, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse(Scheduled {
            at,
            number: self.scheduled,
            event,
        }));
    }

    /// Takes the first event if its time is not after `until`.
    pub fn pop_until(&mut self, until: Time) -> Option<(Time, E)> {
        let Reverse(first) = self.heap.peek()?;
        if first.at > until {
            return None;
        }
        let Reverse(scheduled) = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
