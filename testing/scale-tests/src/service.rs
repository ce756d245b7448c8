//! What a list service costs, as a model without I/O: one server for all, calls in turn, a bounded queue, and
//! calls that wait too long: they fail, and still have their turn.

use std::collections::VecDeque;
use std::time::Duration;

/// What it can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Of a call.
    pub call: Duration,
    /// Of each entry of a list that it sends.
    pub entry: Duration,
    /// Calls that wait at most; one more is turned away at once.
    pub places: usize,
    /// A call that has waited so long fails, and keeps its turn.
    pub patience: Duration,
}

impl Default for Costs {
    /// As measured at one service: some 54 ms a call, 2 s of patience.
    fn default() -> Self {
        Self {
            call: Duration::from_millis(54),
            entry: Duration::ZERO,
            places: 64,
            patience: Duration::from_secs(2),
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It had its turn in time.
    Served,
    /// It waited for too long. Its turn is still to come, for nobody.
    Waited,
    /// There was no place for it.
    Full,
}

/// The queue, on a clock of spans since the beginning.
#[derive(Clone, Debug)]
pub struct Service<C> {
    costs: Costs,
    turns: VecDeque<Turn<C>>,
    /// The turn that is being served ends then.
    busy: Option<Duration>,
    /// Turns that served nobody.
    in_vain: u64,
    served: u64,
}

#[derive(Clone, Debug)]
struct Turn<C> {
    call: C,
    since: Duration,
    work: Duration,
    /// It has failed: nobody waits for it.
    dead: bool,
}

impl<C: Clone> Service<C> {
    /// An idle one.
    pub fn new(costs: Costs) -> Self {
        Self { costs, turns: VecDeque::new(), busy: None, in_vain: 0, served: 0 }
    }

    /// It becomes that much faster or slower, for turns that have not begun.
    pub fn change(&mut self, costs: Costs) {
        self.costs = costs;
    }

    /// A call comes that will send so many entries.
    ///
    /// # Errors
    /// [`Ending::Full`] without a place for it.
    pub fn call(&mut self, now: Duration, call: C, entries: u32) -> Result<(), Ending> {
        if self.turns.len() >= self.costs.places {
            return Err(Ending::Full);
        }
        let work = self.costs.call + self.costs.entry * entries;
        self.turns.push_back(Turn { call, since: now, work, dead: false });
        if self.turns.len() == 1 {
            self.busy = Some(now + work);
        }
        Ok(())
    }

    /// When something happens next, if no call comes.
    pub fn next(&self) -> Option<Duration> {
        let fails = self.turns.iter().find(|turn| !turn.dead).map(|turn| turn.since + self.costs.patience);
        self.busy.into_iter().chain(fails).min()
    }

    /// The clock goes on to then: calls that end meanwhile, with when and how.
    pub fn advance(&mut self, now: Duration) -> Vec<(Duration, C, Ending)> {
        let mut ended = Vec::new();
        while let Some(at) = self.next().filter(|at| *at <= now) {
            if self.busy == Some(at) {
                if let Some(turn) = self.turns.pop_front() {
                    if turn.dead {
                        self.in_vain += 1;
                    } else {
                        self.served += 1;
                        ended.push((at, turn.call, Ending::Served));
                    }
                }
                self.busy = self.turns.front().map(|turn| at + turn.work);
            } else if let Some(turn) = self.turns.iter_mut().find(|turn| !turn.dead) {
                turn.dead = true;
                ended.push((at, turn.call.clone(), Ending::Waited));
            }
        }
        ended
    }

    /// Turns that served somebody, and that served nobody.
    pub fn turns(&self) -> (u64, u64) {
        (self.served, self.in_vain)
    }
}

#[cfg(test)]
mod tests;
