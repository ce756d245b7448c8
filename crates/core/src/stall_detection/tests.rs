use super::*;

#[tokio::test(start_paused = true)]
async fn what_came_while_it_stood_is_read_before_a_request() {
    let (tell, mut discovery) = mpsc::channel(4);
    let mut stalls = Stalls::new(Instant::now());
    assert!(!stalls.stood(Instant::now() + STOOD / 2) && stalls.stood(Instant::now() + STOOD * 2));
    // Three tasks hand it on, one after the other, as on its way from a socket.
    let (first, mut second) = mpsc::channel(1);
    let (third, mut fourth) = mpsc::channel(1);
    tokio::spawn(async move { first.send(Instant::now()).await });
    tokio::spawn(async move { third.send(second.recv().await.unwrap()).await });
    tokio::spawn(async move { tell.send(CoreMessage::DiscoveryContact(fourth.recv().await.unwrap())).await });
    assert_eq!(waiting_updates(&mut discovery).await.len(), 1);
}
