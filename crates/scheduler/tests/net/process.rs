//! The program as a process: its command line, its messages on invalid files, its reloads and how it ends.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use heathward_transport::nvme::{Pdu, PduStream};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use heathward_fakes::*;

use crate::support::{address_in_next_line, send_signal, start_program, wait_until_listening, write_config};

/// The NVMe front is off unless the command line names an NVMe map: the program starts with and without one,
/// and with one it answers at the address in the map.
#[tokio::test]
async fn the_nvme_front_listens_where_its_map_says() {
    let config = write_config("nvme-config", &config_text("127.0.0.1:0", "127.0.0.1:1", ""));
    let (mut without_front, ..) = wait_until_listening(start_program(&config, &[]));
    without_front.kill().unwrap();
    let map = include_str!("../../../../deploy/nvme.json").replace("127.0.0.1:4420", "127.0.0.1:0");
    let map = write_config("nvme-map", &map);
    let mut child = start_program(&config, &["--nvme", map.to_str().unwrap()]);
    let mut lines = BufReader::new(child.stderr.take().unwrap());
    let address = address_in_next_line(&mut lines, "NVMe front listening on ");
    let mut wire = PduStream::new(TcpStream::connect(address).await.unwrap()).unwrap();
    wire.send(&[Pdu::IcReq { pfv: 0, hpda: 0, digests: 3, max_r2t: 0 }]).await.unwrap();
    let answer = timeout(TEST_TIMEOUT, wire.next()).await.expect("in time").unwrap();
    child.kill().unwrap();
    for mut child in [without_front, child] {
        child.wait().unwrap();
    }
    assert!(matches!(answer, Pdu::IcResp { digests: 0, .. }), "{answer:?}");
}

#[rstest]
#[case::not_json("{", "{ ", "configuration")]
#[case::listen("127.0.0.1:1", "somewhere", "listen")]
#[case::seed("8c1f30d27a5be964", "none", "seed")]
#[case::sockets("\"sockets\":256", "\"sockets\":3", "limits.sockets")]
#[case::known("\"complete\":true", "\"complete\":7", "known")]
#[case::repeat("guarded", "sometimes", "settings.lanes.1.repeat")]
#[case::aim("\"aimMs\":150", "\"aimMs\":-150", "settings.lanes.0.aimMs")]
#[case::hosts("\"balancers\":1", "\"balancers\":0", "hosts")]
fn an_invalid_configuration_ends_the_program_with_one_line_that_names_the_field(
    #[case] from: &str,
    #[case] to: &str,
    #[case] field: &str,
) {
    let valid = config_text("127.0.0.1:1", "127.0.0.1:2", "");
    let text = if from == "{" { "{".to_owned() } else { valid.replacen(from, to, 1) };
    let path = write_config(&format!("wrong-{field}"), &text);
    let output = start_program(&path, &[]).wait_with_output().unwrap();
    let output_text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{output_text}");
    assert!(output_text.lines().count() == 1 && output_text.contains(field), "{output_text}");
}

/// Guards against losing open requests at a planned restart, and against rejecting clients that still
/// connect.
#[tokio::test]
async fn after_sigterm_open_and_new_requests_are_answered_before_the_exit() {
    let log = Log::default();
    let slow = http_node(0, &[NodeBehavior::Silent], &log).await;
    let quick = http_node(1, &[NodeBehavior::Serve], &log).await;
    let members = [member("s0", slow, 0, "in_service", 0), member("s1", quick, 1, "in_service", 0)];
    let path = write_config("ends", &config_text("127.0.0.1:0", "127.0.0.1:1", &members.join(",")));
    let (mut child, mut log_lines, address) = wait_until_listening(start_program(&path, &[]));
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut open = TcpStream::connect(address).await.unwrap();
    let mut idle = TcpStream::connect(address).await.unwrap();
    idle.write_all(request("consulta", 1, 1, 900, "").as_bytes()).await.unwrap();
    assert_eq!(answer(&mut idle).await.0, 200);
    open.write_all(request("consulta", 2, 0, 900, "").as_bytes()).await.unwrap();
    while log.all().len() < 2 {
        assert!(Instant::now() < deadline, "no request is forwarded");
        sleep(Duration::from_millis(5)).await;
    }
    send_signal(&child, "-TERM");
    // Requests on old and new connections are served, and the open request is answered; then the connections
    // are closed.
    let mut new = TcpStream::connect(address).await.unwrap();
    for (stream, call) in [(&mut idle, 3), (&mut new, 4)] {
        stream.write_all(request("consulta", call, 1, 900, "").as_bytes()).await.unwrap();
        assert_eq!(answer(stream).await.0, 200);
    }
    assert!(matches!(answer(&mut open).await.0, 503 | 504));
    for stream in [&mut open, &mut idle, &mut new] {
        assert!(timeout(TEST_TIMEOUT, read_message(stream))
            .await
            .expect("the end of the connection")
            .is_none());
    }
    let mut output_text = String::new();
    log_lines.read_to_string(&mut output_text).unwrap();
    assert!(child.wait().unwrap().success(), "{output_text}");
    let last = output_text.lines().last().unwrap();
    assert!(last.contains("counters taken=4 ") && last.contains(" served=3 refused=1 "), "{output_text}");
}

/// Clients may wait longer than the platform lets the process run after SIGTERM. Guards against a connection
/// that is closed without an answer: a request that is unanswered then has failed, and its client gets a
/// status.
#[tokio::test]
async fn requests_open_past_the_shutdown_deadline_are_answered_before_it() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Silent], &log).await;
    let members = member("s0", node, 0, "in_service", 0);
    let text = config_text("127.0.0.1:0", "127.0.0.1:1", &members);
    let text = text.replace("\"aimMs\":150,\"deadlineMs\":1000", "\"aimMs\":8000,\"deadlineMs\":9000");
    let (mut child, _lines, address) = wait_until_listening(start_program(&write_config("long", &text), &[]));
    let mut open = TcpStream::connect(address).await.unwrap();
    open.write_all(request("consulta", 1, 0, 9_000, "").as_bytes()).await.unwrap();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while log.all().is_empty() {
        assert!(Instant::now() < deadline, "no request is forwarded");
        sleep(Duration::from_millis(5)).await;
    }
    send_signal(&child, "-TERM");
    let signalled_at = Instant::now();
    let answered =
        timeout(TEST_TIMEOUT, read_message(&mut open)).await.expect("an answer or the end of the connection");
    let (head, ..) = answered.expect("an answer before the connection ends");
    assert!(head.starts_with("http/1.1 504"), "{head}");
    assert!(
        signalled_at.elapsed() > Duration::from_secs(2),
        "the request was given up before the shutdown deadline"
    );
    assert!(child.wait().unwrap().success());
}

fn next_line(lines: &mut impl BufRead) -> String {
    let mut line = String::new();
    lines.read_line(&mut line).unwrap();
    line
}

/// Guards against a SIGHUP that ends the program. An invalid file is reported by its field and changes
/// nothing; a valid one is applied as a whole while open requests continue, also after several invalid ones
/// in a row.
#[tokio::test]
async fn sighup_reloads_the_configuration() {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Silent, NodeBehavior::Serve], &log).await;
    let members = member("s0", node, 0, "in_service", 0).replace('\n', "");
    let ((old_agent, old_address), (new_agent, new_address)) = (listen().await, listen().await);
    let text = |discovery: SocketAddr| config_text("127.0.0.1:0", &discovery.to_string(), &members);
    let path = write_config("again", &text(old_address));
    let (mut child, mut lines, address) = wait_until_listening(start_program(&path, &[]));
    let (mut watch, head) = watched(&old_agent).await;
    assert!(head.contains("after=7 "), "{head}");
    let mut open = TcpStream::connect(address).await.unwrap();
    open.write_all(request("consulta", 1, 0, 900, "").as_bytes()).await.unwrap();
    for (from, to, field) in [
        ("\"seed\":", "\"seeds\":", "seed"),
        ("\"aimMs\":150", "\"aimMs\":0", "settings: "),
        ("\"consulta\"", "\"lectura\"", "settings.lanes"),
    ] {
        write_config("again", &text(new_address).replace(from, to));
        send_signal(&child, "-HUP");
        let output_text = next_line(&mut lines);
        assert!(
            output_text.contains("configuration rejected: ") && output_text.contains(field),
            "{output_text}"
        );
    }
    write_config("again", &text(new_address).replace("\"maxRetryAfterMs\":2000", "\"maxRetryAfterMs\":1500"));
    send_signal(&child, "-HUP");
    assert!(next_line(&mut lines).contains("configuration reloaded"));
    let (_watch, head) = watched(&new_agent).await;
    assert!(head.contains("after=7 "), "{head}");
    // The watch at the old address is still read: it reports a drain.
    let drained = members.replace("in_service", "terminating");
    tell(&mut watch, &format!("{{\"revision\":9,\"complete\":false,\"members\":[{drained}]}}\n")).await;
    assert!(matches!(answer(&mut open).await.0, 503 | 504), "the open request is answered");
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut call = 2;
    loop {
        let mut client = TcpStream::connect(address).await.unwrap();
        // With this time budget the request waits no longer than its latency objective: a request to a
        // draining node is rejected, with the new retry hint.
        client
            .write_all(request("consulta", call, 0, 900, "").replace("prioritario", "basico").as_bytes())
            .await
            .unwrap();
        let (status, head, _) = answer(&mut client).await;
        if status == 503 {
            assert_eq!(header(&head, "retry-after"), Some("1.500"));
            break;
        }
        assert!(Instant::now() < deadline, "the drain is not applied");
        call += 1;
    }
    child.kill().unwrap();
    child.wait().unwrap();
}

/// SIGUSR1 writes the counters to the log while the program runs.
#[tokio::test]
async fn sigusr1_writes_the_counters_to_the_log() {
    let path = write_config("counts", &config_text("127.0.0.1:0", "127.0.0.1:1", ""));
    let (mut child, mut log_lines, _) = wait_until_listening(start_program(&path, &[]));
    send_signal(&child, "-USR1");
    let mut line = String::new();
    log_lines.read_line(&mut line).unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(line.contains("counters taken=0 malformed=0"), "{line}");
}

#[test]
fn a_load_source_is_listed_and_skipped_entries_are_reported() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let config = PathBuf::from(examples).join("config.json");
    let (log, rules) = (format!("{examples}/access.log"), format!("{examples}/rules.json"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
    command.env("GW_CONFIG", config).args(["--access-log", &log, "--rules", &rules]);
    let output = command.output().unwrap();
    let (listed, output_text) =
        (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{output_text}");
    assert!(listed.lines().count() == 2 && listed.contains("write /pedido/0000000000000007/"), "{listed}");
    assert!(output_text.lines().count() == 1 && output_text.contains("entry 3"), "{output_text}");
}

fn check(files: &[&PathBuf]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
    let output = command.env_remove("GW_CONFIG").arg("check").args(files).output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn check_reports_whether_each_file_is_accepted() {
    let config = write_config("check-valid", &config_text("127.0.0.1:1", "127.0.0.1:2", ""));
    let nvme = write_config("check-nvme", include_str!("../../../../deploy/nvme.json"));
    let rules = write_config("check-rules", include_str!("../../../../examples/rules.json"));
    let (code, out, err) = check(&[&nvme, &config, &rules]);
    assert_eq!(code, Some(0), "{err}");
    assert!(out.lines().count() == 3 && err.is_empty(), "{out}{err}");
}

#[rstest]
#[case::configuration("\"aimMs\":150", "\"aimMs\":-150", "settings.lanes.0.aimMs")]
#[case::unterminated_string("\"seed\"", "\"seed", "not JSON")]
fn check_names_the_field_at_fault(#[case] from: &str, #[case] to: &str, #[case] field: &str) {
    let valid = config_text("127.0.0.1:1", "127.0.0.1:2", "");
    let path = write_config(&format!("check-{}", field.len()), &valid.replacen(from, to, 1));
    let (code, out, err) = check(&[&path]);
    assert_eq!(code, Some(2), "{out}{err}");
    assert!(out.is_empty() && err.contains(field), "{out}{err}");
}

#[test]
fn check_validates_an_nvme_map_against_its_configuration() {
    let map = include_str!("../../../../deploy/nvme.json");
    let config = write_config("check-held", &config_text("127.0.0.1:1", "127.0.0.1:2", ""));
    let without_configuration = check(&[&write_config("check-alone", map)]);
    assert!(
        without_configuration.0 == Some(2) && without_configuration.2.contains("a configuration"),
        "{without_configuration:?}"
    );
    let invalid = write_config("check-plan", &map.replacen("basico", "nobody", 1));
    let with_configuration = check(&[&config, &invalid]);
    assert!(
        with_configuration.0 == Some(2) && with_configuration.2.contains("namespaces.1.plan"),
        "{with_configuration:?}"
    );
}

/// Whatever an operator file contains, it is rejected in time, with a one-line reason, and nothing hangs.
#[rstest]
#[case::syntax("{", "operator file")]
#[case::unknown_key("{ logs: {} }", "logs")]
#[case::wrong_value("{ log: { format: 'xml' } }", "log.format")]
#[case::error("error 'no way'", "no way")]
#[case::endless("local f(x) = f(x + 1) tailstrict; f(0)", "operator file")]
#[case::deep("local f(x) = 1 + f(x + 1); f(0)", "operator file")]
#[case::slow("std.foldl(function(a, b) a + b, std.range(1, 100000000), 0)", "needs over")]
#[case::large("local d(s, n) = if n == 0 then s else d(s + s, n - 1); d('x', 40)", "operator file")]
#[case::outside("import '../secret.json'", "own folder")]
#[case::absolute("importstr '/etc/hostname'", "own folder")]
#[case::missing("import 'nowhere.json'", "nowhere.json")]
fn a_hostile_operator_file_is_rejected(#[case] text: &str, #[case] reason: &str) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = path.join(format!("operator-{:x}-{}.jsonnet", text.len(), std::process::id()));
    std::fs::write(&path, text).unwrap();
    let (code, out, err) = check(&[&path]);
    assert_eq!(code, Some(2), "{out}{err}");
    assert!(err.lines().count() == 1 && err.contains(reason), "{err}");
}

#[test]
fn the_shipped_operator_file_is_accepted() {
    let config = write_config("check-operator", &config_text("127.0.0.1:1", "127.0.0.1:2", ""));
    let shipped = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/heathward.jsonnet"));
    let (code, out, err) = check(&[&config, &shipped]);
    assert!(code == Some(0) && out.contains("operator file, would be taken"), "{out}{err}");
}

/// On SIGHUP the operator file is applied as a whole or not at all: the format of the log changes, and an
/// invalid file leaves the old one.
#[test]
fn sighup_reloads_the_operator_file() {
    let config = write_config("reread-config", &config_text("127.0.0.1:0", "127.0.0.1:1", ""));
    let operator = config.with_extension("jsonnet");
    std::fs::write(&operator, "{ log: { format: 'json', filter: 'info' } }").unwrap();
    let mut child = start_program(&config, &["--operator", operator.to_str().unwrap()]);
    let mut lines = BufReader::new(child.stderr.take().unwrap());
    let mut next_line_with = |expected: &str| loop {
        let mut line = String::new();
        assert!(lines.read_line(&mut line).unwrap() > 0, "the program ended without logging {expected:?}");
        if line.contains(expected) {
            return line;
        }
    };
    assert!(next_line_with("listening on").starts_with('{'));
    for invalid in ["{ log: { filter: 'loud' } }", "local f(x) = 1 + f(x); f(0)", "{ log:"] {
        std::fs::write(&operator, invalid).unwrap();
        send_signal(&child, "-HUP");
        let output_text = next_line_with("configuration rejected");
        assert!(output_text.starts_with('{') && output_text.contains("\"level\":\"ERROR\""), "{output_text}");
    }
    std::fs::write(&operator, "{ log: { filter: 'info' } }").unwrap();
    send_signal(&child, "-HUP");
    assert!(!next_line_with("configuration reloaded").starts_with('{'), "the format is text from now on");
    child.kill().unwrap();
    child.wait().unwrap();
}
