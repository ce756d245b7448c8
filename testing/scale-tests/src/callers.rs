//! A fleet's calls before one list service, in virtual time: what a law of pauses costs that service, and
//! when the fleet has its lists. Seeded; a thousand hosts take milliseconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Add;
use std::time::Duration;

use heathward_discovery_pacing::{CallFailure, CallPacer, FleetPosition};

use crate::service::{Costs, Ending, Service};

/// A start that takes longer has failed: guards against laws that never end.
const END: Duration = Duration::from_secs(600);

/// Whoever says when a host calls.
pub trait Law {
    /// How long the first call waits.
    fn first(&mut self) -> Duration;
    /// How long the next waits after one that failed.
    fn failed(&mut self, how: CallFailure, since: Duration) -> Duration;
}

impl Law for CallPacer {
    fn first(&mut self) -> Duration {
        CallPacer::first_delay(self)
    }

    fn failed(&mut self, how: CallFailure, since: Duration) -> Duration {
        CallPacer::on_failure(self, how, since)
    }
}

/// The constants of one service that were the law before: the first call at once, then drawn over 40, 80 and
/// 120 ms for each host.
pub struct Constants {
    hosts: u32,
    failures: u32,
    rng: fastrand::Rng,
}

impl Constants {
    /// One of that many hosts.
    pub fn new(hosts: u32, seed: u64) -> Self {
        Self { hosts, failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }
}

impl Law for Constants {
    fn first(&mut self) -> Duration {
        Duration::ZERO
    }

    fn failed(&mut self, _: CallFailure, _: Duration) -> Duration {
        let longest = Duration::from_secs(1).max(Duration::from_millis(120) * self.hosts);
        let first = Duration::from_millis(50).max(Duration::from_millis(40) * self.hosts);
        let span = first.saturating_mul(1 << self.failures.min(20)).min(longest);
        self.failures += 1;
        span.mul_f64(0.1 + 0.9 * self.rng.f64())
    }
}

/// What a start of a fleet came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Start {
    /// Calls in the busiest second over what the service can serve in one.
    pub busiest: f64,
    /// Turns that served nobody over those that served somebody.
    pub in_vain: f64,
    /// Until 99 of 100 hosts have a list, over the least that the service needs for that.
    pub slowest: f64,
    /// The mean of all hosts' times, over half of that least.
    pub mean: f64,
}

/// Each host of `laws` starts at 0 before a service that is down until then, and calls until it is served.
pub fn start<L: Law>(laws: &mut [L], costs: Costs, down: Duration) -> Start {
    let mut service: Service<usize> = Service::new(costs);
    let mut calls: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    calls.extend(laws.iter_mut().enumerate().map(|(host, law)| Reverse((law.first(), host))));
    let (mut made, mut done) = (Vec::new(), Vec::new());
    let mut since = vec![Duration::ZERO; laws.len()];
    while done.len() < laws.len() {
        let call = calls.peek().map(|Reverse((at, _))| *at);
        let Some(now) = call.into_iter().chain(service.next()).min().filter(|now| *now < down + END) else {
            break;
        };
        for (at, host, how) in service.advance(now) {
            match how {
                Ending::Served => done.push(at),
                _ => calls
                    .push(Reverse((at + laws[host].failed(CallFailure::TimedOut, at - since[host]), host))),
            }
        }
        while let Some(Reverse((at, host))) = calls.peek().copied().filter(|Reverse((at, _))| *at <= now) {
            calls.pop();
            if at < down {
                let again = laws[host].failed(CallFailure::Unreachable, Duration::ZERO);
                calls.push(Reverse((at + again.max(Duration::from_millis(1)), host)));
                continue;
            }
            made.push(at);
            since[host] = at;
            if service.call(at, host, 0).is_err() {
                calls.push(Reverse((
                    at + laws[host].failed(CallFailure::Rejected { retry_after: None }, Duration::ZERO),
                    host,
                )));
            }
        }
    }
    figures(laws.len(), &mut made, &mut done, costs, down, service.turns())
}

fn figures(
    hosts: usize,
    made: &mut [Duration],
    done: &mut [Duration],
    costs: Costs,
    down: Duration,
    turns: (u64, u64),
) -> Start {
    made.sort_unstable();
    done.sort_unstable();
    let second = Duration::from_secs(1);
    let busiest = busiest(made, second);
    let most = (hosts * 99).div_ceil(100).max(1);
    let least = costs.call * most as u32;
    let slowest = done.get(most - 1).copied().unwrap_or(down + END).saturating_sub(down);
    let mean = done.iter().map(|at| at.saturating_sub(down).as_secs_f64()).sum::<f64>() / done.len() as f64;
    Start {
        // A call more than it can serve in a second is none too many: the queue is there for that.
        busiest: busiest as f64 / (second.as_secs_f64() / costs.call.as_secs_f64()).max(1.0),
        in_vain: turns.1 as f64 / turns.0.max(1) as f64,
        slowest: slowest.as_secs_f64() / least.as_secs_f64(),
        mean: mean / (least.as_secs_f64() / 2.0),
    }
}

/// The most moments within a span that begins with one of them; `times` in order.
pub fn busiest<T: Copy + PartialOrd + Add<Output = T>>(times: &[T], span: T) -> usize {
    let within = |(first, at): (usize, &T)| times[first..].partition_point(|later| *later < *at + span);
    times.iter().enumerate().map(within).max().unwrap_or_default()
}

/// The worst of each figure over so many seeds, from 1.
pub fn worst(seeds: u64, one: impl Fn(u64) -> Start) -> Start {
    let starts: Vec<_> = (1..=seeds).map(one).collect();
    let most = |of: fn(&Start) -> f64| starts.iter().map(of).fold(0.0, f64::max);
    Start {
        busiest: most(|s| s.busiest),
        in_vain: most(|s| s.in_vain),
        slowest: most(|s| s.slowest),
        mean: most(|s| s.mean),
    }
}

/// The law for so many hosts, which have been answered `known` times after so long.
pub fn fleet(hosts: u32, seed: u64, known: (u32, Duration)) -> Vec<CallPacer> {
    let one = |host| {
        let mut calls = CallPacer::new(
            FleetPosition { scheduler_index: host, schedulers: hosts },
            seed * 10_000 + u64::from(host),
        );
        for _ in 0..known.0 {
            calls.on_answer(known.1);
        }
        calls
    };
    (0..hosts).map(one).collect()
}
