//! The peer process: during a handover, another process of the same scheduler that runs the same operator
//! commands and handles no request of which this process has sent an attempt.

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use crate::{ClientRequestId, CommandError, ForwardedCommand, PeerChannels};

/// Capacity of the channel for commands to the peer process.
const FORWARDED_COMMAND_CAPACITY: usize = 64;

/// Capacity of the channel for the ids of requests.
const ATTEMPTED_ID_CAPACITY: usize = 4096;

/// The channels to the peer process, while there is one.
#[derive(Debug, Default)]
pub(super) struct PeerProcess {
    commands: Option<mpsc::Sender<ForwardedCommand>>,
    attempted_ids: Option<mpsc::Sender<ClientRequestId>>,
}

impl PeerProcess {
    /// Starts to forward commands and ids to a new peer process instead of a previous one, and returns the
    /// receivers.
    pub(super) fn connect(&mut self) -> PeerChannels {
        let (command_sender, commands) = mpsc::channel(FORWARDED_COMMAND_CAPACITY);
        let (id_sender, attempted_ids) = mpsc::channel(ATTEMPTED_ID_CAPACITY);
        self.commands = Some(command_sender);
        self.attempted_ids = Some(id_sender);
        PeerChannels { commands, attempted_ids }
    }

    /// Tells the peer process that an attempt of a request with this id has been sent. If the channel is
    /// full, the id is left out.
    pub(super) fn report_attempt(&self, client_request_id: &str) {
        if let Some(attempted_ids) = self.attempted_ids.as_ref().filter(|sender| !sender.is_closed()) {
            let _ = attempted_ids.try_send(ClientRequestId::new(client_request_id));
        }
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
