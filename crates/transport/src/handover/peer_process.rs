//! While two processes run: commands pass between them, in the words of the second address.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout_at, Instant};

use super::link::Link;
use crate::admin::{Reply, Request};
use heathward_core::{CommandError, CoreHandle, ForwardedCommand};

/// The other process has so long to carry a command out: staff are owed an answer within 1 s.
const PATIENCE: Duration = Duration::from_millis(600);

/// A command that the other process has been told, until when staff wait, and who does.
type Waiting = (Instant, Option<oneshot::Sender<Result<(), CommandError>>>);

/// Follows the other process until it is gone.
pub(super) async fn follow(
    link: &mut Link,
    core: &CoreHandle,
    mut commands: mpsc::Receiver<ForwardedCommand>,
) {
    let mut waiting: VecDeque<Waiting> = VecDeque::new();
    loop {
        let due = waiting.iter().find(|(_, done)| done.is_some()).map(|(due, _)| *due);
        let said = tokio::select! {
            line = link.line() => match line {
                Some(line) => match answer(&line, core, &mut waiting).await {
                    Some(said) => said,
                    None => continue,
                },
                None => break,
            },
            command = commands.recv() => match command {
                Some(ForwardedCommand { command, reply: done }) => {
                    waiting.push_back((Instant::now() + PATIENCE, Some(done)));
                    Request::Command(command).to_string()
                }
                None => break,
            },
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                if let Some(done) = waiting.iter_mut().find_map(|(_, done)| done.take()) {
                    // Whoever asked may have left, here and below.
                    let _ = done.send(Err(CommandError::PeerUnresponsive));
                }
                continue;
            }
        };
        let said = timeout_at(Instant::now() + PATIENCE, link.say(said.trim_end())).await;
        if !said.is_ok_and(|said| said.is_ok()) {
            break;
        }
    }
    // It is gone, and with it all that it might have sent.
    for done in waiting.into_iter().filter_map(|(_, done)| done) {
        let _ = done.send(Ok(()));
    }
}

/// What is to be said to a line of the other process, if anything. One that does not know a node sends
/// nothing there, which is what was to be had.
async fn answer(line: &[u8], core: &CoreHandle, waiting: &mut VecDeque<Waiting>) -> Option<String> {
    if line.starts_with(b"OK") || line.starts_with(b"ERR") {
        if let Some(done) = waiting.pop_front().and_then(|(_, done)| done) {
            // As above.
            let _ = done.send(Ok(()));
        }
        return None;
    }
    let reply = match Request::parse(line) {
        Ok(Request::Command(command)) => match core.run_command(command, true).await {
            Ok(Ok(())) => Reply::Ok,
            Ok(Err(why)) => Reply::CommandFailed(why),
            Err(_) => Reply::NotReady,
        },
        Ok(_) => Reply::Ok,
        Err(unreadable) => Reply::Malformed(unreadable),
    };
    Some(reply.to_string())
}
