//! Clients that keep using their connections, and a crowd that connects behind a signal.

use std::net::SocketAddr;
use std::time::Duration;

use heathward_fakes::{read_message, request};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use super::plan::{ClientPlan, Plan, SoakClass};

/// Ids of one client.
const IDS: u32 = 1 << 16;
/// A client connects again after so long.
const RECONNECT: Duration = Duration::from_millis(10);
/// Of a request that is not sent completely, so much is sent.
const HALF: usize = 40;

/// What came of a request that was written whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// A complete answer with that status.
    Answer(u16),
    /// The connection ended before anything came.
    Closed,
    /// The connection was reset before anything came.
    Reset,
    /// A part of an answer.
    Truncated,
    /// Nothing until the client gave up waiting.
    Nothing,
    /// Nothing until the client left, by closing its connection.
    Left,
}

/// A request that was written whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Its id.
    pub id: u32,
    /// It is the first one on its connection.
    pub is_first: bool,
    /// When its last byte was written.
    pub at: Instant,
    /// What came of it.
    pub came: Came,
    /// When that came.
    pub came_at: Instant,
}

/// Reads what comes of a request, until then at most.
async fn came(stream: &mut TcpStream, until: Instant) -> Came {
    let mut first = [0];
    match timeout_at(until, stream.peek(&mut first)).await {
        Err(_) => Came::Nothing,
        Ok(Err(_)) => Came::Reset,
        Ok(Ok(0)) => Came::Closed,
        Ok(Ok(_)) => match timeout_at(until, read_message(stream)).await {
            Ok(Some((head, ..))) => head[9..12].parse().map_or(Came::Truncated, Came::Answer),
            _ => Came::Truncated,
        },
    }
}

/// Writes a request, and reads what comes of it; `None` if it was not written whole. The connection of a
/// client that has left is closed.
async fn ask(mut stream: TcpStream, id: u32, client: &Client, until: Instant) -> Option<(Asked, TcpStream)> {
    let text = request(client.class.name(), id, client.shard, client.deadline_ms as u32, "");
    stream.write_all(text.as_bytes()).await.ok()?;
    let at = Instant::now();
    let leaves_at = client.leaves_after.map(|wait| at + wait).filter(|leaves_at| *leaves_at < until);
    let came = came(&mut stream, leaves_at.unwrap_or(until)).await;
    let came = if came == Came::Nothing && leaves_at.is_some() { Came::Left } else { came };
    Some((Asked { id, is_first: false, at, came, came_at: Instant::now() }, stream))
}

/// A client that keeps asking.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Its pause after an answer.
    pub pause: Duration,
    /// The shard that it asks for.
    pub shard: i32,
    /// How long it waits for an answer before it leaves, if it does.
    pub leaves_after: Option<Duration>,
    /// The class that it asks for.
    pub class: SoakClass,
    /// The deadline of that class.
    pub deadline_ms: u64,
}

impl Client {
    /// A client of a plan.
    pub fn new(plan: &Plan, client: &ClientPlan) -> Self {
        Self {
            pause: Duration::from_millis(client.pause_ms),
            shard: client.shard,
            leaves_after: client.leaves_after_ms.map(Duration::from_millis),
            class: client.class,
            deadline_ms: client.class.deadline_ms(plan),
        }
    }
}

/// Asks on one connection after another until `until`: a client leaves a connection only when that has ended,
/// or when it has waited for as long as it waits.
pub async fn insist(address: SocketAddr, number: u32, client: Client, until: Instant) -> Vec<Asked> {
    let mut asked: Vec<Asked> = Vec::new();
    let mut id = number * IDS;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            sleep(RECONNECT).await;
            continue;
        };
        let mut is_first = true;
        loop {
            id += 1;
            let Some((one, connection)) = ask(stream, id, &client, until).await else { break };
            stream = connection;
            asked.push(Asked { is_first, ..one });
            is_first = false;
            if !matches!(one.came, Came::Answer(_)) {
                break;
            }
            sleep(client.pause).await;
        }
        sleep(RECONNECT).await;
    }
    asked
}

/// Connects a crowd at once: a third sends a whole request, a third half of one, a third nothing. All of
/// them stay. What came of the whole ones.
pub async fn crowd(
    address: SocketAddr,
    number: u32,
    size: u32,
    deadline_ms: u64,
    from: Instant,
    until: Instant,
) -> Vec<Asked> {
    sleep_until(from).await;
    let (mut whole, mut others) = (Vec::new(), Vec::new());
    for place in 0..size {
        let Ok(mut stream) = TcpStream::connect(address).await else { continue };
        let id = number * IDS + place;
        let text = request("consulta", id, 0, deadline_ms as u32, "");
        match place % 3 {
            0 if stream.write_all(text.as_bytes()).await.is_ok() => whole.push((id, Instant::now(), stream)),
            1 if stream.write_all(&text.as_bytes()[..HALF]).await.is_ok() => others.push(stream),
            _ => others.push(stream),
        }
    }
    let mut asked = Vec::new();
    for (id, at, mut stream) in whole {
        let came = came(&mut stream, until).await;
        asked.push(Asked { id, is_first: true, at, came, came_at: Instant::now() });
    }
    drop(others);
    asked
}
