//! What operations staff ask for: nodes out of service and back, clients sent away; also on behalf of the
//! other process of this scheduler.

use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::handle::set_draining;
use super::Actor;
use crate::observe::{Observation, TreatmentCause};
use crate::{CommandError, ForwardedCommand, OperatorCommand};

/// Nodes that are out by hand at most, whether listed or not.
const SUSPENDED: usize = 1024;

impl Actor {
    /// Carries a command out here, and has the other process do the same where there is one.
    pub(super) fn carry_out(
        &mut self,
        command: OperatorCommand,
        from_partner: bool,
        reply: oneshot::Sender<Result<(), CommandError>>,
    ) {
        let done = match &command {
            OperatorCommand::Suspend(id) => self.suspend(id.clone()),
            OperatorCommand::Restore(id) => self.restore(id),
            OperatorCommand::Pause => self.pause(true),
            OperatorCommand::Resume => self.pause(false),
        };
        let forwarded = ForwardedCommand { command, reply };
        let unsent = match &self.partner {
            Some(partner) if done.is_ok() && !from_partner => partner.try_send(forwarded).err(),
            _ => Some(TrySendError::Closed(forwarded)),
        };
        if let Some(unsent) = unsent {
            let full = matches!(unsent, TrySendError::Full(_));
            // Whoever asked may have left; what is done holds.
            let _ =
                unsent.into_inner().reply.send(if full { Err(CommandError::PeerUnresponsive) } else { done });
        }
    }

    fn pause(&mut self, paused: bool) -> Result<(), CommandError> {
        set_draining(&self.draining, |draining| draining.paused = paused);
        self.note(Observation::PauseChanged { paused });
        Ok(())
    }

    /// Takes a node out, once however often it is said.
    fn suspend(&mut self, id: Box<str>) -> Result<(), CommandError> {
        let node = self.nodes.find(&id).ok_or(CommandError::UnknownNode)?;
        if self.suspended.len() >= SUSPENDED && !self.suspended.contains(&id) {
            return Err(CommandError::TooManySuspended);
        }
        self.suspended.insert(id);
        self.relist(node, TreatmentCause::Command);
        Ok(())
    }

    /// Ends that. It was restarted meanwhile and is cold from now on at the latest, whatever the list says.
    fn restore(&mut self, id: &str) -> Result<(), CommandError> {
        let was_out = self.suspended.remove(id);
        let node = match self.nodes.find(id) {
            Some(node) => node,
            None if was_out => return Ok(()),
            None => return Err(CommandError::UnknownNode),
        };
        if was_out {
            let now = self.clock.micros_at(Instant::now());
            self.nodes.get_mut(node).into_iter().for_each(|node| node.restored = Some(now));
            self.relist(node, TreatmentCause::Command);
        }
        Ok(())
    }
}
