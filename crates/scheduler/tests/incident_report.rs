//! A staged incident: the report on the schedulers' event logs, compared with what happened.
#![cfg(test)]

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use heathward_event_log::Lifecycle;
use heathward_fakes::staged::{stage, unaccounted, untrue, Truth, NODES};
use heathward_fakes::{
    answer, config_text, http_node, member, request, reserved, Log, NodeBehavior, Program, TEST_TIMEOUT,
};
use heathward_incident::audit::Rule;
use heathward_incident::findings::What;
use heathward_incident::{Fold, Incident, Missing, Window};
use heathward_report::{html, Tables, FILES};
use heathwardctl::folds;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// One second, in microseconds.
const MICROS_PER_SECOND: u64 = 1_000_000;

async fn staged_incident(name: &str) -> (Truth, Incident) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    // A previous run may have left a folder.
    let _ = std::fs::remove_dir_all(&folder);
    let truth = stage(Path::new(env!("CARGO_BIN_EXE_heathward")), &folder).await;
    let incident = Incident::of(&folds::read(&truth.folders).unwrap(), Window::ALL);
    (truth, incident)
}

#[tokio::test]
async fn the_report_matches_what_happened() {
    let (truth, incident) = staged_incident("staged").await;
    let findings: Vec<String> = incident.findings.iter().map(|finding| finding.text.clone()).collect();
    let findings = findings.join("\n");
    assert!(!incident.contradictory, "{findings}");
    assert_eq!(untrue(&truth, &incident), Vec::<String>::new(), "{findings}");
    check_attempts(&truth, &incident);
    check_answers(&truth, &incident);
    check_audit(&incident, &findings);
    check_report(&incident);
    for folder in &truth.folders {
        std::fs::remove_dir_all(folder).unwrap();
    }
}

/// Compares the recorded attempts with each node's own log. For a scheduler without holes in its event log
/// the totals agree exactly, and those by the end of each second to within half a second. The event log of
/// the killed scheduler has a hole, and may lack up to 60 attempts.
fn check_attempts(truth: &Truth, incident: &Incident) {
    for number in 0..3_u32 {
        let name = format!("n{number}");
        let all_boots = folds::read(&truth.folders[number as usize..=number as usize]).unwrap();
        let boots: Vec<Fold> = all_boots.into_iter().filter(|fold| fold.scheduler == name).collect();
        let clock_offset = incident.boots.iter().find(|boot| boot.scheduler == name).unwrap().ahead;
        let scheduler_incident = Incident::of(&boots, Window::ALL);
        let complete = scheduler_incident.holes.is_empty();
        assert_eq!(complete, number != 1, "{:?}", scheduler_incident.holes);
        let unaccounted = unaccounted(truth, number, &scheduler_incident);
        assert!(unaccounted <= if complete { 0 } else { 60 }, "{unaccounted} attempts of {name}");
        for node in 0..NODES {
            let arrived = truth.arrivals[node as usize].iter().filter(|(scheduler, _)| *scheduler == number);
            let arrived: Vec<u64> = arrived.map(|(_, at)| *at).collect();
            let table =
                scheduler_incident.nodes.iter().find(|table| table.name == format!("s{node}")).unwrap();
            let not_sent = |counts: &heathward_incident::NodeCounts| counts.ends[4];
            if !complete {
                continue;
            }
            // The attempts recorded by the end of each second: as many as the node had, give or take half a
            // second plus the delay of a loaded machine.
            let mut sent_total = 0;
            for (from, counts) in table.series.iter() {
                sent_total += counts.sent - not_sent(counts);
                let end = (from + MICROS_PER_SECOND).saturating_add_signed(-clock_offset);
                let arrivals_by = |at: u64| arrived.iter().filter(|arrival| **arrival <= at).count() as u64;
                let (least, most) = (arrivals_by(end - 800_000), arrivals_by(end + 800_000));
                assert!(
                    (least..=most).contains(&sent_total),
                    "{name} to s{node} by {end}: {sent_total}, {least} to {most}"
                );
            }
        }
    }
    let [hole] = incident.holes[..] else { panic!("{:?}", incident.holes) };
    assert_eq!((hole.why, incident.boots[hole.boot].scheduler.as_str()), (Missing::Cut, "n1"));
}

/// The final answers that clients received agree in number with the requests recorded as served, refused or
/// failed, up to what the killed scheduler did not record.
fn check_answers(truth: &Truth, incident: &Incident) {
    let ended: u64 = incident.classes.iter().map(|table| table.series.total().ended()).sum();
    let answered: u64 = truth.answers.iter().sum();
    // The killed scheduler had not recorded its last 1.5 s.
    assert!(ended <= answered + 36 && answered <= ended + 120, "{ended} recorded, {answered} received");
}

fn check_audit(incident: &Incident, findings: &str) {
    assert_eq!(incident.audit_broken(), 0, "{findings}");
    for rule in Rule::ALL {
        assert!(incident.audit.of(rule).looked > 0, "{rule:?} was not checked");
    }
}

/// The page contains each finding and loads nothing from elsewhere, and the tables are complete.
fn check_report(incident: &Incident) {
    let page = html(incident);
    for finding in &incident.findings {
        let text = finding.text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
        assert!(page.contains(&text), "{text}");
    }
    let without_namespace = page.replace("http://www.w3.org/2000/svg", "");
    for reference in ["<script", "http://", "https://", "<link", "@import", "src="] {
        assert!(!without_namespace.contains(reference), "{reference}");
    }
    let tables = Tables::of(incident);
    assert!(tables.json().unwrap().contains("\"findings\""));
    let csv = tables.csv();
    for (name, text) in FILES.iter().zip(&csv) {
        let columns =
            |line: &str| line.split('"').step_by(2).map(|part| part.matches(',').count()).sum::<usize>();
        let header_columns = columns(text.lines().next().unwrap());
        assert!(text.lines().all(|line| columns(line) == header_columns), "{name}");
    }
    assert_eq!(csv[0].lines().count(), incident.findings.len() + 1);
}

/// The files and the listen address that the processes of one scheduler share. The event log is written to
/// `records`, which may be a path that cannot be written.
struct SchedulerInstance {
    folder: PathBuf,
    records: PathBuf,
    _reserved_socket: tokio::net::TcpSocket,
}

impl SchedulerInstance {
    async fn new(name: &str, records: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("hw-{name}-{}", std::process::id()));
        // A previous run may have left a folder.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let records = folder.join(records);
        let (reserved_socket, listen) = reserved();
        let node = http_node(0, &[NodeBehavior::Serve], &Log::default()).await;
        let members = member("s0", node, 0, "in_service", 0);
        let text = config_text(&listen.to_string(), "127.0.0.1:1", &members);
        std::fs::write(folder.join("config.json"), text).unwrap();
        let operator = format!("{{ records: {{ folder: '{}' }} }}", records.display());
        std::fs::write(folder.join("operator.jsonnet"), operator).unwrap();
        Self { folder, records, _reserved_socket: reserved_socket }
    }

    fn start(&self) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
        command.env("GW_CONFIG", self.folder.join("config.json")).env("TMPDIR", &self.folder);
        command.arg("--operator").arg(self.folder.join("operator.jsonnet"));
        Program::start(command)
    }

    fn incident(&self) -> Incident {
        Incident::of(&folds::read(std::slice::from_ref(&self.records)).unwrap(), Window::ALL)
    }
}

impl Drop for SchedulerInstance {
    fn drop(&mut self) {
        // The folder belongs to this test alone.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn is_served(address: std::net::SocketAddr, id: u32) -> bool {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request("consulta", id, 0, 900, "").as_bytes()).await.unwrap();
    answer(&mut stream).await.0 == 200
}

/// If events cannot be written, the scheduler serves and logs the fault. Recording starts again by itself.
#[tokio::test]
async fn a_failing_disk_costs_recorded_events_only() {
    let instance = SchedulerInstance::new("disk", "blocked/records").await;
    let blocked = instance.folder.join("blocked");
    std::fs::write(&blocked, "a file where a folder should be").unwrap();
    let mut program = instance.start();
    assert!(is_served(program.listen, 1).await);
    program.until("events cannot be recorded");
    assert!(is_served(program.listen, 2).await);
    std::fs::remove_file(&blocked).unwrap();
    let deadline = tokio::time::Instant::now() + TEST_TIMEOUT;
    while !instance.records.exists() {
        assert!(tokio::time::Instant::now() < deadline, "recording did not start again");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(is_served(program.listen, 3).await);
    tokio::task::spawn_blocking(|| program.end()).await.unwrap();
    let incident = instance.incident();
    assert!(incident.holes.iter().all(|hole| hole.why == Missing::Disk), "{:?}", incident.holes);
    assert!(!incident.holes.is_empty() && incident.audit_broken() == 0);
}

/// Two processes of one scheduler write events at the same time, each to its own files.
#[tokio::test]
async fn a_handover_is_recorded_by_both_processes() {
    let instance = SchedulerInstance::new("handover", "records").await;
    let mut old = instance.start();
    assert!(is_served(old.listen, 1).await);
    let new = instance.start();
    old.until("peer process: serving");
    assert!(is_served(new.listen, 2).await);
    tokio::task::spawn_blocking(|| old.end()).await.unwrap();
    assert!(is_served(new.listen, 3).await);
    tokio::task::spawn_blocking(|| new.end()).await.unwrap();
    let incident = instance.incident();
    assert!(incident.holes.is_empty(), "{:?}", incident.holes);
    let find_lifecycle = |what: Lifecycle| {
        incident.boots.iter().flat_map(|boot| &boot.lifecycle).find(|(_, event)| *event == what)
    };
    let (handed_over, _) = find_lifecycle(Lifecycle::HandedOver).expect("a record of the old process");
    let (took_over, _) = find_lifecycle(Lifecycle::TookOver).expect("a record of the new process");
    // The new process takes over only after the old one has handed over.
    assert!(incident.boots.len() == 2 && handed_over <= took_over, "{:?}", incident.boots);
    let takeovers = incident.findings.iter().filter(|finding| finding.what == What::TookOver);
    assert_eq!(takeovers.count(), 1);
    assert_eq!(incident.classes.iter().map(|class| class.series.total().in_aim).sum::<u64>(), 3);
}
