//! The peer process: during a handover, another process of the same scheduler that runs the same operator
//! commands.

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use crate::{CommandError, ForwardedCommand};

/// Capacity of the channel for commands to the peer process.
const FORWARDED_COMMAND_CAPACITY: usize = 64;

/// The channel to the peer process, while there is one.
#[derive(Debug, Default)]
pub(super) struct PeerProcess {
    commands: Option<mpsc::Sender<ForwardedCommand>>,
}

impl PeerProcess {
    /// Starts to forward commands to a new peer process instead of a previous one, and returns the
    /// commands.
    pub(super) fn connect(&mut self) -> mpsc::Receiver<ForwardedCommand> {
        let (sender, commands) = mpsc::channel(FORWARDED_COMMAND_CAPACITY);
        self.commands = Some(sender);
        commands
    }

    /// Forwards a command to the peer process, which runs it and sends the reply. Without a peer process,
    /// the command is complete and the reply is `Ok`. If the channel is full, the reply is
    /// [`CommandError::PeerUnresponsive`].
    pub(super) fn forward(&self, command: ForwardedCommand) {
        let unsent = match &self.commands {
            Some(peer) => peer.try_send(command).err(),
            None => Some(TrySendError::Closed(command)),
        };
        let (command, result) = match unsent {
            None => return,
            Some(TrySendError::Closed(command)) => (command, Ok(())),
            Some(TrySendError::Full(command)) => (command, Err(CommandError::PeerUnresponsive)),
        };
        // The requester may have dropped the receiver; the command stays in effect.
        let _ = command.reply.send(result);
    }
}
