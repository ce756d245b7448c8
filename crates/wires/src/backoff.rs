//! How long one of many schedulers waits before it calls discovery again. No I/O, no clock.

use std::time::Duration;

use heathward_module::ListMode;

/// For each host of the fleet: the spans over which the call after a first failure and after many is drawn.
/// Discovery is one service for all. Where it has no room (measured: some 54 ms for a call, and a call that
/// waits for 2 s fails but keeps its turn), calls must come no faster than they are served: else the queue
/// stays full of calls that nobody waits for, and nobody is served at all.
const FOR_EACH: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(120));
/// The least that these come to: a small fleet is back at once.
const LEAST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));
/// No less of a span than this: guards against calls without a pause.
const PART: f64 = 0.1;
/// The call after a sound watch has ended is drawn over this span, whatever the size of the fleet: what the
/// agent of this machine has counts as told from the moment it has it, whether it was asked or not.
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

    /// For one of that many hosts where lists come so. Those that are pushed wait with this host's own agent,
    /// which answers at no cost to anybody: it is called as by a fleet of one, however large that is. Only a
    /// service that all ask has to be shared.
    pub fn at(lists: ListMode, hosts: u32, seed: u64) -> Self {
        Self::new(if lists == ListMode::Pushed { 1 } else { hosts }, seed)
    }

    /// One for another address, with chances of its own.
    pub fn fork(&mut self) -> Self {
        Self { rng: self.rng.fork(), hosts: self.hosts, failures: 0 }
    }

    /// The pause before the next call, 50 ms at most where the last one was `sound`: it brought something, or
    /// stood for a while. Else it is drawn over a span in which the whole fleet's calls find room.
    pub fn pause(&mut self, sound: bool) -> Duration {
        if sound {
            self.failures = 0;
            return AT_ONCE.mul_f64(self.rng.f64());
        }
        let longest = LEAST.1.max(FOR_EACH.1 * self.hosts);
        let first = LEAST.0.max(FOR_EACH.0 * self.hosts);
        let span = first.saturating_mul(1 << self.failures.min(20)).min(longest);
        self.failures = self.failures.saturating_add(1);
        span.mul_f64(PART + (1.0 - PART) * self.rng.f64())
    }
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    /// Discovery takes so long for a call and has so many places; a call fails that has waited so long, ms.
    const EACH: u64 = 54;
    const PLACES: usize = 50;
    const WAIT: u64 = 2_000;

    /// How many hosts are served after so many ms, where `down` says until when nobody is; all call at 0. One
    /// service for the fleet: calls wait in turn, one that has waited too long fails but keeps its turn, and
    /// one too many fails at once.
    fn served(hosts: u32, law: u32, down: u64, end: u64) -> usize {
        let mut backoffs: Vec<_> = (0..hosts).map(|host| Backoff::new(law, u64::from(host))).collect();
        let mut calls: Vec<_> = vec![Some(0); hosts as usize];
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
    /// queue stays full of calls that have waited too long. And against pauses longer than that takes: a host
    /// goes by its list for 6 s.
    #[rstest::rstest]
    #[case::a_start(0, 8_000, 85)]
    #[case::a_start_later(0, 16_000, 99)]
    #[case::after_a_time_without(8_000, 30_000, 98)]
    fn a_fleet_that_lost_its_watches_gets_all_of_them_back(
        #[case] down: u64,
        #[case] end: u64,
        #[case] least: usize,
    ) {
        let (all, stuck) = (served(100, 100, down, end), served(100, 1, down, end));
        println!("down {down} ms: {all} of 100 hosts served, {stuck} with a small fleet's pauses");
        assert!(all >= least, "{all} of 100 hosts served");
        assert!(stuck < 60, "{stuck} served: the test tells nothing");
    }

    /// Guards against hosts of a large fleet that go on by an old list after a move of discovery or a broken
    /// watch: they are told what their agent has, and have 250 ms, however many they are.
    #[rstest::rstest]
    fn a_call_after_a_sound_watch_is_made_at_once_in_a_fleet_of_any_size(#[values(1, 30, 3_000)] hosts: u32) {
        let mut backoff = Backoff::new(hosts, 5);
        backoff.pause(false);
        let longest = (0..1_000).map(|_| backoff.pause(true)).max().unwrap();
        assert!(longest <= Duration::from_millis(50), "{hosts} hosts: {longest:?}");
    }

    /// Guards against a host of a large fleet that leaves its own agent alone for half a minute, and against
    /// one that is as quick at a service of all.
    #[test]
    fn an_agent_of_ones_own_is_called_again_within_a_second_in_a_fleet_of_any_size() {
        let longest = |lists| {
            let mut backoff = Backoff::at(lists, 300, 7);
            (0..100).map(|_| backoff.pause(false)).max().unwrap()
        };
        assert!(longest(ListMode::Pushed) <= Duration::from_secs(1));
        assert!(longest(ListMode::Asked { within: 10_000_000 }) > Duration::from_secs(30));
    }

    #[test]
    fn a_small_fleet_is_back_at_once_and_no_two_hosts_keep_step() {
        let mut few = Backoff::new(4, 1);
        assert!(few.pause(false) <= Duration::from_millis(240));
        assert!((0..20).all(|_| few.pause(false) <= Duration::from_secs(1)));
        let first: std::collections::BTreeSet<_> =
            (0..100).map(|seed| Backoff::new(100, seed).pause(false)).collect();
        assert!(first.len() > 95);
    }
}
