//! Counts of requests and attempts within the current second.

use hdrhistogram::serialization::{Serializer, V2Serializer};
use hdrhistogram::Histogram;
use heathward_event_log::{
    AttemptEnd, ClassSecond, Event, FailureReason, Micros, NodeSecond, RequestOutcome, ShedReason,
    ATTEMPT_END_NAMES, FAILURE_REASON_NAMES, SHED_REASON_NAMES,
};

/// Length of the interval that counts cover, in microseconds; the last interval of a run is shorter.
const SECOND: Micros = 1_000_000;
/// The highest latency of a histogram; higher latencies count as this one.
const MAX_LATENCY: Micros = 120_000_000;
/// Number of significant decimal digits of a latency in a histogram.
const LATENCY_DIGITS: u8 = 2;
/// The largest number of nodes that are counted at a time; attempts at further nodes are not counted until
/// the next second.
const MAX_COUNTED_NODES: usize = 1024;

/// Counts of the current second, by class and by node.
#[derive(Debug, Default)]
pub struct SecondCounts {
    /// When the second began, in microseconds on the recorder's monotonic clock.
    start: Micros,
    /// Latency objectives of the classes, by class index.
    pub latency_objectives: Vec<Micros>,
    classes: Vec<ClassCounts>,
    /// Sorted by id.
    nodes: Vec<NodeCounts>,
}

#[derive(Debug, Default)]
struct ClassCounts {
    counts: ClassSecond,
    /// Latencies of served requests; created with the first one.
    latencies: Option<Histogram<u32>>,
}

#[derive(Debug)]
struct NodeCounts {
    id: Box<str>,
    counts: NodeSecond,
    /// Number of attempts in flight now.
    in_flight: u32,
}

impl SecondCounts {
    /// Returns whether the second has passed at `now`.
    pub fn has_passed(&self, now: Micros) -> bool {
        now.saturating_sub(self.start) >= SECOND
    }

    /// Returns the counts of a class.
    pub fn class_second(&mut self, class: u16) -> &mut ClassSecond {
        &mut self.class_counts(class).counts
    }

    fn class_counts(&mut self, class: u16) -> &mut ClassCounts {
        let index = usize::from(class);
        if self.classes.len() <= index {
            self.classes.resize_with(index + 1, Default::default);
        }
        &mut self.classes[index]
    }

    /// Counts the end of a request.
    pub fn count_request_end(&mut self, class: u16, outcome: RequestOutcome, latency: Micros) {
        let objective = self.latency_objectives.get(usize::from(class)).copied().unwrap_or(Micros::MAX);
        let ClassCounts { counts, latencies } = self.class_counts(class);
        match outcome {
            RequestOutcome::Served if latency <= objective => counts.within_objective += 1,
            RequestOutcome::Served => counts.late += 1,
            RequestOutcome::Shed(reason) => counts.shed[shed_index(reason)] += 1,
            RequestOutcome::Failed(reason) => counts.failed[failure_index(reason)] += 1,
            RequestOutcome::ClientDisconnected => counts.client_disconnects += 1,
        }
        if outcome == RequestOutcome::Served {
            if latencies.is_none() {
                // The bounds are constant and valid.
                *latencies = Histogram::new_with_bounds(1, MAX_LATENCY, LATENCY_DIGITS).ok();
            }
            if let Some(latencies) = latencies {
                latencies.saturating_record(latency);
            }
        }
    }

    /// Counts an attempt that was sent to a node, and the units that it takes from the node's limit in slow
    /// start.
    pub fn count_attempt_sent(&mut self, node: &str, slow_start_units: u32) {
        if let Some(NodeCounts { counts, in_flight, .. }) = self.node_counts(node) {
            *in_flight += 1;
            counts.sent += 1;
            counts.slow_start_units = counts.slow_start_units.saturating_add(slow_start_units);
            counts.max_in_flight = counts.max_in_flight.max(*in_flight);
        }
    }

    /// Counts the end of an attempt that was sent to a node.
    pub fn count_attempt_end(&mut self, node: &str, end: AttemptEnd) {
        if let Some(NodeCounts { counts, in_flight, .. }) = self.node_counts(node) {
            counts.attempt_ends[attempt_end_index(end)] += 1;
            *in_flight = in_flight.saturating_sub(1);
        }
    }

    /// Counts an attempt that could not be sent to a node.
    pub fn count_attempt_not_sent(&mut self, node: &str) {
        if let Some(NodeCounts { counts, .. }) = self.node_counts(node) {
            counts.attempt_ends[attempt_end_index(AttemptEnd::NotSent)] += 1;
        }
    }

    fn node_counts(&mut self, node: &str) -> Option<&mut NodeCounts> {
        let index = match self.nodes.binary_search_by(|known| (*known.id).cmp(node)) {
            Ok(index) => index,
            Err(_) if self.nodes.len() >= MAX_COUNTED_NODES => return None,
            Err(index) => {
                let new = NodeCounts { id: node.into(), counts: NodeSecond::default(), in_flight: 0 };
                self.nodes.insert(index, new);
                index
            }
        };
        Some(&mut self.nodes[index])
    }

    /// Ends the second, returns its counts as events, and begins the next one. At least one event is
    /// returned, to show that the scheduler is running.
    pub fn close(&mut self, now: Micros) -> Vec<Event> {
        let (start, elapsed) = (self.start, now.saturating_sub(self.start));
        // The clock is checked before every observation, so all counts belong to the first second of the
        // elapsed time. The next interval begins at a whole second.
        let duration = elapsed.min(SECOND);
        self.start += elapsed - elapsed % SECOND;
        let mut events = self.close_classes(start, duration);
        if events.is_empty() {
            events.push(Event::ClassSecond(ClassSecond { start, duration, ..ClassSecond::default() }));
        }
        events.extend(self.close_nodes(start, duration));
        events
    }

    fn close_classes(&mut self, start: Micros, duration: Micros) -> Vec<Event> {
        let mut events = Vec::new();
        for (index, ClassCounts { counts, latencies }) in self.classes.iter_mut().enumerate() {
            if *counts == ClassSecond::default() {
                continue;
            }
            let mut counts = std::mem::take(counts);
            (counts.start, counts.duration, counts.class) = (start, duration, index as u16);
            if let Some(latencies) = latencies.as_mut().filter(|latencies| !latencies.is_empty()) {
                // Writing to a vector does not fail.
                let _ = V2Serializer::new().serialize(latencies, &mut counts.latency_histogram);
                latencies.reset();
            }
            events.push(Event::ClassSecond(counts));
        }
        events
    }

    fn close_nodes(&mut self, start: Micros, duration: Micros) -> Vec<Event> {
        let mut events = Vec::new();
        for NodeCounts { id, counts, in_flight } in &mut self.nodes {
            let is_empty = NodeSecond { max_in_flight: 0, ..counts.clone() } == NodeSecond::default();
            if !is_empty || *in_flight > 0 {
                let (node, counts) = (id.to_string(), std::mem::take(counts));
                events.push(Event::NodeSecond(NodeSecond { start, duration, node, ..counts }));
            }
            counts.max_in_flight = *in_flight;
        }
        // A node without an attempt in flight is added again with its next attempt.
        self.nodes.retain(|node| node.in_flight > 0);
        events
    }
}

fn shed_index(reason: ShedReason) -> usize {
    SHED_REASON_NAMES.iter().position(|(known, _)| *known == reason).unwrap_or(0)
}

fn failure_index(reason: FailureReason) -> usize {
    FAILURE_REASON_NAMES.iter().position(|(known, _)| *known == reason).unwrap_or(0)
}

fn attempt_end_index(end: AttemptEnd) -> usize {
    ATTEMPT_END_NAMES.iter().position(|(known, _)| *known == end).unwrap_or(0)
}
