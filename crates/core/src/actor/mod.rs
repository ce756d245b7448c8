//! The actor that drives the decision module, called the policy here, and makes sure that each request gets
//! exactly one answer.
//!
//! This file has the actor's state and its loop. The types that own parts of the state are in
//! [`policy_driver`], [`open_requests`], [`nodes`], [`shared_lease`], [`peer_process`], [`observer_slot`]
//! and [`published`]. The other submodules implement the actor's handlers, one submodule for each concern.

use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::client_disconnects::ClientDisconnects;
use crate::memory::MemoryBudget;
use crate::message::{ControlMessage, CoreMessage, NodeConnector};
use crate::observe::Observation;
use crate::stall_detection::{take_pending_updates, StallDetector};
use crate::{Clock, Counters, WrittenAttempts};
use heathward_policy::settings::Deployment;
use heathward_policy::{RequestId, Scheduler, SettingsError};

mod attempts;
mod commands;
mod decisions;
mod endpoint_updates;
mod handle;
mod handover;
mod node_connections;
mod nodes;
mod observation;
mod observer_slot;
mod open_requests;
mod peer_process;
mod policy_driver;
mod published;
mod requests;
mod settings;
mod shared_lease;
mod unserved_log;
mod zones;

pub use handle::{CoreHandle, CoreStopped};

use node_connections::NodeConnections;
use nodes::NodeTable;
use observer_slot::ObserverSlot;
use open_requests::OpenRequests;
use peer_process::PeerProcess;
use policy_driver::PolicyDriver;
use published::PublishedState;
use shared_lease::SharedLease;
use unserved_log::UnservedLog;

/// Capacity of the channel for requests, ends of attempts and settings; a sender waits while it is full.
const REQUEST_CHANNEL_CAPACITY: usize = 4096;

/// Capacity of the channel for messages from discovery; discovery waits while it is full.
const DISCOVERY_CHANNEL_CAPACITY: usize = 16;

/// Capacity of the channel for control messages; an operator's connection waits while it is full.
const CONTROL_CHANNEL_CAPACITY: usize = 64;

/// Starts the core's actor on the current tokio runtime, with `seed` for the random draws of the policy.
///
/// The spawned task is the only owner of the core's state. It is never aborted or joined: it ends once all
/// [`CoreHandle`]s and all senders that `connect_node` was given are dropped.
///
/// # Errors
///
/// A [`SettingsError`] if the policy does not accept the settings.
///
/// # Panics
///
/// If called outside of a tokio runtime.
pub fn start_core(
    deployment: Arc<Deployment>,
    seed: u64,
    connect_node: NodeConnector,
) -> Result<CoreHandle, SettingsError> {
    let scheduler = Scheduler::new(deployment.settings.clone(), seed)?;
    let (messages, message_receiver) = mpsc::channel(REQUEST_CHANNEL_CAPACITY);
    let (control, control_receiver) = mpsc::channel(CONTROL_CHANNEL_CAPACITY);
    let (discovery, discovery_receiver) = mpsc::channel(DISCOVERY_CHANNEL_CAPACITY);
    let client_disconnects = Arc::<ClientDisconnects>::default();
    let now = Instant::now();
    let lease = SharedLease::new(now, &deployment);
    let published = PublishedState::new(deployment);
    let memory = MemoryBudget::default();
    let actor = Actor {
        policy: PolicyDriver::new(scheduler, Clock::start()),
        connections: NodeConnections::new(connect_node, messages.downgrade()),
        client_disconnects: Arc::clone(&client_disconnects),
        requests: OpenRequests::default(),
        arriving_request: None,
        nodes: NodeTable::default(),
        lease,
        peer_process: PeerProcess::default(),
        counters: Counters::default(),
        written_attempts: WrittenAttempts::default(),
        memory: memory.clone(),
        observer: ObserverSlot::new(now),
        unserved: UnservedLog::new(now),
        published,
    };
    let handle = CoreHandle {
        messages,
        discovery,
        control,
        client_disconnects,
        next_request_id: Arc::new(AtomicU64::new(1)),
        memory,
        status: actor.published.subscribe_status(),
        draining: actor.published.draining_sender(),
        deployment: actor.published.subscribe_deployment(),
    };
    let inbox =
        Inbox { messages: message_receiver, discovery: discovery_receiver, control: control_receiver };
    tokio::spawn(actor.run(inbox));
    Ok(handle)
}

/// The actor, which is the only owner of the policy and of all state around it.
struct Actor {
    policy: PolicyDriver,
    connections: NodeConnections,
    /// Shared with the handles, which record the requests whose clients have disconnected.
    client_disconnects: Arc<ClientDisconnects>,
    requests: OpenRequests,
    /// The request whose arrival the policy is handling at this moment. If that request is shed before the
    /// policy has finished, it was never queued.
    arriving_request: Option<RequestId>,
    nodes: NodeTable,
    lease: SharedLease,
    peer_process: PeerProcess,
    counters: Counters,
    /// Shared with the attempts, which are counted when their last byte is written.
    written_attempts: WrittenAttempts,
    /// Shared with the handles and the attempts, which reserve memory for bodies.
    memory: MemoryBudget,
    observer: ObserverSlot,
    unserved: UnservedLog,
    published: PublishedState,
}

/// The receivers of the actor's channels.
struct Inbox {
    messages: mpsc::Receiver<CoreMessage>,
    discovery: mpsc::Receiver<CoreMessage>,
    control: mpsc::Receiver<ControlMessage>,
}

/// The work of one turn of the actor's loop, after pending updates of the endpoint list have been applied.
enum TurnWork {
    Control(ControlMessage),
    Message(CoreMessage),
    /// No message, only the work that every turn does: a client has disconnected, a timer is due, or a
    /// message from discovery has been handled.
    Housekeeping,
}

impl Actor {
    async fn run(mut self, mut inbox: Inbox) {
        let mut stall_detector = StallDetector::new(Instant::now());
        while let Some(work) = self.wait_for_turn(&mut inbox).await {
            if stall_detector.record_turn(Instant::now()) {
                for message in take_pending_updates(&mut inbox.discovery).await {
                    self.handle_message(message);
                }
                self.check_lease(Instant::now());
            }
            self.handle_turn(work);
        }
    }

    /// Waits until there is work for the next turn of the loop. Control messages come first, then messages
    /// from discovery. The latter are handled here, before anything else in the turn, so that nothing is
    /// sent to a node that has just started draining. Returns `None` once all senders of requests are
    /// dropped.
    async fn wait_for_turn(&mut self, inbox: &mut Inbox) -> Option<TurnWork> {
        let timer = self.next_timer();
        tokio::select! {
            biased;
            Some(message) = inbox.control.recv() => Some(TurnWork::Control(message)),
            Some(message) = inbox.discovery.recv() => {
                self.handle_message(message);
                Some(TurnWork::Housekeeping)
            }
            () = self.client_disconnects.notified() => Some(TurnWork::Housekeeping),
            message = inbox.messages.recv() => message.map(TurnWork::Message),
            () = tokio::time::sleep_until(timer.unwrap_or_else(Instant::now)), if timer.is_some() => {
                Some(TurnWork::Housekeeping)
            }
        }
    }

    /// Returns the next instant at which the passage of time alone requires a turn.
    fn next_timer(&self) -> Option<Instant> {
        let timers = [
            self.policy.next_timer(),
            self.requests.next_overdue(),
            self.observer.next_tick(),
            self.lease.next_change(Instant::now()),
        ];
        timers.into_iter().flatten().min()
    }

    fn handle_turn(&mut self, work: TurnWork) {
        // Disconnected clients come first, so that nothing is decided for them.
        for request in self.client_disconnects.take_all() {
            self.client_disconnected(request);
        }
        match work {
            TurnWork::Control(message) => self.handle_control(message),
            TurnWork::Message(message) => self.handle_message(message),
            TurnWork::Housekeeping => {}
        }
        self.check_lease(Instant::now());
        let now = Instant::now();
        self.fire_policy_timers(now);
        self.answer_overdue(now);
        self.tick_observer(now);
        self.published.set_open_requests(self.requests.unanswered_count());
    }

    fn handle_message(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::RequestReceived { cancel, .. } if cancel.is_cancelled() => {
                // The client disconnected while the request waited in the channel: the policy never sees it.
                self.counters.requests_received += 1;
                self.counters.client_disconnects += 1;
            }
            CoreMessage::RequestReceived { id, request, reply, cancel } => {
                self.receive_request(id, request, reply, cancel);
            }
            CoreMessage::DeadlineKnown { id, deadline } => self.requests.set_deadline(id, deadline),
            CoreMessage::MalformedRequest => self.counters.malformed_requests += 1,
            CoreMessage::AttemptEnded(attempt) => self.attempt_ended(attempt),
            CoreMessage::EndpointUpdate(update) => self.apply_endpoint_update(update),
            CoreMessage::DiscoveryContact(at) => self.lease.get_mut().record_contact(at),
            CoreMessage::WatchClosed => self.lease.get_mut().record_watch_closed(),
            CoreMessage::DiscoveryCallFailed => self.lease.get_mut().record_failed_call(),
            CoreMessage::DiscoveryUnanswered(at) => self.lease.get_mut().record_unanswered_call(at),
            CoreMessage::DiscoveryMoved(at) => self.lease.get_mut().record_discovery_move(at),
            CoreMessage::UpdateSettings { deployment, reply } => {
                // The requester may have dropped the receiver.
                let _ = reply.send(self.update_settings(deployment));
            }
            CoreMessage::ShutdownDeadline(deadline) => self.set_shutdown_deadline(deadline),
            CoreMessage::ConfigurationReloaded { applied } => {
                self.counters.count_configuration_reload(applied);
                self.observer.observe(Observation::ConfigurationReloaded { applied });
            }
            CoreMessage::SetObserver { observer, reply } => {
                self.set_observer(observer);
                // The requester may have dropped the receiver.
                let _ = reply.send(());
            }
        }
    }

    /// Handles a control message. The reply is discarded if its receiver was dropped.
    fn handle_control(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::RunCommand { command, from_peer_process, reply } => {
                self.run_command(command, from_peer_process, reply);
            }
            ControlMessage::HandOver(reply) => _ = reply.send(self.hand_over()),
            ControlMessage::TakeOver { state, reply } => _ = reply.send(self.take_over(state)),
            ControlMessage::AttemptedByPeer(ids) => self.requests.add_executed_client_ids(ids),
            ControlMessage::Metrics(reply) => _ = reply.send(self.metrics()),
        }
    }
}
