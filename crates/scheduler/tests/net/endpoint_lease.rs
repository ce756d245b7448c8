//! The endpoint lease: 6 s after discovery has a change and can be reached, the scheduler must no longer
//! act on the list without it, whatever calls to discovery have failed, were refused or were given up
//! meanwhile.

use std::time::Duration;

use heathward_core::CoreMessage;
use heathward_discovery_pacing::FleetPosition;
use heathward_policy::EndpointListMode;
use heathward_transport::backoff::ReconnectPolicy;
use heathward_transport::discovery::{self, DiscoveryAddress};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use heathward_fakes::*;

/// How a discovery call that delivers no list ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallEnd {
    /// Rejected by the agent.
    Refused,
    /// Disconnected before its answer.
    Failed,
    /// Never answered, until the caller gives up. If lists are pushed, this is an agent that has nothing to
    /// report.
    GivenUp,
}

/// The scheduler must take a change into account this long after discovery has got it, at the latest: the
/// list may be used no longer after the last message, as a change may follow that message immediately.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// The allowed delay on a loaded machine. The sum is still below the 10 s for which the settings let a host
/// use a list without a call to discovery.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The setting of streamed lists, as it stands in the configuration of the stand-ins.
const PUSHED: &str = r#""discovery":"pushed","resolutionMs""#;
const POLLED: EndpointListMode = EndpointListMode::Polled { max_interval: 10_000_000 };

/// Ends all calls as `call_end` says, and keeps the connections that are never answered open.
async fn end_calls(listener: TcpListener, call_end: CallEnd) {
    let mut unanswered = Vec::new();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        match call_end {
            CallEnd::Refused => {
                let _ = read_message(&mut stream).await;
                let answer = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
                let _ = stream.write_all(answer.as_bytes()).await;
            }
            CallEnd::Failed => drop(read_message(&mut stream).await),
            CallEnd::GivenUp => unanswered.push(stream),
        }
    }
}

/// A change follows the last message, and this host does not receive it, as its calls fail although discovery
/// can be reached. Guards against a longer use of the list because of these calls.
#[rstest]
#[case::refused(CallEnd::Refused)]
#[case::failed(CallEnd::Failed)]
#[tokio::test]
async fn a_failed_discovery_call_does_not_extend_the_endpoint_lease(#[case] call_end: CallEnd) {
    let used_for = list_used_for(EndpointListMode::Streamed, call_end).await;
    assert!(used_for < NOTIFIED_WITHIN + MAX_DELAY, "used the list for {used_for:?}");
}

/// Guards against use of a polled list for as long as the settings allow a host that has not called, if its
/// calls fail.
#[tokio::test]
async fn a_failed_discovery_call_does_not_extend_the_lease_of_a_polled_list() {
    let used_for = tokio::join!(
        list_used_for(POLLED, CallEnd::Refused),
        list_used_for(POLLED, CallEnd::Failed),
        list_used_for(POLLED, CallEnd::GivenUp)
    );
    let used_for = [used_for.0, used_for.1, used_for.2];
    assert!(
        used_for.iter().all(|span| *span < NOTIFIED_WITHIN + MAX_DELAY),
        "used the list for {used_for:?}"
    );
}

/// Returns how long after the last message the list was used.
async fn list_used_for(mode: EndpointListMode, call_end: CallEnd) -> Duration {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let member = member("s0", node, 0, "in_service", 0);
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member).replacen(
        r#""safety":{"#,
        r#""safety":{"stopSendingWithinMs":250,"mustAskInMs":10000.0,"#,
        1,
    );
    let text = match mode {
        EndpointListMode::Streamed => text,
        EndpointListMode::Polled { .. } => text.replace(PUSHED, &PUSHED.replace("pushed", "on_request")),
    };
    let rig = rig_of(&text, None).await;
    let (listener, address) = listen().await;
    let (_keep, addresses) = watch::channel(DiscoveryAddress::from_now(address));
    let reconnect_policy = ReconnectPolicy::new(mode, FleetPosition { scheduler_index: 0, schedulers: 1 }, 1);
    tokio::spawn(discovery::watch_endpoints(
        addresses,
        7,
        mode,
        rig.core.discovery_sender(),
        reconnect_policy,
    ));
    let (mut watch, _) = watched(&listener).await;
    tell(&mut watch, "\n").await;
    let last_message_at = Instant::now();
    rig.until_ready(true).await;
    drop(watch);
    let ending = tokio::spawn(end_calls(listener, call_end));
    rig.until_ready(false).await;
    ending.abort();
    last_message_at.elapsed()
}

/// Guards against a closed watch that counts as a failed call, and against a failed call that counts as a
/// closed watch, if lists are polled.
#[tokio::test]
async fn the_core_is_notified_whether_a_watch_ended_or_a_call_failed() {
    let (listener, address) = listen().await;
    let (_keep, addresses) = watch::channel(DiscoveryAddress::from_now(address));
    let (core, mut messages) = mpsc::channel(16);
    let reconnect_policy =
        ReconnectPolicy::new(POLLED, FleetPosition { scheduler_index: 0, schedulers: 1 }, 1);
    tokio::spawn(discovery::watch_endpoints(addresses, 7, POLLED, core, reconnect_policy));
    assert!(matches!(messages.recv().await, Some(CoreMessage::WatchClosed)), "no call was made yet");
    let (mut open_watch, _) = watched(&listener).await;
    tell(&mut open_watch, "\n").await;
    assert!(matches!(messages.recv().await, Some(CoreMessage::DiscoveryContact(_))));
    drop(open_watch);
    assert!(
        matches!(messages.recv().await, Some(CoreMessage::WatchClosed)),
        "a watch that delivered a line ended"
    );
    let (without_a_line, _) = watched(&listener).await;
    drop(without_a_line);
    assert!(
        matches!(messages.recv().await, Some(CoreMessage::DiscoveryCallFailed)),
        "a watch without a line is a failed call"
    );
    let (_unanswered, _) = listener.accept().await.unwrap();
    assert!(matches!(messages.recv().await, Some(CoreMessage::DiscoveryCallFailed)), "a call that timed out");
    drop(listener);
    assert!(matches!(messages.recv().await, Some(CoreMessage::DiscoveryCallFailed)), "nothing listens there");
}
