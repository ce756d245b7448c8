//! The end: everything is answered by then, and what still comes is served for as long as it can be.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

use crate::serve::Service;

/// The platform kills a scheduler so long after SIGTERM, and the longest deadline more, of which it counts no
/// more than that.
const GRACE: Duration = Duration::from_millis(700);
const COUNTED: Duration = Duration::from_secs(3);
/// By then before that everything is answered.
const SPARE: Duration = Duration::from_millis(150);
/// After that the last answers are written for so long.
const WRITE: Duration = Duration::from_millis(100);
/// How often the end looks whether anything is still open.
const LOOK: Duration = Duration::from_millis(5);

/// Serves on as long as what comes can still be answered: clients come for a while, and go on for as long as
/// their connections stay open; the next scheduler is not there before this one would have been killed,
/// however soon it ends. With another in its place, it ends once nothing is left.
pub async fn finish(service: &Service, stop: &watch::Sender<bool>) {
    let core = service.core();
    let longest = core.deployment().settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let longest = Duration::from_micros(longest).min(COUNTED);
    let told = Instant::now();
    let last = told + longest + GRACE - SPARE;
    let closing = told + longest + GRACE / 2;
    core.set_shutdown_deadline(last).await;
    let replaced = core.draining().borrow().replaced;
    while Instant::now() < closing && (!replaced || service.busy(stop)) {
        sleep_until((Instant::now() + LOOK * 4).min(closing)).await;
    }
    // Nothing marks a change: whoever listens has it now, or is gone.
    stop.send_replace(true);
    // What is open in the core, and connections whose last answer is on its way.
    while service.busy(stop) && Instant::now() < last + WRITE {
        sleep_until(Instant::now() + LOOK).await;
    }
}
