//! The binary form of records, and the rules by which older and newer versions read each other's records:
//!
//! - the number of a kind is never used for anything else;
//! - fields are only appended, as an extension behind the body: a missing extension reads as its default, and
//!   an unknown one is ignored;
//! - an event of an unknown kind is kept as [`Event::Unknown`].
//!
//! [`crate::frame::SCHEMA`] goes up only if these rules cannot be kept.

use serde::{Deserialize, Serialize};

use crate::event::{Event, Record, Timestamp};

/// A payload that holds no event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedEvent;

impl std::fmt::Display for MalformedEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no event can be read from it")
    }
}

impl std::error::Error for MalformedEvent {}

/// Numbers of the kinds of events.
mod kind {
    pub const SEGMENT_OPENED: u16 = 1;
    pub const LIFECYCLE: u16 = 2;
    pub const ENDPOINT_UPDATE: u16 = 3;
    pub const NODE_STATE_CHANGED: u16 = 4;
    pub const CLASS_SECOND: u16 = 5;
    pub const NODE_SECOND: u16 = 6;
    pub const REQUEST_ENDED: u16 = 7;
    pub const GAP: u16 = 8;
}

/// What stands before the body of each event.
#[derive(Serialize, Deserialize)]
struct Header {
    sequence: u64,
    time: Timestamp,
    kind: u16,
}

impl Record {
    /// Appends the binary form of the record.
    pub fn encode(&self, out: &mut Vec<u8>) {
        append(out, &Header { sequence: self.sequence, time: self.time, kind: kind_of(&self.event) });
        match &self.event {
            Event::SegmentOpened(event) => append(out, event),
            Event::Lifecycle(event) => append(out, event),
            Event::EndpointUpdate(event) => append(out, event),
            Event::NodeStateChanged(event) => append(out, event),
            Event::ClassSecond(event) => append(out, event),
            Event::NodeSecond(event) => append(out, event),
            Event::RequestEnded(event) => append(out, event),
            Event::Gap(event) => append(out, event),
            Event::Unknown(_) => {}
        }
    }

    /// Reads a record from its binary form.
    ///
    /// # Errors
    /// [`MalformedEvent`] where the bytes hold no such event.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedEvent> {
        let (header, rest): (Header, _) = postcard::take_from_bytes(bytes).map_err(|_| MalformedEvent)?;
        let event = match header.kind {
            kind::SEGMENT_OPENED => Event::SegmentOpened(decode_body(rest)?),
            kind::LIFECYCLE => Event::Lifecycle(decode_body(rest)?),
            kind::ENDPOINT_UPDATE => Event::EndpointUpdate(decode_body(rest)?),
            kind::NODE_STATE_CHANGED => Event::NodeStateChanged(decode_body(rest)?),
            kind::CLASS_SECOND => Event::ClassSecond(decode_body(rest)?),
            kind::NODE_SECOND => Event::NodeSecond(decode_body(rest)?),
            kind::REQUEST_ENDED => Event::RequestEnded(decode_body(rest)?),
            kind::GAP => Event::Gap(decode_body(rest)?),
            unknown => Event::Unknown(unknown),
        };
        Ok(Self { sequence: header.sequence, time: header.time, event })
    }
}

fn kind_of(event: &Event) -> u16 {
    match event {
        Event::SegmentOpened(_) => kind::SEGMENT_OPENED,
        Event::Lifecycle(_) => kind::LIFECYCLE,
        Event::EndpointUpdate(_) => kind::ENDPOINT_UPDATE,
        Event::NodeStateChanged(_) => kind::NODE_STATE_CHANGED,
        Event::ClassSecond(_) => kind::CLASS_SECOND,
        Event::NodeSecond(_) => kind::NODE_SECOND,
        Event::RequestEnded(_) => kind::REQUEST_ENDED,
        Event::Gap(_) => kind::GAP,
        Event::Unknown(kind) => *kind,
    }
}

fn decode_body<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, MalformedEvent> {
    // What is left is the extension of a newer version.
    postcard::take_from_bytes(bytes).map(|(value, _extension)| value).map_err(|_| MalformedEvent)
}

fn append(out: &mut Vec<u8>, value: &impl Serialize) {
    let bytes = std::mem::take(out);
    // Writing to a vector fails for no type of this crate.
    if let Ok(extended) = postcard::to_extend(value, bytes) {
        *out = extended;
    }
}
