use super::*;

#[tokio::test(start_paused = true)]
async fn updates_that_arrived_during_a_stall_are_taken_before_a_request() {
    let (discovery_actor, mut discovery) = mpsc::channel(4);
    let mut stall_detector = StallDetector::new(Instant::now());
    assert!(
        !stall_detector.record_turn(Instant::now() + STALL_THRESHOLD / 2)
            && stall_detector.record_turn(Instant::now() + STALL_THRESHOLD * 2)
    );
    // Three tasks pass the message on, one after the other, as between a socket and the core.
    let (connection, mut from_connection) = mpsc::channel(1);
    let (watch_reader, mut from_watch_reader) = mpsc::channel(1);
    tokio::spawn(async move { connection.send(Instant::now()).await });
    tokio::spawn(async move { watch_reader.send(from_connection.recv().await.unwrap()).await });
    tokio::spawn(async move {
        let contact = from_watch_reader.recv().await.unwrap();
        discovery_actor.send(CoreMessage::DiscoveryContact(contact)).await
    });
    assert_eq!(take_pending_updates(&mut discovery).await.len(), 1);
}
