//! Tests of the recorder, on a scheduler with fake nodes and on single observations.
#![cfg(test)]

use std::time::Duration;

use heathward_core::observe::{self, Observation, Observer};
use heathward_core::OperatorCommand;
use heathward_event_log::{
    event_channel, AttemptEnd, Event, EventReceiver, FailureReason, Lifecycle, NodeSecond, NodeState, Record,
    RequestOutcome, RequestRecord, ShedReason, StateChangeCause,
};
use heathward_event_recorder::{ClockSkew, Recorder};
use heathward_fakes::{full_node, http_node, member, request, rig, unused_address, Log, NodeBehavior, Rig};
use heathward_policy::{AttemptEnd as PolicyAttemptEnd, ClassId, PlanId, RequestId, VolumeId};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

async fn rig_with_recorder(members: &[String], records_requests: bool) -> (Rig, EventReceiver) {
    let rig = rig(members, None).await;
    rig.until(|counters| counters.endpoint_updates == 1).await;
    let (sender, events) = event_channel(4096);
    rig.core
        .set_observer(Some(Box::new(Recorder::new(sender, ClockSkew::default(), records_requests))))
        .await;
    (rig, events)
}

/// Stops the recorder and returns all its events.
async fn stop_and_collect(rig: &Rig, events: &EventReceiver) -> Vec<Record> {
    rig.core.set_observer(None).await;
    let deadline = Instant::now() + heathward_fakes::TEST_TIMEOUT;
    let mut records = Vec::new();
    loop {
        records.extend(events.try_iter());
        if records.last().is_some_and(|record: &Record| record.event == Event::Lifecycle(Lifecycle::Stopped))
        {
            return records;
        }
        assert!(Instant::now() < deadline, "the recorder did not stop in time: {records:?}");
        sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn each_request_and_each_attempt_is_counted_once() {
    let log = Log::default();
    let script = [NodeBehavior::Error, NodeBehavior::Serve];
    let node = http_node(0, &script, &log).await;
    let (_bound_socket, unreachable) = unused_address();
    let members = [member("s0", node, 0, "in_service", 0), member("s1", unreachable, 1, "in_service", 0)];
    let (rig, events) = rig_with_recorder(&members, true).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    assert_eq!(rig.ask(&request("consulta", 2, 0, 900, "")).await.0, 200);
    let (status, ..) = rig.ask(&request("consulta", 3, 1, 300, "")).await;
    assert!(status == 503 || status == 504, "{status}");
    let records = stop_and_collect(&rig, &events).await;
    assert!(records.windows(2).all(|pair| pair[1].sequence == pair[0].sequence + 1), "{records:?}");
    let requests = records.iter().filter_map(|record| match &record.event {
        Event::RequestEnded(request) => Some(request),
        _ => None,
    });
    let requests: Vec<_> = requests.collect();
    assert_eq!(requests.len(), 3, "{requests:?}");
    let ends = |index: usize| {
        requests[index]
            .attempts
            .iter()
            .filter_map(|attempt| attempt.end.map(|(_, end)| end))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (requests[0].outcome, ends(0)),
        (RequestOutcome::Served, vec![AttemptEnd::Error, AttemptEnd::Served])
    );
    assert_eq!((requests[1].outcome, ends(1)), (RequestOutcome::Served, vec![AttemptEnd::Served]));
    assert!(
        ends(2).iter().all(|end| *end == AttemptEnd::NotConnected) && !ends(2).is_empty(),
        "{requests:?}"
    );
    let shed = RequestOutcome::Shed(ShedReason::NotConnected);
    let failed = RequestOutcome::Failed(FailureReason::DeadlinePassed);
    assert!([shed, failed].contains(&requests[2].outcome), "{requests:?}");
    let (mut served, mut ended, mut sent) = (0, 0, 0);
    for record in &records {
        match &record.event {
            Event::ClassSecond(second) => served += second.within_objective + second.late,
            Event::NodeSecond(second) => {
                sent += second.sent;
                ended += second.attempt_ends.iter().sum::<u32>();
            }
            _ => {}
        }
    }
    let attempts = requests.iter().map(|request| request.attempts.len() as u32).sum::<u32>();
    assert_eq!((served, sent, ended), (2, attempts, attempts));
}

#[tokio::test]
async fn node_state_changes_are_recorded_with_their_cause() {
    let node = http_node(0, &[NodeBehavior::Serve], &Log::default()).await;
    let (rig, events) = rig_with_recorder(&[member("s0", node, 0, "in_service", 0)], false).await;
    rig.core.run_command(OperatorCommand::Suspend("s0".into()), false).await.unwrap().unwrap();
    rig.core.run_command(OperatorCommand::Restore("s0".into()), false).await.unwrap().unwrap();
    let records = stop_and_collect(&rig, &events).await;
    let changes = records.iter().filter_map(|record| match &record.event {
        Event::NodeStateChanged(change) => Some((change.state, change.cause)),
        _ => None,
    });
    let changes: Vec<_> = changes.collect();
    let [(initial, _), (suspended, suspend_cause), (restored, restore_cause)] = changes[..] else {
        panic!("{changes:?}")
    };
    assert_eq!(
        (initial, suspended, suspend_cause),
        (NodeState::InService, NodeState::Suspended, StateChangeCause::OperatorCommand)
    );
    assert!(
        matches!(restored, NodeState::SlowStart(_)) && restore_cause == StateChangeCause::OperatorCommand,
        "{changes:?}"
    );
}

fn ended_requests(records: &[Record]) -> Vec<&RequestRecord> {
    let ended = records.iter().filter_map(|record| match &record.event {
        Event::RequestEnded(request) => Some(request),
        _ => None,
    });
    ended.collect()
}

fn node_seconds(records: &[Record]) -> Vec<&NodeSecond> {
    let seconds = records.iter().filter_map(|record| match &record.event {
        Event::NodeSecond(second) => Some(second),
        _ => None,
    });
    seconds.collect()
}

/// Guards against an attempt that has no end in the event log and counts as in flight at its node for ever,
/// because its client disconnected while it waited for a connection.
#[tokio::test]
async fn an_attempt_that_waited_for_a_connection_is_recorded_with_its_end() {
    let node = full_node().await;
    let (rig, events) = rig_with_recorder(&[member("s0", node.address, 0, "in_service", 0)], true).await;
    let mut client = TcpStream::connect(rig.front).await.unwrap();
    client.write_all(request("consulta", 1, 0, 900, "").as_bytes()).await.unwrap();
    rig.until(|counters| counters.attempts_sent == 1).await;
    drop(client);
    let counters = rig.until(|counters| counters.client_disconnects == 1).await;
    assert_eq!(counters.attempts_written, 0);
    rig.until(|counters| counters.attempts_ended(PolicyAttemptEnd::NotSent) == 1).await;
    // Long enough that a complete second passes without any attempt.
    sleep(Duration::from_millis(2_100)).await;
    let records = stop_and_collect(&rig, &events).await;
    let [request] = ended_requests(&records)[..] else { panic!("{records:?}") };
    assert_eq!(request.outcome, RequestOutcome::ClientDisconnected);
    let [attempt] = &request.attempts[..] else { panic!("{request:?}") };
    assert_eq!(attempt.end.map(|(_, end)| end), Some(AttemptEnd::NotSent));
    let [second] = node_seconds(&records)[..] else { panic!("the attempt stays in flight: {records:?}") };
    assert_eq!((second.sent, second.attempt_ends.iter().sum::<u32>(), second.max_in_flight), (1, 1, 1));
}

/// An observation of one request that the core reports.
#[derive(Clone, Copy, Debug)]
enum Step {
    Received,
    Sent,
    NotSent,
    AttemptEnded(PolicyAttemptEnd),
    RequestEnded,
}

impl Step {
    fn observation(self) -> Observation<'static> {
        let (request, class, node) = (RequestId(1), ClassId(0), "s0");
        match self {
            Self::Received => Observation::RequestReceived {
                request,
                class,
                plan: PlanId(0),
                volume: VolumeId(1),
                units: 1,
            },
            Self::Sent => Observation::AttemptSent { request, node, slow_start_units: 0 },
            Self::NotSent => Observation::AttemptNotSent { request, node },
            Self::AttemptEnded(end) => Observation::AttemptEnded { request, node, end },
            Self::RequestEnded => Observation::RequestEnded {
                request,
                class,
                outcome: observe::RequestOutcome::ClientDisconnected,
                latency: 0,
            },
        }
    }
}

/// Guards against records without the end of an attempt, whether the attempt or its request ends first and
/// however the attempt ends, and against attempts that count as in flight after they have ended.
#[rstest]
#[case::attempt_first(
    &[Step::Sent, Step::AttemptEnded(PolicyAttemptEnd::Served), Step::RequestEnded],
    &[AttemptEnd::Served]
)]
#[case::request_first(
    &[Step::Sent, Step::RequestEnded, Step::AttemptEnded(PolicyAttemptEnd::TimedOut)],
    &[AttemptEnd::TimedOut]
)]
#[case::not_written(
    &[Step::Sent, Step::AttemptEnded(PolicyAttemptEnd::NotSent), Step::RequestEnded],
    &[AttemptEnd::NotSent]
)]
#[case::cancelled_unwritten(
    &[Step::Sent, Step::RequestEnded, Step::AttemptEnded(PolicyAttemptEnd::NotSent)],
    &[AttemptEnd::NotSent]
)]
#[case::not_sent(&[Step::NotSent, Step::RequestEnded], &[])]
#[case::retry_not_sent(
    &[Step::Sent, Step::AttemptEnded(PolicyAttemptEnd::Reset), Step::NotSent, Step::RequestEnded],
    &[AttemptEnd::Reset]
)]
#[tokio::test]
async fn each_attempt_has_one_end_and_none_stays_in_flight(
    #[case] steps: &[Step],
    #[case] ends: &[AttemptEnd],
) {
    let (sender, events) = event_channel(4096);
    let mut recorder = Recorder::new(sender, ClockSkew::default(), true);
    let start = Instant::now();
    recorder.observe(start, Step::Received.observation());
    for step in steps {
        recorder.observe(start, step.observation());
    }
    for second in 1..4 {
        recorder.observe(start + Duration::from_millis(1_100) * second, Observation::TimePassed);
    }
    drop(recorder);
    let records: Vec<Record> = events.try_iter().collect();
    let [request] = ended_requests(&records)[..] else { panic!("{records:?}") };
    let recorded: Vec<_> =
        request.attempts.iter().map(|attempt| attempt.end.expect("each attempt has an end").1).collect();
    assert_eq!(recorded, ends);
    let [second] = node_seconds(&records)[..] else { panic!("an attempt stays in flight: {records:?}") };
    let not_sent = steps.iter().filter(|step| matches!(step, Step::NotSent)).count();
    assert_eq!(second.sent as usize, ends.len());
    assert_eq!(second.attempt_ends.iter().sum::<u32>() as usize, ends.len() + not_sent);
}

/// Guards against a request that is not recorded because the recorder stops before the request's last
/// attempt has ended.
#[tokio::test]
async fn a_request_whose_attempt_is_in_flight_when_the_recorder_stops_is_recorded() {
    let (sender, events) = event_channel(4096);
    let mut recorder = Recorder::new(sender, ClockSkew::default(), true);
    for step in [Step::Received, Step::Sent, Step::RequestEnded] {
        recorder.observe(Instant::now(), step.observation());
    }
    drop(recorder);
    let records: Vec<Record> = events.try_iter().collect();
    let [request] = ended_requests(&records)[..] else { panic!("{records:?}") };
    assert_eq!(request.attempts.iter().map(|attempt| attempt.end).collect::<Vec<_>>(), [None]);
}
