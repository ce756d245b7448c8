//! The second address: each command line, each reply, and what its caller prints of a call that failed.

use heathward_core::{Answers, Command, Counters, Metrics, NotDone};
use heathward_transport::ops::{CallError, Reply, Request};

const REQUESTS: &str = include_str!("fixtures/ops-requests.txt");
const REPLIES: &str = include_str!("fixtures/ops-replies.txt");
const UNREADABLE: &str = include_str!("fixtures/ops-unreadable.txt");
const METRICS: &str = include_str!("fixtures/ops-metrics.txt");
const CALL_ERRORS: &str = include_str!("fixtures/ops-call-errors.txt");

fn requests() -> [Request; 6] {
    [
        Request::Status,
        Request::Metrics,
        Request::Command(Command::Pause),
        Request::Command(Command::Resume),
        Request::Command(Command::Suspend("s-5be2a07c".into())),
        Request::Command(Command::Restore("s-5be2a07c".into())),
    ]
}

#[test]
fn each_request_is_written_as_stored() {
    let written: String = requests().iter().map(|request| format!("{request}\n")).collect();
    assert_eq!(written, REQUESTS);
}

#[test]
fn each_stored_line_is_read_as_its_request() {
    let read: Vec<_> = REQUESTS.lines().map(|line| Request::parse(line.as_bytes())).collect();
    assert_eq!(read, requests().map(Ok));
}

#[test]
fn each_reply_of_one_line_is_written_as_stored() {
    let replies = [
        Reply::Ok,
        Reply::NotReady,
        Reply::NotDone(NotDone::UnknownNode),
        Reply::NotDone(NotDone::TooMany),
        Reply::NotDone(NotDone::Unsure),
    ];
    assert_eq!(replies.iter().map(Reply::to_string).collect::<String>(), REPLIES);
}

#[test]
fn each_line_that_is_no_request_is_told_why_as_stored() {
    let long = format!("SUSPEND {}", "s".repeat(129));
    let lines: [&[u8]; 9] = [
        b"\xff",
        b"SUSPEND s0 s1",
        b"STATUS s0",
        b"METRICS s0",
        b"PAUSE s0",
        b"RESUME s0",
        b"RESTORE",
        long.as_bytes(),
        b"status",
    ];
    let replies = lines.map(|line| Reply::Unreadable(Request::parse(line).unwrap_err()).to_string());
    assert_eq!(replies.concat(), UNREADABLE);
}

#[test]
fn metrics_are_written_as_stored() {
    let counters = Counters {
        tries: 11,
        answers: vec![
            Answers { served: 21, refused: 22, failed: 23 },
            Answers { served: 31, refused: 32, failed: 33 },
        ],
        configured: (41, 42),
        ..Counters::default()
    };
    let metrics = Metrics { counters, active: 51, listed: 52, avoided: 53 };
    // The third class has had no answer yet.
    let classes = ["consulta", "pedido", "informe"].map(str::to_owned).to_vec();
    assert_eq!(Reply::Metrics(Box::new(metrics), classes).to_string(), METRICS);
}

#[test]
fn each_error_of_a_call_is_written_as_stored() {
    let errors = [
        CallError::Refused("unknown storage node".to_owned()),
        CallError::Unanswered("not in time".to_owned()),
        CallError::Unreadable,
    ];
    assert_eq!(errors.iter().map(|error| format!("{error}\n")).collect::<String>(), CALL_ERRORS);
}
