//! Events as `records show` prints them. The names are those of the listing: they stay when a type, a variant
//! or a field is renamed.

use std::fmt::{Debug, Formatter, Result};

use heathward_event_log::read::SegmentItem;
use heathward_event_log::{
    AttemptRecord, ClassInfo, ClassSecond, EndpointUpdate, Event, Gap, Lifecycle, ListedEndpoint, NodeSecond,
    NodeState, NodeStateChange, RequestOutcome, RequestRecord, SegmentOpened, StateChangeCause, Timestamp,
};

/// A value in the form of the listing.
pub struct Text<'a, T>(pub &'a T);

/// Values in the form of the listing, as a list.
struct List<'a, T>(&'a [T]);

/// A name, printed as it is.
struct Name(&'static str);

impl<T> Debug for List<'_, T>
where
    for<'a> Text<'a, T>: Debug,
{
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.debug_list().entries(self.0.iter().map(Text)).finish()
    }
}

impl Debug for Name {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(self.0)
    }
}

impl Debug for Text<'_, SegmentItem> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            SegmentItem::Record(record) => Text(&record.event).fmt(f),
            SegmentItem::Damaged { from, to } => {
                f.debug_struct("Damaged").field("from", from).field("to", to).finish()
            }
            SegmentItem::Newer { offset, schema } => {
                f.debug_struct("Newer").field("offset", offset).field("schema", schema).finish()
            }
            SegmentItem::Unreadable { offset } => {
                f.debug_struct("Unreadable").field("offset", offset).finish()
            }
        }
    }
}

impl Debug for Text<'_, Event> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            Event::SegmentOpened(opened) => f.debug_tuple("Opened").field(&Text(opened)).finish(),
            Event::Lifecycle(step) => f.debug_tuple("Lifecycle").field(&Text(step)).finish(),
            Event::EndpointUpdate(listed) => f.debug_tuple("Listed").field(&Text(listed)).finish(),
            Event::NodeStateChanged(change) => f.debug_tuple("Node").field(&Text(change)).finish(),
            Event::ClassSecond(second) => f.debug_tuple("Class").field(&Text(second)).finish(),
            Event::NodeSecond(second) => f.debug_tuple("NodeSecond").field(&Text(second)).finish(),
            Event::RequestEnded(request) => f.debug_tuple("Request").field(&Text(request)).finish(),
            Event::Gap(gap) => f.debug_tuple("Gap").field(&Text(gap)).finish(),
            Event::Unknown(kind) => f.debug_tuple("Unknown").field(kind).finish(),
        }
    }
}

impl Debug for Text<'_, Lifecycle> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            Lifecycle::Started => f.write_str("Started"),
            Lifecycle::ShuttingDown => f.write_str("Ending"),
            Lifecycle::Stopped => f.write_str("Ended"),
            Lifecycle::Reloaded(accepted) => f.debug_tuple("Reloaded").field(accepted).finish(),
            Lifecycle::HandedOver => f.write_str("HandedOver"),
            Lifecycle::TookOver => f.write_str("TookOver"),
            Lifecycle::Paused => f.write_str("Paused"),
            Lifecycle::Resumed => f.write_str("Resumed"),
            Lifecycle::LeaseExpired(silence) => f.debug_tuple("Stopped").field(silence).finish(),
            Lifecycle::LeaseRenewed => f.write_str("WentOn"),
        }
    }
}

impl Debug for Text<'_, NodeState> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            NodeState::InService => f.write_str("InService"),
            NodeState::SlowStart(since) => f.debug_tuple("Cold").field(since).finish(),
            NodeState::Unresponsive => f.write_str("Silent"),
            NodeState::Suspended => f.write_str("Suspended"),
            NodeState::Draining => f.write_str("Draining"),
            NodeState::Removed => f.write_str("Gone"),
        }
    }
}

impl Debug for Text<'_, StateChangeCause> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            StateChangeCause::EndpointUpdate(revision) => f.debug_tuple("List").field(revision).finish(),
            StateChangeCause::OperatorCommand => f.write_str("Order"),
            StateChangeCause::Handover => f.write_str("Handover"),
            StateChangeCause::AttemptEnded(end) => f.debug_tuple("Attempt").field(&Name(end.name())).finish(),
            StateChangeCause::TimePassed => f.write_str("Time"),
        }
    }
}

impl Debug for Text<'_, RequestOutcome> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            RequestOutcome::Served => f.write_str("Served"),
            RequestOutcome::Shed(reason) => f.debug_tuple("Refused").field(&Name(reason.name())).finish(),
            RequestOutcome::Failed(reason) => f.debug_tuple("Failed").field(&Name(reason.name())).finish(),
            RequestOutcome::ClientDisconnected => f.write_str("Gone"),
        }
    }
}

impl Debug for Text<'_, ClassInfo> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let class = self.0;
        f.debug_struct("Class")
            .field("name", &class.name)
            .field("aim", &class.latency_objective)
            .field("deadline", &class.deadline)
            .field("window", &class.deduplication_window)
            .finish()
    }
}

impl Debug for Text<'_, SegmentOpened> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let opened = self.0;
        f.debug_struct("Opened")
            .field("scheduler", &opened.scheduler)
            .field("boot", &opened.boot)
            .field("segment", &opened.segment)
            .field("version", &opened.version)
            .field("pid", &opened.pid)
            .field("classes", &List(&opened.classes))
            .field("plans", &opened.plans)
            .field("cold_units", &opened.slow_start_units)
            .field("cold_share", &opened.slow_start_fraction)
            .field("cold_time", &opened.slow_start_duration)
            .field("fall_time", &opened.overload_window)
            .field("requests", &opened.records_requests)
            .finish()
    }
}

impl Debug for Text<'_, EndpointUpdate> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let listed = self.0;
        f.debug_struct("Listed")
            .field("revision", &listed.revision)
            .field("kind", &Name(listed.kind.name()))
            .field("nodes", &List(&listed.nodes))
            .finish()
    }
}

impl Debug for Text<'_, ListedEndpoint> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let node = self.0;
        f.debug_struct("ListedNode")
            .field("node", &node.node)
            .field("shard", &node.shard)
            .field("state", &Text(&node.state))
            .field("started", &node.started_at)
            .finish()
    }
}

impl Debug for Text<'_, NodeStateChange> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let change = self.0;
        f.debug_struct("NodeChange")
            .field("node", &change.node)
            .field("state", &Text(&change.state))
            .field("why", &Text(&change.cause))
            .finish()
    }
}

impl Debug for Text<'_, ClassSecond> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let second = self.0;
        f.debug_struct("ClassSecond")
            .field("from", &second.start)
            .field("span", &second.duration)
            .field("class", &second.class)
            .field("taken", &second.received)
            .field("in_aim", &second.within_objective)
            .field("late", &second.late)
            .field("refused", &second.shed)
            .field("failed", &second.failed)
            .field("gone", &second.client_disconnects)
            .field("times", &second.latency_histogram)
            .finish()
    }
}

impl Debug for Text<'_, NodeSecond> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let second = self.0;
        f.debug_struct("NodeSecond")
            .field("from", &second.start)
            .field("span", &second.duration)
            .field("node", &second.node)
            .field("sent", &second.sent)
            .field("cold_units", &second.slow_start_units)
            .field("ends", &second.attempt_ends)
            .field("most_out", &second.max_in_flight)
            .finish()
    }
}

impl Debug for Text<'_, RequestRecord> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let request = self.0;
        f.debug_struct("RequestDone")
            .field("request", &request.request)
            .field("class", &request.class)
            .field("plan", &request.plan)
            .field("volume", &request.volume)
            .field("units", &request.units)
            .field("arrived", &request.arrived_at)
            .field("answered", &request.ended_at)
            .field("outcome", &Text(&request.outcome))
            .field("attempts", &List(&request.attempts))
            .finish()
    }
}

impl Debug for Text<'_, AttemptRecord> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let attempt = self.0;
        f.debug_struct("Attempted")
            .field("node", &attempt.node)
            .field("sent", &attempt.sent_at)
            .field("ended", &attempt.end.map(|(at, end)| (at, Name(end.name()))))
            .finish()
    }
}

impl Debug for Text<'_, Gap> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let gap = self.0;
        f.debug_struct("Gap")
            .field("events", &gap.events)
            .field("from", &Text(&gap.first))
            .field("to", &Text(&gap.last))
            .field("cause", &Name(gap.cause.name()))
            .finish()
    }
}

impl Debug for Text<'_, Timestamp> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let stamp = self.0;
        f.debug_struct("Stamp").field("wall", &stamp.wall_clock).field("mono", &stamp.monotonic).finish()
    }
}
