//! Nodes in order of a lower bound of their score, for requests that any node may serve.
//!
//! A node's score is its wait and open work plus noise, drawn evenly from one unit's time, so that ties go by
//! chance; the lowest wins. The wait of late answers fades into the prior, the wait of all nodes together:
//! `wait x f + prior x (1 - f)`, where `f` falls from 1 to 0 with the age of the news. Nodes stand in buckets
//! by `wait x f`, `f` and open work, so that a bucket's bound holds whatever the prior becomes:
//!
//! - `f` only falls between two answers, which raises the prior's part; the bound stays below the score.
//! - `wait x f` falls too: a node leaves its bucket when that reaches the bucket's floor.
//!
//! The search draws the noise of a bucket's members from the lowest up, as order statistics, and goes through
//! all buckets in order of bound and noise. It ends when no node can win any more: the law is that of a walk
//! over all nodes, unless [`VISITS`] ends it before.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::api::{Micros, NodeId};

/// Nodes of a tier that one search looks at, at most: it matters where these are all without room.
pub(crate) const MAX_VISITS: usize = 64;
/// Nodes whose news has faded that one call moves to their next bucket, at most. One that has to wait for its
/// move counts as having the longer wait of its old bucket until then.
const MAX_MOVES: usize = 64;
/// Floor of the first bucket of waits above none, microseconds, and the factor from one to the next.
const FIRST_DELAY_US: f64 = 50.0;
const DELAY_STEP: f64 = 1.25;
/// Buckets by freshness.
const FRESHNESS_STEPS: f64 = 16.0;

/// Nodes that are looked at one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthTier {
    Warm,
    /// It is or may be cold: its part is often used up.
    SlowStart,
    /// It errs or is down: the last choice.
    Unhealthy,
}

impl HealthTier {
    pub(crate) fn of(shunned: bool, cold: bool) -> Self {
        match (shunned, cold) {
            (true, _) => Self::Unhealthy,
            (false, true) => Self::SlowStart,
            (false, false) => Self::Warm,
        }
    }
}

/// What a node's bound is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rank {
    pub(crate) tier: HealthTier,
    /// Wait as the last news told it, when that came (0 for never), and the time in which it fades.
    pub(crate) delay: f64,
    pub(crate) delay_updated_at: Micros,
    pub(crate) delay_lifetime: f64,
    /// Open units that stay open until the node's next event.
    pub(crate) units: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Bucket {
    tier: HealthTier,
    wait: u8,
    fresh: u8,
    units: u8,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    bucket: Bucket,
    index: usize,
    /// When the bucket's floor no longer holds.
    expires: Option<Micros>,
}

/// A node as it is found when the search looks at it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// A request may go there now.
    pub(crate) open: bool,
    /// Its score without noise.
    pub(crate) score: f64,
}

/// What a search found.
#[derive(Clone, Debug, Default)]
pub(crate) struct SearchResult {
    /// The lowest score among open nodes, else among all.
    pub(crate) node: Option<NodeId>,
    /// Nodes whose bound was well below their score.
    pub(crate) outdated: Vec<NodeId>,
    /// Nodes looked at.
    pub(crate) visits: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Ranking {
    places: BTreeMap<NodeId, Place>,
    buckets: BTreeMap<Bucket, Vec<NodeId>>,
    expiries: BTreeSet<(Micros, NodeId)>,
}

fn wait_floor(class: u8) -> f64 {
    if class == 0 {
        0.0
    } else {
        FIRST_DELAY_US * DELAY_STEP.powi(i32::from(class) - 1)
    }
}

impl Rank {
    /// Its bucket, and when that no longer holds.
    fn bucket(&self, now: Micros) -> (Bucket, Option<Micros>) {
        let age = now.saturating_sub(self.delay_updated_at) as f64;
        let fresh = if self.delay_updated_at == 0 { 0.0 } else { (-age / self.delay_lifetime).exp() };
        let left = self.delay * fresh;
        let steps = (left / FIRST_DELAY_US).ln() / DELAY_STEP.ln();
        let mut wait = if left < FIRST_DELAY_US { 0 } else { (steps as u8).saturating_add(1) };
        if wait > 0 && wait_floor(wait) > left {
            wait -= 1;
        }
        let expires = (wait > 0).then(|| {
            let span = self.delay_lifetime * (self.delay / wait_floor(wait)).ln();
            (self.delay_updated_at + span as Micros).max(now) + 1
        });
        let (fresh, units) = ((fresh * FRESHNESS_STEPS).ceil() as u8, self.units as u8);
        (Bucket { tier: self.tier, wait, fresh, units }, expires)
    }
}

impl Bucket {
    /// No member's score is lower.
    fn bound(&self, prior: f64, unit_time: f64) -> f64 {
        let stale = 1.0 - f64::from(self.fresh) / FRESHNESS_STEPS;
        wait_floor(self.wait) + prior * stale + f64::from(self.units) * unit_time
    }
}

impl Ranking {
    /// Puts a node in its bucket.
    pub(crate) fn set(&mut self, now: Micros, node: NodeId, rank: &Rank) {
        let (bucket, expires) = rank.bucket(now);
        if let Some(place) = self.places.get_mut(&node).filter(|place| place.bucket == bucket) {
            if place.expires != expires {
                self.expiries.extend(expires.map(|at| (at, node)));
                let old = std::mem::replace(&mut place.expires, expires);
                old.map(|at| self.expiries.remove(&(at, node)));
            }
            return;
        }
        self.remove(node);
        let members = self.buckets.entry(bucket).or_default();
        self.places.insert(node, Place { bucket, index: members.len(), expires });
        members.push(node);
        self.expiries.extend(expires.map(|at| (at, node)));
    }

    pub(crate) fn remove(&mut self, node: NodeId) {
        let Some(place) = self.places.remove(&node) else { return };
        place.expires.map(|at| self.expiries.remove(&(at, node)));
        let Some(members) = self.buckets.get_mut(&place.bucket) else { return };
        members.swap_remove(place.index);
        if let Some(moved) = members.get(place.index).and_then(|moved| self.places.get_mut(moved)) {
            moved.index = place.index;
        }
        if members.is_empty() {
            self.buckets.remove(&place.bucket);
        }
    }

    /// The lower bound of a node's score.
    #[cfg(test)]
    pub(crate) fn bound(&self, node: NodeId, prior: f64, unit_time: f64) -> Option<f64> {
        self.places.get(&node).map(|place| place.bucket.bound(prior, unit_time))
    }

    /// Nodes whose bucket no longer holds, the most overdue first.
    pub(crate) fn expired(&self, now: Micros) -> Vec<NodeId> {
        let due = self.expiries.iter().take_while(|(at, _)| *at <= now);
        due.take(MAX_MOVES).map(|(_, node)| *node).collect()
    }

    /// The node with the lowest score among those where a request may go now; where there is none, among all.
    /// `look` says how a node stands, `None` where the request must never go.
    pub(crate) fn best(
        &self,
        prior: f64,
        unit_time: f64,
        rng: &mut fastrand::Rng,
        mut look: impl FnMut(NodeId) -> Option<Candidate>,
    ) -> SearchResult {
        let mut found = SearchResult::default();
        // Lowest scores so far, of open nodes and of others.
        let (mut open, mut closed) = (None, None);
        for tier in [HealthTier::Warm, HealthTier::SlowStart, HealthTier::Unhealthy] {
            let shunned = tier == HealthTier::Unhealthy;
            if shunned && open.is_some() {
                break;
            }
            let mut search = Search::new(self, tier, prior, unit_time);
            for _ in 0..MAX_VISITS {
                let best: Option<(f64, NodeId)> = if shunned { closed } else { open };
                let Some((node, bound, noise)) = search.next(rng, best.map(|(score, _)| score)) else {
                    break;
                };
                found.visits += 1;
                let Some(candidate) = look(node) else { continue };
                if candidate.score > bound + unit_time / FRESHNESS_STEPS {
                    found.outdated.push(node);
                }
                let rank = (candidate.score + noise, node);
                let best = if candidate.open && !shunned { &mut open } else { &mut closed };
                *best = best.filter(|least| *least < rank).or(Some(rank));
            }
        }
        found.node = open.or(closed).map(|(_, node)| node);
        found
    }
}

/// The members of one bucket in the order of their noise.
struct Stream<'a> {
    members: &'a [NodeId],
    bound: f64,
    /// Noise of the next member, from 0 to 1, and how many came before it.
    noise: f64,
    drawn: usize,
    /// Members that changed places with earlier ones, as a shuffle does, without moving any.
    swapped: Vec<(usize, usize)>,
}

impl Stream<'_> {
    fn at(&self, place: usize) -> usize {
        self.swapped.iter().rev().find(|(from, _)| *from == place).map_or(place, |(_, to)| *to)
    }

    /// Draws the next lowest of the noises that are left.
    fn draw(&mut self, rng: &mut fastrand::Rng) {
        let left = (self.members.len() - self.drawn) as f64;
        self.noise = 1.0 - (1.0 - self.noise) * (1.0 - rng.f64()).powf(1.0 / left);
    }

    /// The member that has it: any of those left.
    fn take(&mut self, rng: &mut fastrand::Rng) -> NodeId {
        let place = rng.usize(self.drawn..self.members.len());
        let (member, first) = (self.at(place), self.at(self.drawn));
        self.swapped.push((place, first));
        self.drawn += 1;
        self.members[member]
    }
}

/// Goes through a tier's nodes in order of their bucket's bound and their noise.
struct Search<'a> {
    streams: Vec<Stream<'a>>,
    /// Least score that a stream's next member can have, as bits (none is negative), whether its noise is
    /// drawn, and the stream.
    heap: BinaryHeap<Reverse<(u64, bool, usize)>>,
    unit_time: f64,
}

impl<'a> Search<'a> {
    fn new(ranking: &'a Ranking, tier: HealthTier, prior: f64, unit_time: f64) -> Self {
        let first = Bucket { tier, wait: 0, fresh: 0, units: 0 };
        let last = Bucket { tier, wait: u8::MAX, fresh: u8::MAX, units: u8::MAX };
        let buckets = ranking.buckets.range(first..=last);
        let streams: Vec<Stream> = buckets
            .map(|(bucket, members)| {
                let bound = bucket.bound(prior, unit_time).max(0.0);
                Stream { members, bound, noise: 0.0, drawn: 0, swapped: vec![] }
            })
            .collect();
        let starts = streams.iter().enumerate().map(|(i, s)| Reverse((s.bound.to_bits(), false, i)));
        Self { heap: starts.collect(), streams, unit_time }
    }

    /// The next node, its bucket's bound and its noise; `None` when no other can score below `best`.
    fn next(&mut self, rng: &mut fastrand::Rng, best: Option<f64>) -> Option<(NodeId, f64, f64)> {
        loop {
            let Reverse((least, drawn, i)) = self.heap.pop()?;
            if best.is_some_and(|best| f64::from_bits(least) >= best) {
                return None;
            }
            let stream = &mut self.streams[i];
            if !drawn {
                stream.draw(rng);
                let least = stream.bound + stream.noise * self.unit_time;
                self.heap.push(Reverse((least.to_bits(), true, i)));
                continue;
            }
            let noise = stream.noise * self.unit_time;
            let node = stream.take(rng);
            if stream.drawn < stream.members.len() {
                self.heap.push(Reverse((least, false, i)));
            }
            return Some((node, stream.bound, noise));
        }
    }
}

#[cfg(test)]
mod tests;
