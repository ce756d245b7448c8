//! Clients that never complete a request.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::plan::{Stalled, StalledClient};

/// Such a client gets an error or the end of its connection within this time, as the pages say.
pub const ERROR_TIMEOUT: Duration = Duration::from_secs(3);
/// What the machine may add to that while all clients run on it.
const SLACK: Duration = Duration::from_millis(500);
/// The time between two parts of a head.
const HEAD_INTERVAL: Duration = Duration::from_millis(100);

/// Plays a client; returns whether it got an error or the end of its connection in time.
pub async fn run(listen: SocketAddr, client: StalledClient, from: Instant) -> bool {
    sleep_until(from + Duration::from_millis(client.starts_at_ms)).await;
    let Ok(stream) = TcpStream::connect(listen).await else { return true };
    let (mut reader, mut writer) = stream.into_split();
    let mut received = [0; 512];
    let ended = async {
        tokio::select! {
            _ = reader.read(&mut received) => {}
            () = send(&mut writer, client.kind) => {}
        }
    };
    timeout(ERROR_TIMEOUT + SLACK, ended).await.is_ok()
}

/// Sends what the client sends, and returns only once the connection has ended.
async fn send(writer: &mut (impl AsyncWriteExt + Unpin), kind: Stalled) {
    let sent = match kind {
        Stalled::Nothing => Ok(()),
        Stalled::EndlessHead => send_endless_head(writer).await,
        Stalled::HalfBody(length) => {
            let head = format!("PUT /pedido/1/1 HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
            let half = [head.into_bytes(), vec![b'x'; length / 2]].concat();
            writer.write_all(&half).await
        }
    };
    if sent.is_ok() {
        std::future::pending::<()>().await;
    }
}

async fn send_endless_head(writer: &mut (impl AsyncWriteExt + Unpin)) -> std::io::Result<()> {
    writer.write_all(b"GET /consulta/1/1 HTTP/1.1\r\n").await?;
    loop {
        writer.write_all("a:b\r\n".repeat(3).as_bytes()).await?;
        sleep(HEAD_INTERVAL).await;
    }
}
