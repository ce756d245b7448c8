use super::*;

const WINDOW: Micros = 2_000_000;
const STEP: Micros = 10_000;
/// Requests of mean size that all schedulers together may send within a window.
const TOTAL: f64 = 38.0;
const SHARD: ShardId = ShardId(7);

fn settings(hosts: u32, host: u32) -> Settings {
    Settings {
        schedulers: hosts,
        scheduler_index: host,
        mean_units: 2.0,
        slow_start_units: 20.0,
        slow_start_fraction: 0.25,
        slow_start_duration: 18_000_000,
        overload_window: WINDOW,
        overload_multiple: 4.0,
        ..Settings::default()
    }
}

/// A fleet's buckets for one node. `places` gives the number by which each scheduler takes its place.
fn fleet(hosts: u32, places: impl Fn(u32) -> u32) -> Vec<(Settings, TokenBucket)> {
    let one = |host| {
        let settings = settings(hosts, places(host));
        let bucket = TokenBucket::new(0, None, SHARD, &settings);
        (settings, bucket)
    };
    (0..hosts).map(one).collect()
}

/// Requests that each step sends where every scheduler has one at all times.
fn storm(fleet: &mut [(Settings, TokenBucket)], windows: u64) -> Vec<u32> {
    let mut sent = Vec::new();
    for now in (0..windows * WINDOW).step_by(STEP as usize) {
        let mut count = 0;
        for (settings, bucket) in &mut *fleet {
            bucket.ask(now, Some(TOTAL), 1.0, 0.5, settings);
            while bucket.lets_through(now, TOTAL, 1.0, None, settings) {
                bucket.spend(now, TOTAL, settings.mean_units, settings);
                count += 1;
            }
        }
        sent.push(count);
    }
    sent
}

fn most_in_a_window(sent: &[u32]) -> u32 {
    sent.windows((WINDOW / STEP) as usize).map(|window| window.iter().sum()).max().unwrap_or_default()
}

#[test]
fn whole_tokens_of_any_number_of_schedulers_come_evenly() {
    for hosts in [1, 2, 7, 30, 300, 4_500] {
        let sent = storm(&mut fleet(hosts, |host| host), 5);
        let (most, sum) = (f64::from(most_in_a_window(&sent)), f64::from(sent.iter().sum::<u32>()));
        assert!(most <= TOTAL + 2.0, "{hosts} schedulers: {most} in a window");
        assert!(sum >= 5.0 * TOTAL - 2.0, "{hosts} schedulers: {sum} in five windows");
    }
}

/// The test above sees a fleet whose tokens come at one moment.
#[test]
fn schedulers_that_all_take_one_place_pass_the_total() {
    let sent = storm(&mut fleet(300, |_| 0), 10);
    assert!(f64::from(most_in_a_window(&sent)) > 2.0 * TOTAL);
}

/// Guards against tokens that pile up while nobody asks, all to be used at one moment.
#[test]
fn tokens_that_nobody_used_lapse() {
    for hosts in [1, 2, 7, 30, 300, 4_500] {
        let mut fleet = fleet(hosts, |host| host);
        let mut sent = 0;
        for (settings, bucket) in &mut fleet {
            let now = 20 * WINDOW;
            bucket.ask(now, Some(TOTAL), 1.0, 0.5, settings);
            while bucket.lets_through(now, TOTAL, 1.0, None, settings) {
                bucket.spend(now, TOTAL, settings.mean_units, settings);
                sent += 1;
            }
        }
        let most = TOKEN_LIFE * TOTAL + 2.0;
        assert!(f64::from(sent) <= most, "{hosts} schedulers: {sent} at once");
    }
}

/// Each scheduler asks now and then; as tokens come faster by the inverse of the chance that one is used, the
/// total is used all the same, and not passed by more than chance.
#[test]
fn the_total_is_used_however_seldom_each_scheduler_asks() {
    for chance in [0.5, 0.1, 0.02] {
        let mut rng = fastrand::Rng::with_seed(1);
        let mut fleet = fleet(4_500, |host| host);
        let life_steps = TOKEN_LIFE * (WINDOW / STEP) as f64;
        let in_a_step = 1.0 - (1.0_f64 - chance).powf(1.0 / life_steps);
        let mut sent = Vec::new();
        for now in (0..20 * WINDOW).step_by(STEP as usize) {
            let mut count = 0;
            for (settings, bucket) in &mut fleet {
                if rng.f64() >= in_a_step {
                    continue;
                }
                bucket.ask(now, Some(TOTAL), chance, rng.f64(), settings);
                if bucket.lets_through(now, TOTAL, 1.0, None, settings) {
                    bucket.spend(now, TOTAL, settings.mean_units, settings);
                    count += 1;
                }
            }
            sent.push(count);
        }
        let settled = &sent[sent.len() / 4..];
        let mean = f64::from(settled.iter().sum::<u32>()) / 15.0;
        let most = f64::from(most_in_a_window(settled));
        println!("chance {chance}: {mean:.1} in the mean, {most} at most of {TOTAL}");
        assert!((0.85 * TOTAL..1.1 * TOTAL).contains(&mean), "chance {chance}: {mean} in a window");
        assert!(most <= TOTAL + 4.0 * TOTAL.sqrt(), "chance {chance}: {most} in a window");
    }
}

/// Guards against a client whose requests come in step with the tokens and miss each of them.
#[test]
fn requests_at_a_fixed_pace_get_their_tokens() {
    for host in 0..100 {
        let settings = settings(100, host);
        let mut bucket = TokenBucket::new(0, None, SHARD, &settings);
        let mut rng = fastrand::Rng::with_seed(u64::from(host));
        // Eight requests to a token, so that each comes at the same place between two.
        let pace = (WINDOW as f64 / (8.0 * TOTAL / 100.0)) as Micros;
        let went = (1..=200).filter(|number| {
            let now = number * pace;
            bucket.ask(now, Some(TOTAL), 1.0, rng.f64(), &settings);
            let went = bucket.lets_through(now, TOTAL, 1.0, None, &settings);
            if went {
                bucket.spend(now, TOTAL, settings.mean_units, &settings);
            }
            went
        });
        let went = went.count();
        assert!(went >= 5, "scheduler {host}: {went} of 200");
    }
}

#[test]
fn a_scheduler_that_restarted_has_no_whole_token() {
    for hosts in [1, 30, 4_500] {
        for age in [0, 1_000_000, 7_000_000, 17_000_000] {
            let settings = settings(hosts, hosts / 2);
            let now = 100_000_000;
            let bucket = TokenBucket::new(now, Some(now - age), SHARD, &settings);
            assert!(!bucket.lets_through(now, TOTAL, 1.0, None, &settings), "{hosts} schedulers, age {age}");
        }
    }
}

#[test]
fn what_is_worth_less_leaves_tokens_to_others() {
    let settings = settings(1, 0);
    let mut bucket = TokenBucket::new(0, None, SHARD, &settings);
    let now = 10 * WINDOW;
    bucket.ask(now, Some(TOTAL), 1.0, 0.5, &settings);
    let mut went = 0;
    while bucket.lets_through(now, TOTAL, 0.0, None, &settings) {
        bucket.spend(now, TOTAL, settings.mean_units, &settings);
        went += 1;
    }
    assert!(bucket.lets_through(now, TOTAL, 1.0, None, &settings), "some are left after {went}");
    assert!(went > 0, "it gets its part");
}

/// One that any node may serve would find every token that the chance of use has added.
#[test]
fn a_request_that_any_node_may_serve_passes_as_seldom_as_tokens_are_used() {
    let settings = settings(1, 0);
    let mut bucket = TokenBucket::new(0, None, SHARD, &settings);
    let now = 10 * WINDOW;
    bucket.ask(now, Some(TOTAL), 0.25, 0.5, &settings);
    assert!(bucket.lets_through(now, TOTAL, 1.0, Some(0.2), &settings));
    assert!(!bucket.lets_through(now, TOTAL, 1.0, Some(0.3), &settings));
}
