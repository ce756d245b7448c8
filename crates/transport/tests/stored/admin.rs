//! The admin interface: each request line, each reply, and the texts of errors of a call.

use heathward_core::memory::{MemoryLimits, MemoryUsage};
use heathward_core::{
    AnswerCounts, CommandError, ConfigurationReloads, CoreMetrics, Counters, OperatorCommand,
};
use heathward_transport::admin::{CallError, Reply, Request};

const REQUESTS: &str = include_str!("fixtures/ops-requests.txt");
const REPLIES: &str = include_str!("fixtures/ops-replies.txt");
const MALFORMED_REPLIES: &str = include_str!("fixtures/ops-unreadable.txt");
const METRICS: &str = include_str!("fixtures/ops-metrics.txt");
const CALL_ERRORS: &str = include_str!("fixtures/ops-call-errors.txt");

fn requests() -> [Request; 6] {
    [
        Request::Status,
        Request::Metrics,
        Request::Command(OperatorCommand::Pause),
        Request::Command(OperatorCommand::Resume),
        Request::Command(OperatorCommand::Suspend("s-5be2a07c".into())),
        Request::Command(OperatorCommand::Restore("s-5be2a07c".into())),
    ]
}

#[test]
fn each_request_is_written_as_stored() {
    let written: String = requests().iter().map(|request| format!("{request}\n")).collect();
    assert_eq!(written, REQUESTS);
}

#[test]
fn each_stored_line_is_read_as_its_request() {
    let parsed: Vec<_> = REQUESTS.lines().map(|line| Request::parse(line.as_bytes())).collect();
    assert_eq!(parsed, requests().map(Ok));
}

#[test]
fn each_reply_of_one_line_is_written_as_stored() {
    let replies = [
        Reply::Ok,
        Reply::NotReady,
        Reply::CommandFailed(CommandError::UnknownNode),
        Reply::CommandFailed(CommandError::TooManySuspended),
        Reply::CommandFailed(CommandError::PeerUnresponsive),
    ];
    assert_eq!(replies.iter().map(Reply::to_string).collect::<String>(), REPLIES);
}

#[test]
fn each_reason_for_a_malformed_request_is_written_as_stored() {
    let overlong = format!("SUSPEND {}", "s".repeat(129));
    let lines: [&[u8]; 9] = [
        b"\xff",
        b"SUSPEND s0 s1",
        b"STATUS s0",
        b"METRICS s0",
        b"PAUSE s0",
        b"RESUME s0",
        b"RESTORE",
        overlong.as_bytes(),
        b"status",
    ];
    let replies = lines.map(|line| Reply::Malformed(Request::parse(line).unwrap_err()).to_string());
    assert_eq!(replies.concat(), MALFORMED_REPLIES);
}

#[test]
fn metrics_are_written_as_stored() {
    let counters = Counters {
        attempts_written: 11,
        answers_by_class: vec![
            AnswerCounts { served: 21, shed: 22, failed: 23 },
            AnswerCounts { served: 31, shed: 32, failed: 33 },
        ],
        configuration_reloads: ConfigurationReloads { applied: 41, rejected: 42 },
        ..Counters::default()
    };
    let memory = MemoryUsage {
        limits: MemoryLimits { bodies: 71, total: 72, shared: 73 },
        held: [81, 82, 83, 84, 85, 86, 87],
        peak_bodies: 91,
        unbuffered_bodies: 92,
        waits: 93,
    };
    let metrics = CoreMetrics { counters, active_requests: 51, listed_nodes: 52, avoided_nodes: 53, memory };
    // The third class has had no answer yet.
    let class_names = ["consulta", "pedido", "informe"].map(str::to_owned).to_vec();
    assert_eq!(
        Reply::Metrics { metrics: Box::new(metrics), resident_bytes: Some(61), class_names }.to_string(),
        METRICS
    );
}

#[test]
fn errors_of_a_call_are_written_as_stored() {
    let errors =
        [CallError::Rejected("unknown storage node".to_owned()), CallError::TimedOut, CallError::Malformed];
    assert_eq!(errors.iter().map(|error| format!("{error}\n")).collect::<String>(), CALL_ERRORS);
}
