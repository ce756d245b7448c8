//! The handle by which front ends, discovery and operators reach the actor. It is a tower service for
//! requests.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::published::update_draining;
use crate::client_disconnects::{CancelOnDrop, ClientDisconnects};
use crate::memory::MemoryBudget;
use crate::message::{ControlMessage, CoreMessage, CoreStatus};
use crate::observe::Observer;
use crate::{
    Answer, ClientRequest, ClientRequestId, CommandError, CoreMetrics, Draining, Handover, HandoverState,
    OperatorCommand, PeerChannels,
};
use heathward_policy::settings::{ConfigError, Deployment};
use heathward_policy::RequestId;

/// The core has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreStopped;

impl fmt::Display for CoreStopped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the core has stopped")
    }
}

impl std::error::Error for CoreStopped {}

/// A handle to the core's actor. All clones reach the same actor, which ends once all of them are dropped,
/// together with the senders that [`start_core`](super::start_core) gave to `connect_node`.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    pub(super) messages: mpsc::Sender<CoreMessage>,
    pub(super) discovery: mpsc::Sender<CoreMessage>,
    pub(super) control: mpsc::Sender<ControlMessage>,
    pub(super) client_disconnects: Arc<ClientDisconnects>,
    pub(super) next_request_id: Arc<AtomicU64>,
    pub(super) memory: MemoryBudget,
    pub(super) status: watch::Receiver<CoreStatus>,
    pub(super) draining: Arc<watch::Sender<Draining>>,
    pub(super) deployment: watch::Receiver<Arc<Deployment>>,
}

impl CoreHandle {
    /// Returns the channel for messages from discovery. They are handled before requests and ends of
    /// attempts: a drain must not wait behind requests that would be sent to the draining node meanwhile.
    pub fn discovery_sender(&self) -> mpsc::Sender<CoreMessage> {
        self.discovery.clone()
    }

    /// Returns the memory that bodies of requests and replies share.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// Returns the current status.
    pub fn status(&self) -> CoreStatus {
        *self.status.borrow()
    }

    /// Subscribes to the reasons for which clients are asked to use another scheduler.
    pub fn draining(&self) -> watch::Receiver<Draining> {
        self.draining.subscribe()
    }

    /// Sets whether another process of this scheduler accepts new connections.
    pub fn set_replaced(&self, replaced: bool) {
        update_draining(&self.draining, |draining| draining.replaced = replaced);
    }

    /// Hands the state over to a new process of this scheduler; `None` if the core has stopped.
    pub async fn hand_over(&self) -> Option<Handover> {
        let (reply, handover) = oneshot::channel();
        self.control.send(ControlMessage::HandOver(reply)).await.ok()?;
        handover.await.ok()
    }

    /// Takes over the state of the previous process. Returns what is to be told to that process;
    /// `None` if the core has stopped.
    pub async fn take_over(&self, state: HandoverState) -> Option<PeerChannels> {
        let (reply, commands) = oneshot::channel();
        self.control.send(ControlMessage::TakeOver { state, reply }).await.ok()?;
        commands.await.ok()
    }

    /// Records that the peer process has sent attempts of requests with these ids of clients: none of them
    /// is handled here.
    pub async fn record_attempts_of_peer(&self, ids: Vec<ClientRequestId>) {
        // A core that has stopped handles no request.
        let _ = self.control.send(ControlMessage::AttemptedByPeer(ids)).await;
    }

    /// Returns the current settings.
    pub fn deployment(&self) -> Arc<Deployment> {
        self.deployment.borrow().clone()
    }

    /// Applies new settings.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] if the settings are not valid, remove or rename a class or a plan, or the core has
    /// stopped. The old settings then stay.
    pub async fn update_settings(&self, deployment: Arc<Deployment>) -> Result<(), ConfigError> {
        let stopped = || ConfigError { field: "settings".to_owned(), reason: CoreStopped.to_string() };
        let (reply, result) = oneshot::channel();
        let message = CoreMessage::UpdateSettings { deployment, reply };
        self.messages.send(message).await.map_err(|_| stopped())?;
        result.await.unwrap_or_else(|_| Err(stopped()))
    }

    /// Starts the shutdown: all open and all later requests are answered by `deadline`.
    pub async fn set_shutdown_deadline(&self, deadline: Instant) {
        // A core that has stopped has no open requests.
        let _ = self.messages.send(CoreMessage::ShutdownDeadline(deadline)).await;
    }

    /// Replaces the observer, or removes it if `observer` is `None`. When this returns, the previous
    /// observer has been dropped.
    pub async fn set_observer(&self, observer: Option<Box<dyn Observer>>) {
        let (reply, done) = oneshot::channel();
        // A core that has stopped has nothing to observe.
        if self.messages.send(CoreMessage::SetObserver { observer, reply }).await.is_ok() {
            let _ = done.await;
        }
    }

    /// Counts a request that a front end rejected as malformed.
    pub fn count_malformed_request(&self) {
        // If the channel is full, the count is skipped rather than waited for.
        let _ = self.messages.try_send(CoreMessage::MalformedRequest);
    }

    /// Counts a reload of the configuration, which was either applied or rejected.
    pub fn count_configuration_reload(&self, applied: bool) {
        // If the channel is full, the count is skipped rather than waited for.
        let _ = self.messages.try_send(CoreMessage::ConfigurationReloaded { applied });
    }

    /// Returns the current metrics, ahead of all queued requests and updates; `None` if the core has
    /// stopped.
    pub async fn metrics(&self) -> Option<CoreMetrics> {
        let (reply, metrics) = oneshot::channel();
        self.control.send(ControlMessage::Metrics(reply)).await.ok()?;
        metrics.await.ok()
    }

    /// Runs a command, ahead of all queued requests and updates. The inner result is that of the command;
    /// `Ok` means that it is in effect in this process and in the peer process, if there is one.
    /// `from_peer_process` marks a command that the peer process has already run.
    ///
    /// # Errors
    ///
    /// [`CoreStopped`] if the core has stopped; the command may or may not have been run.
    pub async fn run_command(
        &self,
        command: OperatorCommand,
        from_peer_process: bool,
    ) -> Result<Result<(), CommandError>, CoreStopped> {
        let (reply, result) = oneshot::channel();
        let message = ControlMessage::RunCommand { command, from_peer_process, reply };
        self.control.send(message).await.map_err(|_| CoreStopped)?;
        result.await.map_err(|_| CoreStopped)
    }
}

impl tower::Service<ClientRequest> for CoreHandle {
    type Response = Answer;
    type Error = CoreStopped;
    type Future = BoxFuture<'static, Result<Answer, CoreStopped>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CoreStopped>> {
        Poll::Ready(if self.messages.is_closed() { Err(CoreStopped) } else { Ok(()) })
    }

    fn call(&mut self, request: ClientRequest) -> Self::Future {
        let id = RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let (messages, client_disconnects) = (self.messages.clone(), self.client_disconnects.clone());
        Box::pin(async move {
            let (reply, mut answer) = oneshot::channel();
            let cancel = CancellationToken::new();
            let upload = request.node_request.upload.clone();
            let message = CoreMessage::RequestReceived { id, request, reply, cancel: cancel.clone() };
            messages.send(message).await.map_err(|_| CoreStopped)?;
            // If this future is dropped before the answer, the client has disconnected.
            let guard = CancelOnDrop::new(client_disconnects, id, cancel);
            if let Some(upload) = upload {
                tokio::select! {
                    biased;
                    answer = &mut answer => {
                        guard.disarm();
                        return answer.map_err(|_| CoreStopped);
                    }
                    deadline = upload.deadline() => {
                        let message = CoreMessage::DeadlineKnown { id, deadline };
                        messages.send(message).await.map_err(|_| CoreStopped)?;
                    }
                }
            }
            let answer = answer.await.map_err(|_| CoreStopped);
            guard.disarm();
            answer
        })
    }
}
