//! The task that carries out the actions of a [`WatchSupervisor`]: it opens and closes calls, reads their
//! lines, waits for deadlines, and sends reports to the core.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};
use tokio_util::sync::CancellationToken;

use heathward_policy::EndpointListMode;

use super::call::ListCall;
use super::events::{Action, CallProgress, CallSlot, Event, Line, ListRequest};
use super::report::{Report, Reporter};
use super::supervisor::WatchSupervisor;
use super::wire::parse_update;
use crate::backoff::ReconnectPolicy;

/// The number of yields after which the tasks that read the calls have passed on all received lines: more
/// than a connection and its reader need.
const READER_YIELDS: u32 = 8;

/// Watches the list at one address.
pub(super) struct WatchTask {
    /// The address.
    pub(super) address: SocketAddr,
    /// How lists are delivered at the address.
    pub(super) mode: EndpointListMode,
    /// The delays between calls.
    pub(super) policy: ReconnectPolicy,
    /// The last known revision, shared by the watches at all addresses.
    pub(super) revision: Arc<AtomicU64>,
    /// Sends reports to the core.
    pub(super) reporter: Reporter,
    /// Cancelled once another address is the current one.
    pub(super) superseded: CancellationToken,
}

/// The next output of a call.
enum CallOutput {
    Line(Vec<u8>),
    End(CallProgress),
}

/// The cause of a wakeup of the task.
enum Wakeup {
    Superseded,
    Call(CallSlot, CallOutput),
    AnswerTimeout,
    Timeout,
}

impl WatchTask {
    /// Runs until the address is superseded and its watches have ended.
    pub(super) async fn run(self) {
        let Self { address, mode, policy, revision, reporter, superseded } = self;
        let known_revision = revision.load(Ordering::Relaxed);
        let (mut supervisor, actions) = WatchSupervisor::start(mode, known_revision, policy, Instant::now());
        let mut calls = OpenCalls::new(address);
        for action in actions {
            carry_out(action, &mut calls, &revision, &reporter).await;
        }
        while !supervisor.is_finished() {
            let wakeup = next_wakeup(&supervisor, &mut calls, &superseded).await;
            if matches!(wakeup, Wakeup::AnswerTimeout) {
                let_readers_run().await;
            }
            let now = Instant::now();
            let event = calls.event(wakeup);
            for action in supervisor.handle(event, now) {
                carry_out(action, &mut calls, &revision, &reporter).await;
            }
        }
    }
}

/// Waits for the next wakeup. If several causes are present, the first branch takes precedence.
async fn next_wakeup(
    supervisor: &WatchSupervisor,
    calls: &mut OpenCalls,
    superseded: &CancellationToken,
) -> Wakeup {
    let answer_deadline = supervisor.answer_deadline();
    let deadline = supervisor.deadline();
    tokio::select! {
        biased;
        () = superseded.cancelled(), if supervisor.is_active() => Wakeup::Superseded,
        output = next_output(&mut calls.current) => Wakeup::Call(CallSlot::Current, output),
        output = next_output(&mut calls.confirmation) => Wakeup::Call(CallSlot::Confirmation, output),
        () = sleep_until(answer_deadline.unwrap_or(deadline)), if answer_deadline.is_some() => {
            Wakeup::AnswerTimeout
        }
        output = next_output(&mut calls.timed_out) => Wakeup::Call(CallSlot::TimedOut, output),
        () = sleep_until(deadline) => Wakeup::Timeout,
    }
}

/// Waits for the next output of a call; never completes if there is no call. Cancel safe.
async fn next_output(call: &mut Option<ListCall>) -> CallOutput {
    let Some(call) = call else { return pending().await };
    match call.next_line().await {
        Some(line) => CallOutput::Line(line),
        None => CallOutput::End(call.progress()),
    }
}

/// Lets the reading tasks pass on the lines that arrived while this process was delayed.
async fn let_readers_run() {
    for _ in 0..READER_YIELDS {
        yield_now().await;
    }
}

async fn carry_out(action: Action, calls: &mut OpenCalls, revision: &AtomicU64, reporter: &Reporter) {
    match action {
        Action::Open { slot, request } => calls.open(slot, request),
        Action::Close(slot) => calls.close(slot),
        Action::KeepTimedOut => calls.timed_out = calls.current.take(),
        Action::MakeTimedOutCurrent => calls.current = calls.timed_out.take(),
        Action::Report(report) => {
            if let Report::Update(update) = &report {
                revision.store(update.revision, Ordering::Relaxed);
            }
            reporter.send(report).await;
        }
    }
}

/// The open calls at one address.
struct OpenCalls {
    address: SocketAddr,
    current: Option<ListCall>,
    timed_out: Option<ListCall>,
    confirmation: Option<ListCall>,
}

impl OpenCalls {
    fn new(address: SocketAddr) -> Self {
        Self { address, current: None, timed_out: None, confirmation: None }
    }

    fn open(&mut self, slot: CallSlot, request: ListRequest) {
        *self.slot_mut(slot) = Some(ListCall::open(self.address, request));
    }

    fn close(&mut self, slot: CallSlot) {
        *self.slot_mut(slot) = None;
    }

    fn slot_mut(&mut self, slot: CallSlot) -> &mut Option<ListCall> {
        match slot {
            CallSlot::Current => &mut self.current,
            CallSlot::TimedOut => &mut self.timed_out,
            CallSlot::Confirmation => &mut self.confirmation,
        }
    }

    /// Returns the supervisor's event for a wakeup.
    fn event(&self, wakeup: Wakeup) -> Event {
        match wakeup {
            Wakeup::Superseded => Event::Superseded,
            Wakeup::Call(slot, CallOutput::Line(line)) => Event::Line { slot, line: decode_line(&line) },
            Wakeup::Call(slot, CallOutput::End(progress)) => Event::Ended { slot, progress },
            Wakeup::AnswerTimeout => Event::AnswerTimeout {
                line_waiting: [&self.current, &self.confirmation]
                    .into_iter()
                    .flatten()
                    .any(ListCall::has_line),
                current: self.current.as_ref().map(ListCall::progress),
                confirmation: self.confirmation.as_ref().map(ListCall::progress),
            },
            Wakeup::Timeout => Event::Timeout { current: self.current.as_ref().map(ListCall::progress) },
        }
    }
}

/// Decodes a line. A malformed line is logged and leaves the list unchanged.
fn decode_line(line: &[u8]) -> Line {
    let text = String::from_utf8_lossy(line);
    let text = text.trim();
    if text.is_empty() {
        return Line::KeepAlive;
    }
    match parse_update(text) {
        Ok(update) => Line::Update(update),
        Err(error) => {
            tracing::warn!("discovery: line ignored: {error}");
            Line::Malformed
        }
    }
}
