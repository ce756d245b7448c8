//! The program as a separate process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};

use heathward_transport::admin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use crate::TEST_TIMEOUT;

/// The resources that a process uses.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Current memory, in kilobytes.
    pub resident_kb: usize,
    /// The part of the current memory that maps files, such as the program: processes share it. In kilobytes.
    pub file_kb: usize,
    /// Peak memory, in kilobytes.
    pub peak_kb: usize,
    /// Number of threads.
    pub threads: usize,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// A running scheduler; it is killed when this is dropped.
pub struct Program {
    child: Child,
    /// Lines of its log, which are read at once, so that the program never blocks on them.
    log: Receiver<String>,
    /// Its admin address, if it has one.
    pub ops: Option<SocketAddr>,
    /// The address that clients connect to.
    pub listen: SocketAddr,
}

impl Program {
    /// Starts the program, and waits until it listens.
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

    /// Returns the next line of the log that contains the text.
    ///
    /// # Panics
    /// If the program does not write such a line in time.
    pub fn until(&mut self, what: &str) -> String {
        loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("it never said {what:?}"));
            if line.contains(what) {
                return line;
            }
        }
    }

    /// Sends a line to the admin address, and returns the answer.
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

    /// Sends a command to the admin address, which must carry it out.
    ///
    /// # Panics
    /// If the program has no admin address, or refuses the command.
    pub async fn command(&self, command: heathward_core::OperatorCommand) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        admin::call(self.ops.expect("an admin address"), &admin::Request::Command(command), deadline)
            .await
            .expect("done");
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resources that the process uses now.
    ///
    /// # Panics
    /// If the process does not run.
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
            file_kb: figure("RssFile:"),
            peak_kb: figure("VmHWM:"),
            threads: figure("Threads:"),
            descriptors,
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(self) {}

    /// Sends a signal to the process, by name.
    ///
    /// # Panics
    /// If `kill` does not run, or fails.
    pub fn signal(&self, name: &str) {
        let status =
            Command::new("kill").args([name, &self.child.id().to_string()]).status().expect("kill runs");
        assert!(status.success());
    }

    /// Waits until the process exits by itself with code 0, and returns what it logged meanwhile.
    ///
    /// # Panics
    /// If the program ends with another exit code than 0.
    pub fn ended(mut self) -> String {
        let said: Vec<String> = self.log.iter().collect();
        let said = said.join("\n");
        assert!(self.child.wait().expect("a child of this process").success(), "{said}");
        said
    }

    /// Sends SIGTERM, and waits until the process has exited.
    pub fn end(self) -> String {
        self.signal("-TERM");
        self.ended()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // The process may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
