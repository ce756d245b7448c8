//! A queue of events in virtual time; events of one moment come in the order in which they were put.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use heathward_policy::Micros;

struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events by time.
pub struct EventQueue<E> {
    entries: BinaryHeap<Reverse<Entry<E>>>,
    pushed: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { entries: BinaryHeap::new(), pushed: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: Micros, event: E) {
        self.pushed += 1;
        self.entries.push(Reverse(Entry { at, number: self.pushed, event }));
    }

    /// When the next event is due.
    pub fn next_at(&self) -> Option<Micros> {
        self.entries.peek().map(|Reverse(entry)| entry.at)
    }

    /// The next event, if it is due at `until` or before.
    pub fn pop(&mut self, until: Micros) -> Option<(Micros, E)> {
        if self.next_at()? > until {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
