//! Counts over time in bounded memory, and times in coarse classes.

use std::collections::BTreeMap;

use heathward_event_log::{ClassSecond, Micros, NodeSecond};
use serde::Serialize;

/// Bins of a series at most; when there are more, each two become one.
pub const BINS: usize = 7_200;
/// Width of a bin at first.
pub const SECOND: Micros = 1_000_000;

/// What can be added up.
pub trait Sum: Clone + Default {
    /// Adds another's counts.
    fn add(&mut self, other: &Self);
}

/// Counts in bins of equal width, by the time at which they begin.
#[derive(Clone, Debug, PartialEq)]
pub struct Series<T> {
    width: Micros,
    bins: BTreeMap<u64, T>,
}

impl<T> Default for Series<T> {
    fn default() -> Self {
        Self { width: SECOND, bins: BTreeMap::new() }
    }
}

impl<T: Sum> Series<T> {
    /// The bin of a time.
    pub fn at(&mut self, time: Micros) -> &mut T {
        self.bins.entry(time / self.width).or_default();
        while self.bins.len() > BINS {
            self.widen(self.width * 2);
        }
        self.bins.entry(time / self.width).or_default()
    }

    /// Makes bins of that width, a power of two times the present one, or leaves wider ones.
    pub fn widen(&mut self, width: Micros) {
        while self.width < width {
            self.width *= 2;
            for (place, counts) in std::mem::take(&mut self.bins) {
                self.bins.entry(place / 2).or_default().add(&counts);
            }
        }
    }

    /// Width of a bin.
    pub fn width(&self) -> Micros {
        self.width
    }

    /// When each bin begins, and its counts.
    pub fn iter(&self) -> impl Iterator<Item = (Micros, &T)> {
        self.bins.iter().map(|(place, counts)| (place * self.width, counts))
    }

    /// All of it.
    pub fn total(&self) -> T {
        self.bins.values().fold(T::default(), |mut sum, counts| {
            sum.add(counts);
            sum
        })
    }
}

/// Places of [`Times`]: four for each doubling from 1 ms on.
const PER_DOUBLING: u32 = 4;
/// The last place: 130 s and more.
const PLACES: usize = 69;

/// How many times were about how long; a place's border is a fifth above the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Times(Vec<u64>);

impl Times {
    /// The place of a time in microseconds.
    pub fn place(time: u64) -> usize {
        let ms = time as f64 / 1000.0;
        if ms < 1.0 {
            return 0;
        }
        (1 + (ms.log2() * f64::from(PER_DOUBLING)) as usize).min(PLACES - 1)
    }

    /// Milliseconds up to which a place goes.
    pub fn border(place: usize) -> f64 {
        (place as f64 / f64::from(PER_DOUBLING)).exp2()
    }

    /// So many more of that time.
    pub fn add_many(&mut self, time: u64, count: u64) {
        let place = Self::place(time);
        if self.0.len() <= place {
            self.0.resize(place + 1, 0);
        }
        self.0[place] += count;
    }

    /// Counts by place.
    pub fn places(&self) -> &[u64] {
        &self.0
    }

    /// Milliseconds within which that share of them lies, told by the upper border of a place.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let all: u64 = self.0.iter().sum();
        let wanted = ((all as f64 * share).ceil() as u64).max(1);
        let mut below = 0;
        let place = self.0.iter().position(|count| {
            below += count;
            below >= wanted
        })?;
        Some(Self::border(place))
    }
}

impl Sum for Times {
    fn add(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        self.0.iter_mut().zip(&other.0).for_each(|(sum, more)| *sum += more);
    }
}

/// What became of a class's requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassCounts {
    /// Requests taken.
    #[serde(rename = "taken")]
    pub taken: u64,
    /// Served within the aim.
    #[serde(rename = "in_aim")]
    pub in_aim: u64,
    /// Served after it.
    pub late: u64,
    /// Refused, by [`heathward_event_log::SHED_REASON_NAMES`].
    #[serde(rename = "refused")]
    pub refused: [u64; 5],
    /// Failed, by [`heathward_event_log::FAILURE_REASON_NAMES`].
    pub failed: [u64; 4],
    /// Whose client left.
    #[serde(rename = "gone")]
    pub gone: u64,
    /// Times of the served.
    #[serde(rename = "times")]
    pub times: Times,
}

impl ClassCounts {
    /// A second's counts, but for its times.
    pub fn of(second: &ClassSecond) -> Self {
        Self {
            taken: second.received.into(),
            in_aim: second.within_objective.into(),
            late: second.late.into(),
            refused: second.shed.map(u64::from),
            failed: second.failed.map(u64::from),
            gone: second.client_disconnects.into(),
            times: Times::default(),
        }
    }

    /// Requests that got an answer, or whose client left.
    pub fn ended(&self) -> u64 {
        let refused: u64 = self.refused.iter().sum();
        self.in_aim + self.late + refused + self.failed.iter().sum::<u64>() + self.gone
    }
}

impl Sum for ClassCounts {
    fn add(&mut self, other: &Self) {
        self.taken += other.taken;
        self.in_aim += other.in_aim;
        self.late += other.late;
        self.refused.iter_mut().zip(other.refused).for_each(|(sum, more)| *sum += more);
        self.failed.iter_mut().zip(other.failed).for_each(|(sum, more)| *sum += more);
        self.gone += other.gone;
        self.times.add(&other.times);
    }
}

/// What became of attempts at a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct NodeCounts {
    /// Attempts that were sent.
    #[serde(rename = "sent")]
    pub sent: u64,
    /// Units of those that went there while it was cold.
    #[serde(rename = "cold_units")]
    pub cold_units: u64,
    /// Ends, by [`heathward_event_log::ATTEMPT_END_NAMES`].
    #[serde(rename = "ends")]
    pub ends: [u64; 8],
    /// Most that one scheduler had out there at once.
    #[serde(rename = "most_out")]
    pub most_out: u64,
}

impl NodeCounts {
    /// A second's counts.
    pub fn of(second: &NodeSecond) -> Self {
        Self {
            sent: second.sent.into(),
            cold_units: second.slow_start_units.into(),
            ends: second.attempt_ends.map(u64::from),
            most_out: second.max_in_flight.into(),
        }
    }
}

impl Sum for NodeCounts {
    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.cold_units += other.cold_units;
        self.ends.iter_mut().zip(other.ends).for_each(|(sum, more)| *sum += more);
        self.most_out = self.most_out.max(other.most_out);
    }
}

#[cfg(test)]
mod tests;
