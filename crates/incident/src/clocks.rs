//! How far clocks are apart: inequalities between offsets, and offsets that keep all of them.
//!
//! A boot's offset is what its monotonic time lacks to the common time. What two boots have both seen bounds
//! the difference of their offsets; all such bounds together are difference constraints, whose tightest
//! consequences are shortest paths (Cormen et al., Introduction to Algorithms, 24.4).

/// `offset[to] - offset[from] <= most`, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The one clock.
    pub from: usize,
    /// The other.
    pub to: usize,
    /// The most that it can be ahead.
    pub most: i64,
}

/// The same event, seen by both within a spread: `offset[b] - offset[a]` is about `difference`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The one clock.
    pub a: usize,
    /// The other.
    pub b: usize,
    /// What brings the two times together.
    pub difference: i64,
}

/// A clock's offset and how far it can be from that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offset {
    /// The estimate.
    pub value: i64,
    /// At least, against the reference of its group.
    pub least: Option<i64>,
    /// At most, likewise.
    pub most: Option<i64>,
    /// Clocks that something connects, directly or not, have the same group.
    pub group: usize,
}

/// Offsets that keep all bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Solution {
    /// For each clock.
    pub offsets: Vec<Offset>,
    /// By how much sightings may differ: more than asked for where they contradict each other otherwise.
    pub spread: i64,
    /// Nothing makes the bounds agree, so that the guesses stand.
    pub contradictory: bool,
}

/// No bound.
const FREE: i64 = i64::MAX / 4;
/// A spread that contradicts is doubled so often at most.
const DOUBLINGS: u32 = 8;

/// Offsets within all bounds, as near as these allow to what sightings say, and where there are none to the
/// guesses (each clock's own word). `spread` is by how much the sightings of one event may differ.
pub fn solve(guesses: &[i64], bounds: &[Bound], sightings: &[Sighting], spread: i64) -> Solution {
    let groups = groups(guesses.len(), bounds, sightings);
    for doubling in 0..=DOUBLINGS {
        let spread = spread << doubling;
        let seen = sightings.iter().flat_map(|s| {
            let (a, b) = (s.a, s.b);
            [
                Bound { from: a, to: b, most: s.difference + spread },
                Bound { from: b, to: a, most: spread - s.difference },
            ]
        });
        let all = bounds.iter().copied().chain(seen);
        if let Some(most) = tightest(guesses.len(), all) {
            let offsets = choose(guesses, &most, sightings, &groups);
            return Solution { offsets, spread, contradictory: false };
        }
    }
    let alone =
        |(at, value): (usize, &i64)| Offset { value: *value, least: None, most: None, group: groups[at] };
    let offsets = guesses.iter().enumerate().map(alone).collect();
    Solution { offsets, spread: spread << DOUBLINGS, contradictory: true }
}

/// The tightest bound between each two clocks; `None` if they contradict each other.
fn tightest(count: usize, bounds: impl Iterator<Item = Bound>) -> Option<Vec<Vec<i64>>> {
    let mut most = vec![vec![FREE; count]; count];
    (0..count).for_each(|at| most[at][at] = 0);
    for bound in bounds {
        let known = &mut most[bound.from][bound.to];
        *known = bound.most.min(*known);
    }
    for via in 0..count {
        for from in 0..count {
            if most[from][via] >= FREE {
                continue;
            }
            for to in 0..count {
                if most[via][to] < FREE {
                    most[from][to] = most[from][to].min(most[from][via] + most[via][to]);
                }
            }
        }
    }
    (0..count).all(|at| most[at][at] >= 0).then_some(most)
}

/// The number of each clock's group: the lowest clock in it.
fn groups(count: usize, bounds: &[Bound], sightings: &[Sighting]) -> Vec<usize> {
    let mut group: Vec<usize> = (0..count).collect();
    let pairs = || bounds.iter().map(|b| (b.from, b.to)).chain(sightings.iter().map(|s| (s.a, s.b)));
    loop {
        let mut changed = false;
        for (a, b) in pairs() {
            let least = group[a].min(group[b]);
            changed |= group[a] != least || group[b] != least;
            (group[a], group[b]) = (least, least);
        }
        if !changed {
            return group;
        }
    }
}

/// One after another, each within what those before leave: with the tightest bounds there is always something
/// left. The first of a group is the one whose guess is in the middle.
fn choose(guesses: &[i64], most: &[Vec<i64>], sightings: &[Sighting], groups: &[usize]) -> Vec<Offset> {
    let mut chosen: Vec<Option<Offset>> = vec![None; guesses.len()];
    let mut names = groups.to_vec();
    names.sort_unstable();
    names.dedup();
    for group in names {
        let mut members: Vec<usize> = (0..guesses.len()).filter(|at| groups[*at] == group).collect();
        members.sort_by_key(|at| guesses[*at]);
        let reference = members[(members.len() - 1) / 2];
        members.retain(|at| *at != reference);
        members.insert(0, reference);
        for at in members {
            let fixed = |other: usize| chosen[other].filter(|o| o.group == group).map(|o| o.value);
            let others = || (0..guesses.len()).filter_map(|other| Some((other, fixed(other)?)));
            let least = others().map(|(other, value)| value.saturating_sub(most[at][other])).max();
            let limit = others().map(|(other, value)| value.saturating_add(most[other][at])).min();
            let mut told: Vec<i64> = sightings
                .iter()
                .filter_map(|s| match () {
                    () if s.b == at => Some(fixed(s.a)? + s.difference),
                    () if s.a == at => Some(fixed(s.b)? - s.difference),
                    () => None,
                })
                .collect();
            told.sort_unstable();
            let wanted = told.get(told.len() / 2).copied().unwrap_or(guesses[at]);
            let value = wanted.max(least.unwrap_or(wanted)).min(limit.unwrap_or(wanted));
            let bound = |bound: i64| (bound.abs() < FREE / 2).then_some(bound);
            let base = chosen[reference].map_or(value, |o| o.value);
            chosen[at] = Some(Offset {
                value,
                least: bound(base.saturating_sub(most[at][reference])),
                most: bound(base.saturating_add(most[reference][at])),
                group,
            });
        }
    }
    chosen.into_iter().flatten().collect()
}

#[cfg(test)]
mod tests;
