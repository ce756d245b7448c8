//! The queue of events before the writer; sending never waits.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

use crate::event::{Event, Gap, GapCause, Record, Timestamp};

/// The receiving side of the queue, for the writer.
pub type EventReceiver = Receiver<Record>;

/// Numbers events and hands them to the writer. While the queue is full, events are dropped and counted, and
/// a gap is recorded before the next event that is accepted.
#[derive(Debug)]
pub struct EventSender {
    queue: SyncSender<Record>,
    /// The sequence number of the last event.
    last_sequence: u64,
    /// Events dropped since the last one that was accepted.
    gap: Option<Gap>,
    /// All events dropped so far.
    dropped: u64,
}

/// A queue that holds at most `capacity` events.
pub fn event_channel(capacity: usize) -> (EventSender, EventReceiver) {
    let (queue, records) = sync_channel(capacity);
    (EventSender { queue, last_sequence: 0, gap: None, dropped: 0 }, records)
}

impl EventSender {
    /// Puts an event into the queue, or drops it if the queue is full. Never waits.
    pub fn send(&mut self, time: Timestamp, event: Event) {
        if let Some(gap) = self.gap {
            // A gap has the sequence number of the last event that it stands for.
            if !self.try_send(Record { sequence: self.last_sequence, time: gap.last, event: Event::Gap(gap) })
            {
                self.last_sequence += 1;
                return self.extend_gap(time);
            }
            self.gap = None;
        }
        self.last_sequence += 1;
        if !self.try_send(Record { sequence: self.last_sequence, time, event }) {
            self.extend_gap(time);
        }
    }

    /// Counts an event that was lost before it could be sent.
    pub fn record_loss(&mut self, time: Timestamp) {
        self.last_sequence += 1;
        self.extend_gap(time);
    }

    /// The number of events dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn try_send(&mut self, record: Record) -> bool {
        match self.queue.try_send(record) {
            Ok(()) => true,
            // Without a writer every event is dropped.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    fn extend_gap(&mut self, time: Timestamp) {
        self.dropped += 1;
        let gap =
            self.gap.get_or_insert(Gap { events: 0, first: time, last: time, cause: GapCause::QueueFull });
        gap.events += 1;
        gap.last = time;
    }
}
