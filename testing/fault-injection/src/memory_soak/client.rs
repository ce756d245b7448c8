//! Clients that send bodies and read answers at their pace, and what they observe.

use std::net::SocketAddr;
use std::time::Duration;

use heathward_fakes::header;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep_until, timeout, Instant};

use super::object::{byte_at, content};
use super::plan::{ClientPlan, RequestPlan};

/// Bytes that a client sends or reads at a time, while it keeps a pace.
const PIECE: usize = 4000;
/// A client that waits for longer has no answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(40);
/// The buffer of the system for the input of a slow reader, in bytes.
const SLOW_READ_BUFFER: u32 = 4096;

/// The end of a request, as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The complete reply of its node.
    Served,
    /// 503: not executed, or may be executed again.
    Shed,
    /// Another status than 200 and 503.
    Failed(u16),
    /// The client has disconnected by itself.
    Left,
    /// 200 with other data, or less data, than the node has sent.
    WrongReply,
    /// The connection ended, or the time was over, without a complete answer.
    Unanswered,
}

/// Sends all requests of a client, each on a connection of its own; returns how each ended.
pub async fn run(
    listen: SocketAddr,
    plan: ClientPlan,
    first_call: u64,
    from: Instant,
) -> Vec<(RequestPlan, Ending)> {
    sleep_until(from + Duration::from_millis(plan.starts_at_ms)).await;
    let mut endings = Vec::new();
    for (request, call) in plan.requests.into_iter().zip(first_call..) {
        let ending = timeout(ANSWER_LIMIT, ask(listen, &request, call)).await;
        endings.push((request, ending.ok().flatten().unwrap_or(Ending::Unanswered)));
    }
    endings
}

/// Sends a request and reads its answer; `None` if the connection ends without one.
async fn ask(listen: SocketAddr, request: &RequestPlan, call: u64) -> Option<Ending> {
    let socket = TcpSocket::new_v4().ok()?;
    if request.pace.is_some() {
        socket.set_recv_buffer_size(SLOW_READ_BUFFER).ok()?;
    }
    let mut stream = socket.connect(listen).await.ok()?;
    stream.set_nodelay(true).ok()?;
    // An answer that comes early ends the connection while the body is still being sent.
    let is_sent = send(&mut stream, request, call).await.is_some();
    if request.leaves_after.is_some() {
        return Some(Ending::Left);
    }
    let (head, rest) = read_head(&mut stream).await?;
    let status: u16 = head.get(9..12)?.parse().ok()?;
    match status {
        200 if is_sent => read_reply(&mut stream, request, &head, rest).await,
        200 => Some(Ending::WrongReply),
        503 => Some(Ending::Shed),
        other => Some(Ending::Failed(other)),
    }
}

fn head(request: &RequestPlan, call: u64) -> String {
    let (class, method) = if request.body_bytes.is_some() { ("pedido", "PUT") } else { ("consulta", "GET") };
    let framing = match (request.body_bytes, request.is_chunked) {
        (Some(_), true) => "Transfer-Encoding: chunked\r\n".to_owned(),
        (Some(bytes), false) => format!("Content-Length: {bytes}\r\n"),
        (None, _) => String::new(),
    };
    let key = request.body_bytes.map_or(String::new(), |_| format!("Idempotency-Key: k{call}\r\n"));
    format!(
        "{method} /{class}/00000003b4d60021/{:016x} HTTP/1.1\r\nHost: origin.svc\r\n\
         X-Call-Id: {call:016x}\r\n\
         X-Call-Class: {class}\r\nX-Plan: prioritario\r\nX-Budget-Ms: 5000\r\n{framing}{key}\
         X-IO: units=2,shard={},hosts=1\r\n\r\n",
        request.object.key(),
        call % super::play::SHARDS
    )
}

/// Waits until `bytes` bytes are due at a pace.
async fn keep_pace(pace: Option<u64>, since: Instant, bytes: usize) {
    if let Some(pace) = pace {
        sleep_until(since + Duration::from_secs_f64(bytes as f64 / pace as f64)).await;
    }
}

/// Sends the request; `None` if the connection has ended.
async fn send(stream: &mut TcpStream, request: &RequestPlan, call: u64) -> Option<()> {
    stream.write_all(head(request, call).as_bytes()).await.ok()?;
    let Some(length) = request.body_bytes else { return Some(()) };
    let end = request.leaves_after.unwrap_or(length);
    let since = Instant::now();
    for from in (0..end).step_by(PIECE) {
        let mut piece = content(from, PIECE.min(end - from));
        if request.is_chunked {
            piece = [format!("{:x}\r\n", piece.len()).as_bytes(), &piece, b"\r\n"].concat();
        }
        stream.write_all(&piece).await.ok()?;
        keep_pace(request.pace, since, from + PIECE).await;
    }
    if request.is_chunked && request.leaves_after.is_none() {
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    Some(())
}

/// Reads a head; returns it in lower case with what came after it.
async fn read_head(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return Some((String::from_utf8(bytes).ok()?.to_lowercase(), rest));
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Reads a reply at the client's pace and compares it with what its node has sent.
async fn read_reply(
    stream: &mut TcpStream,
    request: &RequestPlan,
    head: &str,
    mut received: Vec<u8>,
) -> Option<Ending> {
    let expected = request.object.reply_bytes;
    let is_chunked = header(head, "transfer-encoding") == Some("chunked");
    let length = header(head, "content-length").and_then(|length| length.parse::<usize>().ok());
    let is_complete = |bytes: &[u8]| match is_chunked {
        true => bytes.ends_with(b"0\r\n\r\n"),
        false => length == Some(bytes.len()),
    };
    let (since, mut piece) = (Instant::now(), vec![0; PIECE]);
    while !is_complete(&received) {
        let size = stream.read(&mut piece).await.ok()?;
        if size == 0 {
            return None;
        }
        received.extend_from_slice(&piece[..size]);
        keep_pace(request.pace, since, received.len()).await;
    }
    let reply = if is_chunked { unchunk(&received)? } else { received };
    let is_correct =
        reply.len() == expected && reply.iter().enumerate().all(|(index, byte)| *byte == byte_at(index));
    Some(if is_correct { Ending::Served } else { Ending::WrongReply })
}

/// Decodes a complete chunked body.
fn unchunk(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = bytes.windows(2).position(|window| window == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&bytes[..end]).ok()?, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(bytes.get(end + 2..end + 2 + size)?);
        bytes = bytes.get(end + 4 + size..)?;
    }
}
