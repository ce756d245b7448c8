//! A search that visits the nodes of a tier in order of their bucket's bound plus random noise.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use super::bucket::{Bucket, HealthTier};
use crate::api::NodeId;

/// An exchange of two members of a bucket by the shuffle.
#[derive(Clone, Copy, Debug)]
struct Swap {
    position: usize,
    index: usize,
}

/// A draw of the members of one bucket, in ascending order of their noise.
struct BucketDraw<'a> {
    members: &'a [NodeId],
    bound: f64,
    /// Noise of the next member, from 0 to 1.
    noise: f64,
    /// Number of members already drawn.
    drawn: usize,
    /// Exchanges made by the shuffle; the list of members itself is not changed.
    swaps: Vec<Swap>,
}

impl BucketDraw<'_> {
    /// Returns the index of the member that the shuffle has moved to a position.
    fn index_at(&self, position: usize) -> usize {
        self.swaps.iter().rev().find(|swap| swap.position == position).map_or(position, |swap| swap.index)
    }

    /// Draws the lowest noise of the remaining members.
    fn draw_noise(&mut self, random: &mut fastrand::Rng) {
        let remaining = (self.members.len() - self.drawn) as f64;
        self.noise = 1.0 - (1.0 - self.noise) * (1.0 - random.f64()).powf(1.0 / remaining);
    }

    /// Draws the member with that noise, uniformly among the remaining ones.
    fn draw_member(&mut self, random: &mut fastrand::Rng) -> NodeId {
        let position = random.usize(self.drawn..self.members.len());
        let index = self.index_at(position);
        let first_index = self.index_at(self.drawn);
        self.swaps.push(Swap { position, index: first_index });
        self.drawn += 1;
        self.members[index]
    }

    fn is_exhausted(&self) -> bool {
        self.drawn >= self.members.len()
    }
}

/// The next member of a bucket, ordered by the lowest score that it can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct NextMember {
    /// Bits of the lowest score that it can have; they order like the score itself, which is not negative.
    lowest_score_bits: u64,
    /// Whether the noise is already drawn, so that the score is exact and not just a bound.
    has_noise: bool,
    /// Index of the bucket.
    bucket: usize,
}

/// The node to visit next.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrawnNode {
    pub(super) node: NodeId,
    /// Lower bound of the node's load, in microseconds.
    pub(super) bound: f64,
    /// Noise to add to the node's load, in microseconds.
    pub(super) noise: f64,
}

/// A search through the nodes of a tier.
pub(super) struct Search<'a> {
    buckets: Vec<BucketDraw<'a>>,
    next_members: BinaryHeap<Reverse<NextMember>>,
    /// Service time of one unit in microseconds, which is the maximum noise.
    unit_service_time: f64,
}

impl<'a> Search<'a> {
    pub(super) fn new(
        buckets: &'a BTreeMap<Bucket, Vec<NodeId>>,
        tier: HealthTier,
        fleet_delay: f64,
        unit_service_time: f64,
    ) -> Self {
        let tier_buckets = buckets.range(Bucket::first_of(tier)..=Bucket::last_of(tier));
        let draw = |(bucket, members): (&Bucket, &'a Vec<NodeId>)| BucketDraw {
            members: members.as_slice(),
            bound: bucket.bound(fleet_delay, unit_service_time).max(0.0),
            noise: 0.0,
            drawn: 0,
            swaps: Vec::new(),
        };
        let buckets: Vec<BucketDraw> = tier_buckets.map(draw).collect();
        let first = |(index, bucket): (usize, &BucketDraw)| {
            Reverse(NextMember { lowest_score_bits: bucket.bound.to_bits(), has_noise: false, bucket: index })
        };
        let next_members = buckets.iter().enumerate().map(first).collect();
        Self { buckets, next_members, unit_service_time }
    }

    /// Returns the next node, or `None` if no other can have a score below `score_limit`.
    pub(super) fn next(&mut self, random: &mut fastrand::Rng, score_limit: Option<f64>) -> Option<DrawnNode> {
        loop {
            let Reverse(next) = self.next_members.pop()?;
            if score_limit.is_some_and(|score_limit| f64::from_bits(next.lowest_score_bits) >= score_limit) {
                return None;
            }
            if next.has_noise {
                return Some(self.draw_member(random, next));
            }
            self.draw_noise(random, next);
        }
    }

    /// Draws the noise of a bucket's next member and queues the member by its score.
    fn draw_noise(&mut self, random: &mut fastrand::Rng, next: NextMember) {
        let bucket = &mut self.buckets[next.bucket];
        bucket.draw_noise(random);
        let score = bucket.bound + bucket.noise * self.unit_service_time;
        let with_noise = NextMember { lowest_score_bits: score.to_bits(), has_noise: true, ..next };
        self.next_members.push(Reverse(with_noise));
    }

    /// Draws a bucket's next member, and queues the member after it with this one's score as the lower bound.
    fn draw_member(&mut self, random: &mut fastrand::Rng, next: NextMember) -> DrawnNode {
        let bucket = &mut self.buckets[next.bucket];
        let noise = bucket.noise * self.unit_service_time;
        let node = bucket.draw_member(random);
        if !bucket.is_exhausted() {
            self.next_members.push(Reverse(NextMember { has_noise: false, ..next }));
        }
        DrawnNode { node, bound: bucket.bound, noise }
    }
}
