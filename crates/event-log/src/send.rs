//! From whoever tells to the writer, without waiting.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

use crate::event::{Event, Gap, GapCause, Record, Timestamp};

/// What the writer takes from.
pub type EventReceiver = Receiver<Record>;

/// Numbers events and hands them to the writer. Where that does not keep up, events are dropped, counted, and
/// told of as a gap before the next that passes.
#[derive(Debug)]
pub struct EventSender {
    queue: SyncSender<Record>,
    /// The last event's number.
    last_sequence: u64,
    /// What was dropped since the last that passed.
    gap: Option<Gap>,
    /// All that was dropped.
    dropped: u64,
}

/// A way to a writer on which so many events wait at most.
pub fn event_channel(waiting: usize) -> (EventSender, EventReceiver) {
    let (queue, records) = sync_channel(waiting);
    (EventSender { queue, last_sequence: 0, gap: None, dropped: 0 }, records)
}

impl EventSender {
    /// Passes an event on, or drops it; never waits.
    pub fn send(&mut self, at: Timestamp, event: Event) {
        if let Some(gap) = self.gap {
            // The gap has the number of the last event that it stands for.
            if !self.try_send(Record { sequence: self.last_sequence, time: gap.last, event: Event::Gap(gap) })
            {
                self.last_sequence += 1;
                return self.extend_gap(at);
            }
            self.gap = None;
        }
        self.last_sequence += 1;
        if !self.try_send(Record { sequence: self.last_sequence, time: at, event }) {
            self.extend_gap(at);
        }
    }

    /// An event is lost before it could be told.
    pub fn record_loss(&mut self, at: Timestamp) {
        self.last_sequence += 1;
        self.extend_gap(at);
    }

    /// Events that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn try_send(&mut self, record: Record) -> bool {
        match self.queue.try_send(record) {
            Ok(()) => true,
            // Without a writer all is dropped.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    fn extend_gap(&mut self, at: Timestamp) {
        self.dropped += 1;
        let gap = self.gap.get_or_insert(Gap { events: 0, first: at, last: at, cause: GapCause::QueueFull });
        gap.events += 1;
        gap.last = at;
    }
}
