//! The module's actor: drives it as the adapter does, and sees to it that each call gets one answer.
//!
//! The actor's state and its loop are here; what it does is in the submodules, one for each concern.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::body::Ids;
use crate::cancel::Departures;
use crate::list_lease::{Expiry, ListLease};
use crate::message::{Dial, Message, Status, Urgent};
use crate::observe::{Note, Observer, Why};
use crate::stalls::{waiting_updates, Stalls};
use crate::{Answer, Clock, Counters, Draining, Forwarded, Tries};
use heathward_policy::settings::Deployment;
use heathward_policy::{Action, Event, Micros, RequestId, Scheduler, SettingsError};

mod attempts;
mod commands;
mod handle;
mod handover;
mod list_updates;
mod nodes;
mod requests;
mod settings;
mod status;
mod zones;

pub use attempts::report;
pub use handle::{Core, Gone};

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
pub fn start(deployment: Arc<Deployment>, seed: u64, dial: Dial) -> Result<Core, SettingsError> {
    let scheduler = Scheduler::new(deployment.settings.clone(), seed)?;
    let (mailbox, messages) = mpsc::channel(MAILBOX);
    let (urgent, commands) = mpsc::channel(COMMANDS);
    let (discovery, from_discovery) = mpsc::channel(DISCOVERY_MAILBOX);
    let (draining, departures) = (Arc::new(watch::channel(Draining::default()).0), Arc::default());
    let (status, watched) = watch::channel(Status::default());
    let start = Instant::now();
    let expiry = Expiry::new(start);
    let (deployment, settings) = watch::channel(deployment);
    let mut actor = Actor {
        scheduler,
        lease: ListLease::new(start),
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
        calls: Ids::default(),
        limits: BTreeSet::new(),
        wakes: BTreeSet::new(),
        events: VecDeque::new(),
        nodes: Nodes::default(),
        revision: 0,
        last: None,
        suspended: BTreeSet::new(),
        counters: Counters::default(),
        tries: Tries::default(),
        observer: None,
        tick: Instant::now(),
        arriving: None,
    };
    actor.rule();
    actor.stale = !actor.lease.holds(start);
    tokio::spawn(actor.run(messages, from_discovery, commands));
    Ok(Core {
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
    lease: ListLease,
    expiry: Expiry,
    stale: bool,
    deployment: watch::Sender<Arc<Deployment>>,
    clock: Clock,
    dial: Dial,
    mailbox: mpsc::WeakSender<Message>,
    departures: Arc<Departures>,
    status: watch::Sender<Status>,
    draining: Arc<watch::Sender<Draining>>,
    /// Commands for the other process, while there is one.
    partner: Option<mpsc::Sender<Forwarded>>,
    open: HashMap<RequestId, Open>,
    /// The clients' ids of these.
    calls: Ids,
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
    tries: Tries,
    observer: Option<Box<dyn Observer>>,
    /// When the observer is told next that time has passed.
    tick: Instant,
    /// The request that the module is being told of.
    arriving: Option<RequestId>,
}

impl Actor {
    async fn run(
        mut self,
        mut messages: mpsc::Receiver<Message>,
        mut discovery: mpsc::Receiver<Message>,
        mut commands: mpsc::Receiver<Urgent>,
    ) {
        let mut stalls = Stalls::new(Instant::now());
        loop {
            let wake = self.wakes.first().map(|(at, _)| self.clock.instant(*at));
            let limit = self.limits.first().map(|(at, _)| *at);
            let tick = self.observer.as_ref().map(|_| self.tick);
            let list = self.lease.changes(Instant::now());
            let next = wake.into_iter().chain(limit).chain(tick).chain(list).min();
            let (mut urgent, mut message) = (None, None);
            tokio::select! {
                biased;
                Some(command) = commands.recv() => urgent = Some(command),
                Some(told) = discovery.recv() => self.take(told),
                () = self.departures.told() => {}
                told = messages.recv() => match told {
                    Some(told) => message = Some(told),
                    None => return,
                },
                () = tokio::time::sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
            if stalls.stood(Instant::now()) {
                waiting_updates(&mut discovery).await.into_iter().for_each(|told| self.take(told));
                self.check_list(Instant::now());
            }
            // First of all who has left: nothing is decided for them.
            self.departures.take().into_iter().for_each(|id| self.depart(id));
            urgent.into_iter().for_each(|command| self.urgent(command));
            message.into_iter().for_each(|message| self.take(message));
            self.check_list(Instant::now());
            let now = self.ring();
            self.pass_time(now);
            let open = self.limits.len();
            self.status.send_if_modified(|s| std::mem::replace(&mut s.open, open) != open);
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Call { cancel, .. } if cancel.is_cancelled() => {
                // Its client left while it waited here: the module never hears of it.
                self.counters.taken += 1;
                self.counters.gone += 1;
            }
            Message::Call { id, call, reply, cancel } => self.arrive(id, call, reply, cancel),
            Message::Malformed => self.counters.malformed += 1,
            Message::Ended(ended) => self.ended(ended),
            Message::Update(update) => self.apply_update(update),
            Message::Heard(at) => self.lease.heard(at),
            Message::Unwatched => self.lease.unwatched(),
            Message::CallFailed => self.lease.call_failed(),
            Message::Silent(at) => self.lease.silent(at),
            Message::Moved(at) => self.lease.moved(at),
            Message::Settings(deployment, reply) => {
                // Whoever asked may have left.
                let _ = reply.send(self.resettle(deployment));
            }
            Message::EndBy(last) => self.end_by(last),
            Message::Configured(taken) => {
                let (applied, rejected) = &mut self.counters.configured;
                *if taken { applied } else { rejected } += 1;
                self.note(Note::Reloaded(taken));
            }
            Message::Observe(observer, reply) => {
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
        while let Some(&(at, token)) = self.wakes.first().filter(|(at, _)| *at <= self.clock.at(now)) {
            self.wakes.remove(&(at, token));
            self.feed(Event::Wake { token });
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
            let now = self.clock.at(at);
            let ended = match &event {
                Event::Outcome(outcome) => Some((outcome.node, outcome.end)),
                _ => None,
            };
            self.scheduler.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            if let Some((node, end)) = ended {
                self.check_node(node, at, Why::Attempt(end));
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, node, give_up } => self.send(request, node, give_up),
            Action::Refuse { request, retry_after } => {
                self.settle(request, Some(Answer::Refused { retry_after }));
            }
            Action::Fail { request } => {
                let Some(open) = self.open.get(&request) else { return };
                let ran = open.ran.is_some() || open.out.is_some();
                let late = Instant::now() + ROUNDING >= open.call.deadline;
                self.settle(request, Some(Answer::Failed { ran, late }));
            }
            Action::Wake { token, at } => {
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
