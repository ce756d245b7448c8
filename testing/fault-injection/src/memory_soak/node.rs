//! Nodes that do what the key of a request's object says.

use std::net::SocketAddr;
use std::time::Duration;

use heathward_fakes::{header, listen};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::object::{byte_at, content, Object, ReplyFraming};

/// Bytes that a node reads and writes at a time.
const PIECE: usize = 16 * 1024;

/// Starts a node and returns its address.
pub async fn start() -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Serves requests until the connection ends.
async fn serve(stream: TcpStream) -> Option<()> {
    let mut stream = BufReader::new(stream);
    loop {
        let head = read_head(&mut stream).await?;
        let key = head.split(' ').nth(1)?.rsplit('/').next()?;
        let object = Object::of_key(u64::from_str_radix(key, 16).ok()?)?;
        sleep(Duration::from_millis(object.stall_ms)).await;
        let is_correct = read_body(&mut stream, &head).await?;
        if !is_correct {
            stream.write_all(b"HTTP/1.1 500 Wrong\r\ncontent-length: 0\r\n\r\n").await.ok()?;
            continue;
        }
        reply(&mut stream, object).await?;
    }
}

/// Reads a head, which is returned in lower case; `None` if the connection ends.
async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok().map(|head| head.to_lowercase())
}

/// Reads a body; returns whether its content is that of every body, `None` if the connection ends before it
/// is complete.
async fn read_body(stream: &mut BufReader<TcpStream>, head: &str) -> Option<bool> {
    let mut position = 0;
    if header(head, "transfer-encoding").is_none() {
        let length = header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        return read_content(stream, &mut position, length).await;
    }
    let mut is_correct = true;
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(stream.read_u8().await.ok()?);
        }
        let size = usize::from_str_radix(std::str::from_utf8(&line).ok()?.trim(), 16).ok()?;
        is_correct &= read_content(stream, &mut position, size).await?;
        stream.read_u16().await.ok()?;
        if size == 0 {
            return Some(is_correct);
        }
    }
}

async fn read_content(
    stream: &mut BufReader<TcpStream>,
    position: &mut usize,
    mut length: usize,
) -> Option<bool> {
    let (mut piece, mut is_correct) = (vec![0; PIECE], true);
    while length > 0 {
        let part = &mut piece[..PIECE.min(length)];
        stream.read_exact(part).await.ok()?;
        is_correct &= part.iter().enumerate().all(|(index, byte)| *byte == byte_at(*position + index));
        *position += part.len();
        length -= part.len();
    }
    Some(is_correct)
}

/// Sends the reply of an object; `None` if the connection ends with it.
async fn reply(stream: &mut BufReader<TcpStream>, object: Object) -> Option<()> {
    let Object { reply_bytes, framing, pause_ms, .. } = object;
    let framing_header = match framing {
        ReplyFraming::Length => format!("content-length: {reply_bytes}\r\n"),
        ReplyFraming::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
        ReplyFraming::UntilClosed => "connection: close\r\n".to_owned(),
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing_header}\r\n").as_bytes()).await.ok()?;
    let is_chunked = framing == ReplyFraming::Chunked;
    for from in (0..reply_bytes).step_by(PIECE) {
        let mut piece = content(from, PIECE.min(reply_bytes - from));
        if is_chunked {
            piece = [format!("{:x}\r\n", piece.len()).as_bytes(), &piece, b"\r\n"].concat();
        }
        if from <= reply_bytes / 2 && reply_bytes / 2 < from + PIECE {
            sleep(Duration::from_millis(pause_ms)).await;
        }
        stream.write_all(&piece).await.ok()?;
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    (framing != ReplyFraming::UntilClosed).then_some(())
}
