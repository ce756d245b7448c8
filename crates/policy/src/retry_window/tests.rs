//! Compares the counts within a window with a scan of all recorded times.

use super::*;

const BUDGET: RetryBudget = RetryBudget { free_retries: 0.0, retries_per_request: 0.0, window: 3_000 };

#[test]
fn the_retry_window_counts_the_same_as_a_scan_of_all_times() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut window = RetryWindow::default();
    let (mut requests, mut retries): (Vec<Micros>, Vec<Micros>) = (vec![], vec![]);
    let mut now = 0;
    for _ in 0..20_000 {
        // Often no time passes, so that many times coincide with the edge of the window.
        now += 100 * random.u64(0..3);
        let since = now.saturating_sub(BUDGET.window);
        match random.u32(0..3) {
            0 => {
                window.record_request(now, &BUDGET);
                requests.push(now);
            }
            1 => {
                window.record_retry(now);
                retries.push(now);
            }
            _ => {
                let counted = WindowCounts {
                    requests: requests.iter().rev().take_while(|at| **at > since).count() as f64,
                    retries: retries.iter().rev().take_while(|at| **at >= since).count() as f64,
                };
                assert_eq!(window.counts(since), counted, "at {now}");
            }
        }
    }
    assert!(window.requests.len() < 200, "{} times kept", window.requests.len());
}
