//! Shutdown of a process that is delayed: stopped by the platform for up to 0.15 s, at the signal or before
//! its last answers, or by a reload.

use std::path::PathBuf;
use std::process::Child;

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout, Duration, Instant};

use crate::support::{replace_by_pipe, start_program, wait_until_listening, write_config};
use heathward_fakes::*;

/// The longest time for which the platform stops a process.
const STALL: Duration = Duration::from_millis(150);
/// The longest deadline of a class in these tests.
const DEADLINE: Duration = Duration::from_millis(1000);
/// The time between the longest deadline after SIGTERM and SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A request that arrives this long after SIGTERM or later counts as lost if it is unanswered at SIGKILL.
const COUNTED_AFTER: Duration = Duration::from_millis(700);
/// The time from SIGTERM until the clients send their requests.
const SENT_AFTER: Duration = Duration::from_millis(760);
/// The number of clients, with one request each: the limit on requests in flight at a node whose capacity is
/// unknown.
const CLIENTS: u32 = 4;

/// A program with a node that answers nothing, and connected clients.
struct HangingNode {
    child: Child,
    process: Pid,
    config: PathBuf,
    log: Log,
    clients: Vec<TcpStream>,
}

impl HangingNode {
    async fn start(name: &str, arguments: &[&str]) -> Self {
        let log = Log::default();
        let node = http_node(0, &[NodeBehavior::Silent], &log).await;
        let members = member("s0", node, 0, "in_service", 0);
        // An attempt lasts as long as its client waits.
        let text =
            config_text("127.0.0.1:0", "127.0.0.1:1", &members).replace("\"aimMs\":150", "\"aimMs\":1000");
        let config = write_config(name, &text);
        let (child, _lines, address) = wait_until_listening(start_program(&config, arguments));
        let process = Pid::from_child(&child);
        let mut clients = Vec::new();
        for _ in 0..CLIENTS {
            clients.push(TcpStream::connect(address).await.unwrap());
        }
        Self { child, process, config, log, clients }
    }

    /// Stops the process for [`STALL`], beginning at `from`.
    async fn stall(&self, from: Instant) {
        sleep_until(from).await;
        kill_process(self.process, Signal::STOP).unwrap();
        sleep_until(from + STALL).await;
        kill_process(self.process, Signal::CONT).unwrap();
    }

    /// Sends a request from each client, so that all of them are in flight.
    async fn send_requests(&mut self, signalled: Instant) -> JoinSet<Option<String>> {
        sleep_until(signalled + SENT_AFTER).await;
        assert!(
            SENT_AFTER >= COUNTED_AFTER && signalled.elapsed() < DEADLINE,
            "the clients send their requests too late"
        );
        let mut answers = JoinSet::new();
        for (call, mut stream) in (0..).zip(std::mem::take(&mut self.clients)) {
            stream.write_all(request("consulta", call, 0, 1000, "").as_bytes()).await.unwrap();
            answers.spawn(async move { read_message(&mut stream).await.map(|(head, ..)| head) });
        }
        answers
    }

    /// Kills the process at the time at which the platform does, and checks that all clients have their
    /// answers.
    async fn kill(mut self, signalled: Instant, answers: JoinSet<Option<String>>) {
        sleep_until(signalled + DEADLINE + KILL_DELAY).await;
        // The process may have exited by then.
        let _ = kill_process(self.process, Signal::KILL);
        let answers = answers.join_all().await;
        self.child.wait().unwrap();
        assert_eq!(self.log.all().len(), CLIENTS as usize, "not all were forwarded");
        assert!(answers.iter().all(Option::is_some), "unanswered at SIGKILL: {answers:?}");
    }
}

/// Guards against a shutdown that counts from when SIGTERM is received, or leaves no time to write its last
/// answers: requests are then unanswered at SIGKILL.
#[rstest]
#[tokio::test]
async fn requests_are_answered_before_sigkill_if_the_process_stalls(
    #[values(false, true)] at_the_signal: bool,
    #[values(None, Some(1450), Some(1500), Some(1540))] at_the_end_ms: Option<u64>,
) {
    let mut program = HangingNode::start(&format!("stall{at_the_signal}{at_the_end_ms:?}"), &[]).await;
    let signalled = Instant::now();
    if at_the_signal {
        kill_process(program.process, Signal::STOP).unwrap();
    }
    kill_process(program.process, Signal::TERM).unwrap();
    if at_the_signal {
        sleep_until(signalled + STALL).await;
        kill_process(program.process, Signal::CONT).unwrap();
    }
    let answers = program.send_requests(signalled).await;
    if let Some(at) = at_the_end_ms {
        program.stall(signalled + Duration::from_millis(at)).await;
    }
    program.kill(signalled, answers).await;
}

/// Guards against a reload that delays the handling of SIGTERM: the configuration is never read to its end.
#[tokio::test]
async fn requests_are_answered_before_sigkill_if_a_reload_hangs() {
    let operator = write_config("reload-hangs-operator", "{}");
    let mut program = HangingNode::start("reload-hangs", &["--operator", operator.to_str().unwrap()]).await;
    let reload = replace_by_pipe(&program.config);
    kill_process(program.process, Signal::HUP).unwrap();
    let _write_end = timeout(TEST_TIMEOUT, reload).await.expect("a reload").unwrap();
    let signalled = Instant::now();
    kill_process(program.process, Signal::TERM).unwrap();
    let answers = program.send_requests(signalled).await;
    program.kill(signalled, answers).await;
}
