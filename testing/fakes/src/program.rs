//! The program itself, in a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};

use heathward_transport::admin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::PATIENCE;

/// What a process holds.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Memory now, kilobytes.
    pub resident_kb: usize,
    /// The same at most.
    pub peak_kb: usize,
    /// Its threads.
    pub threads: usize,
    /// Its descriptors.
    pub descriptors: usize,
}

/// A scheduler that runs; killed when dropped.
pub struct Program {
    child: Child,
    /// Lines of its log, read as they come, so that it never waits for whoever reads.
    log: Receiver<String>,
    /// Its second address, where it has one.
    pub ops: Option<SocketAddr>,
    /// Where its clients connect.
    pub listen: SocketAddr,
}

impl Program {
    /// Starts it, and waits until it listens.
    pub fn start(mut command: Command) -> Self {
        let mut child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (tell, log) = channel();
        std::thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| tell.send(line)));
        let mut new = Self { child, log, ops: None, listen: SocketAddr::from(([0; 4], 0)) };
        let address = |line: &str| line.trim().rsplit(' ').next().unwrap().parse().unwrap();
        loop {
            let line = new.until(" on ");
            if line.contains(": operations on ") {
                new.ops = Some(address(&line));
            } else if line.contains(": listening on ") {
                new.listen = address(&line);
                return new;
            }
        }
    }

    /// Its next line that says so.
    pub fn until(&mut self, what: &str) -> String {
        loop {
            let line = self.log.recv_timeout(PATIENCE);
            let line = line.unwrap_or_else(|_| panic!("it never said {what:?}"));
            if line.contains(what) {
                return line;
            }
        }
    }

    /// What its second address answers to a line.
    pub async fn call(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.ops.unwrap()).await.unwrap();
        stream.write_all(format!("{line}\n").as_bytes()).await.unwrap();
        let mut told = String::new();
        timeout(PATIENCE, stream.read_to_string(&mut told)).await.expect("an answer").unwrap();
        told
    }

    /// Has a command carried out.
    pub async fn command(&self, command: heathward_core::OperatorCommand) {
        let deadline = Instant::now() + PATIENCE;
        admin::call(self.ops.unwrap(), &admin::Request::Command(command), deadline).await.expect("done");
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it holds now.
    ///
    /// # Panics
    /// If it does not run.
    pub fn held(&self) -> Held {
        let root = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{root}/status")).unwrap();
        let figure = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
            line.split_ascii_whitespace().next().unwrap().parse().unwrap()
        };
        let descriptors = std::fs::read_dir(format!("{root}/fd")).unwrap().count();
        Held {
            resident_kb: figure("VmRSS:"),
            peak_kb: figure("VmHWM:"),
            threads: figure("Threads:"),
            descriptors,
        }
    }

    /// Kills it, without a chance for last words.
    pub fn kill(self) {}

    /// Sends it a signal by name.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until it ends by itself, with nothing wrong; gives back what it said meanwhile.
    pub fn ended(mut self) -> String {
        let said: Vec<String> = self.log.iter().collect();
        let said = said.join("\n");
        assert!(self.child.wait().unwrap().success(), "{said}");
        said
    }

    /// Ends it by SIGTERM.
    pub fn end(self) -> String {
        self.signal("-TERM");
        self.ended()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // One that has ended by itself is none to kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
