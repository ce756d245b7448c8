//! Runs the commands of operators. During a handover they also come from the peer process.

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Actor;
use crate::observe::{Observation, TreatmentCause};
use crate::{CommandError, ForwardedCommand, OperatorCommand};

impl Actor {
    /// Runs a command in this process. If it succeeds and did not come from the peer process, it is
    /// forwarded to the peer process, if there is one, which then sends the reply.
    pub(super) fn run_command(
        &mut self,
        command: OperatorCommand,
        from_peer_process: bool,
        reply: oneshot::Sender<Result<(), CommandError>>,
    ) {
        let result = match &command {
            OperatorCommand::Suspend(id) => self.suspend_node(id.clone()),
            OperatorCommand::Restore(id) => self.restore_node(id),
            OperatorCommand::Pause => self.set_paused(true),
            OperatorCommand::Resume => self.set_paused(false),
        };
        if result.is_ok() && !from_peer_process {
            self.peer_process.forward(ForwardedCommand { command, reply });
        } else {
            // The requester may have dropped the receiver.
            let _ = reply.send(result);
        }
    }

    /// Pauses or resumes the scheduler. It never fails; it returns a `Result` because all commands do.
    fn set_paused(&mut self, paused: bool) -> Result<(), CommandError> {
        self.published.set_paused(paused);
        self.observer.observe(Observation::PauseChanged { paused });
        Ok(())
    }

    /// Suspends a node. Suspending it again has no effect.
    fn suspend_node(&mut self, id: Box<str>) -> Result<(), CommandError> {
        let node = self.nodes.suspend(id)?;
        self.resend_policy_entry(node, TreatmentCause::Command);
        Ok(())
    }

    /// Ends the suspension of a node. The node was restarted while it was suspended, so it begins with slow
    /// start.
    fn restore_node(&mut self, id: &str) -> Result<(), CommandError> {
        let now = self.policy.micros_at(Instant::now());
        if let Some(node) = self.nodes.restore(id, now)? {
            self.resend_policy_entry(node, TreatmentCause::Command);
        }
        Ok(())
    }
}
