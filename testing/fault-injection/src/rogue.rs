//! A fake scheduler that breaks one rule on purpose, to check that the auditor detects it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use heathward_fakes::read_message;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::clients::told_by_path;

/// The rule that it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// It breaks no rule.
    Sound,
    /// It never answers.
    Mute,
    /// It delays its answer by this time.
    Late(Duration),
    /// It answers twice.
    Twice,
    /// It sends a second attempt while the first is in flight.
    AtOnce,
    /// It sends to the node next to the right one.
    OtherShard,
    /// It sends this number of attempts, one after the other.
    Again(u32),
    /// It sends another attempt this long after the answer.
    Later(Duration),
}

/// Listens in place of a scheduler whose nodes are these, by shard, whatever the endpoint lists say.
///
/// # Errors
/// No port is free.
pub async fn rogue(nodes: Vec<SocketAddr>, planted: Planted) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (address, nodes) = (listener.local_addr()?, Arc::new(nodes));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, nodes.clone(), planted));
        }
    });
    Ok(address)
}

async fn serve(mut client: TcpStream, nodes: Arc<Vec<SocketAddr>>, planted: Planted) -> Option<()> {
    let (small, head, body) = read_message(&mut client).await?;
    let (_, shard, _) = told_by_path(&small)?;
    let place = shard as usize + usize::from(planted == Planted::OtherShard);
    let node = nodes[place % nodes.len()];
    let text = [head.as_bytes(), &body].concat();
    let attempt = || send(node, text.clone());
    let answer = match planted {
        Planted::Mute => {
            sleep(Duration::from_secs(60)).await;
            return None;
        }
        Planted::AtOnce => tokio::join!(attempt(), attempt()).0?,
        Planted::Again(times) => {
            for _ in 1..times {
                attempt().await;
            }
            attempt().await?
        }
        _ => attempt().await?,
    };
    if let Planted::Late(span) = planted {
        sleep(span).await;
    }
    let answers = if planted == Planted::Twice { 2 } else { 1 };
    client.write_all(&answer.repeat(answers)).await.ok()?;
    if let Planted::Later(span) = planted {
        sleep(span).await;
        attempt().await;
    }
    Some(())
}

async fn send(node: SocketAddr, text: Vec<u8>) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(node).await.ok()?;
    stream.write_all(&text).await.ok()?;
    let (_, head, body) = read_message(&mut stream).await?;
    Some([head.as_bytes(), &body].concat())
}
