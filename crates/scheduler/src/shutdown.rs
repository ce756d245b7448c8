//! Graceful shutdown: answers every open request, and serves new ones for as long as they can still be
//! answered.
//!
//! All times count from when the signal was sent, as those of the platform do, and not from when the process
//! received it.

use std::time::Duration;

use tokio::time::{sleep_until, Instant};

use crate::server::Server;

/// The time from SIGTERM until the platform kills the process, without the longest class deadline, which it
/// adds.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest class deadline that the platform adds to the kill delay; for longer ones it adds this time.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Connections are closed between requests from this time on, counted from SIGTERM plus the longest deadline:
/// early enough for requests that are open then to be answered.
const CLOSE_DELAY: Duration = Duration::from_millis(350);
/// The longest time for which the process may stall.
const MAX_STALL: Duration = Duration::from_millis(150);
/// The time that the last answers need after a stall: the core gives them up to 5 ms after the answer
/// deadline, and they are written.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(20);
/// The time after the answer deadline in which connections may still be closed.
const FINAL_CLOSE_TIME: Duration = Duration::from_millis(100);
/// How often open requests are polled once that time is over.
const LAST_ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The number of these polls. Polls are counted instead of time, so that a stall does not use it up.
const LAST_ANSWER_POLLS: u32 = 10;
/// How often open requests and connections are polled while new requests are still served.
const SERVING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often open requests and connections are polled once connections are being closed.
const CLOSING_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves as long as new requests can be answered, then closes connections and waits for the open requests.
/// The platform starts the next process at a fixed time, when this one would have been killed. Until then no
/// other process answers, so this one keeps serving even if no request is open. If a peer process took over
/// before the shutdown, this one exits as soon as no request and no connection is open. `signalled_at` is the
/// earliest time at which the signal may have been sent.
pub async fn finish(server: &Server, signalled_at: Instant) {
    let core = &server.core;
    let longest_deadline = longest_deadline(server).min(MAX_COUNTED_DEADLINE);
    let answer_deadline = signalled_at + longest_deadline + KILL_DELAY - MAX_STALL - LAST_ANSWER_TIME;
    let close_at = signalled_at + longest_deadline + CLOSE_DELAY;
    core.set_shutdown_deadline(answer_deadline).await;
    let replaced = core.draining().borrow().replaced;
    while Instant::now() < close_at && (!replaced || server.is_busy()) {
        sleep_until((Instant::now() + SERVING_POLL_INTERVAL).min(close_at)).await;
    }
    server.fronts.close_connections();
    while server.is_busy() && Instant::now() < answer_deadline + FINAL_CLOSE_TIME {
        sleep_until(Instant::now() + CLOSING_POLL_INTERVAL).await;
    }
    if server.is_busy() {
        wait_for_last_answers(|| server.core.status().open_requests > 0).await;
    }
}

/// Waits until no request is open, for [`LAST_ANSWER_POLLS`] polls at most, and then for one poll in which
/// the last answers are written. If the process has stalled past the end of its time, they are given only
/// now. Connections that are still open are not waited for: they may hold requests that were not read, and
/// the process has to end before the platform kills it.
async fn wait_for_last_answers(has_open_requests: impl Fn() -> bool) {
    for _ in 0..LAST_ANSWER_POLLS {
        if !has_open_requests() {
            break;
        }
        sleep_until(Instant::now() + LAST_ANSWER_POLL_INTERVAL).await;
    }
    sleep_until(Instant::now() + LAST_ANSWER_POLL_INTERVAL).await;
}

/// Returns the longest deadline of all classes; zero without classes.
fn longest_deadline(server: &Server) -> Duration {
    let deployment = server.core.deployment();
    let micros = deployment.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    Duration::from_micros(micros)
}

#[cfg(test)]
mod tests;
