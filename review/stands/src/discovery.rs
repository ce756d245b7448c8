//! A discovery agent with a list that does not change: the list on request, and a watch with an empty line
//! every 2 s.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::listen;

/// A storage node in the list.
#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
}

impl Member {
    pub fn new(id: &str, address: SocketAddr, cell: u32) -> Self {
        Self { id: id.to_owned(), address, cell }
    }

    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"a\",\"flavor\":\"base-2\",\"cell\":{},\
             \"phase\":\"in_service\",\"size\":1.0,\"up_since_ms\":0}}",
            self.id, self.address, self.cell
        )
    }
}

/// Returns a list in discovery's form.
pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

/// The revision of the list, which does not change.
pub const REVISION: u64 = 1;

/// The agent.
#[derive(Clone)]
pub struct Discovery {
    members: Arc<[Member]>,
    pub address: SocketAddr,
}

impl Discovery {
    /// Starts an agent that knows these nodes as revision 1.
    pub fn start(members: &[Member]) -> Self {
        let (listener, address) = listen();
        let discovery = Self { members: members.into(), address };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = served.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let mut request_line = String::new();
            if reader.read_line(&mut request_line).ok()? == 0 {
                return None;
            }
            let mut header = String::new();
            while reader.read_line(&mut header).ok()? > 2 {
                header.clear();
            }
            let target = request_line.split(' ').nth(1)?;
            match target.split_once("after=") {
                Some((_, after)) => return self.watch(&mut writer, after.parse().ok()?),
                None => {
                    let list = list_json(REVISION, true, &self.members);
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", list.len());
                    writer.write_all((head + &list).as_bytes()).ok()?;
                }
            }
        }
    }

    fn watch(&self, writer: &mut TcpStream, after: u64) -> Option<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").ok()?;
        if after < REVISION {
            write_chunk(writer, &list_json(REVISION, true, &self.members))?;
        }
        loop {
            thread::sleep(Duration::from_secs(2));
            write_chunk(writer, "")?;
        }
    }
}

fn write_chunk(writer: &mut TcpStream, line: &str) -> Option<()> {
    writer.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).ok()
}
