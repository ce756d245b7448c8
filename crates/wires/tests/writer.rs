//! The one place from which a request's first byte goes out, on a real socket.

use std::sync::Arc;

use heathward_core::{freshness, Gate, Tries};
use heathward_wires::node::{Counted, Written};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep_until, Duration, Instant};

const HEAD: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

async fn pair() -> (Counted, Arc<Written>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let written = Arc::new(Written::default());
    (Counted::new(near, written.clone()), written, listener.accept().await.unwrap().0)
}

/// What shuts the way to a node.
#[derive(Clone, Copy, Debug)]
enum Shuts {
    /// The list says that it drains.
    Drain,
    /// The list may no longer be gone by.
    Silence,
}

/// Guards against an attempt that was decided before the news, and whose connection comes up after the grace:
/// nothing of it is written, whatever it has waited for; one that has begun goes on to its end.
#[rstest]
#[tokio::test]
async fn no_first_byte_once_the_way_is_shut_and_no_request_cut(
    #[values(Shuts::Drain, Shuts::Silence)] shuts: Shuts,
    #[values(0, 1, 7)] before: usize,
) {
    let (mut near, written, mut far) = pair().await;
    let (end, moment) = (freshness::End::new(Instant::now()), Instant::now() + Duration::from_millis(20));
    let gate = Gate::new(end.clone());
    written.begin(0, gate.clone(), Tries::default());
    near.write_all(&HEAD[..before]).await.unwrap();
    match shuts {
        Shuts::Drain => gate.set(true),
        Shuts::Silence => {
            end.set(Some(moment));
            sleep_until(moment).await;
        }
    }
    let rest = near.write_all(&HEAD[before..]).await;
    assert_eq!((rest.is_err(), written.withheld(), written.whole()), (before == 0, before == 0, before > 0));
    // Not even where the way opens again meanwhile: the attempt has been told as never sent.
    gate.set(false);
    end.set(None);
    assert_eq!(near.write_all(HEAD).await.is_err(), before == 0);
    drop(near);
    let mut came = Vec::new();
    far.read_to_end(&mut came).await.unwrap();
    assert_eq!(came.is_empty(), before == 0, "{came:?}");
}
