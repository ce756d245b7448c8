use super::*;

use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a silence that counts from before its peer could send, or a backlog that counts time in
/// which the queue was watched.
#[tokio::test(start_paused = true)]
async fn a_backlog_lasts_from_the_end_of_a_silence_to_the_next() {
    let clock = ReadClock::default();
    advance(2 * SECOND).await;
    assert_eq!(clock.silence(), None);
    clock.record_empty();
    let first = Silence { since: Instant::now(), backlog: 2 * SECOND };
    advance(SECOND).await;
    clock.record_empty();
    assert_eq!(clock.silence(), Some(first));
    clock.record_filled();
    assert_eq!(clock.silence(), None);
    advance(3 * SECOND).await;
    clock.record_filled();
    advance(SECOND).await;
    clock.record_empty();
    assert_eq!(clock.silence(), Some(Silence { since: Instant::now(), backlog: 4 * SECOND }));
}
