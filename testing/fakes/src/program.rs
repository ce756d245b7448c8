//! The program itself, in a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};

use heathward_transport::admin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::TEST_TIMEOUT;

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
    ///
    /// # Panics
    /// If the program does not start.
    pub fn start(mut command: Command) -> Self {
        let mut child =
            command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the program starts");
        let stderr = BufReader::new(child.stderr.take().expect("standard error is a pipe"));
        let (tell, log) = channel();
        std::thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| tell.send(line)));
        let mut new = Self { child, log, ops: None, listen: SocketAddr::from(([0; 4], 0)) };
        let address = |line: &str| {
            line.trim().rsplit(' ').next().and_then(|word| word.parse().ok()).expect("an address")
        };
        loop {
            let line = new.until(" on ");
            if line.contains(": admin interface listening on ") {
                new.ops = Some(address(&line));
            } else if line.contains(": listening on ") {
                new.listen = address(&line);
                return new;
            }
        }
    }

    /// Its next line that says so.
    ///
    /// # Panics
    /// If the program does not write that in time.
    pub fn until(&mut self, what: &str) -> String {
        loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("it never said {what:?}"));
            if line.contains(what) {
                return line;
            }
        }
    }

    /// What its second address answers to a line.
    ///
    /// # Panics
    /// If the program has no admin address, or does not answer in time.
    pub async fn call(&self, line: &str) -> String {
        let mut stream =
            TcpStream::connect(self.ops.expect("an admin address")).await.expect("the program listens");
        stream.write_all(format!("{line}\n").as_bytes()).await.expect("the connection is open");
        let mut told = String::new();
        timeout(TEST_TIMEOUT, stream.read_to_string(&mut told)).await.expect("an answer").expect("text");
        told
    }

    /// Has a command carried out.
    ///
    /// # Panics
    /// If the program has no admin address, or refuses the command.
    pub async fn command(&self, command: heathward_core::OperatorCommand) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        admin::call(self.ops.expect("an admin address"), &admin::Request::Command(command), deadline)
            .await
            .expect("done");
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
        let status = std::fs::read_to_string(format!("{root}/status")).expect("the process runs");
        let figure = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("a line of that name");
            line.split_ascii_whitespace().next().and_then(|word| word.parse().ok()).expect("a number")
        };
        let descriptors = std::fs::read_dir(format!("{root}/fd")).expect("the process runs").count();
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
    ///
    /// # Panics
    /// If `kill` does not run, or fails.
    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").args([name, &self.child.id().to_string()]).status().expect("kill runs");
        assert!(status.success());
    }

    /// Waits until it ends by itself, with nothing wrong; gives back what it said meanwhile.
    ///
    /// # Panics
    /// If the program ends with another exit code than 0.
    pub fn ended(mut self) -> String {
        let said: Vec<String> = self.log.iter().collect();
        let said = said.join("\n");
        assert!(self.child.wait().expect("a child of this process").success(), "{said}");
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
