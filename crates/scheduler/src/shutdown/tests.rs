use std::cell::Cell;
use std::time::Duration;

use tokio::time::{advance, sleep, Instant};

use super::{wait_for_last_answers, LAST_ANSWER_POLLS, LAST_ANSWER_POLL_INTERVAL};

/// Guards against a process that exits with open requests because it stalled past the time for the last
/// answers: they are given and written only after it has resumed.
#[tokio::test(start_paused = true)]
async fn the_last_answers_are_awaited_after_a_stall() {
    for answered_after_ms in [0, 1, 5, 9] {
        let is_open = Cell::new(true);
        let answering = async {
            advance(Duration::from_millis(150)).await;
            sleep(Duration::from_millis(answered_after_ms)).await;
            is_open.set(false);
            Instant::now()
        };
        let waiting = async {
            wait_for_last_answers(|| is_open.get()).await;
            Instant::now()
        };
        let (answered_at, ended_at) = tokio::join!(answering, waiting);
        assert!(ended_at > answered_at, "no time to write an answer {answered_after_ms} ms after the stall");
    }
}

/// Guards against a process that is killed while it waits for connections whose requests have their answers,
/// or for requests that are never answered.
#[tokio::test(start_paused = true)]
async fn the_wait_for_the_last_answers_is_short() {
    for (is_open, polls) in [(false, 1), (true, LAST_ANSWER_POLLS + 1)] {
        let began_at = Instant::now();
        wait_for_last_answers(|| is_open).await;
        assert!(began_at.elapsed() <= LAST_ANSWER_POLL_INTERVAL * 2 * polls, "{:?}", began_at.elapsed());
    }
}
