use heathward_core::EndpointUpdate;
use heathward_discovery_pacing::FleetPosition;
use heathward_policy::EndpointUpdateKind;
use rstest::rstest;

use super::*;

const STREAMED: EndpointListMode = EndpointListMode::Streamed;
const POLLED: EndpointListMode = EndpointListMode::Polled { max_interval: 10_000_000 };
const MILLISECOND: Duration = Duration::from_millis(1);
const KNOWN_REVISION: u64 = 7;

const WATCH_REQUEST: ListRequest = ListRequest::Watch { after_revision: KNOWN_REVISION };
const OPEN_WATCH: Action = Action::Open { slot: CallSlot::Current, request: WATCH_REQUEST };
const OPEN_CONFIRMATION: Action =
    Action::Open { slot: CallSlot::Confirmation, request: ListRequest::Snapshot };

/// A supervisor in a fleet of one scheduler, with a clock that only the test advances.
struct Scenario {
    supervisor: WatchSupervisor,
    now: Instant,
    /// When the current watch was opened.
    opened_at: Instant,
}

impl Scenario {
    /// Returns a scenario before its first watch, and the first actions.
    fn new(mode: EndpointListMode) -> (Self, Vec<Action>) {
        let position = FleetPosition { scheduler_index: 0, schedulers: 1 };
        let now = Instant::now();
        let policy = ReconnectPolicy::new(mode, position, 1);
        let (supervisor, actions) = WatchSupervisor::start(mode, KNOWN_REVISION, policy, now);
        (Self { supervisor, now, opened_at: now }, actions)
    }

    /// Returns a scenario with an open watch.
    fn with_open_watch(mode: EndpointListMode) -> Self {
        let (mut scenario, _) = Self::new(mode);
        assert_eq!(scenario.reach_deadline(), [OPEN_WATCH]);
        scenario
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let actions = self.supervisor.handle(event, self.now);
        if actions.iter().any(|action| matches!(action, Action::Open { slot: CallSlot::Current, .. })) {
            self.opened_at = self.now;
        }
        actions
    }

    fn receive_line(&mut self, slot: CallSlot, line: Line) -> Vec<Action> {
        self.handle(Event::Line { slot, line })
    }

    /// Returns the progress of a call whose request was sent at once and that has no response.
    fn sent_progress(&self) -> CallProgress {
        CallProgress { opened_at: self.opened_at, sent_at: Some(self.opened_at), response: None }
    }

    fn end_call(&mut self, slot: CallSlot) -> Vec<Action> {
        let progress = self.sent_progress();
        self.handle(Event::Ended { slot, progress })
    }

    /// Advances the clock to the deadline of the current watch or of the reconnect, and handles the timeout.
    fn reach_deadline(&mut self) -> Vec<Action> {
        self.now = self.supervisor.deadline();
        let current =
            matches!(self.supervisor.current, CurrentWatch::Open { .. }).then(|| self.sent_progress());
        self.handle(Event::Timeout { current })
    }

    /// Advances the clock to the answer deadline, and handles the timeout without a waiting line.
    fn reach_answer_deadline(
        &mut self,
        current: Option<CallProgress>,
        confirmation: Option<CallProgress>,
    ) -> Vec<Action> {
        self.now = self.supervisor.answer_deadline().expect("an answer is due");
        self.handle(Event::AnswerTimeout { line_waiting: false, current, confirmation })
    }
}

fn update(revision: u64) -> EndpointUpdate {
    EndpointUpdate { revision, kind: EndpointUpdateKind::Changes, endpoints: Vec::new() }
}

#[test]
fn a_streamed_list_is_watched_at_once() {
    let (mut scenario, actions) = Scenario::new(STREAMED);
    assert_eq!(actions, []);
    assert_eq!(scenario.supervisor.deadline(), scenario.now);
    assert_eq!(scenario.reach_deadline(), [OPEN_WATCH]);
}

#[test]
fn no_watch_of_a_polled_list_is_open_before_the_first_delay() {
    let (mut scenario, actions) = Scenario::new(POLLED);
    assert_eq!(actions, [Action::Report(Report::WatchClosed)]);
    assert!(scenario.supervisor.deadline() > scenario.now);
    assert_eq!(scenario.reach_deadline(), [OPEN_WATCH]);
}

#[test]
fn an_empty_line_is_reported_as_contact() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    scenario.now += 10 * MILLISECOND;
    let contact = Action::Report(Report::Contact(scenario.now));
    assert_eq!(scenario.receive_line(CallSlot::Current, Line::KeepAlive), [contact]);
    assert_eq!(scenario.supervisor.answer_deadline(), None);
    assert_eq!(scenario.supervisor.deadline(), scenario.now + LINE_TIMEOUT);
}

#[test]
fn an_update_is_reported_before_its_contact_and_the_next_watch_requests_later_revisions() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    let actions = scenario.receive_line(CallSlot::Current, Line::Update(update(9)));
    let contact = Action::Report(Report::Contact(scenario.now));
    assert_eq!(actions, [Action::Report(Report::Update(update(9))), contact]);
    scenario.end_call(CallSlot::Current);
    let request = ListRequest::Watch { after_revision: 9 };
    assert_eq!(scenario.reach_deadline(), [Action::Open { slot: CallSlot::Current, request }]);
}

#[test]
fn a_malformed_line_is_not_reported_and_counts_as_an_answer() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    assert_eq!(scenario.receive_line(CallSlot::Current, Line::Malformed), []);
    assert_eq!(scenario.supervisor.answer_deadline(), None);
}

#[test]
fn an_unanswered_streamed_watch_counts_as_idle_only_once_a_confirmation_is_unanswered_too() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    let current = scenario.sent_progress();
    assert_eq!(scenario.reach_answer_deadline(Some(current), None), [OPEN_CONFIRMATION]);
    let confirmation = CallProgress { sent_at: Some(scenario.now), ..current };
    let actions = scenario.reach_answer_deadline(Some(current), Some(confirmation));
    let expected = [
        Action::Close(CallSlot::Confirmation),
        Action::Report(Report::Contact(scenario.opened_at)),
        Action::Report(Report::Unanswered(scenario.now)),
    ];
    assert_eq!(actions, expected);
    assert_eq!(scenario.supervisor.answer_deadline(), None);
}

#[test]
fn the_answer_timeout_of_a_confirmation_starts_when_it_is_sent() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    let current = scenario.sent_progress();
    scenario.reach_answer_deadline(Some(current), None);
    let sent_at = scenario.now + 100 * MILLISECOND;
    let late_confirmation = CallProgress { sent_at: Some(sent_at), ..current };
    assert_eq!(scenario.reach_answer_deadline(Some(current), Some(late_confirmation)), []);
    assert_eq!(scenario.supervisor.answer_deadline(), Some(sent_at + ANSWER_TIMEOUT));
}

#[test]
fn a_watch_that_is_not_connected_yet_is_reported_unanswered_and_checked_later() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    let connecting = CallProgress { sent_at: None, ..scenario.sent_progress() };
    let actions = scenario.reach_answer_deadline(Some(connecting), None);
    assert_eq!(actions, [Action::Report(Report::Unanswered(scenario.now))]);
    assert_eq!(scenario.supervisor.answer_deadline(), Some(scenario.now + ANSWER_TIMEOUT));
}

#[test]
fn an_unanswered_polled_watch_is_reported_once_without_a_confirmation() {
    let mut scenario = Scenario::with_open_watch(POLLED);
    let current = scenario.sent_progress();
    let actions = scenario.reach_answer_deadline(Some(current), None);
    assert_eq!(actions, [Action::Report(Report::Unanswered(scenario.now))]);
    assert_eq!(scenario.supervisor.answer_deadline(), None);
}

#[test]
fn a_line_that_has_arrived_by_the_answer_deadline_is_an_answer() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    let current = Some(scenario.sent_progress());
    scenario.now += ANSWER_TIMEOUT;
    let event = Event::AnswerTimeout { line_waiting: true, current, confirmation: None };
    assert_eq!(scenario.handle(event), []);
    assert_eq!(scenario.supervisor.answer_deadline(), None);
}

#[test]
fn a_confirmation_that_ends_without_a_list_is_reported_as_unanswered() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    let current = scenario.sent_progress();
    scenario.reach_answer_deadline(Some(current), None);
    let expected = [Action::Close(CallSlot::Confirmation), Action::Report(Report::Unanswered(scenario.now))];
    assert_eq!(scenario.end_call(CallSlot::Confirmation), expected);
    assert_eq!(scenario.supervisor.answer_deadline(), None);
}

#[test]
fn a_line_of_the_current_watch_closes_its_confirmation() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    let current = scenario.sent_progress();
    scenario.reach_answer_deadline(Some(current), None);
    let contact = Action::Report(Report::Contact(scenario.now));
    let expected = [Action::Close(CallSlot::Confirmation), contact];
    assert_eq!(scenario.receive_line(CallSlot::Current, Line::KeepAlive), expected);
}

#[test]
fn a_timed_out_watch_stays_open_until_the_next_one_sends_a_line() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    assert_eq!(scenario.reach_deadline(), [Action::KeepTimedOut]);
    assert_eq!(scenario.reach_deadline(), [OPEN_WATCH]);
    let contact = Action::Report(Report::Contact(scenario.now));
    let expected = [Action::Close(CallSlot::TimedOut), contact];
    assert_eq!(scenario.receive_line(CallSlot::Current, Line::KeepAlive), expected);
}

#[test]
fn a_line_of_the_timed_out_watch_makes_it_the_current_one() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    scenario.reach_deadline();
    scenario.reach_deadline();
    let contact = Action::Report(Report::Contact(scenario.now));
    assert_eq!(
        scenario.receive_line(CallSlot::TimedOut, Line::KeepAlive),
        [Action::MakeTimedOutCurrent, contact]
    );
    assert_eq!(scenario.supervisor.deadline(), scenario.now + LINE_TIMEOUT);
    assert!(scenario.supervisor.timed_out.is_none());
}

#[test]
fn only_the_first_timed_out_watch_stays_open() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    scenario.reach_deadline();
    scenario.reach_deadline();
    assert_eq!(scenario.reach_deadline(), [Action::Close(CallSlot::Current)]);
    assert!(scenario.supervisor.timed_out.is_some());
}

#[rstest]
#[case::without_a_line(POLLED, false, &[Report::CallFailed])]
#[case::after_a_line(POLLED, true, &[Report::WatchClosed])]
#[case::streamed_without_a_line(STREAMED, false, &[])]
#[case::streamed_after_a_line(STREAMED, true, &[])]
fn the_end_of_a_watch_is_reported_where_lists_are_polled(
    #[case] mode: EndpointListMode,
    #[case] received_line: bool,
    #[case] reports: &[Report],
) {
    let mut scenario = Scenario::with_open_watch(mode);
    if received_line {
        scenario.receive_line(CallSlot::Current, Line::KeepAlive);
    }
    let reports = reports.iter().cloned().map(Action::Report);
    let expected: Vec<_> = [Action::Close(CallSlot::Current)].into_iter().chain(reports).collect();
    assert_eq!(scenario.end_call(CallSlot::Current), expected);
}

#[test]
fn a_polled_call_that_is_not_answered_in_time_has_failed() {
    let mut scenario = Scenario::with_open_watch(POLLED);
    let expected = [Action::Report(Report::CallFailed), Action::KeepTimedOut];
    assert_eq!(scenario.reach_deadline(), expected);
}

#[test]
fn a_first_watch_that_ends_is_reported_as_unanswered_at_once() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    scenario.now += 10 * MILLISECOND;
    assert_eq!(scenario.end_call(CallSlot::Current), [Action::Close(CallSlot::Current)]);
    assert_eq!(scenario.supervisor.answer_deadline(), Some(scenario.now));
    assert_eq!(
        scenario.reach_answer_deadline(None, None),
        [Action::Report(Report::Unanswered(scenario.now))]
    );
}

#[test]
fn a_superseded_address_delivers_updates_until_its_watch_ends() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    assert_eq!(scenario.handle(Event::Superseded), []);
    assert!(!scenario.supervisor.is_active() && !scenario.supervisor.is_finished());
    assert_eq!(scenario.receive_line(CallSlot::Current, Line::KeepAlive), [], "no contact");
    let actions = scenario.receive_line(CallSlot::Current, Line::Update(update(9)));
    assert_eq!(actions, [Action::Report(Report::Update(update(9)))]);
    scenario.end_call(CallSlot::Current);
    assert!(scenario.supervisor.is_finished());
}

#[test]
fn watches_at_a_superseded_address_end_after_their_lifetime() {
    let mut scenario = Scenario::with_open_watch(STREAMED);
    scenario.handle(Event::Superseded);
    assert_eq!(scenario.supervisor.deadline(), scenario.now + SUPERSEDED_WATCH_LIFETIME);
    assert_eq!(scenario.reach_deadline(), []);
    assert!(scenario.supervisor.is_finished());
}

#[test]
fn an_address_that_is_superseded_between_two_watches_is_finished_at_once() {
    let (mut scenario, _) = Scenario::new(POLLED);
    scenario.handle(Event::Superseded);
    assert!(scenario.supervisor.is_finished());
}

const NOT_SENT: Option<u64> = None;
const REJECTED: ResponseStatus = ResponseStatus::Rejected { retry_after: Some(Duration::from_secs(3)) };

/// Times are in milliseconds after the call was opened.
#[rstest]
#[case::never_connected(NOT_SENT, None, false, 90, failed(CallFailure::Unreachable, 90))]
#[case::broken_off_at_once(Some(1), None, false, 5, failed(CallFailure::Unreachable, 5))]
#[case::no_answer(Some(1), None, false, 6, failed(CallFailure::TimedOut, 6))]
#[case::rejected(Some(1), Some((4, REJECTED)), false, 4, failed(REJECTED_CALL, 4))]
#[case::nothing_new(Some(1), Some((4, ResponseStatus::Ok)), false, 5500, failed(CallFailure::TimedOut, 5500))]
#[case::open_for_long(Some(1), Some((4, ResponseStatus::Ok)), false, 5501, healthy(3))]
#[case::open_for_long_without_answer(Some(1), None, false, 5501, healthy(5501))]
#[case::brought_an_update(Some(1), Some((4, ResponseStatus::Ok)), true, 5, healthy(3))]
fn the_end_of_a_call_is_classified_by_its_progress_and_age(
    #[case] sent_ms: Option<u64>,
    #[case] response: Option<(u64, ResponseStatus)>,
    #[case] brought_update: bool,
    #[case] ended_ms: u64,
    #[case] expected: WatchEnd,
) {
    let opened_at = Instant::now();
    let after = |ms| opened_at + Duration::from_millis(ms);
    let progress = CallProgress {
        opened_at,
        sent_at: sent_ms.map(after),
        response: response.map(|(ms, status)| ResponseHead { received_at: after(ms), status }),
    };
    let watch = Watch { after_revision: KNOWN_REVISION, received_line: false };
    let revision = KNOWN_REVISION + u64::from(brought_update);
    assert_eq!(classify_end(watch, &progress, revision, after(ended_ms)), expected);
}

const REJECTED_CALL: CallFailure = CallFailure::Rejected { retry_after: Some(Duration::from_secs(3)) };

fn failed(failure: CallFailure, ms: u64) -> WatchEnd {
    WatchEnd::Failed { failure, elapsed: Duration::from_millis(ms) }
}

fn healthy(ms: u64) -> WatchEnd {
    WatchEnd::Healthy { answered_in: Duration::from_millis(ms) }
}
