//! Passes operators' commands between two processes of one scheduler while both run, as lines in the format
//! of the admin interface. Each process carries out the commands that the other one has carried out, and
//! answers them. Further lines tell the ids of requests of which a process has sent an attempt; they are not
//! answered.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};

use super::codec::encode_id;
use super::link::Link;
use crate::admin::{Reply, Request};
use heathward_core::{ClientRequestId, CommandError, CoreHandle, ForwardedCommand, PeerChannels};

/// The time within which the peer process must answer a command: the operator expects an answer within 1 s.
const PEER_ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// A line that cannot be sent within this time ends the exchange.
const SEND_TIMEOUT: Duration = Duration::from_millis(600);

/// The word before the ids of requests.
const ATTEMPTED_WORD: &str = "ATTEMPTED";
/// The most ids in a line.
const MAX_IDS_PER_LINE: usize = 256;

/// A command that was sent to the peer process and is not answered yet.
struct PendingCommand {
    /// The time at which the command fails with [`CommandError::PeerUnresponsive`] if no answer has arrived.
    deadline: Instant,
    /// Sends the result to the operator; `None` once it was sent.
    reply: Option<oneshot::Sender<Result<(), CommandError>>>,
}

impl PendingCommand {
    fn answer(&mut self, result: Result<(), CommandError>) {
        if let Some(reply) = self.reply.take() {
            // The operator may have disconnected.
            let _ = reply.send(result);
        }
    }
}

/// The exchange with the peer process.
pub(super) struct PeerExchange<'a> {
    link: &'a mut Link,
    core: &'a CoreHandle,
    /// The commands that this process has carried out.
    commands: mpsc::Receiver<ForwardedCommand>,
    /// The ids of requests of which this process has sent an attempt.
    attempted_ids: mpsc::Receiver<ClientRequestId>,
    /// The commands that the peer process has not answered, in the order in which they were sent. The answers
    /// arrive in the same order.
    pending: VecDeque<PendingCommand>,
}

impl<'a> PeerExchange<'a> {
    /// Creates the exchange. `shares_ids` tells whether the peer process takes the ids of requests.
    pub(super) fn new(
        link: &'a mut Link,
        core: &'a CoreHandle,
        channels: PeerChannels,
        shares_ids: bool,
    ) -> Self {
        let PeerChannels { commands, mut attempted_ids } = channels;
        if !shares_ids {
            attempted_ids.close();
        }
        Self { link, core, commands, attempted_ids, pending: VecDeque::new() }
    }

    /// Exchanges commands until the peer process exits or stops reading, or the core of this process stops.
    pub(super) async fn run(mut self) {
        loop {
            let deadline = self.next_deadline();
            let mut ids = Vec::new();
            let line_to_send = tokio::select! {
                line = self.link.next_line() => match line {
                    Some(line) => self.on_line(&line).await,
                    None => break,
                },
                command = self.commands.recv() => match command {
                    Some(command) => Some(self.on_command(command)),
                    None => break,
                },
                1.. = self.attempted_ids.recv_many(&mut ids, MAX_IDS_PER_LINE) => Some(attempted_line(&ids)),
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                    self.on_deadline();
                    None
                }
            };
            let Some(line) = line_to_send else { continue };
            let sent = timeout(SEND_TIMEOUT, self.link.send_line(line.trim_end())).await;
            if !sent.is_ok_and(|sent| sent.is_ok()) {
                break;
            }
        }
        // A peer process that has exited sends nothing to any node, so the commands are in effect. A peer
        // process that only stopped reading is treated in the same way.
        self.pending.iter_mut().for_each(|pending| pending.answer(Ok(())));
    }

    /// Returns the deadline of the oldest command whose operator has no result yet.
    fn next_deadline(&self) -> Option<Instant> {
        self.pending.iter().find(|pending| pending.reply.is_some()).map(|pending| pending.deadline)
    }

    fn on_deadline(&mut self) {
        let overdue = self.pending.iter_mut().find(|pending| pending.reply.is_some());
        if let Some(overdue) = overdue {
            overdue.answer(Err(CommandError::PeerUnresponsive));
        }
    }

    /// Records a command that this process has carried out. Returns the line to send.
    fn on_command(&mut self, forwarded: ForwardedCommand) -> String {
        let ForwardedCommand { command, reply } = forwarded;
        let deadline = Instant::now() + PEER_ANSWER_TIMEOUT;
        self.pending.push_back(PendingCommand { deadline, reply: Some(reply) });
        Request::Command(command).to_string()
    }

    /// Handles an answer or a command of the peer process. Returns the line to send, if any.
    async fn on_line(&mut self, line: &[u8]) -> Option<String> {
        if line.starts_with(b"OK") || line.starts_with(b"ERR") {
            if let Some(mut answered) = self.pending.pop_front() {
                // An error usually means that the peer process does not know the node and sends nothing
                // there, which is the purpose of a suspension. Other errors are not distinguished from it.
                answered.answer(Ok(()));
            }
            return None;
        }
        if let Some(ids) = parse_attempted_line(line) {
            self.core.record_attempts_of_peer(ids).await;
            return None;
        }
        let reply = match Request::parse(line) {
            Ok(Request::Command(command)) => match self.core.run_command(command, true).await {
                Ok(Ok(())) => Reply::Ok,
                Ok(Err(error)) => Reply::CommandFailed(error),
                Err(_) => Reply::NotReady,
            },
            // These are not commands and no peer process sends them, so there is nothing to carry out.
            Ok(Request::Status | Request::Metrics) => Reply::Ok,
            Err(malformed) => Reply::Malformed(malformed),
        };
        Some(reply.to_string())
    }
}

/// Encodes the ids of requests of which an attempt has been sent.
fn attempted_line(ids: &[ClientRequestId]) -> String {
    let ids: Vec<String> = ids.iter().copied().map(encode_id).collect();
    format!("{ATTEMPTED_WORD} {}", ids.join(" "))
}

/// Decodes such a line; `None` if it is another one.
fn parse_attempted_line(line: &[u8]) -> Option<Vec<ClientRequestId>> {
    let mut words = std::str::from_utf8(line).ok()?.split_ascii_whitespace();
    (words.next()? == ATTEMPTED_WORD).then(|| words.map(ClientRequestId::new).collect())
}
