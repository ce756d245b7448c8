//! The handle by which fronts, discovery and operations reach the actor: a tower service for calls.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::client_disconnects::{CancelOnDrop, ClientDisconnects};
use crate::message::{CoreMessage, CoreStatus, Urgent};
use crate::observe::Observer;
use crate::{
    Answer, ClientRequest, CommandError, CoreMetrics, Draining, ForwardedCommand, HandoverState,
    OperatorCommand,
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

/// A front's way to the core.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    pub(super) mailbox: mpsc::Sender<CoreMessage>,
    pub(super) discovery: mpsc::Sender<CoreMessage>,
    pub(super) urgent: mpsc::Sender<Urgent>,
    pub(super) departures: Arc<ClientDisconnects>,
    pub(super) next: Arc<AtomicU64>,
    pub(super) status: watch::Receiver<CoreStatus>,
    pub(super) draining: Arc<watch::Sender<Draining>>,
    pub(super) deployment: watch::Receiver<Arc<Deployment>>,
}

impl CoreHandle {
    /// The mailbox for discovery. What comes there passes ahead of requests and their ends: a drain must not
    /// wait behind what would be sent meanwhile.
    pub fn discovery_sender(&self) -> mpsc::Sender<CoreMessage> {
        self.discovery.clone()
    }

    /// How the core stands now.
    pub fn status(&self) -> CoreStatus {
        *self.status.borrow()
    }

    /// Whether clients are to be sent away.
    pub fn draining(&self) -> watch::Receiver<Draining> {
        self.draining.subscribe()
    }

    /// Another process of this scheduler takes what comes from now on, or no longer does.
    pub fn set_replaced(&self, replaced: bool) {
        set_draining(&self.draining, |draining| draining.replaced = replaced);
    }

    /// The state for a process that takes over, and the commands that follow it.
    pub async fn hand_over(&self) -> Option<(HandoverState, mpsc::Receiver<ForwardedCommand>)> {
        let (reply, answer) = oneshot::channel();
        self.urgent.send(Urgent::HandOver(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Goes on from the state of the process before this one; gives back the commands that it is to be told.
    pub async fn take_over(&self, state: HandoverState) -> Option<mpsc::Receiver<ForwardedCommand>> {
        let (reply, answer) = oneshot::channel();
        self.urgent.send(Urgent::TakeOver(state, reply)).await.ok()?;
        answer.await.ok()
    }

    /// The settings as they stand now.
    pub fn deployment(&self) -> Arc<Deployment> {
        self.deployment.borrow().clone()
    }

    /// Goes on with other settings, or with the old ones where these make no sense.
    pub async fn update_settings(&self, deployment: Arc<Deployment>) -> Result<(), ConfigError> {
        let gone = || ConfigError { field: "settings".to_owned(), reason: CoreStopped.to_string() };
        let (reply, answer) = oneshot::channel();
        self.mailbox.send(CoreMessage::UpdateSettings(deployment, reply)).await.map_err(|_| gone())?;
        answer.await.unwrap_or_else(|_| Err(gone()))
    }

    /// The program ends then: no request gets more time than that, whether it is open or comes from now on.
    pub async fn set_shutdown_deadline(&self, last: Instant) {
        // A core that has stopped has nothing open.
        let _ = self.mailbox.send(CoreMessage::ShutdownDeadline(last)).await;
    }

    /// Has records kept by that, or not at all, once it returns. The one before is dropped.
    pub async fn set_observer(&self, observer: Option<Box<dyn Observer>>) {
        let (reply, done) = oneshot::channel();
        // A core that has stopped has nothing to tell.
        if self.mailbox.send(CoreMessage::SetObserver(observer, reply)).await.is_ok() {
            let _ = done.await;
        }
    }

    /// Counts a request that a front turned away.
    pub fn count_malformed_request(&self) {
        // Only a count: not worth waiting for when the mailbox is full.
        let _ = self.mailbox.try_send(CoreMessage::MalformedRequest);
    }

    /// Counts a configuration that was read again.
    pub fn count_configuration_reload(&self, applied: bool) {
        // As above.
        let _ = self.mailbox.try_send(CoreMessage::ConfigurationReloaded(applied));
    }

    /// The metrics now, ahead of whatever waits; `None` without a core.
    pub async fn metrics(&self) -> Option<CoreMetrics> {
        let (reply, answer) = oneshot::channel();
        self.urgent.send(Urgent::Metrics(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Carries a command of staff out, ahead of whatever waits; once it is answered, it holds, in both
    /// processes where there are two. A command `from_partner` was carried out by the other one.
    pub async fn run_command(
        &self,
        command: OperatorCommand,
        from_partner: bool,
    ) -> Result<Result<(), CommandError>, CoreStopped> {
        let (reply, answer) = oneshot::channel();
        self.urgent.send(Urgent::Command(command, from_partner, reply)).await.map_err(|_| CoreStopped)?;
        answer.await.map_err(|_| CoreStopped)
    }
}

impl tower::Service<ClientRequest> for CoreHandle {
    type Response = Answer;
    type Error = CoreStopped;
    type Future = BoxFuture<'static, Result<Answer, CoreStopped>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CoreStopped>> {
        Poll::Ready(if self.mailbox.is_closed() { Err(CoreStopped) } else { Ok(()) })
    }

    fn call(&mut self, call: ClientRequest) -> Self::Future {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let (mailbox, departures) = (self.mailbox.clone(), self.departures.clone());
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            let cancel = CancellationToken::new();
            let told = CoreMessage::RequestReceived { id, request: call, reply, cancel: cancel.clone() };
            mailbox.send(told).await.map_err(|_| CoreStopped)?;
            // Whoever drops this future has gone away before the answer.
            let client = CancelOnDrop::new(departures, id, cancel);
            let answer = answer.await.map_err(|_| CoreStopped);
            client.disarm();
            answer
        })
    }
}

/// Changes why clients are sent away; whoever watches is told only of a difference.
pub(super) fn set_draining(draining: &watch::Sender<Draining>, change: impl FnOnce(&mut Draining)) {
    draining.send_if_modified(|draining| {
        let before = *draining;
        change(draining);
        before != *draining
    });
}
