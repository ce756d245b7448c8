//! Decides when to open, keep and give up calls for the endpoint list at one address, and what to report to
//! the scheduler core. There is no I/O and no clock here: [`WatchSupervisor::handle`] takes an event and the
//! time at which it is handled, and returns the actions to carry out, in order.
//!
//! At most three calls are open at a time, one in each [`CallSlot`]:
//!
//! * the **current** watch is the one that was opened last, or that sent the last line;
//! * the **timed-out** watch is the first one that has sent no line in time. It stays open while another one
//!   is tried: an agent sends nothing while discovery is down, and a shared service answers its callers in
//!   turn, so that a closed call would lose its place. The first line from either watch closes the other one;
//! * the **confirmation** is a call for the complete list, made in addition to a current watch that was sent
//!   and that the agent has not answered. Only if it is not answered either is the agent assumed to have
//!   nothing new.
//!
//! The states of the current watch and their transitions:
//!
//! ```text
//! Waiting --reconnect time------------> Open     a watch is opened
//! Open ----line-----------------------> Open     its timeout restarts; the other calls are closed
//! Open ----no line in time------------> Waiting  it becomes the timed-out watch, or is closed
//! Open ----end------------------------> Waiting
//! either --line of timed-out watch----> Open     that watch becomes the current one
//! ```
//!
//! The address is active until another one is the current address. Watches at a superseded address are not
//! reopened; they end by themselves or after [`SUPERSEDED_WATCH_LIFETIME`]. Then the supervisor is finished.

use std::time::Duration;

use tokio::time::Instant;

use heathward_discovery_pacing::CallFailure;
use heathward_policy::EndpointListMode;

use super::events::{Action, CallProgress, CallSlot, Event, Line, ListRequest, ResponseHead, ResponseStatus};
use super::report::Report;
use crate::backoff::{ReconnectPolicy, WatchEnd};

/// A watch that receives no line for this long has timed out. Discovery sends an empty line every 2 s.
const LINE_TIMEOUT: Duration = Duration::from_millis(2750);
/// An agent that has something to send begins its response within this time after the request was sent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// A watch that was open for longer than this counts as healthy even if it brought no update.
const MIN_HEALTHY_WATCH_AGE: Duration = Duration::from_millis(5500);
/// A connection that breaks within this time after the call was opened belongs to a server that is not
/// serving calls, so the call counts as one that never reached it ([`CallFailure::Unreachable`]).
const IMMEDIATE_END_LIMIT: Duration = Duration::from_millis(5);
/// Watches at a superseded address are closed after this time.
const SUPERSEDED_WATCH_LIFETIME: Duration = Duration::from_secs(5);

/// The phase of the supervised address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AddressPhase {
    /// It is the current address.
    Active,
    /// Another address is the current one; open watches stay open until `until`.
    Superseded { until: Instant },
    /// Another address is the current one, and the watches at this one have reached their lifetime.
    Expired,
}

/// An open watch.
#[derive(Clone, Copy, Debug)]
struct Watch {
    /// The revision after which it requested changes.
    after_revision: u64,
    /// Whether it has received a well-formed line, which may be empty.
    received_line: bool,
}

/// The state of the current watch.
#[derive(Clone, Copy, Debug)]
enum CurrentWatch {
    /// No watch is open; the next one is opened at `open_at`.
    Waiting { open_at: Instant },
    /// A watch is open; it times out at `times_out_at` unless a line arrives before.
    Open { watch: Watch, times_out_at: Instant },
}

/// The state of a call's request.
#[derive(Clone, Copy, Debug)]
enum RequestState {
    /// No call is open.
    NoCall,
    /// The connection is not established yet.
    Connecting,
    /// The request was sent at this time.
    Sent(Instant),
}

impl RequestState {
    fn from_progress(call: Option<CallProgress>) -> Self {
        match call {
            None => Self::NoCall,
            Some(CallProgress { sent_at: None, .. }) => Self::Connecting,
            Some(CallProgress { sent_at: Some(sent_at), .. }) => Self::Sent(sent_at),
        }
    }
}

/// The supervisor of all calls at one address.
#[derive(Debug)]
pub(super) struct WatchSupervisor {
    mode: EndpointListMode,
    policy: ReconnectPolicy,
    address_phase: AddressPhase,
    current: CurrentWatch,
    timed_out: Option<Watch>,
    confirmation_open: bool,
    /// The last known revision.
    revision: u64,
    /// When [`Event::AnswerTimeout`] is due. `None` once an answer has arrived or the timeout was handled.
    answer_deadline: Option<Instant>,
    /// Whether neither a line nor the lack of an answer has been recorded yet.
    awaits_first_report: bool,
}

impl WatchSupervisor {
    /// Returns a supervisor that knows `revision`, and the first actions to carry out. The first watch is
    /// opened after the policy's first delay.
    pub(super) fn start(
        mode: EndpointListMode,
        revision: u64,
        mut policy: ReconnectPolicy,
        now: Instant,
    ) -> (Self, Vec<Action>) {
        let open_at = now + policy.first_delay();
        let supervisor = Self {
            mode,
            policy,
            address_phase: AddressPhase::Active,
            current: CurrentWatch::Waiting { open_at },
            timed_out: None,
            confirmation_open: false,
            revision,
            answer_deadline: None,
            awaits_first_report: true,
        };
        let actions = match supervisor.is_streamed() {
            true => Vec::new(),
            // No watch is open until the policy's first delay has passed.
            false => vec![Action::Report(Report::WatchClosed)],
        };
        (supervisor, actions)
    }

    /// Returns whether the address is the current one.
    pub(super) fn is_active(&self) -> bool {
        self.address_phase == AddressPhase::Active
    }

    /// Returns whether the address is superseded and all its watches have ended.
    pub(super) fn is_finished(&self) -> bool {
        let watch_open = matches!(self.current, CurrentWatch::Open { .. }) || self.timed_out.is_some();
        match self.address_phase {
            AddressPhase::Active => false,
            AddressPhase::Superseded { .. } => !watch_open,
            AddressPhase::Expired => true,
        }
    }

    /// Returns when [`Event::AnswerTimeout`] is due; `None` if no answer is awaited.
    pub(super) fn answer_deadline(&self) -> Option<Instant> {
        self.answer_deadline
    }

    /// Returns when [`Event::Timeout`] is due.
    pub(super) fn deadline(&self) -> Instant {
        match (self.address_phase, self.current) {
            (AddressPhase::Superseded { until }, _) => until,
            (_, CurrentWatch::Waiting { open_at }) => open_at,
            (_, CurrentWatch::Open { times_out_at, .. }) => times_out_at,
        }
    }

    /// Handles an event at the time `now` and returns the actions to carry out, in order.
    pub(super) fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Superseded => {
                self.address_phase = AddressPhase::Superseded { until: now + SUPERSEDED_WATCH_LIFETIME };
            }
            Event::Line { slot, line } => {
                self.make_sender_current(slot, now, &mut actions);
                self.record_line(line, now, &mut actions);
            }
            Event::Ended { slot: CallSlot::Current, progress } => {
                self.on_current_ended(&progress, now, &mut actions);
            }
            Event::Ended { slot: CallSlot::Confirmation, .. } => {
                self.on_confirmation_ended(now, &mut actions);
            }
            Event::Ended { slot: CallSlot::TimedOut, .. } => {
                self.close_timed_out(&mut actions);
            }
            Event::AnswerTimeout { line_waiting, current, confirmation } => {
                self.answer_deadline = None;
                if !line_waiting {
                    self.on_answer_timeout(current, confirmation, now, &mut actions);
                }
            }
            Event::Timeout { current } => self.on_timeout(current, now, &mut actions),
        }
        actions
    }

    fn is_streamed(&self) -> bool {
        self.mode == EndpointListMode::Streamed
    }

    /// Makes the watch that sent a line the current one, closes the other watch, and restarts the timeout. A
    /// line of the current watch also closes the confirmation, and a line of the confirmation closes only
    /// that.
    fn make_sender_current(&mut self, slot: CallSlot, now: Instant, actions: &mut Vec<Action>) {
        let next_timeout = now + LINE_TIMEOUT;
        match slot {
            CallSlot::Current => {
                self.close_confirmation(actions);
                if let CurrentWatch::Open { times_out_at, .. } = &mut self.current {
                    *times_out_at = next_timeout;
                }
                self.close_timed_out(actions);
            }
            CallSlot::TimedOut => {
                if let Some(watch) = self.timed_out.take() {
                    self.current = CurrentWatch::Open { watch, times_out_at: next_timeout };
                    actions.push(Action::MakeTimedOutCurrent);
                }
            }
            CallSlot::Confirmation => self.close_confirmation(actions),
        }
    }

    /// Reports the update in a line and, at the current address, the contact with discovery.
    fn record_line(&mut self, line: Line, now: Instant, actions: &mut Vec<Action>) {
        self.answer_deadline = None;
        self.awaits_first_report = false;
        if line == Line::Malformed {
            return;
        }
        if let Line::Update(update) = line {
            self.revision = update.revision;
            actions.push(Action::Report(Report::Update(update)));
        }
        if let CurrentWatch::Open { watch, .. } = &mut self.current {
            watch.received_line = true;
        }
        // A line of a superseded address does not show whether the current address has anything to send, so
        // it must not renew the endpoint lease.
        if self.is_active() {
            actions.push(Action::Report(Report::Contact(now)));
        }
    }

    fn on_current_ended(&mut self, progress: &CallProgress, now: Instant, actions: &mut Vec<Action>) {
        self.close_confirmation(actions);
        let CurrentWatch::Open { watch, .. } = self.current else { return };
        actions.push(Action::Close(CallSlot::Current));
        self.schedule_reconnect(watch, progress, now);
        if !self.is_streamed() {
            // A watch that received lines is the only one: its first line closed the timed-out one.
            let report = if watch.received_line { Report::WatchClosed } else { Report::CallFailed };
            actions.push(Action::Report(report));
        }
        // No answer can arrive on this call any more, so the answer timeout is due at once.
        self.answer_deadline = self.awaits_first_report.then_some(now);
    }

    /// Handles the end of a confirmation that received no list.
    fn on_confirmation_ended(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.close_confirmation(actions);
        self.answer_deadline = None;
        self.report_first_unanswered(now, actions);
    }

    /// Opens a confirmation if the current watch was not answered in time, and reports a contact, because the
    /// agent has nothing to send, if the confirmation was not answered in time either.
    fn on_answer_timeout(
        &mut self,
        current: Option<CallProgress>,
        confirmation: Option<CallProgress>,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        // A shared service answers its callers in turn, so it may not have reached this call yet. A watch at
        // a superseded address does not show whether the current address has anything to send.
        let current = current.filter(|_| self.is_streamed() && self.is_active());
        match (RequestState::from_progress(current), RequestState::from_progress(confirmation)) {
            (RequestState::Sent(sent_at), RequestState::NoCall) if sent_at + ANSWER_TIMEOUT <= now => {
                // An agent with nothing new does not answer, and neither does one whose connection broke at
                // the start. Calling for the complete list tells the two apart.
                self.open_confirmation(now, actions);
                return;
            }
            (RequestState::Sent(watch_sent_at), RequestState::Sent(sent_at))
                if sent_at + ANSWER_TIMEOUT <= now =>
            {
                self.close_confirmation(actions);
                actions.push(Action::Report(Report::Contact(watch_sent_at)));
            }
            // The answer timeout of the confirmation has not passed yet.
            (RequestState::Sent(_), RequestState::Sent(sent_at)) => {
                self.answer_deadline = Some(sent_at + ANSWER_TIMEOUT);
                return;
            }
            (RequestState::Sent(_), RequestState::Connecting) => {
                self.answer_deadline = Some(now + ANSWER_TIMEOUT);
                return;
            }
            // The answer timeout of the watch has not passed since its request was sent. The first missing
            // answer is reported to the core nevertheless.
            (RequestState::Sent(sent_at), RequestState::NoCall) => {
                self.answer_deadline = Some(sent_at + ANSWER_TIMEOUT);
            }
            (RequestState::Connecting, RequestState::NoCall) => {
                self.answer_deadline = Some(now + ANSWER_TIMEOUT);
            }
            // Without a watch whose request was sent, a missing answer says nothing about the agent.
            (RequestState::NoCall, _) | (RequestState::Connecting, _) => {}
        }
        self.report_first_unanswered(now, actions);
    }

    fn on_timeout(&mut self, progress: Option<CallProgress>, now: Instant, actions: &mut Vec<Action>) {
        match (self.address_phase, self.current, progress) {
            (AddressPhase::Superseded { .. } | AddressPhase::Expired, _, _) => {
                self.address_phase = AddressPhase::Expired;
            }
            (AddressPhase::Active, CurrentWatch::Open { watch, .. }, Some(progress)) => {
                self.on_current_timed_out(watch, &progress, now, actions);
            }
            (AddressPhase::Active, _, _) => self.open_watch(now, actions),
        }
    }

    /// Keeps the current watch as the timed-out one, or closes it if there is a timed-out one already.
    fn on_current_timed_out(
        &mut self,
        watch: Watch,
        progress: &CallProgress,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.schedule_reconnect(watch, progress, now);
        // A watch that received lines has not failed: the endpoint lease runs from its last line.
        if !self.is_streamed() && !watch.received_line {
            actions.push(Action::Report(Report::CallFailed));
        }
        if self.timed_out.is_none() {
            self.timed_out = Some(watch);
            actions.push(Action::KeepTimedOut);
        } else {
            actions.push(Action::Close(CallSlot::Current));
        }
    }

    fn open_watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.close_confirmation(actions);
        let watch = Watch { after_revision: self.revision, received_line: false };
        self.current = CurrentWatch::Open { watch, times_out_at: now + LINE_TIMEOUT };
        let awaits_answer = self.awaits_first_report || self.is_streamed();
        self.answer_deadline = awaits_answer.then(|| now + ANSWER_TIMEOUT);
        let request = ListRequest::Watch { after_revision: self.revision };
        actions.push(Action::Open { slot: CallSlot::Current, request });
    }

    fn open_confirmation(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.confirmation_open = true;
        self.answer_deadline = Some(now + ANSWER_TIMEOUT);
        actions.push(Action::Open { slot: CallSlot::Confirmation, request: ListRequest::Snapshot });
    }

    fn close_confirmation(&mut self, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.confirmation_open) {
            actions.push(Action::Close(CallSlot::Confirmation));
        }
    }

    fn close_timed_out(&mut self, actions: &mut Vec<Action>) {
        if self.timed_out.take().is_some() {
            actions.push(Action::Close(CallSlot::TimedOut));
        }
    }

    /// Schedules the next watch after a delay that depends on how this one ended.
    fn schedule_reconnect(&mut self, watch: Watch, progress: &CallProgress, now: Instant) {
        let end = classify_end(watch, progress, self.revision, now);
        self.current = CurrentWatch::Waiting { open_at: now + self.policy.next_delay(end) };
    }

    fn report_first_unanswered(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.awaits_first_report) {
            actions.push(Action::Report(Report::Unanswered(now)));
        }
    }
}

/// Classifies how a watch has ended or timed out. `revision` is the last known revision at `now`.
fn classify_end(watch: Watch, progress: &CallProgress, revision: u64, now: Instant) -> WatchEnd {
    let elapsed = now.saturating_duration_since(progress.opened_at);
    let brought_update = revision != watch.after_revision;
    if let Some(sent_at) = progress.sent_at {
        if brought_update || elapsed > MIN_HEALTHY_WATCH_AGE {
            let answer_time = |head: ResponseHead| head.received_at.saturating_duration_since(sent_at);
            return WatchEnd::Healthy { answered_in: progress.response.map_or(elapsed, answer_time) };
        }
    }
    let failure = match progress.response.map(|head| head.status) {
        Some(ResponseStatus::Rejected { retry_after }) => CallFailure::Rejected { retry_after },
        _ if progress.sent_at.is_some() && elapsed > IMMEDIATE_END_LIMIT => CallFailure::TimedOut,
        _ => CallFailure::Unreachable,
    };
    WatchEnd::Failed { failure, elapsed }
}

#[cfg(test)]
mod tests;
