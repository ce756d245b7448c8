use super::*;

const WINDOW: Micros = 2_000_000;
const STEP: Micros = 10_000;
/// Requests of mean size that all schedulers together may send within a window.
const ALLOWANCE: f64 = 38.0;
const SHARD: ShardId = ShardId(7);

fn settings(schedulers: u32, scheduler_index: u32) -> Settings {
    Settings {
        schedulers,
        scheduler_index,
        mean_units: 2.0,
        slow_start_units: 20.0,
        slow_start_fraction: 0.25,
        slow_start_duration: 18_000_000,
        overload_window: WINDOW,
        overload_multiple: 4.0,
        ..Settings::default()
    }
}

/// A scheduler of the fleet with its bucket for the node.
struct Member {
    settings: Settings,
    bucket: TokenBucket,
}

impl Member {
    fn new(schedulers: u32, scheduler_index: u32) -> Self {
        let settings = settings(schedulers, scheduler_index);
        let bucket = TokenBucket::new(0, None, SHARD, &settings);
        Self { settings, bucket }
    }

    fn on_request(&mut self, now: Micros, use_probability: f64, draw: f64) {
        self.bucket.on_request(now, Some(ALLOWANCE), use_probability, draw, &self.settings);
    }

    fn allows(&self, now: Micros, priority: f64) -> bool {
        self.bucket.allows(now, ALLOWANCE, priority, None, &self.settings)
    }

    /// Sends a request of mean size if the bucket allows it.
    fn try_send(&mut self, now: Micros, priority: f64) -> bool {
        let is_allowed = self.allows(now, priority);
        if is_allowed {
            self.bucket.spend(now, ALLOWANCE, self.settings.mean_units, &self.settings);
        }
        is_allowed
    }

    /// Sends requests until the bucket allows no more. Returns their number.
    fn send_all(&mut self, now: Micros, priority: f64) -> u32 {
        let mut sent = 0;
        while self.try_send(now, priority) {
            sent += 1;
        }
        sent
    }
}

/// Creates a fleet's buckets for one node; `index` returns the index that gives each scheduler its initial
/// level.
fn fleet(schedulers: u32, index: impl Fn(u32) -> u32) -> Vec<Member> {
    (0..schedulers).map(|scheduler| Member::new(schedulers, index(scheduler))).collect()
}

/// Returns the number of requests sent in each step if every scheduler always has requests.
fn sent_under_full_load(fleet: &mut [Member], windows: u64) -> Vec<u32> {
    let mut sent = Vec::new();
    for now in (0..windows * WINDOW).step_by(STEP as usize) {
        let mut count = 0;
        for member in &mut *fleet {
            member.on_request(now, 1.0, 0.5);
            count += member.send_all(now, 1.0);
        }
        sent.push(count);
    }
    sent
}

fn max_in_a_window(sent: &[u32]) -> u32 {
    sent.windows((WINDOW / STEP) as usize).map(|window| window.iter().sum()).max().unwrap_or_default()
}

#[test]
fn whole_tokens_of_any_number_of_schedulers_are_spread_evenly() {
    for schedulers in [1, 2, 7, 30, 300, 4_500] {
        let sent = sent_under_full_load(&mut fleet(schedulers, |index| index), 5);
        let (max, sum) = (f64::from(max_in_a_window(&sent)), f64::from(sent.iter().sum::<u32>()));
        assert!(max <= ALLOWANCE + 2.0, "{schedulers} schedulers: {max} in a window");
        assert!(sum >= 5.0 * ALLOWANCE - 2.0, "{schedulers} schedulers: {sum} in five windows");
    }
}

/// Shows that the test above detects a fleet whose schedulers all get their tokens at the same moment.
#[test]
fn schedulers_with_the_same_starting_level_exceed_the_allowance() {
    let sent = sent_under_full_load(&mut fleet(300, |_| 0), 10);
    assert!(f64::from(max_in_a_window(&sent)) > 2.0 * ALLOWANCE);
}

/// Guards against tokens that accumulate while there are no requests and are then all used at the same
/// moment.
#[test]
fn unused_tokens_expire() {
    for schedulers in [1, 2, 7, 30, 300, 4_500] {
        let mut sent = 0;
        for member in &mut fleet(schedulers, |index| index) {
            let now = 20 * WINDOW;
            member.on_request(now, 1.0, 0.5);
            sent += member.send_all(now, 1.0);
        }
        let max = TOKEN_LIFETIME_WINDOWS * ALLOWANCE + 2.0;
        assert!(f64::from(sent) <= max, "{schedulers} schedulers: {sent} at once");
    }
}

/// Buckets fill faster by the inverse of the probability that a token is used: the allowance is used even if
/// each scheduler rarely has a request, and is not exceeded by more than random variation.
#[test]
fn the_allowance_is_used_however_rarely_each_scheduler_has_a_request() {
    for probability in [0.5, 0.1, 0.02] {
        let mut random = fastrand::Rng::with_seed(1);
        let mut fleet = fleet(4_500, |index| index);
        let lifetime_steps = TOKEN_LIFETIME_WINDOWS * (WINDOW / STEP) as f64;
        let step_probability = 1.0 - (1.0_f64 - probability).powf(1.0 / lifetime_steps);
        let mut sent = Vec::new();
        for now in (0..20 * WINDOW).step_by(STEP as usize) {
            let mut count = 0;
            for member in &mut fleet {
                if random.f64() >= step_probability {
                    continue;
                }
                member.on_request(now, probability, random.f64());
                count += u32::from(member.try_send(now, 1.0));
            }
            sent.push(count);
        }
        let steady_state = &sent[sent.len() / 4..];
        let mean = f64::from(steady_state.iter().sum::<u32>()) / 15.0;
        let max = f64::from(max_in_a_window(steady_state));
        println!("probability {probability}: {mean:.1} on average, {max} at most of {ALLOWANCE}");
        let is_used = (0.85 * ALLOWANCE..1.1 * ALLOWANCE).contains(&mean);
        assert!(is_used, "probability {probability}: {mean} in a window");
        let bound = ALLOWANCE + 4.0 * ALLOWANCE.sqrt();
        assert!(max <= bound, "probability {probability}: {max} in a window");
    }
}

/// Guards against a client whose requests have the same phase relative to the tokens and miss each of them.
#[test]
fn requests_at_a_fixed_interval_get_their_tokens() {
    for scheduler in 0..100 {
        let mut member = Member::new(100, scheduler);
        let mut random = fastrand::Rng::with_seed(u64::from(scheduler));
        // Eight requests per token, so that every eighth request comes at the same phase between two tokens.
        let interval = (WINDOW as f64 / (8.0 * ALLOWANCE / 100.0)) as Micros;
        let sent = (1..=200).filter(|number| {
            let now = number * interval;
            member.on_request(now, 1.0, random.f64());
            member.try_send(now, 1.0)
        });
        let sent = sent.count();
        assert!(sent >= 5, "scheduler {scheduler}: {sent} of 200");
    }
}

#[test]
fn a_restarted_scheduler_has_no_whole_token() {
    for schedulers in [1, 30, 4_500] {
        for age in [0, 1_000_000, 7_000_000, 17_000_000] {
            let settings = settings(schedulers, schedulers / 2);
            let now = 100_000_000;
            let bucket = TokenBucket::new(now, Some(now - age), SHARD, &settings);
            let allows = bucket.allows(now, ALLOWANCE, 1.0, None, &settings);
            assert!(!allows, "{schedulers} schedulers, age {age}");
        }
    }
}

#[test]
fn requests_of_low_priority_leave_tokens_to_others() {
    let mut member = Member::new(1, 0);
    let now = 10 * WINDOW;
    member.on_request(now, 1.0, 0.5);
    let sent = member.send_all(now, 0.0);
    assert!(member.allows(now, 1.0), "no token is left after {sent} requests");
    assert!(sent > 0, "no request of low priority was sent");
}

/// A request that any node may serve would find every token that was added because of the probability of use.
#[test]
fn unsharded_requests_use_tokens_with_the_probability_of_use() {
    let mut member = Member::new(1, 0);
    let now = 10 * WINDOW;
    member.on_request(now, 0.25, 0.5);
    let allows = |draw| member.bucket.allows(now, ALLOWANCE, 1.0, Some(draw), &member.settings);
    assert!(allows(0.2));
    assert!(!allows(0.3));
}
