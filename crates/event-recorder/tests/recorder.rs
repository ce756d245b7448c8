//! What the recorder records of a scheduler with fake nodes.
#![cfg(test)]

use std::time::Duration;

use heathward_core::OperatorCommand;
use heathward_event_log::{
    event_channel, AttemptEnd, Event, EventReceiver, FailureReason, Lifecycle, NodeState, Record,
    RequestOutcome, ShedReason, StateChangeCause,
};
use heathward_event_recorder::{Clock, Recorder};
use heathward_fakes::{http_node, member, nobody, request, rig, Does, Log, Rig};
use tokio::time::{sleep, Instant};

async fn recorded(members: &[String], requests: bool) -> (Rig, EventReceiver) {
    let rig = rig(members, None).await;
    rig.until(|counters| counters.endpoint_updates == 1).await;
    let (sender, waiting) = event_channel(4096);
    rig.core.set_observer(Some(Box::new(Recorder::new(sender, Clock::default(), requests)))).await;
    (rig, waiting)
}

/// All events until the recorder has ended.
async fn all(rig: &Rig, waiting: &EventReceiver) -> Vec<Record> {
    rig.core.set_observer(None).await;
    let by = Instant::now() + heathward_fakes::PATIENCE;
    let mut records = Vec::new();
    loop {
        records.extend(waiting.try_iter());
        if records.last().is_some_and(|r: &Record| r.event == Event::Lifecycle(Lifecycle::Stopped)) {
            return records;
        }
        assert!(Instant::now() < by, "never ended: {records:?}");
        sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn each_request_and_each_attempt_is_counted_once() {
    let log = Log::default();
    let script = [Does::Error, Does::Serve];
    let node = http_node(0, &script, &log).await;
    let (_kept, gone) = nobody();
    let members = [member("s0", node, 0, "in_service", 0), member("s1", gone, 1, "in_service", 0)];
    let (rig, waiting) = recorded(&members, true).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    assert_eq!(rig.ask(&request("consulta", 2, 0, 900, "")).await.0, 200);
    let (status, ..) = rig.ask(&request("consulta", 3, 1, 300, "")).await;
    assert!(status == 503 || status == 504, "{status}");
    let records = all(&rig, &waiting).await;
    assert!(records.windows(2).all(|pair| pair[1].sequence == pair[0].sequence + 1), "{records:?}");
    let requests = records.iter().filter_map(|r| match &r.event {
        Event::RequestEnded(done) => Some(done),
        _ => None,
    });
    let requests: Vec<_> = requests.collect();
    assert_eq!(requests.len(), 3, "{requests:?}");
    let ends =
        |at: usize| requests[at].attempts.iter().filter_map(|a| a.end.map(|(_, e)| e)).collect::<Vec<_>>();
    assert_eq!(
        (requests[0].outcome, ends(0)),
        (RequestOutcome::Served, vec![AttemptEnd::Error, AttemptEnd::Served])
    );
    assert_eq!((requests[1].outcome, ends(1)), (RequestOutcome::Served, vec![AttemptEnd::Served]));
    assert!(
        ends(2).iter().all(|end| *end == AttemptEnd::NotConnected) && !ends(2).is_empty(),
        "{requests:?}"
    );
    let refused = RequestOutcome::Shed(ShedReason::NotConnected);
    let failed = RequestOutcome::Failed(FailureReason::DeadlinePassed);
    assert!([refused, failed].contains(&requests[2].outcome), "{requests:?}");
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
    let attempts = requests.iter().map(|r| r.attempts.len() as u32).sum::<u32>();
    assert_eq!((served, sent, ended), (2, attempts, attempts));
}

#[tokio::test]
async fn node_state_changes_are_recorded_with_their_cause() {
    let node = http_node(0, &[Does::Serve], &Log::default()).await;
    let (rig, waiting) = recorded(&[member("s0", node, 0, "in_service", 0)], false).await;
    rig.core.run_command(OperatorCommand::Suspend("s0".into()), false).await.unwrap().unwrap();
    rig.core.run_command(OperatorCommand::Restore("s0".into()), false).await.unwrap().unwrap();
    let records = all(&rig, &waiting).await;
    let changes = records.iter().filter_map(|r| match &r.event {
        Event::NodeStateChanged(change) => Some((change.state, change.cause)),
        _ => None,
    });
    let changes: Vec<_> = changes.collect();
    let [(first, _), (out, by), (back, again)] = changes[..] else { panic!("{changes:?}") };
    assert_eq!(
        (first, out, by),
        (NodeState::InService, NodeState::Suspended, StateChangeCause::OperatorCommand)
    );
    assert!(
        matches!(back, NodeState::SlowStart(_)) && again == StateChangeCause::OperatorCommand,
        "{changes:?}"
    );
}
