//! A drain that arrives during a reload: the process is stopped while both arrive, and sees them at the same time.

use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::process::{file, listening, signal, start};
use heathward_fakes::*;

/// Which discovery agent reports the drain, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReportedBy {
    /// The agent before the reload, at the time of the signal.
    OldAgent,
    /// The same, once the new one has been called.
    OldAgentLater,
    /// The new one, with its first line.
    NewAgent,
    /// The new one, whose first list is complete and stands on several lines.
    NewAgentSnapshot,
}

/// An update has to be applied within this time.
const GRACE: Duration = Duration::from_millis(250);

/// The drain must neither be lost between two agents nor be undone by an older list of the other one.
#[rstest]
#[tokio::test]
async fn a_drain_during_a_reload_is_applied(
    #[values(
        ReportedBy::OldAgent,
        ReportedBy::OldAgentLater,
        ReportedBy::NewAgent,
        ReportedBy::NewAgentSnapshot
    )]
    reported_by: ReportedBy,
) {
    let log = Log::default();
    let node = http_node(0, &[Does::Serve], &log).await;
    let members = member("s0", node, 0, "in_service", 0).replace('\n', "");
    let ((old, first), (new, second)) = (listen().await, listen().await);
    let name = format!("crossed{reported_by:?}");
    let path = file(&name, &config_text("127.0.0.1:0", &first.to_string(), &members));
    let (mut child, _lines, address) = listening(start(&path, &[]));
    let (mut old, _) = watched(&old).await;
    tell(&mut old, "\n").await;
    assert_eq!(ask(address, 1).await, 200);
    let drained = members.replace("in_service", "terminating");
    let change = format!("{{\"revision\":9,\"complete\":false,\"members\":[{drained}]}}\n");
    let snapshot = format!("{{\n \"revision\": 9,\n \"complete\": true,\n \"members\": [\n{drained}\n]}}\n");
    signal(&child, "-STOP");
    file(&name, &config_text("127.0.0.1:0", &second.to_string(), &members));
    if reported_by == ReportedBy::OldAgent {
        tell(&mut old, &change).await;
    }
    signal(&child, "-HUP");
    signal(&child, "-CONT");
    let (mut new, head) = watched(&new).await;
    match reported_by {
        ReportedBy::OldAgent => {}
        ReportedBy::OldAgentLater => tell(&mut old, &change).await,
        ReportedBy::NewAgent => tell(&mut new, &change).await,
        ReportedBy::NewAgentSnapshot => tell(&mut new, &snapshot).await,
    }
    let by = Instant::now() + PATIENCE;
    let mut call = 2;
    while ask(address, call).await == 200 {
        assert!(Instant::now() < by, "the drain is not applied: {head}");
        call += 1;
    }
    // An older list of the other agent does not undo it.
    let stale = format!("{{\"revision\":8,\"complete\":true,\"members\":[{members}]}}\n");
    tell(if reported_by == ReportedBy::OldAgent { &mut new } else { &mut old }, &stale).await;
    sleep(GRACE).await;
    let before = log.all().len();
    assert_eq!(ask(address, call + 1).await, 503);
    assert_eq!(log.all().len(), before, "sent to a draining node");
    child.kill().unwrap();
    child.wait().unwrap();
}

async fn ask(address: std::net::SocketAddr, call: u32) -> u16 {
    let mut client = TcpStream::connect(address).await.unwrap();
    client.write_all(request("consulta", call, 0, 900, "").as_bytes()).await.unwrap();
    timeout(PATIENCE, answer(&mut client)).await.expect("an answer").0
}
