//! Events as `records show` prints them. The names are those of the listing: they stay when a type, a variant
//! or a field is renamed.

use std::fmt::{Debug, Formatter, Result};

use heathward_event_log::read::Item;
use heathward_event_log::{
    Attempted, Class, ClassSecond, Event, Gap, Lifecycle, Listed, ListedNode, NodeChange, NodeSecond,
    NodeState, Opened, Outcome, RequestDone, Stamp, Why,
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

impl Debug for Text<'_, Item> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            Item::Record(record) => Text(&record.event).fmt(f),
            Item::Damaged { from, to } => {
                f.debug_struct("Damaged").field("from", from).field("to", to).finish()
            }
            Item::Newer { offset, schema } => {
                f.debug_struct("Newer").field("offset", offset).field("schema", schema).finish()
            }
            Item::Unreadable { offset } => f.debug_struct("Unreadable").field("offset", offset).finish(),
        }
    }
}

impl Debug for Text<'_, Event> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            Event::Opened(opened) => f.debug_tuple("Opened").field(&Text(opened)).finish(),
            Event::Lifecycle(step) => f.debug_tuple("Lifecycle").field(&Text(step)).finish(),
            Event::Listed(listed) => f.debug_tuple("Listed").field(&Text(listed)).finish(),
            Event::Node(change) => f.debug_tuple("Node").field(&Text(change)).finish(),
            Event::Class(second) => f.debug_tuple("Class").field(&Text(second)).finish(),
            Event::NodeSecond(second) => f.debug_tuple("NodeSecond").field(&Text(second)).finish(),
            Event::Request(request) => f.debug_tuple("Request").field(&Text(request)).finish(),
            Event::Gap(gap) => f.debug_tuple("Gap").field(&Text(gap)).finish(),
            Event::Unknown(kind) => f.debug_tuple("Unknown").field(kind).finish(),
        }
    }
}

impl Debug for Text<'_, Lifecycle> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            Lifecycle::Started => f.write_str("Started"),
            Lifecycle::Ending => f.write_str("Ending"),
            Lifecycle::Ended => f.write_str("Ended"),
            Lifecycle::Reloaded(accepted) => f.debug_tuple("Reloaded").field(accepted).finish(),
            Lifecycle::HandedOver => f.write_str("HandedOver"),
            Lifecycle::TookOver => f.write_str("TookOver"),
            Lifecycle::Paused => f.write_str("Paused"),
            Lifecycle::Resumed => f.write_str("Resumed"),
            Lifecycle::Stopped(silence) => f.debug_tuple("Stopped").field(silence).finish(),
            Lifecycle::WentOn => f.write_str("WentOn"),
        }
    }
}

impl Debug for Text<'_, NodeState> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            NodeState::InService => f.write_str("InService"),
            NodeState::Cold(since) => f.debug_tuple("Cold").field(since).finish(),
            NodeState::Silent => f.write_str("Silent"),
            NodeState::Suspended => f.write_str("Suspended"),
            NodeState::Draining => f.write_str("Draining"),
            NodeState::Gone => f.write_str("Gone"),
        }
    }
}

impl Debug for Text<'_, Why> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            Why::List(revision) => f.debug_tuple("List").field(revision).finish(),
            Why::Order => f.write_str("Order"),
            Why::Handover => f.write_str("Handover"),
            Why::Attempt(end) => f.debug_tuple("Attempt").field(&Name(end.name())).finish(),
            Why::Time => f.write_str("Time"),
        }
    }
}

impl Debug for Text<'_, Outcome> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        match self.0 {
            Outcome::Served => f.write_str("Served"),
            Outcome::Refused(reason) => f.debug_tuple("Refused").field(&Name(reason.name())).finish(),
            Outcome::Failed(reason) => f.debug_tuple("Failed").field(&Name(reason.name())).finish(),
            Outcome::Gone => f.write_str("Gone"),
        }
    }
}

impl Debug for Text<'_, Class> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let class = self.0;
        f.debug_struct("Class")
            .field("name", &class.name)
            .field("aim", &class.aim)
            .field("deadline", &class.deadline)
            .field("window", &class.window)
            .finish()
    }
}

impl Debug for Text<'_, Opened> {
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
            .field("cold_units", &opened.cold_units)
            .field("cold_share", &opened.cold_share)
            .field("cold_time", &opened.cold_time)
            .field("fall_time", &opened.fall_time)
            .field("requests", &opened.requests)
            .finish()
    }
}

impl Debug for Text<'_, Listed> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let listed = self.0;
        f.debug_struct("Listed")
            .field("revision", &listed.revision)
            .field("kind", &Name(listed.kind.name()))
            .field("nodes", &List(&listed.nodes))
            .finish()
    }
}

impl Debug for Text<'_, ListedNode> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let node = self.0;
        f.debug_struct("ListedNode")
            .field("node", &node.node)
            .field("shard", &node.shard)
            .field("state", &Text(&node.state))
            .field("started", &node.started)
            .finish()
    }
}

impl Debug for Text<'_, NodeChange> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let change = self.0;
        f.debug_struct("NodeChange")
            .field("node", &change.node)
            .field("state", &Text(&change.state))
            .field("why", &Text(&change.why))
            .finish()
    }
}

impl Debug for Text<'_, ClassSecond> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let second = self.0;
        f.debug_struct("ClassSecond")
            .field("from", &second.from)
            .field("span", &second.span)
            .field("class", &second.class)
            .field("taken", &second.taken)
            .field("in_aim", &second.in_aim)
            .field("late", &second.late)
            .field("refused", &second.refused)
            .field("failed", &second.failed)
            .field("gone", &second.gone)
            .field("times", &second.times)
            .finish()
    }
}

impl Debug for Text<'_, NodeSecond> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let second = self.0;
        f.debug_struct("NodeSecond")
            .field("from", &second.from)
            .field("span", &second.span)
            .field("node", &second.node)
            .field("sent", &second.sent)
            .field("cold_units", &second.cold_units)
            .field("ends", &second.ends)
            .field("most_out", &second.most_out)
            .finish()
    }
}

impl Debug for Text<'_, RequestDone> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let request = self.0;
        f.debug_struct("RequestDone")
            .field("request", &request.request)
            .field("class", &request.class)
            .field("plan", &request.plan)
            .field("volume", &request.volume)
            .field("units", &request.units)
            .field("arrived", &request.arrived)
            .field("answered", &request.answered)
            .field("outcome", &Text(&request.outcome))
            .field("attempts", &List(&request.attempts))
            .finish()
    }
}

impl Debug for Text<'_, Attempted> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let attempt = self.0;
        f.debug_struct("Attempted")
            .field("node", &attempt.node)
            .field("sent", &attempt.sent)
            .field("ended", &attempt.ended.map(|(at, end)| (at, Name(end.name()))))
            .finish()
    }
}

impl Debug for Text<'_, Gap> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let gap = self.0;
        f.debug_struct("Gap")
            .field("events", &gap.events)
            .field("from", &Text(&gap.from))
            .field("to", &Text(&gap.to))
            .field("cause", &Name(gap.cause.name()))
            .finish()
    }
}

impl Debug for Text<'_, Stamp> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let stamp = self.0;
        f.debug_struct("Stamp").field("wall", &stamp.wall).field("mono", &stamp.mono).finish()
    }
}
