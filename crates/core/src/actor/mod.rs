//! The module's actor: drives it as the adapter does, and sees to it that each call gets one answer.
//!
//! The actor's state and its loop are here; what it does is in the submodules, one for each concern.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::client_disconnects::ClientDisconnects;
use crate::client_request_ids::ClientRequestIds;
use crate::endpoint_lease::{EndpointLease, LeaseExpiry};
use crate::message::{CoreMessage, CoreStatus, NodeConnector, Urgent};
use crate::observe::{Observation, Observer, TreatmentCause};
use crate::stall_detection::{take_pending_updates, StallDetector};
use crate::{Answer, Clock, Counters, Draining, ForwardedCommand, WrittenAttempts};
use heathward_policy::settings::Deployment;
use heathward_policy::{Action, Event, Micros, RequestId, Scheduler, SettingsError};

mod attempts;
mod commands;
mod endpoint_updates;
mod handle;
mod handover;
mod nodes;
mod observation;
mod requests;
mod settings;
mod zones;

pub use attempts::report_attempt_end;
pub use handle::{CoreHandle, CoreStopped};

use nodes::Nodes;
use requests::Open;

/// Messages that wait for the module's actor at most; whoever brings more waits.
const MAILBOX: usize = 4096;

/// Messages from discovery that wait at most; its actor waits with more.
const DISCOVERY_MAILBOX: usize = 16;

/// Staff's commands and calls that wait at most.
const COMMANDS: usize = 64;

/// The module's clock counts whole microseconds: its deadline may come this much before the call's.
const ROUNDING: Duration = Duration::from_millis(1);

/// Starts the module's actor on the current runtime.
pub fn start_core(
    deployment: Arc<Deployment>,
    seed: u64,
    dial: NodeConnector,
) -> Result<CoreHandle, SettingsError> {
    let scheduler = Scheduler::new(deployment.settings.clone(), seed)?;
    let (mailbox, messages) = mpsc::channel(MAILBOX);
    let (urgent, commands) = mpsc::channel(COMMANDS);
    let (discovery, from_discovery) = mpsc::channel(DISCOVERY_MAILBOX);
    let (draining, departures) = (Arc::new(watch::channel(Draining::default()).0), Arc::default());
    let (status, watched) = watch::channel(CoreStatus::default());
    let start = Instant::now();
    let expiry = LeaseExpiry::new(start);
    let (deployment, settings) = watch::channel(deployment);
    let mut actor = Actor {
        scheduler,
        lease: EndpointLease::new(start),
        expiry,
        stale: false,
        deployment,
        clock: Clock::start(),
        dial,
        mailbox: mailbox.downgrade(),
        departures: Arc::clone(&departures),
        status,
        draining: draining.clone(),
        partner: None,
        open: HashMap::new(),
        calls: ClientRequestIds::default(),
        limits: BTreeSet::new(),
        wakes: BTreeSet::new(),
        events: VecDeque::new(),
        nodes: Nodes::default(),
        revision: 0,
        last: None,
        suspended: BTreeSet::new(),
        counters: Counters::default(),
        tries: WrittenAttempts::default(),
        observer: None,
        tick: Instant::now(),
        arriving: None,
    };
    actor.rule();
    actor.stale = !actor.lease.is_valid(start);
    tokio::spawn(actor.run(messages, from_discovery, commands));
    Ok(CoreHandle {
        mailbox,
        discovery,
        urgent,
        departures,
        next: Arc::new(AtomicU64::new(1)),
        status: watched,
        draining,
        deployment: settings,
    })
}

/// The one owner of the module and of all state that belongs to it; see the submodules for what it does.
struct Actor {
    scheduler: Scheduler,
    /// The lease on the list, its expiry for whoever writes, and whether it does not hold now.
    lease: EndpointLease,
    expiry: LeaseExpiry,
    stale: bool,
    deployment: watch::Sender<Arc<Deployment>>,
    clock: Clock,
    dial: NodeConnector,
    mailbox: mpsc::WeakSender<CoreMessage>,
    departures: Arc<ClientDisconnects>,
    status: watch::Sender<CoreStatus>,
    draining: Arc<watch::Sender<Draining>>,
    /// Commands for the other process, while there is one.
    partner: Option<mpsc::Sender<ForwardedCommand>>,
    open: HashMap<RequestId, Open>,
    /// The clients' ids of these.
    calls: ClientRequestIds,
    /// When each request that owes an answer is ended at the latest.
    limits: BTreeSet<(Instant, RequestId)>,
    wakes: BTreeSet<(Micros, u64)>,
    /// Events that the module's own actions have brought about.
    events: VecDeque<Event>,
    nodes: Nodes,
    /// The list's version.
    revision: u64,
    /// The last moment for an answer, once the program ends.
    last: Option<Instant>,
    /// Ids of nodes that are out by hand, also while no list names them.
    suspended: BTreeSet<Box<str>>,
    counters: Counters,
    tries: WrittenAttempts,
    observer: Option<Box<dyn Observer>>,
    /// When the observer is told next that time has passed.
    tick: Instant,
    /// The request that the module is being told of.
    arriving: Option<RequestId>,
}

impl Actor {
    async fn run(
        mut self,
        mut messages: mpsc::Receiver<CoreMessage>,
        mut discovery: mpsc::Receiver<CoreMessage>,
        mut commands: mpsc::Receiver<Urgent>,
    ) {
        let mut stalls = StallDetector::new(Instant::now());
        loop {
            let wake = self.wakes.first().map(|(at, _)| self.clock.instant_at(*at));
            let limit = self.limits.first().map(|(at, _)| *at);
            let tick = self.observer.as_ref().map(|_| self.tick);
            let list = self.lease.next_change(Instant::now());
            let next = wake.into_iter().chain(limit).chain(tick).chain(list).min();
            let (mut urgent, mut message) = (None, None);
            tokio::select! {
                biased;
                Some(command) = commands.recv() => urgent = Some(command),
                Some(told) = discovery.recv() => self.take(told),
                () = self.departures.notified() => {}
                told = messages.recv() => match told {
                    Some(told) => message = Some(told),
                    None => return,
                },
                () = tokio::time::sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
            if stalls.record_turn(Instant::now()) {
                take_pending_updates(&mut discovery).await.into_iter().for_each(|told| self.take(told));
                self.check_list(Instant::now());
            }
            // First of all who has left: nothing is decided for them.
            self.departures.take_all().into_iter().for_each(|id| self.depart(id));
            urgent.into_iter().for_each(|command| self.urgent(command));
            message.into_iter().for_each(|message| self.take(message));
            self.check_list(Instant::now());
            let now = self.ring();
            self.pass_time(now);
            let open = self.limits.len();
            self.status.send_if_modified(|s| std::mem::replace(&mut s.open_requests, open) != open);
        }
    }

    fn take(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::RequestReceived { cancel, .. } if cancel.is_cancelled() => {
                // Its client left while it waited here: the module never hears of it.
                self.counters.requests_received += 1;
                self.counters.client_disconnects += 1;
            }
            CoreMessage::RequestReceived { id, request: call, reply, cancel } => {
                self.arrive(id, call, reply, cancel)
            }
            CoreMessage::MalformedRequest => self.counters.malformed_requests += 1,
            CoreMessage::AttemptEnded(ended) => self.ended(ended),
            CoreMessage::EndpointUpdate(update) => self.apply_update(update),
            CoreMessage::DiscoveryContact(at) => self.lease.record_contact(at),
            CoreMessage::WatchClosed => self.lease.record_watch_closed(),
            CoreMessage::DiscoveryCallFailed => self.lease.record_failed_call(),
            CoreMessage::DiscoveryUnanswered(at) => self.lease.record_unanswered_call(at),
            CoreMessage::DiscoveryMoved(at) => self.lease.record_discovery_move(at),
            CoreMessage::UpdateSettings(deployment, reply) => {
                // Whoever asked may have left.
                let _ = reply.send(self.resettle(deployment));
            }
            CoreMessage::ShutdownDeadline(last) => self.end_by(last),
            CoreMessage::ConfigurationReloaded(taken) => {
                self.counters.count_configuration_reload(taken);
                self.note(Observation::ConfigurationReloaded { applied: taken });
            }
            CoreMessage::SetObserver(observer, reply) => {
                self.observe(observer);
                // Whoever asked may have left.
                let _ = reply.send(());
            }
        }
    }

    fn urgent(&mut self, urgent: Urgent) {
        match urgent {
            Urgent::Command(command, from_partner, reply) => self.carry_out(command, from_partner, reply),
            Urgent::HandOver(reply) => {
                // The other process may have ended meanwhile.
                let _ = reply.send(self.hand_over());
            }
            Urgent::TakeOver(state, reply) => {
                let _ = reply.send(self.take_over(state));
            }
            Urgent::Metrics(reply) => {
                let _ = reply.send(self.metrics());
            }
        }
    }

    /// Fires the timers that are due, and ends what the module has left open past its time.
    /// Gives back when that was.
    fn ring(&mut self) -> Instant {
        let now = Instant::now();
        while let Some(&(at, token)) = self.wakes.first().filter(|(at, _)| *at <= self.clock.micros_at(now)) {
            self.wakes.remove(&(at, token));
            self.feed(Event::TimerFired { token });
        }
        self.end_overdue(now);
        now
    }

    /// Tells the module, and does what it asks.
    fn feed(&mut self, event: Event) {
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let at = Instant::now();
            let now = self.clock.micros_at(at);
            let ended = match &event {
                Event::AttemptEnded(outcome) => Some((outcome.node, outcome.end)),
                _ => None,
            };
            self.scheduler.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            if let Some((node, end)) = ended {
                self.check_node(node, at, TreatmentCause::AttemptEnded(end));
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, node, timeout: give_up } => self.send(request, node, give_up),
            Action::Shed { request, retry_after } => {
                self.settle(request, Some(Answer::Shed { retry_after }));
            }
            Action::Fail { request } => {
                let Some(open) = self.open.get(&request) else { return };
                let ran = open.ran.is_some() || open.out.is_some();
                let late = Instant::now() + ROUNDING >= open.call.deadline;
                self.settle(request, Some(Answer::Failed { possibly_executed: ran, deadline_passed: late }));
            }
            Action::SetTimer { token, at } => {
                self.wakes.insert((at, token));
            }
            // Discovery's actor follows the list by itself, whatever the mode.
            Action::Subscribe => {}
            Action::Log { text, node } => {
                let node = node.and_then(|n| self.nodes.get(n)).map_or("", |n| &n.member.id);
                tracing::info!(node, "{text}");
            }
        }
    }
}
