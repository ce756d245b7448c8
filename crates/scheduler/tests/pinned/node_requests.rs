//! The requests that a storage node receives, as read from its connection.

use std::fmt::Write;

use heathward_fakes::*;

use crate::{assert_matches_fixture, masked};

/// Larger than the part of a body that the program buffers, in bytes.
const LONG_BODY: usize = 100_000;

/// Returns the received requests, in order. The node's address and the rest of the client's time are masked.
fn received_requests(log: &Log) -> String {
    let mut text = String::new();
    for seen in log.all() {
        let head = masked(&masked(&seen.head, "host"), "x-budget-ms");
        let body = match seen.body.len() {
            long if long > 1000 => format!("<{long} bytes>"),
            _ => String::from_utf8(seen.body).unwrap(),
        };
        writeln!(text, "{head}{body}").unwrap();
    }
    text
}

/// Returns the requests that the node receives for one request of a client, if it answers as the script says.
async fn requests_received_for(request: &str, script: &[NodeBehavior]) -> String {
    let log = Log::default();
    let node = http_node(0, script, &log).await;
    let text = config_text("127.0.0.1:1", "127.0.0.1:1", &member("s0", node, 0, "in_service", 0));
    // For a write without a key, the settings are changed so that they require none.
    let text = match request.contains("Idempotency-Key") {
        true => text,
        false => text.replace(r#""repeat":"guarded""#, r#""repeat":"single_shot""#),
    };
    let rig = rig_of(&text, None).await;
    assert_eq!(rig.ask(request).await.0, 200);
    received_requests(&log)
}

#[tokio::test]
async fn requests_to_nodes_are_as_pinned() {
    let write = request("pedido", 2, 0, 1400, "a write");
    let keyless = write.replace("Idempotency-Key: k2\r\n", "");
    let long = "x".repeat(LONG_BODY);
    let streamed = request("pedido", 3, 0, 1400, &long);
    let length = format!("Content-Length: {LONG_BODY}\r\n");
    let chunked = streamed.replace(&length, "Transfer-Encoding: chunked\r\n");
    let chunked = chunked.replace(&long, &format!("{LONG_BODY:x}\r\n{long}\r\n0\r\n\r\n"));
    let retried = [NodeBehavior::Error, NodeBehavior::Serve];
    let mut all = String::new();
    for (name, request, script) in [
        ("read", request("consulta", 1, 0, 900, ""), &[NodeBehavior::Serve][..]),
        ("write", keyless, &[NodeBehavior::Serve]),
        ("keyed write", write.clone(), &[NodeBehavior::Serve]),
        ("keyed write without a body", request("pedido", 2, 0, 1400, ""), &[NodeBehavior::Serve]),
        ("streamed write", streamed, &[NodeBehavior::Serve]),
        ("streamed write without a length", chunked, &[NodeBehavior::Serve]),
        ("read and its retry", request("consulta", 1, 0, 900, ""), &retried),
        ("keyed write and its retry", write, &retried),
    ] {
        write!(all, "--- {name}\n{}", requests_received_for(&request, script).await).unwrap();
    }
    assert_matches_fixture("node_requests.txt", &all);
}

/// Guards against a malformed value that the mask hides.
#[tokio::test]
async fn the_budget_header_is_in_whole_milliseconds() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    assert_eq!(rig.ask(&request("consulta", 1, 0, 900, "")).await.0, 200);
    let head = log.all()[0].head.to_lowercase();
    let budget = header(&head, "x-budget-ms").unwrap();
    assert!((1..=900).contains(&budget.parse::<u32>().unwrap()) && !budget.starts_with('+'), "{budget}");
    assert_eq!(header(&head, "host"), Some(node.to_string().as_str()));
}
