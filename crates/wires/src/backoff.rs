//! How long one of many schedulers waits before it calls discovery again. No I/O, no clock.

use std::time::Duration;

/// The first and the longest pause after calls that ended without a line. The agent is on this machine and
/// answers at no cost; what it has counts as told, so that a call is due well within the 6 s for which the
/// list may be gone by, however many hosts there are.
const ENDED: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));
/// For each host of the fleet: the first and the longest pause before another call beside one that is silent,
/// and the least that these come to. Discovery is one service for all: where it has no room, calls that were
/// given up waste its turns. A fleet comes to it at 25 such calls a second, and at 8 to 17 in the end.
const BESIDE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(120));
/// The least that these come to: a small fleet is back at once.
const LEAST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1000));
/// The call after a sound watch has ended is drawn over this span, whatever the size of the fleet: what the
/// agent of this machine has counts as told from the moment it has it, whether it was asked or not.
const AT_ONCE: Duration = Duration::from_millis(50);

/// Pauses that double with each failure and are drawn apart, so that a fleet whose calls fail neither comes
/// back as one nor keeps the one discovery busy with calls that wait too long.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: fastrand::Rng,
    hosts: u32,
    ended: u32,
    silent: u32,
}

impl Backoff {
    /// For one of that many hosts; `seed` is its only source of chance.
    pub fn new(hosts: u32, seed: u64) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), hosts, ended: 0, silent: 0 }
    }

    /// One for another address, with chances of its own.
    pub fn fork(&mut self) -> Self {
        Self { rng: self.rng.fork(), hosts: self.hosts, ended: 0, silent: 0 }
    }

    /// The pause after a call that has ended, 50 ms at most where it was `sound`: it brought something, or
    /// stood for a while; and 1 s at most in any case.
    pub fn pause(&mut self, sound: bool) -> Duration {
        self.after(sound, |new| (&mut new.ended, ENDED))
    }

    /// The pause before a call beside one that is silent, and that is kept.
    pub fn beside(&mut self, sound: bool) -> Duration {
        self.after(sound, |new| {
            let (first, longest) = (BESIDE.0 * new.hosts, BESIDE.1 * new.hosts);
            (&mut new.silent, (LEAST.0.max(first), LEAST.1.max(longest)))
        })
    }

    fn after(&mut self, sound: bool, law: fn(&mut Self) -> (&mut u32, (Duration, Duration))) -> Duration {
        if sound {
            (self.ended, self.silent) = (0, 0);
            return AT_ONCE.mul_f64(self.rng.f64());
        }
        let (failures, (first, longest)) = law(self);
        let pause = first.saturating_mul(1 << (*failures).min(20)).min(longest);
        *failures = failures.saturating_add(1);
        pause.mul_f64(0.5 + 0.5 * self.rng.f64())
    }
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    /// Discovery takes so long for a call and has so many places; a host waits so long for its answer before
    /// it calls beside, ms.
    const EACH: u64 = 100;
    const PLACES: usize = 50;
    const WAIT: u64 = 2_750;

    /// One host: when it calls next, the call it keeps, and the one beside it.
    #[derive(Default)]
    struct Host {
        next: Option<u64>,
        kept: Option<u64>,
        beside: Option<u64>,
        served: bool,
    }

    /// Hosts that are served after so many ms, where `down` says when nobody is; all start at 0. One service
    /// for the fleet: calls wait in turn, one that was given up keeps its turn all the same, and one too many
    /// fails at once. With `keeps`, hosts keep the first call that is silent.
    fn served(hosts: u32, law: u32, keeps: bool, down: u64, end: u64) -> usize {
        let mut backoffs: Vec<_> = (0..hosts).map(|host| Backoff::new(law, u64::from(host))).collect();
        let mut fleet: Vec<_> = (0..hosts).map(|_| Host { next: Some(0), ..Host::default() }).collect();
        let mut turns: VecDeque<(usize, u64)> = VecDeque::new();
        for now in 0..end {
            for (number, host) in fleet.iter_mut().enumerate().filter(|(_, host)| !host.served) {
                let backoff = &mut backoffs[number];
                if host.beside.is_some_and(|since| now == since + WAIT) {
                    let silent = host.beside.take();
                    host.kept = host.kept.or(silent.filter(|_| keeps));
                    host.next = Some(now + 1 + backoff.beside(false).as_millis() as u64);
                }
                if host.next == Some(now) {
                    if turns.len() < PLACES {
                        turns.push_back((number, now));
                        (host.next, host.beside) = (None, Some(now));
                    } else {
                        host.next = Some(now + 1 + backoff.pause(false).as_millis() as u64);
                    }
                }
            }
            if now >= down && now % EACH == 0 {
                if let Some((number, since)) = turns.pop_front() {
                    let host = &mut fleet[number];
                    host.served |= host.kept == Some(since) || host.beside == Some(since);
                }
            }
        }
        fleet.iter().filter(|host| host.served).count()
    }

    /// Guards against calls that keep one another from being served: where hosts give up what is silent and
    /// come again at a small fleet's pauses, the queue stays full of calls that nobody waits for.
    #[test]
    fn a_fleet_that_lost_its_watches_gets_all_of_them_back() {
        for down in [0, 8_000] {
            let end = 30_000 + down;
            let all = served(100, 100, true, down, end);
            let stuck = served(100, 1, false, down, end);
            println!("down {down} ms: {all} of 100 hosts served, {stuck} where calls are given up");
            assert!(all >= 98, "down {down} ms: {all} of 100 hosts served");
            assert!(stuck < 80, "down {down} ms: {stuck} served: the test tells nothing");
        }
    }

    /// Guards against hosts of a large fleet that go on by an old list after a call that failed: they waited
    /// 12 s at 300 hosts, and 36 s in the end.
    #[rstest::rstest]
    #[case::one(1)]
    #[case::many(300)]
    #[case::very_many(3_000)]
    fn after_calls_that_end_the_next_is_due_within_a_second_in_a_fleet_of_any_size(#[case] hosts: u32) {
        let mut backoff = Backoff::new(hosts, 5);
        assert!(backoff.pause(false) <= Duration::from_millis(50));
        let longest = (0..1_000).map(|_| backoff.pause(false)).max().unwrap();
        assert!(longest <= Duration::from_secs(1), "{hosts} hosts: {longest:?}");
        assert!(longest > Duration::from_millis(900), "pauses grow: {longest:?}");
        let longest = (0..1_000).map(|_| backoff.pause(true)).max().unwrap();
        assert!(longest <= Duration::from_millis(50), "{hosts} hosts: {longest:?}");
    }

    #[test]
    fn a_small_fleet_is_back_at_once_and_no_two_hosts_keep_step() {
        let mut few = Backoff::new(4, 1);
        assert!(few.beside(false) <= Duration::from_millis(160));
        assert!((0..20).all(|_| few.beside(false) <= Duration::from_secs(1)));
        let first: std::collections::BTreeSet<_> =
            (0..100).map(|seed| Backoff::new(100, seed).beside(false)).collect();
        assert!(first.len() > 95);
    }
}
