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

/// Returns after how many seconds of silence a peer counts as late that was held back for so many before.
async fn seconds_until_late(max_pause_s: u32, held_back_s: u32) -> u64 {
    let clock = ReadClock::default();
    advance(held_back_s * SECOND).await;
    let silent_since = Instant::now();
    let reading = async {
        clock.record_empty();
        std::future::pending::<()>().await;
    };
    assert_eq!(clock.while_in_time(max_pause_s * SECOND, reading).await, None);
    silent_since.elapsed().as_secs()
}

/// Guards against a peer that counts as late while its system waits to send again, and against one that is
/// never late.
#[tokio::test(start_paused = true)]
async fn a_peer_that_was_held_back_is_late_later_by_that_time() {
    assert_eq!(seconds_until_late(10, 0).await, 10);
    assert_eq!(seconds_until_late(10, 7).await, 17);
    assert_eq!(seconds_until_late(10, 500).await, 130);
}
