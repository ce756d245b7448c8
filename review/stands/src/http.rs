//! HTTP/1.1 for stand-ins: a client's side and a storage node's side, on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, its headers with lower-case names, and its body.
#[derive(Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces; an error if it is not whole.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

/// Reads a whole message; `None` if the connection ended before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// The fields of a client's request.
#[derive(Clone)]
pub struct Call {
    pub id: u64,
    pub class: &'static str,
    pub plan: &'static str,
    pub volume: u64,
    pub item: u64,
    pub units: u32,
    pub shard: u32,
    pub hosts: u32,
    pub budget_ms: u64,
    /// The key of a keyed write.
    pub key: Option<String>,
    /// The body of a write; none for a read.
    pub body: Option<Vec<u8>>,
}

impl Call {
    /// Returns the head as the protocol page shows it.
    pub fn head(&self) -> String {
        let method = if self.body.is_some() { "PUT" } else { "GET" };
        let mut head = format!(
            "{method} /{}/{:016x}/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {:016x}\r\n\
             X-Call-Class: {}\r\nX-Plan: {}\r\nX-Budget-Ms: {}\r\n",
            self.class, self.volume, self.item, self.id, self.class, self.plan, self.budget_ms
        );
        if let Some(key) = &self.key {
            head += &format!("Idempotency-Key: {key}\r\n");
        }
        if let Some(body) = &self.body {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head + &format!("X-IO: units={},shard={},hosts={}\r\n\r\n", self.units, self.shard, self.hosts)
    }
}

/// A client's connection to a scheduler.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request whole.
    pub fn send(&mut self, call: &Call) -> io::Result<()> {
        let mut bytes = call.head().into_bytes();
        bytes.extend_from_slice(call.body.as_deref().unwrap_or_default());
        self.stream.write_all(&bytes)
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, call: &Call) -> io::Result<Message> {
        self.send(call)?;
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Returns the status of the answer to a plain request.
pub fn get_status(address: SocketAddr, target: &str) -> Option<u16> {
    let mut client = Client::connect(address).ok()?;
    client.stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    client.stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: origin.svc\r\n\r\n").as_bytes()).ok()?;
    Some(read_message(&mut client.reader).ok()??.status())
}
