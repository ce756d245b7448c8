//! The peer process: during a handover, another process of the same scheduler that carries out the same
//! commands of operators.

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use crate::{CommandError, ForwardedCommand};

/// Commands that wait for the peer process.
const FORWARDED_COMMAND_CAPACITY: usize = 64;

/// The way to the peer process, while there is one.
#[derive(Debug, Default)]
pub(super) struct PeerProcess {
    commands: Option<mpsc::Sender<ForwardedCommand>>,
}

impl PeerProcess {
    /// Starts to forward commands to a new peer process; a previous one gets none any more.
    pub(super) fn connect(&mut self) -> mpsc::Receiver<ForwardedCommand> {
        let (sender, commands) = mpsc::channel(FORWARDED_COMMAND_CAPACITY);
        self.commands = Some(sender);
        commands
    }

    /// Has the peer process carry a command out, which then replies to it. Without a peer process, the
    /// command is done, and this replies. If too many commands wait, the reply is
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
        // Whoever asked for it may have left; the command stays carried out.
        let _ = command.reply.send(result);
    }
}
