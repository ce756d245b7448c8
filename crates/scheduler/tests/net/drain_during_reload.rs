//! A drain that arrives during a reload: the process is stopped while both arrive, and finds both at the same
//! time.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::time::{sleep, timeout, Instant};

use crate::support::{
    replace_by_pipe, send_signal, start_program, status_of_read, wait_until_listening, write_config,
};
use heathward_fakes::*;

/// The agent that reports the drain, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DrainReport {
    /// The agent before the reload, together with the signal.
    OldAgent,
    /// The agent before the reload, after the new one has been called.
    OldAgentAfterCall,
    /// The new agent, in its first line.
    NewAgent,
    /// The new agent, whose first message is a complete list on several lines.
    NewAgentCompleteList,
}

/// The time within which the scheduler must apply a change after the agent has sent it.
const GRACE: Duration = Duration::from_millis(250);

/// Guards against a drain that is lost between two agents, or undone by an older revision of the other agent.
#[rstest]
#[tokio::test]
async fn a_drain_that_arrives_during_a_reload_is_applied(
    #[values(
        DrainReport::OldAgent,
        DrainReport::OldAgentAfterCall,
        DrainReport::NewAgent,
        DrainReport::NewAgentCompleteList
    )]
    drain_report: DrainReport,
) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let members = member("s0", node, 0, "in_service", 0).replace('\n', "");
    let ((old_agent, old_address), (new_agent, new_address)) = (listen().await, listen().await);
    let name = format!("crossed{drain_report:?}");
    let path = write_config(&name, &config_text("127.0.0.1:0", &old_address.to_string(), &members));
    let (mut child, _lines, address) = wait_until_listening(start_program(&path, &[]));
    let (mut old_watch, _) = watched(&old_agent).await;
    tell(&mut old_watch, "\n").await;
    assert_eq!(status_of_read(address, 1, 0).await, 200);
    let drained = members.replace("in_service", "terminating");
    let change = format!("{{\"revision\":9,\"complete\":false,\"members\":[{drained}]}}\n");
    let complete_list =
        format!("{{\n \"revision\": 9,\n \"complete\": true,\n \"members\": [\n{drained}\n]}}\n");
    send_signal(&child, "-STOP");
    write_config(&name, &config_text("127.0.0.1:0", &new_address.to_string(), &members));
    if drain_report == DrainReport::OldAgent {
        tell(&mut old_watch, &change).await;
    }
    send_signal(&child, "-HUP");
    send_signal(&child, "-CONT");
    let (mut new_watch, head) = watched(&new_agent).await;
    match drain_report {
        DrainReport::OldAgent => {}
        DrainReport::OldAgentAfterCall => tell(&mut old_watch, &change).await,
        DrainReport::NewAgent => tell(&mut new_watch, &change).await,
        DrainReport::NewAgentCompleteList => tell(&mut new_watch, &complete_list).await,
    }
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut call = 2;
    while status_of_read(address, call, 0).await == 200 {
        assert!(Instant::now() < deadline, "the drain is not applied: {head}");
        call += 1;
    }
    // An older revision of the other agent does not undo it.
    let stale = format!("{{\"revision\":8,\"complete\":true,\"members\":[{members}]}}\n");
    tell(if drain_report == DrainReport::OldAgent { &mut new_watch } else { &mut old_watch }, &stale).await;
    sleep(GRACE).await;
    let forwarded = log.all().len();
    assert_eq!(status_of_read(address, call + 1, 0).await, 503);
    assert_eq!(log.all().len(), forwarded, "a request was sent to a draining node");
    child.kill().unwrap();
    child.wait().unwrap();
}

/// How long after SIGHUP the old list may be used if discovery has moved.
const LEASE_AFTER_SIGHUP: Duration = Duration::from_secs(4);

/// Guards against a lease that counts from the end of a reload and not from SIGHUP: reading the configuration
/// takes a second, and nothing listens at the new address.
#[tokio::test]
async fn the_lease_after_a_discovery_move_counts_from_sighup() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let members = member("s0", node, 0, "in_service", 0);
    let ((old_agent, old_address), (_reserved_socket, unused_address)) = (listen().await, unused_address());
    let text = |discovery: SocketAddr| {
        let text = config_text("127.0.0.1:0", &discovery.to_string(), &members);
        text.replacen(r#""safety":{"#, r#""safety":{"stopSendingWithinMs":250,"#, 1)
    };
    let config = write_config("lease-sighup", &text(old_address));
    let operator = write_config("lease-sighup-operator", "{}");
    let arguments = ["--operator", operator.to_str().unwrap()];
    let (mut child, _lines, address) = wait_until_listening(start_program(&config, &arguments));
    let (mut watch, _) = watched(&old_agent).await;
    tell(&mut watch, "\n").await;
    let mut call = 0;
    while status_of_read(address, call, 0).await != 200 {
        call += 1;
    }
    tell(&mut watch, "\n").await;
    let reload = replace_by_pipe(&config);
    let signalled = Instant::now();
    send_signal(&child, "-HUP");
    let mut file = timeout(TEST_TIMEOUT, reload).await.expect("a reload").unwrap();
    sleep(Duration::from_secs(1)).await;
    file.write_all(text(unused_address).as_bytes()).unwrap();
    drop(file);
    while status_of_read(address, call + 1, 0).await == 200 {
        call += 1;
        assert!(signalled.elapsed() < TEST_TIMEOUT, "the lease does not end");
    }
    let last_sent_at = log.all().last().unwrap().at;
    child.kill().unwrap();
    child.wait().unwrap();
    let list_used_for = last_sent_at.saturating_duration_since(signalled);
    assert!(
        list_used_for < LEASE_AFTER_SIGHUP + GRACE,
        "the old list was used for {list_used_for:?} after SIGHUP"
    );
    assert!(list_used_for > LEASE_AFTER_SIGHUP / 2, "the lease ended before its time: {list_used_for:?}");
}
