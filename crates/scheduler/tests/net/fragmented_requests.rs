//! Requests that arrive in pieces, in every form that a head allows. Each piece is read before the next is
//! written, as an answer on another connection shows.

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use heathward_fakes::*;

use crate::support::{one_node, OneNode, HEALTH_CHECK};

fn unchanged(text: String) -> String {
    text
}

/// Writes header names in capitals, with no space after the colons.
fn with_capitals(text: String) -> String {
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let mut lines = head.split("\r\n");
    let mut respelled = lines.next().unwrap().to_owned();
    for line in lines {
        let (name, value) = line.split_once(": ").unwrap();
        respelled += &format!("\r\n{}:{value}", name.to_uppercase());
    }
    format!("{respelled}\r\n\r\n{body}")
}

fn chunked(text: String) -> String {
    text.replace("Content-Length: 8\r\n", "Transfer-Encoding: chunked\r\n")
        .replace("\r\n\r\nan order", "\r\n\r\n3\r\nan \r\n5\r\norder\r\n0\r\n\r\n")
}

/// Guards against a request that is answered before its last byte, cut short, forwarded twice or forwarded in
/// part.
#[rstest]
#[tokio::test]
async fn a_fragmented_request_is_forwarded_once_and_complete(
    #[values(unchanged, with_capitals, chunked)] form: fn(String) -> String,
    #[values(1, 2, 7, 50)] piece: usize,
) {
    let OneNode { rig, log, .. } = one_node(&[NodeBehavior::Serve]).await;
    let mut other = TcpStream::connect(rig.front).await.unwrap();
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    client.set_nodelay(true).unwrap();
    let text = form(request("pedido", 7, 0, 60_000, "an order"));
    for part in text.as_bytes().chunks(piece) {
        assert_eq!(log.all().len(), 0, "forwarded before its end");
        client.write_all(part).await.unwrap();
        other.write_all(HEALTH_CHECK.as_bytes()).await.unwrap();
        assert_eq!(answer(&mut other).await.0, 200);
    }
    assert_eq!(answer(&mut client).await.0, 200);
    let seen = log.all();
    assert_eq!((seen.len(), &*seen[0].body), (1, &b"an order"[..]));
}
