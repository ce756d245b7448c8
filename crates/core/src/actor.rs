//! The module's actor: drives it as the adapter does, and sees to it that each call gets one answer.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body::{Ids, OpenId};
use super::cancel::{CancelOnDrop, Departures};
use super::freshness::{self, Freshness};
use super::observe::{self, Note, Observer, Treated, Why};
use super::stalls::{news_that_waits, Stalls};
use super::{
    Answer, Attempt, Call, Clock, Counters, DrainGate, Draining, Ended, Figures, Forwarded, Member, News,
    NotDone, Order, Passing, Reply, State, Tries, Upload,
};
use heathward_module::settings::{ConfigError, Deployment};
use heathward_module::{
    Action, Effect, End, Event, ListEntry, ListKind, ListMode, Micros, NodeId, NodeState, Outcome, Request,
    RequestId, Scheduler, SettingsError,
};

/// Messages that wait for the module's actor at most; whoever brings more waits.
const MAILBOX: usize = 4096;
/// News of nodes that waits at most; discovery's actor waits with more.
const NEWS: usize = 16;
/// Staff's orders and calls that wait at most.
const ORDERS: usize = 64;
/// Nodes that are out by hand at most, whether listed or not.
const SUSPENDED: usize = 1024;
/// The module answers at the deadline; whatever it has left open this much later is ended here. Well inside
/// the slack that the platform grants, and longer than a timer is late.
const BACKSTOP: Duration = Duration::from_millis(5);

/// What is told by half of a request's time leaves so long before, for the way back.
const EARLY: Duration = Duration::from_millis(10);

/// The module's clock counts whole microseconds: its deadline may come this much before the call's.
const ROUNDING: Duration = Duration::from_millis(1);

/// A node that is no longer listed keeps its number for so long: one that comes back is the same to the
/// module, which forgets it as late.
const FORGET: Duration = Duration::from_secs(60);

/// How often an observer is told that time has passed.
const TICK: Duration = Duration::from_millis(100);

/// What the module's actor is told.
pub enum Message {
    /// A front has taken a request.
    Call {
        /// The core's own id for it.
        id: RequestId,
        /// The request.
        call: Call,
        /// Where its one answer goes.
        reply: oneshot::Sender<Answer>,
        /// Cancelled once nobody waits for that any more.
        cancel: CancellationToken,
    },
    /// A front turned a request away that made no sense.
    Malformed,
    /// An attempt has ended.
    Ended(Ended),
    /// Discovery has news.
    News(News),
    /// A line came from discovery then, be it an empty one; what it told has been told here. Or its agent
    /// took a call then and had nothing more to tell.
    Heard(Instant),
    /// The watch at a service that all ask has ended, or a call there has failed, and no watch is silent.
    Unwatched,
    /// Discovery's agent was asked, had time to answer, and has not by then.
    Silent(Instant),
    /// Discovery is at another address since then.
    Moved(Instant),
    /// The deployment's settings have changed; the reply says whether they stand.
    Settings(Arc<Deployment>, oneshot::Sender<Result<(), ConfigError>>),
    /// The program ends: every answer has to be there by then.
    EndBy(Instant),
    /// A configuration was read again: it is gone by, or not taken.
    Configured(bool),
    /// Records are kept by that from now on, or not at all; the reply says that it is so.
    Observe(Option<Box<dyn Observer>>, oneshot::Sender<()>),
}

/// What passes ahead of all messages.
enum Urgent {
    /// From staff here, or from the other process, which is not told of it again.
    Order(Order, bool, oneshot::Sender<Result<(), NotDone>>),
    HandOver(oneshot::Sender<(State, mpsc::Receiver<Forwarded>)>),
    TakeOver(State, oneshot::Sender<mpsc::Receiver<Forwarded>>),
    Figures(oneshot::Sender<Figures>),
}

/// How the core stands, for whoever watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The module runs and has a list of nodes.
    pub ready: bool,
    /// Requests without an answer.
    pub open: usize,
    /// Nothing is sent, as discovery was heard last then.
    pub stale: Option<Instant>,
}

/// The core has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

impl fmt::Display for Gone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the core has stopped")
    }
}

impl std::error::Error for Gone {}

/// Opens the way to a node: the mailbox of an actor that reports each end to the core.
pub type Dial = Box<dyn Fn(&Member, mpsc::Sender<Message>) -> mpsc::Sender<Attempt> + Send>;

/// A front's way to the core.
#[derive(Clone, Debug)]
pub struct Core {
    mailbox: mpsc::Sender<Message>,
    news: mpsc::Sender<Message>,
    urgent: mpsc::Sender<Urgent>,
    departures: Arc<Departures>,
    next: Arc<AtomicU64>,
    status: watch::Receiver<Status>,
    draining: Arc<watch::Sender<Draining>>,
    deployment: watch::Receiver<Arc<Deployment>>,
}

impl Core {
    /// The mailbox for discovery. What comes there passes ahead of requests and their ends: a drain must not
    /// wait behind what would be sent meanwhile.
    pub fn news(&self) -> mpsc::Sender<Message> {
        self.news.clone()
    }

    /// How the core stands now.
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }

    /// Whether clients are to be sent away.
    pub fn draining(&self) -> watch::Receiver<Draining> {
        self.draining.subscribe()
    }

    /// Another process of this scheduler takes what comes from now on, or no longer does.
    pub fn replace(&self, replaced: bool) {
        set(&self.draining, |draining| draining.replaced = replaced);
    }

    /// The state for a process that takes over, and the orders that follow it.
    pub async fn hand_over(&self) -> Option<(State, mpsc::Receiver<Forwarded>)> {
        let (reply, answer) = oneshot::channel();
        self.urgent.send(Urgent::HandOver(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Goes on from the state of the process before this one; gives back the orders that it is to be told.
    pub async fn take_over(&self, state: State) -> Option<mpsc::Receiver<Forwarded>> {
        let (reply, answer) = oneshot::channel();
        self.urgent.send(Urgent::TakeOver(state, reply)).await.ok()?;
        answer.await.ok()
    }

    /// The settings as they stand now.
    pub fn deployment(&self) -> Arc<Deployment> {
        self.deployment.borrow().clone()
    }

    /// Goes on with other settings, or with the old ones where these make no sense.
    pub async fn settle(&self, deployment: Arc<Deployment>) -> Result<(), ConfigError> {
        let gone = || ConfigError { field: "settings".to_owned(), why: Gone.to_string() };
        let (reply, answer) = oneshot::channel();
        self.mailbox.send(Message::Settings(deployment, reply)).await.map_err(|_| gone())?;
        answer.await.unwrap_or_else(|_| Err(gone()))
    }

    /// The program ends then: no request gets more time than that, whether it is open or comes from now on.
    pub async fn end_by(&self, last: Instant) {
        // A core that has stopped has nothing open.
        let _ = self.mailbox.send(Message::EndBy(last)).await;
    }

    /// Has records kept by that, or not at all, once it returns. The one before is dropped.
    pub async fn observe(&self, observer: Option<Box<dyn Observer>>) {
        let (reply, done) = oneshot::channel();
        // A core that has stopped has nothing to tell.
        if self.mailbox.send(Message::Observe(observer, reply)).await.is_ok() {
            let _ = done.await;
        }
    }

    /// Counts a request that a front turned away.
    pub fn malformed(&self) {
        // Only a count: not worth waiting for when the mailbox is full.
        let _ = self.mailbox.try_send(Message::Malformed);
    }

    /// Counts a configuration that was read again.
    pub fn configured(&self, applied: bool) {
        // As above.
        let _ = self.mailbox.try_send(Message::Configured(applied));
    }

    /// The figures now, ahead of whatever waits; `None` without a core.
    pub async fn figures(&self) -> Option<Figures> {
        let (reply, answer) = oneshot::channel();
        self.urgent.send(Urgent::Figures(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Does what staff order, ahead of whatever waits; once it is answered, it holds, in both processes where
    /// there are two. An order `from_partner` was carried out by the other one.
    pub async fn order(&self, order: Order, from_partner: bool) -> Result<Result<(), NotDone>, Gone> {
        let (reply, answer) = oneshot::channel();
        self.urgent.send(Urgent::Order(order, from_partner, reply)).await.map_err(|_| Gone)?;
        answer.await.map_err(|_| Gone)
    }
}

impl tower::Service<Call> for Core {
    type Response = Answer;
    type Error = Gone;
    type Future = BoxFuture<'static, Result<Answer, Gone>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Gone>> {
        Poll::Ready(if self.mailbox.is_closed() { Err(Gone) } else { Ok(()) })
    }

    fn call(&mut self, call: Call) -> Self::Future {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let (mailbox, departures) = (self.mailbox.clone(), self.departures.clone());
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            let cancel = CancellationToken::new();
            let told = Message::Call { id, call, reply, cancel: cancel.clone() };
            mailbox.send(told).await.map_err(|_| Gone)?;
            // Whoever drops this future has gone away before the answer.
            let client = CancelOnDrop::new(departures, id, cancel);
            let answer = answer.await.map_err(|_| Gone);
            client.answered();
            answer
        })
    }
}

fn set(draining: &watch::Sender<Draining>, change: impl FnOnce(&mut Draining)) {
    draining.send_if_modified(|draining| {
        let before = *draining;
        change(draining);
        before != *draining
    });
}

/// Starts the module's actor on the current runtime.
pub fn start(deployment: Arc<Deployment>, seed: u64, dial: Dial) -> Result<Core, SettingsError> {
    let scheduler = Scheduler::new(deployment.settings.clone(), seed)?;
    let (mailbox, messages) = mpsc::channel(MAILBOX);
    let (urgent, orders) = mpsc::channel(ORDERS);
    let (news, heard) = mpsc::channel(NEWS);
    let (draining, departures) = (Arc::new(watch::channel(Draining::default()).0), Arc::default());
    let (status, watched) = watch::channel(Status::default());
    let start = Instant::now();
    let end = freshness::End::new(start);
    let (deployment, settings) = watch::channel(deployment);
    let mut actor = Actor {
        scheduler,
        fresh: Freshness::new(start),
        end,
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
        ids: HashMap::new(),
        nodes: BTreeMap::new(),
        next: 0,
        revision: 0,
        last: None,
        zones: Vec::new(),
        suspended: BTreeSet::new(),
        counters: Counters::default(),
        tries: Tries::default(),
        observer: None,
        tick: Instant::now(),
        arriving: None,
    };
    actor.rule();
    actor.stale = !actor.fresh.holds(start);
    tokio::spawn(actor.run(messages, heard, orders));
    Ok(Core {
        mailbox,
        news,
        urgent,
        departures,
        next: Arc::new(AtomicU64::new(1)),
        status: watched,
        draining,
        deployment: settings,
    })
}

/// A request that owes an answer, or whose attempt is still out.
struct Open {
    call: Call,
    /// Its client's id is taken.
    taken: Option<OpenId>,
    /// When it came.
    came: Instant,
    /// When half of its time is over.
    half: Instant,
    /// Taken by the one final answer.
    reply: Option<oneshot::Sender<Answer>>,
    /// Cancelled by its client's departure and by the final answer: nothing of it is written from then on.
    cancel: CancellationToken,
    sends: u32,
    /// The attempt that is out, and since when.
    out: Option<(u32, Instant)>,
    /// When the first attempt that may have run was sent.
    ran: Option<Instant>,
    /// How the last attempt ended.
    last: Option<End>,
}

struct Node {
    member: Member,
    /// When staff said that it is back.
    restored: Option<Micros>,
    gate: DrainGate,
    /// `None` once the list has dropped the node.
    mailbox: Option<mpsc::Sender<Attempt>>,
    /// When it was last listed.
    listed: Instant,
    /// The list's version that told of it last, and the one that told that it drains or is gone.
    revision: u64,
    drained: Option<u64>,
    /// What the observer was told last of how it is treated.
    treated: Option<Treated>,
}

struct Actor {
    scheduler: Scheduler,
    /// When the list may be gone by, the end of that for whoever writes, and whether it may not now.
    fresh: Freshness,
    end: freshness::End,
    stale: bool,
    deployment: watch::Sender<Arc<Deployment>>,
    clock: Clock,
    dial: Dial,
    mailbox: mpsc::WeakSender<Message>,
    departures: Arc<Departures>,
    status: watch::Sender<Status>,
    draining: Arc<watch::Sender<Draining>>,
    /// Orders for the other process, while there is one.
    partner: Option<mpsc::Sender<Forwarded>>,
    open: HashMap<RequestId, Open>,
    /// The clients' ids of these.
    calls: Ids,
    /// When each request that owes an answer is ended at the latest.
    limits: BTreeSet<(Instant, RequestId)>,
    wakes: BTreeSet<(Micros, u64)>,
    /// Events that the module's own actions have brought about.
    events: VecDeque<Event>,
    ids: HashMap<Box<str>, NodeId>,
    nodes: BTreeMap<NodeId, Node>,
    /// Number of the next new node.
    next: u32,
    /// The list's version.
    revision: u64,
    /// The last moment for an answer, once the program ends.
    last: Option<Instant>,
    zones: Vec<Box<str>>,
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
        mut news: mpsc::Receiver<Message>,
        mut orders: mpsc::Receiver<Urgent>,
    ) {
        let mut stalls = Stalls::new(Instant::now());
        loop {
            let wake = self.wakes.first().map(|(at, _)| self.clock.instant(*at));
            let limit = self.limits.first().map(|(at, _)| *at);
            let tick = self.observer.as_ref().map(|_| self.tick);
            let list = self.fresh.changes(Instant::now());
            let next = wake.into_iter().chain(limit).chain(tick).chain(list).min();
            let (mut urgent, mut message) = (None, None);
            tokio::select! {
                biased;
                Some(order) = orders.recv() => urgent = Some(order),
                Some(news) = news.recv() => self.take(news),
                () = self.departures.told() => {}
                told = messages.recv() => match told {
                    Some(told) => message = Some(told),
                    None => return,
                },
                () = tokio::time::sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
            if stalls.stood(Instant::now()) {
                news_that_waits(&mut news).await.into_iter().for_each(|news| self.take(news));
                self.check_list(Instant::now());
            }
            // First of all who has left: nothing is decided for them.
            self.departures.take().into_iter().for_each(|id| self.depart(id));
            urgent.into_iter().for_each(|order| self.urgent(order));
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
            Message::News(news) => self.news(news),
            Message::Heard(at) => self.fresh.heard(at),
            Message::Unwatched => self.fresh.unwatched(),
            Message::Silent(at) => self.fresh.silent(at),
            Message::Moved(at) => self.fresh.moved(at),
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

    /// Nobody waits for the request any more. One that is still in the mailbox is dropped once it is read.
    fn depart(&mut self, id: RequestId) {
        if self.settle(id, None) {
            self.counters.gone += 1;
            self.feed(Event::ClientGone { request: id });
        }
    }

    fn urgent(&mut self, urgent: Urgent) {
        match urgent {
            Urgent::Order(order, from_partner, reply) => {
                let done = match &order {
                    Order::Suspend(id) => self.suspend(id.clone()),
                    Order::Restore(id) => self.restore(id),
                    Order::Pause => self.pause(true),
                    Order::Resume => self.pause(false),
                };
                let forwarded = Forwarded { order, done: reply };
                let unsent = match &self.partner {
                    Some(partner) if done.is_ok() && !from_partner => partner.try_send(forwarded).err(),
                    _ => Some(TrySendError::Closed(forwarded)),
                };
                if let Some(unsent) = unsent {
                    let full = matches!(unsent, TrySendError::Full(_));
                    // Whoever asked may have left; what is done holds.
                    let _ = unsent.into_inner().done.send(if full { Err(NotDone::Unsure) } else { done });
                }
            }
            Urgent::HandOver(reply) => {
                let (partner, orders) = mpsc::channel(ORDERS);
                self.partner = Some(partner);
                self.note(Note::HandedOver);
                // The other process may have ended meanwhile.
                let _ = reply.send((self.state(), orders));
            }
            Urgent::TakeOver(state, reply) => {
                let (partner, orders) = mpsc::channel(ORDERS);
                self.partner = Some(partner);
                self.note(Note::TookOver);
                self.go_on_from(state);
                let _ = reply.send(orders);
            }
            Urgent::Figures(reply) => {
                let counters = Counters { tries: self.tries.so_far(), ..self.counters.clone() };
                let now = self.clock.at(Instant::now());
                let listed = || self.nodes.iter().filter(|(_, node)| node.mailbox.is_some());
                let avoided = |id| self.scheduler.standing(now, id).is_none_or(|node| node.avoided());
                let avoided = listed().filter(|(id, _)| avoided(**id)).count();
                let active = self.limits.len() + self.calls.passing();
                let _ = reply.send(Figures { counters, active, listed: listed().count(), avoided });
            }
        }
    }

    /// What a process that takes over has to know.
    fn state(&self) -> State {
        let now = self.clock.at(Instant::now());
        let listed = || self.nodes.iter().filter(|(_, node)| node.mailbox.is_some());
        let members = listed().map(|(_, node)| node.member.clone()).collect();
        let cold = listed().filter_map(|(id, node)| {
            let since = self.scheduler.standing(now, *id)?.cold_since?;
            Some((node.member.id.clone(), since))
        });
        State {
            list: News { revision: self.revision, kind: ListKind::Whole, members },
            suspended: self.suspended.iter().cloned().collect(),
            cold: cold.collect(),
            paused: self.draining.borrow().paused,
        }
    }

    fn go_on_from(&mut self, state: State) {
        let State { list, suspended, cold, paused } = state;
        self.suspended.extend(suspended);
        self.fresh.taken_over(Instant::now());
        set(&self.draining, |draining| draining.paused = paused);
        self.news(list);
        for (name, since) in cold {
            let Some(&id) = self.ids.get(&name) else { continue };
            self.nodes.entry(id).and_modify(|node| node.restored = node.restored.max(Some(since)));
            self.relist(id, Why::Handover);
        }
    }

    fn pause(&mut self, paused: bool) -> Result<(), NotDone> {
        set(&self.draining, |draining| draining.paused = paused);
        self.note(Note::Paused(paused));
        Ok(())
    }

    /// Takes a node out, once however often it is said.
    fn suspend(&mut self, id: Box<str>) -> Result<(), NotDone> {
        let node = *self.ids.get(&id).ok_or(NotDone::UnknownNode)?;
        if self.suspended.len() >= SUSPENDED && !self.suspended.contains(&id) {
            return Err(NotDone::TooMany);
        }
        self.suspended.insert(id);
        self.relist(node, Why::Order);
        Ok(())
    }

    /// Ends that. It was restarted meanwhile and is cold from now on at the latest, whatever the list says.
    fn restore(&mut self, id: &str) -> Result<(), NotDone> {
        let was_out = self.suspended.remove(id);
        let node = match self.ids.get(id) {
            Some(node) => *node,
            None if was_out => return Ok(()),
            None => return Err(NotDone::UnknownNode),
        };
        if was_out {
            let now = self.clock.at(Instant::now());
            self.nodes.entry(node).and_modify(|node| node.restored = Some(now));
            self.relist(node, Why::Order);
        }
        Ok(())
    }

    /// Tells the module how a listed node stands now that staff have had their say.
    fn relist(&mut self, id: NodeId, why: Why) {
        let Some(entry) = self.listed_entry(id) else { return };
        self.feed(Event::List { kind: ListKind::Changes, entries: vec![entry] });
        self.check_node(id, Instant::now(), why);
    }

    /// A node's entry for the module: it drains if either its list or staff say so.
    fn standing(&self, id: NodeId, node: &Node, zone: usize) -> ListEntry {
        let Member { id: name, shard, state, started, .. } = &node.member;
        let out = *state == NodeState::Ready && (self.stale || self.suspended.contains(name));
        let state = if out { NodeState::Draining } else { *state };
        node.gate.set(state != NodeState::Ready);
        let started = (*started).max(node.restored);
        ListEntry { node: id, shard: *shard, zone: zone as u32, state, started }
    }

    /// Tells the observer, if there is one.
    fn note(&mut self, note: Note<'_>) {
        if let Some(observer) = &mut self.observer {
            observer.note(Instant::now(), note);
        }
    }

    /// Records are kept from now on: what stands is told first.
    fn observe(&mut self, observer: Option<Box<dyn Observer>>) {
        self.observer = observer;
        self.tick = Instant::now();
        if let Some(observer) = &mut self.observer {
            observer.settings(&self.deployment.borrow());
        }
        let listed = self.nodes.values().filter(|node| node.mailbox.is_some());
        let members: Vec<Member> = listed.map(|node| node.member.clone()).collect();
        let revision = self.revision;
        // Not news: others have seen it at another time.
        self.note(Note::Listed { revision, kind: ListKind::Saved, members: &members });
        self.nodes.values_mut().for_each(|node| node.treated = None);
        self.check_nodes(Why::List(revision));
    }

    fn check_nodes(&mut self, why: Why) {
        if self.observer.is_some() {
            let (now, ids) = (Instant::now(), self.nodes.keys().copied().collect::<Vec<_>>());
            ids.into_iter().for_each(|id| self.check_node(id, now, why));
        }
    }

    /// Tells the observer of a node that is treated otherwise than it was told last.
    fn check_node(&mut self, id: NodeId, at: Instant, why: Why) {
        let (Some(observer), Some(node)) = (&mut self.observer, self.nodes.get_mut(&id)) else { return };
        let out = self.suspended.contains(&node.member.id);
        let now = self.clock.at(at);
        let listed = if node.mailbox.is_some() { node.member.state } else { NodeState::Gone };
        let (standing, settings) = (self.scheduler.standing(now, id), &self.deployment);
        let treated = Treated::of(listed, out, standing, now, || settings.borrow().settings.cold_time);
        if node.treated.replace(treated) != Some(treated) {
            observer.note(at, Note::Node { node: &node.member.id, treated, why });
        }
    }

    /// Tells the observer that time has passed, and what has changed by that alone.
    fn pass_time(&mut self, now: Instant) {
        if self.observer.is_some() && now >= self.tick {
            self.tick = now + TICK;
            self.check_nodes(Why::Time);
            self.note(Note::Tick);
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
        while let Some(&(_, id)) = self.limits.first().filter(|(at, _)| *at <= now) {
            self.counters.overdue += 1;
            let ran = self.open.get(&id).is_some_and(|o| o.ran.is_some() || o.out.is_some());
            // Its client has time left where only the program ends: the next scheduler takes what never ran.
            let ending = self.last.is_some() && !ran;
            let answer = if ending {
                Answer::Refused { retry_after: None }
            } else {
                Answer::Failed { ran, late: true }
            };
            self.settle(id, Some(answer));
            self.feed(Event::ClientGone { request: id });
        }
        now
    }

    /// Gives a request its one final answer, or none where nobody waits. False if it had been settled.
    fn settle(&mut self, id: RequestId, answer: Option<Answer>) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(reply) = open.reply.take() else { return false };
        open.cancel.cancel();
        let class = open.call.class;
        if let Some(observer) = &mut self.observer {
            let at_once = self.arriving == Some(id) && open.sends == 0;
            let outcome = match &answer {
                None | Some(Answer::Duplicate) => observe::Outcome::Gone,
                Some(Answer::Served(_)) => observe::Outcome::Served,
                Some(Answer::Refused { .. }) => observe::Outcome::Refused { last: open.last, at_once },
                Some(Answer::Failed { ran, late }) => observe::Outcome::Failed { ran: *ran, late: *late },
            };
            let now = Instant::now();
            let took = now.saturating_duration_since(open.came).as_micros() as Micros;
            observer.note(now, Note::Answered { request: id, class, outcome, took });
        }
        self.limits.remove(&(open.call.deadline + BACKSTOP, id));
        if open.out.is_none() {
            self.close(id);
        }
        if let Some(answer) = answer {
            let answers = self.counters.of(class);
            match &answer {
                Answer::Duplicate => {}
                Answer::Served(_) => answers.served += 1,
                Answer::Refused { .. } => answers.refused += 1,
                Answer::Failed { .. } => answers.failed += 1,
            }
            // A front that has left meanwhile says so by itself.
            let _ = reply.send(answer);
        }
        true
    }

    /// The program ends then. What is open has no more time either: its clients may wait for longer than the
    /// platform lets the program run, and an end of their connection is no answer.
    fn end_by(&mut self, last: Instant) {
        self.last = Some(last);
        let limit = (last + BACKSTOP, RequestId(0));
        for (at, id) in self.limits.split_off(&limit) {
            match self.open.get_mut(&id) {
                Some(open) => {
                    open.call.deadline = last;
                    self.limits.insert((last + BACKSTOP, id));
                }
                None => _ = self.limits.insert((at, id)),
            }
        }
        self.note(Note::Ending);
    }

    /// Forgets a request that owes no answer and has nothing out.
    fn close(&mut self, id: RequestId) {
        self.open.remove(&id);
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
                let node = node.and_then(|n| self.nodes.get(&n)).map_or("", |n| &n.member.id);
                tracing::info!(node, "{text}");
            }
        }
    }

    fn arrive(
        &mut self,
        id: RequestId,
        mut call: Call,
        reply: oneshot::Sender<Answer>,
        cancel: CancellationToken,
    ) {
        call.deadline = self.last.map_or(call.deadline, |last| last.min(call.deadline));
        let Some(taken) = self.calls.open(&call.work.call) else {
            self.counters.malformed += 1;
            // A front that has left meanwhile needs no answer.
            let _ = reply.send(Answer::Duplicate);
            return;
        };
        self.counters.taken += 1;
        let now = Instant::now();
        let left = call.deadline.saturating_duration_since(now);
        let half = now + (left / 2).saturating_sub(EARLY);
        let request = Request {
            id,
            class: call.class,
            plan: call.plan,
            volume: call.work.volume,
            units: call.work.units,
            left: left.as_micros() as Micros,
            shard: call.shard,
            key: Some(call.work.key),
            hosts: call.hosts,
            repeat: call.repeat,
            passes: call.work.rest.is_some(),
        };
        self.limits.insert((call.deadline + BACKSTOP, id));
        let Request { class, plan, volume, units, .. } = request;
        if let Some(observer) = &mut self.observer {
            observer.note(now, Note::Taken { request: id, class, plan, volume, units });
        }
        let open = Open {
            call,
            taken: Some(taken),
            came: now,
            half,
            reply: Some(reply),
            cancel,
            sends: 0,
            out: None,
            ran: None,
            last: None,
        };
        self.open.insert(id, open);
        self.arriving = Some(id);
        self.feed(Event::Arrival(request));
        self.arriving = None;
    }

    /// The one place where attempts go out. Guards against a second one beside another, one after the final
    /// answer or the deadline, and a keyed repeat past its window; the module is told that it never went.
    fn send(&mut self, request: RequestId, node: NodeId, give_up: Option<Micros>) {
        let now = Instant::now();
        let Some(open) = self.open.get_mut(&request) else { return };
        let number = open.sends;
        open.sends += 1;
        let deployment = self.deployment.borrow();
        let class = &deployment.settings.classes[open.call.class.0 as usize];
        let mut until = give_up.map_or(open.call.deadline, |span| now + Duration::from_micros(span));
        until = until.min(open.call.deadline);
        if let (Some(ran), Effect::Keyed) = (open.ran, class.effect) {
            until = until.min(ran + Duration::from_micros(class.window));
        }
        // What passes moves at its client's pace, and can't be sent again.
        let passes = open.call.work.rest.as_ref();
        until = if passes.is_some() { open.call.deadline } else { until };
        let sound = open.reply.is_some() && open.out.is_none() && now < until;
        let sound = sound && passes.is_none_or(Upload::untouched);
        let reach = if now < open.half { until.min(open.half) } else { until };
        let work = open.call.work.clone();
        let sent = self.nodes.get(&node).filter(|node| sound && !node.gate.is_shut()).is_some_and(|to| {
            let (gate, tries, cancel) = (to.gate.clone(), self.tries.clone(), open.cancel.clone());
            let attempt = Attempt { request, number, node, until, reach, work, gate, cancel, tries };
            to.mailbox.as_ref().is_some_and(|mailbox| mailbox.try_send(attempt).is_ok())
        });
        let to = self.nodes.get(&node);
        if sent {
            open.out = Some((number, now));
            self.counters.sent += 1;
            if let (Some(observer), Some(to)) = (&mut self.observer, to) {
                let cold = matches!(to.treated, Some(Treated::Cold(_)));
                let cold_units = if cold { open.call.work.units } else { 0 };
                observer.note(now, Note::Sent { request, node: &to.member.id, cold_units });
            }
            return;
        }
        self.counters.ended(End::Moot);
        if let (Some(observer), Some(to)) = (&mut self.observer, to) {
            observer.note(now, Note::Ended { request, node: &to.member.id, end: End::Moot });
        }
        let (end, closed) = (End::Moot, open.reply.is_none());
        let took = 0;
        let (used, elsewhere, busy) = (None, None, None);
        let outcome = Outcome { request, attempt: number, node, end, closed, took, used, elsewhere, busy };
        self.events.push_back(Event::Outcome(outcome));
    }

    fn ended(&mut self, ended: Ended) {
        let Ended { request, number, node, end, body } = ended;
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some((_, sent)) = open.out.take_if(|(out, _)| *out == number) else { return };
        let now = Instant::now();
        // A node begins once the last byte has come.
        let from = open.call.work.rest.as_ref().and_then(Upload::ended).map_or(sent, |at| at.max(sent));
        self.counters.ended(end);
        open.last = Some(end);
        if let (Some(observer), Some(to)) = (&mut self.observer, self.nodes.get(&node)) {
            observer.note(now, Note::Ended { request, node: &to.member.id, end });
        }
        if matches!(end, End::Error | End::TimedOut | End::Reset | End::Cancelled) {
            open.ran = open.ran.or(Some(sent));
        }
        if end == End::Served {
            let taken = match body {
                Reply::Passing(_) => open.taken.take(),
                Reply::Whole(_) => None,
            };
            let body = match (body, taken) {
                (Reply::Passing(passing), Some(taken)) => {
                    Reply::Passing(Passing { _open: Some(taken.pass()), ..passing })
                }
                (body, _) => body,
            };
            self.settle(request, Some(Answer::Served(body)));
        }
        let closed = self.open.get(&request).is_none_or(|open| open.reply.is_none());
        if closed {
            self.close(request);
        }
        let took = now.saturating_duration_since(from).as_micros() as Micros;
        let (used, elsewhere, busy) = (None, None, None);
        let outcome = Outcome { request, attempt: number, node, end, closed, took, used, elsewhere, busy };
        self.feed(Event::Outcome(outcome));
    }

    /// Open requests go by the places of their class and plan, so that these stay as they are.
    fn resettle(&mut self, deployment: Arc<Deployment>) -> Result<(), ConfigError> {
        let old = self.deployment.borrow().clone();
        let names =
            |field: &str| ConfigError { field: field.to_owned(), why: "names may only be added".to_owned() };
        if !deployment.classes.starts_with(&old.classes) {
            return Err(names("settings.lanes"));
        }
        if !deployment.plans.starts_with(&old.plans) {
            return Err(names("settings.contracts"));
        }
        let resettled = self.scheduler.resettle(deployment.settings.clone());
        resettled.map_err(|e| ConfigError { field: "settings".to_owned(), why: e.to_string() })?;
        if let Some(observer) = &mut self.observer {
            observer.settings(&deployment);
        }
        self.deployment.send_replace(deployment);
        self.rule();
        Ok(())
    }

    /// Goes by the settings' rule on drains, where they have one.
    fn rule(&mut self) {
        let (ruled, within) = (self.deployment.borrow().grace.is_some(), self.asks_within());
        self.fresh.rule(ruled, within);
        self.end.set(self.fresh.end());
    }

    /// How long a host may go on without a watch, where lists have to be asked for.
    fn asks_within(&self) -> Option<Duration> {
        match self.deployment.borrow().settings.list {
            ListMode::Pushed => None,
            ListMode::Asked { within } => Some(Duration::from_micros(within)),
        }
    }

    /// Nothing goes out by a list that may not be gone by; all goes on once it may.
    fn check_list(&mut self, now: Instant) {
        self.end.set(self.fresh.end());
        let stale = !self.fresh.holds(now);
        if stale != self.stale {
            self.stale = stale;
            let silence = now.saturating_duration_since(self.fresh.last_word());
            if stale {
                tracing::warn!(
                    "nothing heard from discovery for {silence:?}: nothing is sent by the old list"
                );
            } else {
                tracing::info!("discovery is heard");
            }
            self.note(Note::Stale(stale.then_some(silence)));
            let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
            let entries = ids.into_iter().filter_map(|id| self.listed_entry(id)).collect();
            self.feed(Event::List { kind: ListKind::Changes, entries });
            self.check_nodes(Why::List(self.revision));
        }
        let ready = !stale && self.nodes.values().any(|n| n.mailbox.is_some());
        let stale = stale.then(|| self.fresh.last_word());
        self.status.send_if_modified(|s| {
            let was = (std::mem::replace(&mut s.ready, ready), std::mem::replace(&mut s.stale, stale));
            was != (ready, stale)
        });
    }

    /// A listed node's entry for the module.
    fn listed_entry(&self, id: NodeId) -> Option<ListEntry> {
        let node = self.nodes.get(&id).filter(|node| node.mailbox.is_some())?;
        let zone = self.zones.iter().position(|z| *z == node.member.zone).unwrap_or_default();
        Some(self.standing(id, node, zone))
    }

    fn news(&mut self, news: News) {
        let (revision, whole) = (news.revision, matches!(news.kind, ListKind::Whole | ListKind::Saved));
        if news.kind == ListKind::Saved && revision < self.revision {
            // A list that was saved before what discovery has told since.
            return;
        }
        self.revision = revision;
        self.counters.lists += 1;
        self.note(Note::Listed { revision, kind: news.kind, members: &news.members });
        let mut listed = BTreeSet::new();
        let mut entries = Vec::new();
        for member in news.members {
            let Some(entry) = self.entry(member, revision, whole) else { continue };
            listed.insert(entry.node);
            entries.push(entry);
        }
        if whole {
            for (id, node) in &mut self.nodes {
                if !listed.contains(id) {
                    // Told by absence alone, and no less gone: an older list takes it back no more than a
                    // drain that was told.
                    node.drained = node.drained.or(node.mailbox.is_some().then_some(revision));
                    node.mailbox = None;
                    node.gate.set(true);
                    node.member.state = NodeState::Gone;
                }
            }
        }
        self.feed(Event::List { kind: news.kind, entries });
        self.check_nodes(Why::List(revision));
        let now = Instant::now();
        self.nodes.retain(|_, node| {
            node.listed = if node.mailbox.is_some() { now } else { node.listed };
            now < node.listed + FORGET
        });
        self.ids.retain(|_, id| self.nodes.contains_key(id));
    }

    /// Books a listed node under its number and opens or ends the way to it. `None` if it says less than is
    /// known: while two watches stand, the slower one must take back nothing, and no drain above all.
    fn entry(&mut self, mut member: Member, revision: u64, whole: bool) -> Option<ListEntry> {
        let zone = self.zones.iter().position(|z| *z == member.zone).unwrap_or_else(|| {
            self.zones.push(member.zone.clone());
            self.zones.len() - 1
        });
        let node = *self.ids.entry(member.id.clone()).or_insert(NodeId(self.next));
        self.next = self.next.max(node.0 + 1);
        let fresh = || Node {
            member: member.clone(),
            restored: None,
            gate: DrainGate::new(self.end.clone()),
            mailbox: None,
            listed: Instant::now(),
            revision,
            drained: None,
            treated: None,
        };
        let slot = self.nodes.entry(node).or_insert_with(fresh);
        if revision < slot.revision && !whole {
            return None;
        }
        if member.state != NodeState::Ready {
            slot.drained = Some(revision);
        } else if slot.drained > Some(revision) && member.started <= slot.member.started {
            member.state = slot.member.state;
        } else {
            slot.drained = None;
        }
        slot.revision = revision;
        let moved = slot.member.address != member.address;
        if member.state == NodeState::Gone {
            slot.mailbox = None;
        } else if let Some(core) = self.mailbox.upgrade().filter(|_| moved || slot.mailbox.is_none()) {
            // The actor that served it before ends once what it has out has ended.
            slot.mailbox = Some((self.dial)(&member, core));
        }
        slot.member = member;
        let slot = self.nodes.get(&node)?;
        Some(self.standing(node, slot, zone))
    }
}

/// Reports the end of an attempt to the core.
pub async fn report(core: &mpsc::Sender<Message>, attempt: &Attempt, end: End, body: Reply) {
    let Attempt { request, number, node, .. } = *attempt;
    // Without a core nobody is left to tell.
    let _ = core.send(Message::Ended(Ended { request, number, node, end, body })).await;
}
