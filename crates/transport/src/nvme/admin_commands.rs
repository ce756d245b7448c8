//! The commands of an admin queue.

use tokio::sync::oneshot;

use super::command::{Body, Command, Status};
use super::identify::{self, CAP, CC, CSTS, VS};
use super::pdu_stream::StreamError;
use super::queue::Queue;
use super::subsystem::{lock, Controller};

impl Queue {
    /// Handles a command; its completion is sent at once, except for that of an Abort.
    ///
    /// # Errors
    /// The connection has failed.
    pub(super) async fn handle_admin_command(
        &mut self,
        controller: &Controller,
        command: &Command,
    ) -> Result<(), StreamError> {
        let (map, cid) = (self.subsystem.map.clone(), command.cid);
        let outcome = match command.body {
            Body::PropertyGet { wide, offset } => match (offset, wide) {
                (CAP, true) => Ok(identify::capabilities(map.depth)),
                (VS, false) => Ok(identify::VERSION.into()),
                (CC, false) => Ok(lock(&controller.state).configuration.into()),
                (CSTS, false) => Ok(lock(&controller.state).csts().into()),
                _ => Err(Status::INVALID_FIELD),
            },
            Body::PropertySet { wide: false, offset: CC, value } => {
                lock(&controller.state).configure(value as u32);
                Ok(0)
            }
            Body::Identify { nsid, cns } => {
                let page = match cns {
                    0 => {
                        let namespace = map.namespace(nsid).ok_or(Status::INVALID_NAMESPACE);
                        namespace.map(|namespace| identify::namespace(&map, namespace))
                    }
                    1 => Ok(identify::controller(&map, controller.id, self.subsystem.retry_delays())),
                    2 if nsid < 0xffff_fffe => Ok(identify::active_namespaces(&map, nsid)),
                    2 => Err(Status::INVALID_NAMESPACE),
                    _ => Err(Status::INVALID_FIELD),
                };
                match page {
                    Ok(page) if command.sgl.length() as usize == page.len() => {
                        return self.complete_with_data(cid, page).await;
                    }
                    Ok(_) => Err(Status::SGL_LENGTH),
                    Err(status) => Err(status),
                }
            }
            // The requested numbers of submission and completion queues, minus 1; they exist in pairs here.
            Body::SetFeatures { feature: 0x07, value }
                if value & 0xffff != 0xffff && value >> 16 != 0xffff =>
            {
                let granted = u64::from((value & 0xffff).min(value >> 16).min(u32::from(map.queues) - 1));
                Ok(granted << 16 | granted)
            }
            Body::SetFeatures { .. } | Body::PropertySet { .. } => Err(Status::INVALID_FIELD),
            Body::KeepAlive => Ok(0),
            Body::Abort { .. } if self.aborts.len() >= identify::MAX_ABORTS => Err(Status::ABORT_LIMIT),
            Body::Abort { queue, cid: aborted_cid } => {
                // Commands of the admin queue are completed before an Abort for them can arrive.
                let mailbox = lock(&controller.state).queues.get(&queue).cloned();
                self.aborts.push(Box::pin(async move {
                    let (reply, aborted) = oneshot::channel();
                    let is_sent = match mailbox {
                        Some(mailbox) => mailbox.send((aborted_cid, reply)).await.is_ok(),
                        None => false,
                    };
                    (cid, is_sent && aborted.await.unwrap_or(false))
                }));
                return Ok(());
            }
            Body::Connect(_) => Err(Status::SEQUENCE),
            Body::Read(_) | Body::Write(_) | Body::OtherFabrics(_) | Body::Other(_) => {
                Err(Status::INVALID_OPCODE)
            }
        };
        match outcome {
            Ok(result) => self.complete(cid, result, Status::SUCCESS).await,
            Err(status) => self.complete(cid, 0, status).await,
        }
    }
}
