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
/// The number of polls after the answer deadline in which the last answers may still be written. Polls are
/// counted instead of time, so that a stall does not use that time up.
const FINAL_WRITE_POLLS: u32 = 20;
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
    wait_until_idle(|| server.is_busy(), answer_deadline).await;
}

/// Waits until nothing is open, but gives up [`FINAL_WRITE_POLLS`] polls after the answer deadline. If the
/// process has stalled past the deadline, the last answers are given only after that.
async fn wait_until_idle(is_busy: impl Fn() -> bool, answer_deadline: Instant) {
    let mut polls_after_deadline = 0;
    while is_busy() && polls_after_deadline < FINAL_WRITE_POLLS {
        sleep_until(Instant::now() + CLOSING_POLL_INTERVAL).await;
        if Instant::now() >= answer_deadline {
            polls_after_deadline += 1;
        }
    }
}

/// Returns the longest deadline of all classes; zero without classes.
fn longest_deadline(server: &Server) -> Duration {
    let deployment = server.core.deployment();
    let micros = deployment.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    Duration::from_micros(micros)
}

#[cfg(test)]
mod tests;
