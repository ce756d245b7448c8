//! How long one of many schedulers waits before it calls discovery again. No I/O, no clock.

use std::time::Duration;

/// For each host of the fleet: the first and the longest pause after calls that failed. Discovery is one
/// service for all: a fleet whose calls it turns away comes to it at 25 calls a second, and at 8 to 17 in the
/// end, however many hosts there are.
const FOR_EACH: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(120));
/// The least that these come to: a small fleet is back at once.
const LEAST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));
/// The first call, and the one after a sound watch has ended, is drawn over this span, whatever the size of
/// the fleet: what the agent of this machine has counts as told from the moment it has it, whether it was
/// asked or not, and a drain leaves 250 ms until the last send.
const AT_ONCE: Duration = Duration::from_millis(50);

/// Pauses that double with each failure and are drawn apart, so that a fleet whose calls fail neither comes
/// back as one nor keeps the one discovery busy with calls that wait too long.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: fastrand::Rng,
    hosts: u32,
    failures: u32,
}

impl Backoff {
    /// For one of that many hosts; `seed` is its only source of chance.
    pub fn new(hosts: u32, seed: u64) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), hosts, failures: 0 }
    }

    /// One for another address, with chances of its own.
    pub fn fork(&mut self) -> Self {
        Self { rng: self.rng.fork(), hosts: self.hosts, failures: 0 }
    }

    /// The pause before the next call, 50 ms at most where the last one did not fail. A call that brought
    /// something, or stood for a while, was `sound`.
    pub fn pause(&mut self, sound: bool) -> Duration {
        if sound {
            self.failures = 0;
            return AT_ONCE.mul_f64(self.rng.f64());
        }
        let longest = LEAST.1.max(FOR_EACH.1 * self.hosts);
        let first = LEAST.0.max(FOR_EACH.0 * self.hosts);
        self.failures = self.failures.saturating_add(1);
        let pause = first.saturating_mul(1 << self.failures.min(20)).min(longest);
        pause.mul_f64(0.5 + 0.5 * self.rng.f64())
    }
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    const EACH: u64 = 60;
    const WAIT: u64 = 2_000;
    const PLACES: usize = 50;

    /// Hosts that are served after so many ms, where `down` says when nobody is; all start at 0. One service
    /// for the fleet: calls wait in turn, one that has waited too long fails but keeps its turn, and one too
    /// many fails at once.
    fn served(hosts: u32, law: u32, down: u64, end: u64) -> usize {
        let mut backoffs: Vec<_> = (0..hosts).map(|host| Backoff::new(law, u64::from(host))).collect();
        let mut calls: Vec<_> =
            backoffs.iter_mut().map(|backoff| Some(backoff.pause(true).as_millis() as u64)).collect();
        let mut turns: VecDeque<(usize, u64)> = VecDeque::new();
        let mut done = 0;
        for now in 0..end {
            for (host, call) in calls.iter_mut().enumerate() {
                if *call == Some(now) {
                    *call = if turns.len() < PLACES {
                        turns.push_back((host, now));
                        None
                    } else {
                        Some(now + 1 + backoffs[host].pause(false).as_millis() as u64)
                    };
                }
            }
            for (host, since) in &turns {
                if now == since + WAIT {
                    calls[*host] = Some(now + 1 + backoffs[*host].pause(false).as_millis() as u64);
                }
            }
            if now >= down && now % EACH == 0 {
                if let Some((_, since)) = turns.pop_front() {
                    done += usize::from(now < since + WAIT);
                }
            }
        }
        done
    }

    /// Guards against calls that keep one another from being served: with the pauses of a small fleet the
    /// queue stays full of calls that have waited too long.
    #[test]
    fn a_fleet_that_lost_its_watches_gets_all_of_them_back() {
        for down in [0, 8_000] {
            let (all, stuck) = (served(100, 100, down, 30_000 + down), served(100, 1, down, 30_000 + down));
            println!("down {down} ms: {all} of 100 hosts served, {stuck} with a small fleet's pauses");
            assert!(all >= 98, "down {down} ms: {all} of 100 hosts served");
            assert!(stuck < 80, "down {down} ms: {stuck} served: the test tells nothing");
        }
    }

    /// Guards against hosts of a large fleet that go on by an old list after a start, a move of discovery or
    /// a broken watch: they are told what their agent has, and have 250 ms, however many they are.
    #[test]
    fn a_first_call_leaves_most_of_the_grace_of_a_drain_in_a_fleet_of_any_size() {
        for hosts in [1, 30, 300, 3_000] {
            let mut backoff = Backoff::new(hosts, 5);
            backoff.pause(false);
            let longest = (0..1_000).map(|_| backoff.pause(true)).max().unwrap();
            assert!(longest <= Duration::from_millis(50), "{hosts} hosts: {longest:?}");
            let mut moved = backoff.fork();
            assert!(moved.pause(true) <= Duration::from_millis(50));
        }
    }

    #[test]
    fn a_small_fleet_is_back_at_once_and_no_two_hosts_keep_step() {
        let mut few = Backoff::new(4, 1);
        assert!(few.pause(true) <= Duration::from_millis(160));
        assert!((0..20).all(|_| few.pause(false) <= Duration::from_secs(1)));
        let first: std::collections::BTreeSet<_> =
            (0..100).map(|seed| Backoff::new(100, seed).pause(false)).collect();
        assert!(first.len() > 95);
    }
}
