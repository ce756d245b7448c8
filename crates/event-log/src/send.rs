//! From whoever tells to the writer, without waiting.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

use crate::event::{Event, Gap, GapCause, Record, Stamp};

/// What the writer takes from.
pub type Waiting = Receiver<Record>;

/// Numbers events and hands them to the writer. Where that does not keep up, events are dropped, counted, and
/// told of as a gap before the next that passes.
#[derive(Debug)]
pub struct Sender {
    queue: SyncSender<Record>,
    /// The last event's number.
    seq: u64,
    /// What was dropped since the last that passed.
    gap: Option<Gap>,
    /// All that was dropped.
    dropped: u64,
}

/// A way to a writer on which so many events wait at most.
pub fn channel(waiting: usize) -> (Sender, Waiting) {
    let (queue, records) = sync_channel(waiting);
    (Sender { queue, seq: 0, gap: None, dropped: 0 }, records)
}

impl Sender {
    /// Passes an event on, or drops it; never waits.
    pub fn put(&mut self, at: Stamp, event: Event) {
        if let Some(gap) = self.gap {
            // The gap has the number of the last event that it stands for.
            if !self.pass(Record { seq: self.seq, at: gap.to, event: Event::Gap(gap) }) {
                self.seq += 1;
                return self.drop_one(at);
            }
            self.gap = None;
        }
        self.seq += 1;
        if !self.pass(Record { seq: self.seq, at, event }) {
            self.drop_one(at);
        }
    }

    /// An event is lost before it could be told.
    pub fn lose(&mut self, at: Stamp) {
        self.seq += 1;
        self.drop_one(at);
    }

    /// Events that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn pass(&mut self, record: Record) -> bool {
        match self.queue.try_send(record) {
            Ok(()) => true,
            // Without a writer all is dropped.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    fn drop_one(&mut self, at: Stamp) {
        self.dropped += 1;
        let gap = self.gap.get_or_insert(Gap { events: 0, from: at, to: at, cause: GapCause::Queue });
        gap.events += 1;
        gap.to = at;
    }
}
