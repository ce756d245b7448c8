use std::cell::Cell;
use std::time::Duration;

use tokio::time::{advance, sleep, Instant};

use super::{wait_until_idle, CLOSING_POLL_INTERVAL, FINAL_WRITE_POLLS};

/// The time that the core and a connection need for an answer after the process has resumed.
const ANSWER_TIME: Duration = Duration::from_millis(12);

/// Guards against a process that exits with open requests because it stalled past the time for the last
/// answers: they are given only after it has resumed.
#[tokio::test(start_paused = true)]
async fn the_last_answers_are_awaited_after_a_stall_past_the_answer_deadline() {
    for stall_ms in [0, 50, 150, 5_000] {
        let answer_deadline = Instant::now() + Duration::from_millis(20);
        let is_busy = Cell::new(true);
        let stalled_process = async {
            sleep(Duration::from_millis(10)).await;
            advance(Duration::from_millis(stall_ms)).await;
            sleep(ANSWER_TIME).await;
            is_busy.set(false);
        };
        let (answered_at, idle_at) = tokio::join!(
            async {
                stalled_process.await;
                Instant::now()
            },
            async {
                wait_until_idle(|| is_busy.get(), answer_deadline).await;
                Instant::now()
            },
        );
        assert!(idle_at >= answered_at, "a stall of {stall_ms} ms: exit before the answer");
    }
}

/// Guards against a process that never exits because a connection stays open.
#[tokio::test(start_paused = true)]
async fn the_wait_for_the_last_answers_is_bounded() {
    let answer_deadline = Instant::now() + Duration::from_millis(20);
    wait_until_idle(|| true, answer_deadline).await;
    let final_write_time = CLOSING_POLL_INTERVAL * FINAL_WRITE_POLLS;
    assert!(Instant::now() >= answer_deadline + final_write_time - CLOSING_POLL_INTERVAL);
    assert!(Instant::now() <= answer_deadline + final_write_time + CLOSING_POLL_INTERVAL);
}
