//! The counts of the second at hand.

use hdrhistogram::serialization::{Serializer, V2Serializer};
use hdrhistogram::Histogram;
use heathward_event_log::{ClassSecond, Ended, Event, Failure, Micros, NodeSecond, Outcome, Refusal};
use heathward_event_log::{ENDS, FAILURES, REFUSALS};

/// How long a second is; the last of a boot is shorter.
const SECOND: Micros = 1_000_000;
/// Longest time that a histogram tells apart, microseconds; longer ones count as this.
const LONGEST: u64 = 120_000_000;
/// Digits of a time that count.
const DIGITS: u8 = 2;
/// Nodes that are counted at a time; those of one second that are more go uncounted until the next begins.
const NODES: usize = 1024;

/// Counts by class and by node.
#[derive(Debug, Default)]
pub struct Second {
    from: Micros,
    /// Aims of the classes, by place.
    pub aims: Vec<Micros>,
    classes: Vec<(ClassSecond, Option<Histogram<u32>>)>,
    /// In order of names, with the attempts that are out.
    nodes: Vec<(Box<str>, (NodeSecond, u32))>,
}

impl Second {
    /// Whether it is over by then.
    pub fn over(&self, now: Micros) -> bool {
        now.saturating_sub(self.from) >= SECOND
    }

    /// A class's counts.
    pub fn class(&mut self, class: u16) -> &mut ClassSecond {
        &mut self.slot(class).0
    }

    fn slot(&mut self, class: u16) -> &mut (ClassSecond, Option<Histogram<u32>>) {
        let place = usize::from(class);
        if self.classes.len() <= place {
            self.classes.resize_with(place + 1, Default::default);
        }
        &mut self.classes[place]
    }

    /// A request has got its answer, or its client has left.
    pub fn answered(&mut self, class: u16, outcome: Outcome, took: Micros) {
        let aim = self.aims.get(usize::from(class)).copied().unwrap_or(Micros::MAX);
        let (counts, times) = self.slot(class);
        match outcome {
            Outcome::Served if took <= aim => counts.in_aim += 1,
            Outcome::Served => counts.late += 1,
            Outcome::Refused(why) => counts.refused[refusal(why)] += 1,
            Outcome::Failed(why) => counts.failed[failure(why)] += 1,
            Outcome::Gone => counts.gone += 1,
        }
        if outcome == Outcome::Served {
            // These bounds are sound, so there is one.
            if times.is_none() {
                *times = Histogram::new_with_bounds(1, LONGEST, DIGITS).ok();
            }
            if let Some(times) = times {
                times.saturating_record(took);
            }
        }
    }

    /// An attempt was sent.
    pub fn sent(&mut self, node: &str, cold_units: u32) {
        if let Some((counts, out)) = self.node(node) {
            *out += 1;
            counts.sent += 1;
            counts.cold_units = counts.cold_units.saturating_add(cold_units);
            counts.most_out = counts.most_out.max(*out);
        }
    }

    /// An attempt has ended.
    pub fn ended(&mut self, node: &str, end: Ended) {
        if let Some((counts, out)) = self.node(node) {
            counts.ends[ENDS.iter().position(|(known, _)| *known == end).unwrap_or(0)] += 1;
            if end != Ended::NotSent {
                *out = out.saturating_sub(1);
            }
        }
    }

    fn node(&mut self, node: &str) -> Option<&mut (NodeSecond, u32)> {
        let place = match self.nodes.binary_search_by(|(name, _)| (**name).cmp(node)) {
            Ok(place) => place,
            Err(_) if self.nodes.len() >= NODES => return None,
            Err(place) => {
                self.nodes.insert(place, (node.into(), (NodeSecond::default(), 0)));
                place
            }
        };
        Some(&mut self.nodes[place].1)
    }

    /// What it came to; the next begins. At least one event, as a sign of life.
    pub fn close(&mut self, now: Micros) -> Vec<Event> {
        let (from, lasted) = (self.from, now.saturating_sub(self.from));
        // Every event is preceded by a look at the clock, so that all that was counted lies within the first
        // second; the next begins at a whole one.
        let span = lasted.min(SECOND);
        self.from += lasted - lasted % SECOND;
        let mut events = Vec::new();
        for (place, (counts, times)) in self.classes.iter_mut().enumerate() {
            if *counts == ClassSecond::default() {
                continue;
            }
            let mut counts = std::mem::take(counts);
            (counts.from, counts.span, counts.class) = (from, span, place as u16);
            if let Some(times) = times.as_mut().filter(|times| !times.is_empty()) {
                // A vector takes all of it.
                let _ = V2Serializer::new().serialize(times, &mut counts.times);
                times.reset();
            }
            events.push(Event::Class(counts));
        }
        if events.is_empty() {
            events.push(Event::Class(ClassSecond { from, span, ..ClassSecond::default() }));
        }
        for (node, (counts, out)) in &mut self.nodes {
            let idle = NodeSecond { most_out: 0, ..NodeSecond::default() };
            let active = NodeSecond { most_out: 0, ..counts.clone() } != idle || *out > 0;
            if active {
                let (node, counts) = (node.to_string(), std::mem::take(counts));
                events.push(Event::NodeSecond(NodeSecond { from, span, node, ..counts }));
            }
            counts.most_out = *out;
        }
        // One at which nothing is out is met again when something is.
        self.nodes.retain(|(_, (_, out))| *out > 0);
        events
    }
}

fn refusal(why: Refusal) -> usize {
    REFUSALS.iter().position(|(known, _)| *known == why).unwrap_or(0)
}

fn failure(why: Failure) -> usize {
    FAILURES.iter().position(|(known, _)| *known == why).unwrap_or(0)
}
