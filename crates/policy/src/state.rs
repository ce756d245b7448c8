//! Records that `src/choice.rs` keeps; nothing here decides anything.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::{
    KeyId, Micros, NodeId, NodeStatus, PlanId, PlanSettings, Request, RequestId, ShardId, VolumeId,
};
use crate::slow_start::TokenBucket;

/// A start that the list has not told of after this time was none, microseconds.
pub(crate) const CONFIRMED: Micros = 6_000_000;

/// Where a request's units stand in its plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Portion {
    Reserve,
    Share,
    Spare,
}

/// Where a request is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits for its key's turn.
    InLine,
    /// Held; the place says for which node, `None` for a new object.
    Held(Option<NodeId>),
    /// An attempt is out.
    Out,
    /// Answered; only attempts are awaited.
    Over,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request: Request,
    pub(crate) due: Micros,
    pub(crate) deadline: Micros,
    pub(crate) portion: Portion,
    /// Worth of a unit against the dearest there can be, from 0 to 1, flattened by a root.
    pub(crate) level: f64,
    pub(crate) stage: Stage,
    pub(crate) sends: u32,
    /// Attempts out: number, node, time.
    pub(crate) out: Vec<(u32, NodeId, Micros)>,
    /// First attempt that may have run: its node and time.
    pub(crate) ran: Option<(NodeId, Micros)>,
    /// Drawn once, from 0 to 1: its place among requests alike at other hosts.
    pub(crate) luck: f64,
}

impl Job {
    /// Units that it holds at a node while an attempt of it is out.
    pub(crate) fn load(&self) -> f64 {
        if self.request.is_streaming {
            0.0
        } else {
            f64::from(self.request.units)
        }
    }

    pub(crate) fn new(
        request: Request,
        due: Micros,
        deadline: Micros,
        portion: Portion,
        level: f64,
        luck: f64,
    ) -> Self {
        let stage = Stage::Held(None);
        let (sends, out, ran) = (0, vec![], None);
        Self { request, due, deadline, portion, level, stage, sends, out, ran, luck }
    }
}

/// What is held beside the nodes' own queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    /// New objects held for any node, by due time.
    pub(crate) loose: BTreeSet<(Micros, RequestId)>,
    /// Nodes that requests are held for.
    pub(crate) busy: BTreeSet<NodeId>,
    /// When all that is held is looked at next.
    pub(crate) look: Micros,
}

/// Ordered keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lines {
    /// Requests in turn, and until when the key rests.
    pub(crate) queues: BTreeMap<KeyId, (VecDeque<RequestId>, Micros)>,
    /// Ends of rests that are to come.
    pub(crate) rests: BTreeSet<(Micros, KeyId)>,
}

impl Lines {
    /// A request joins its key's line; says whether it is its turn at once.
    pub(crate) fn join(&mut self, now: Micros, key: KeyId, id: RequestId) -> bool {
        let (line, rest) = self.queues.entry(key).or_default();
        line.push_back(id);
        line.len() == 1 && *rest <= now
    }

    /// A request leaves its key's line; says whether it was the first there.
    pub(crate) fn leave(&mut self, key: KeyId, id: RequestId) -> bool {
        let Some((line, _)) = self.queues.get_mut(&key) else { return false };
        let first = line.front() == Some(&id);
        line.retain(|other| *other != id);
        first
    }

    /// A key in use rests until then.
    pub(crate) fn rest(&mut self, key: KeyId, until: Micros) {
        let Some((_, rest)) = self.queues.get_mut(&key) else { return };
        *rest = until;
        self.rests.insert((until, key));
    }

    /// Takes out a key whose rest has ended.
    pub(crate) fn rested(&mut self, now: Micros) -> Option<KeyId> {
        let first = *self.rests.first().filter(|(rest, _)| *rest <= now)?;
        self.rests.remove(&first);
        Some(first.1)
    }
}

/// Counts over time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    /// Attempt budget: requests taken and further attempts within its window.
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) extras: VecDeque<Micros>,
    /// Requests given back since the last log line, and when that was.
    pub(crate) given_back: (u64, Micros),
    /// When what is neither open nor recent is forgotten next.
    pub(crate) sweep: Micros,
}

impl Tally {
    /// Counts a request that was taken, and forgets times that the window has left.
    pub(crate) fn take(&mut self, now: Micros, since: Micros) {
        self.taken.push_back(now);
        let out = self.taken.partition_point(|at| *at <= since);
        self.taken.drain(..out);
        let out = self.extras.partition_point(|at| *at < since);
        self.extras.drain(..out);
    }

    /// Counts a request given back; says how many since the last time, once a second.
    pub(crate) fn give_back(&mut self, now: Micros) -> Option<u64> {
        self.given_back.0 += 1;
        if now.saturating_sub(self.given_back.1) < 1_000_000 {
            return None;
        }
        let count = self.given_back.0;
        self.given_back = (0, now);
        Some(count)
    }

    /// Requests taken and further attempts since then.
    pub(crate) fn counts(&self, since: Micros) -> (f64, f64) {
        let taken = self.taken.len() - self.taken.partition_point(|at| *at <= since);
        let extras = self.extras.len() - self.extras.partition_point(|at| *at < since);
        (taken as f64, extras as f64)
    }
}

/// How the list of nodes is followed where it must be asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Following {
    pub(crate) due: Option<Micros>,
    pub(crate) failures: u32,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    pub(crate) tokens: f64,
    pub(crate) at: Micros,
}

impl Meter {
    pub(crate) fn fill(&mut self, now: Micros, rate: f64, cap: f64) -> f64 {
        self.tokens = (self.tokens + rate * seconds(now.saturating_sub(self.at))).min(cap);
        self.at = now;
        self.tokens
    }
}

/// What this host knows of a volume.
#[derive(Clone, Debug, Default)]
pub(crate) struct Volume {
    pub(crate) plan: PlanId,
    pub(crate) hosts: u32,
    pub(crate) limit: Meter,
    /// What is left of this host's part of reserve and share, in the order of [`Portion`].
    pub(crate) stores: [Meter; 2],
    /// Units a second asked and first sent here, and when these were last brought up to date.
    pub(crate) asked: f64,
    pub(crate) sent: f64,
    pub(crate) asked_at: Micros,
    /// When a request for it came last.
    pub(crate) requested_at: Micros,
    /// Units a second served everywhere, as answers tell it.
    pub(crate) fleet: f64,
    pub(crate) told_at: Micros,
    /// Smoothed share of the demand that comes through here.
    pub(crate) local_share: f64,
}

impl Volume {
    /// Units that this host's part of the limit allows now.
    pub(crate) fn allowed(&self, now: Micros, plan: &PlanSettings) -> f64 {
        let hosts = f64::from(self.hosts);
        self.limit.clone().fill(now, plan.rate_limit / hosts, plan.burst / hosts)
    }
}

/// What this host knows of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Node {
    pub(crate) shard: ShardId,
    pub(crate) zone: u32,
    pub(crate) ready: bool,
    /// When it started, as listed; it is warm one cold time later.
    pub(crate) started: Option<Micros>,
    /// The same as guessed, from an answer after it was down or silent.
    pub(crate) guess: Option<Micros>,
    /// Its process was seen down or silent, so that it may be cold when it answers.
    pub(crate) suspect: Option<Micros>,
    pub(crate) heard: Micros,
    /// Attempts that were lost since then: timed out, reset, not connected.
    pub(crate) unheard: u32,
    /// Errors in a row.
    pub(crate) errors: u32,
    /// Latest send that it has answered.
    pub(crate) overtook: Micros,
    pub(crate) budget: f64,
    /// Attempts out there, by send time, with their units.
    pub(crate) out: BTreeMap<(Micros, RequestId, u32), f64>,
    pub(crate) out_units: f64,
    pub(crate) held: BTreeSet<(Micros, RequestId)>,
    pub(crate) held_units: f64,
    /// This period: most open units, units served, whether the budget was filled, answers late and in aim.
    pub(crate) period_end: Micros,
    pub(crate) peak: f64,
    pub(crate) served: f64,
    pub(crate) filled: bool,
    pub(crate) late: u32,
    pub(crate) timely: u32,
    pub(crate) best: VecDeque<f64>,
    /// The last period was filled and its answers ran past aim.
    pub(crate) strained: bool,
    pub(crate) sessions: BTreeMap<VolumeId, Micros>,
    pub(crate) rates: VecDeque<f64>,
    pub(crate) rate_sum: f64,
    pub(crate) wait: f64,
    pub(crate) wait_at: Micros,
    /// Usual time between news of its wait.
    pub(crate) gap: f64,
    /// What this host may send it while it is or may be cold.
    pub(crate) slow_start: TokenBucket,
}

impl Node {
    /// Since when it may be cold: as listed, as guessed, or right now where it has not been heard since.
    pub(crate) fn cold_since(&self, now: Micros) -> Option<Micros> {
        let guess = self.guess.filter(|at| now.saturating_sub(*at) < CONFIRMED);
        self.started.max(guess).max(self.suspect.map(|_| now))
    }

    /// Holds a request, by its due time.
    pub(crate) fn hold(&mut self, now: Micros, place: (Micros, RequestId), request: &Request) {
        self.held.insert(place);
        self.sessions.insert(request.volume, now);
        self.held_units += f64::from(request.units);
        self.filled = true;
        self.peak = self.peak.max(self.out_units + self.held_units);
    }

    /// Holds a request no longer; says whether none is left.
    pub(crate) fn unhold(&mut self, place: (Micros, RequestId), request: &Request) -> bool {
        if self.held.remove(&place) {
            self.held_units = (self.held_units - f64::from(request.units)).max(0.0);
        }
        self.held.is_empty()
    }

    /// Units held, and of attempts out that no later one overtook: they stay until the node's next event.
    pub(crate) fn lasting_units(&self) -> f64 {
        let out = self.out.range((self.overtook + 1, RequestId(0), 0)..);
        out.map(|(_, units)| units).sum::<f64>() + self.held_units
    }

    pub(crate) fn standing(&self, now: Micros) -> NodeStatus {
        let cold_since = self.cold_since(now);
        NodeStatus {
            ready: self.ready,
            unresponsive_since: self.suspect,
            slow_start_since: cold_since,
            in_flight_units: self.out_units,
        }
    }
}

pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

#[cfg(test)]
mod tests;
