//! The staged incident: what the schedulers' records say, held against what really happened.

use std::path::{Path, PathBuf};

use heathward_incident::audit::Rule;
use heathward_incident::findings::What;
use heathward_incident::{Fold, Incident, Missing, Window};
use heathward_records::{Lifecycle, Micros};
use heathward_report::{html, Tables, FILES};
use heathward_standin::staged::{stage, Truth, AHEAD, NODES, STEP};
use heathwardctl::folds;

/// A state's change may be told so far from when it happened.
const SECOND: u64 = 1_000_000;

async fn staged(name: &str) -> (Truth, Incident) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    // One that a run before has left.
    let _ = std::fs::remove_dir_all(&folder);
    let truth = stage(Path::new(env!("CARGO_BIN_EXE_heathward")), &folder).await;
    let incident = Incident::of(&folds::read(&truth.folders).unwrap(), Window::ALL);
    (truth, incident)
}

fn near(told: Micros, true_time: Micros) -> bool {
    told.abs_diff(true_time) <= SECOND
}

#[tokio::test]
async fn the_report_says_what_really_happened() {
    let (truth, incident) = staged("staged").await;
    let told: Vec<String> = incident.findings.iter().map(|f| f.text.clone()).collect();
    let told = told.join("\n");
    assert!(!incident.contradictory, "{told}");
    states(&truth, &incident, &told);
    schedulers(&truth, &incident, &told);
    attempts(&truth, &incident);
    answers(&truth, &incident);
    audit(&incident, &told);
    report(&incident);
    for folder in &truth.folders {
        std::fs::remove_dir_all(folder).unwrap();
    }
}

/// Every finding on nodes is true, and none is missing.
fn states(truth: &Truth, incident: &Incident, told: &str) {
    let expected = [
        (What::Draining, "s0", truth.drained.0, Some(truth.drained.1)),
        (What::Suspended, "s1", truth.suspended.0, Some(truth.suspended.1)),
        // It counts as silent once three attempts were lost.
        (What::Silent, "s2", truth.silent.0, Some(truth.silent.1)),
        (What::Cold, "s2", truth.restarted, None),
        (What::Cold, "s1", truth.suspended.1, None),
    ];
    let about_nodes = [What::Draining, What::Suspended, What::Silent, What::Cold, What::Gone];
    let found: Vec<_> = incident.findings.iter().filter(|f| about_nodes.contains(&f.what)).collect();
    for (what, node, from, to) in expected {
        let of: Vec<_> = found.iter().filter(|f| f.what == what && f.subject == node).collect();
        assert_eq!(of.len(), 1, "{what:?} of {node}:\n{told}");
        // A silence shows once requests of the node have waited for their whole time.
        let begun = if what == What::Silent { of[0].at.saturating_sub(SECOND) } else { of[0].at };
        assert!(near(begun, from), "{what:?} of {node} from {from}:\n{told}");
        if let Some(to) = to {
            assert!(near(of[0].until.unwrap(), to), "{what:?} of {node} to {to}:\n{told}");
        }
    }
    assert_eq!(found.len(), expected.len(), "{told}");
    // A class suffers only from what was staged.
    for class in incident.findings.iter().filter(|f| f.what == What::Class) {
        assert!(class.at + SECOND >= truth.drained.0 && class.at <= truth.drained.1 + 2 * SECOND, "{told}");
    }
}

fn schedulers(truth: &Truth, incident: &Incident, told: &str) {
    let of = |what: What| incident.findings.iter().filter(move |f| f.what == what).collect::<Vec<_>>();
    let [killed] = of(What::Killed)[..] else { panic!("{told}") };
    assert_eq!(killed.subject, "n1");
    assert!(near(killed.at, truth.killed.0) && near(killed.until.unwrap(), truth.killed.1), "{told}");
    assert_eq!((of(What::Started).len(), of(What::Ended).len()), (4, 3), "{told}");
    // Both runs of n1 have the wrong clock; the third's steps.
    let off: Vec<_> = of(What::ClockOff).iter().map(|f| f.subject.clone()).collect();
    assert_eq!(off, ["n1", "n1"], "{told}");
    for boot in &incident.boots {
        let ahead = if boot.scheduler == "n1" { AHEAD } else { 0 };
        assert!((boot.ahead / 1000 - ahead).abs() <= 100, "{} is {} us ahead", boot.scheduler, boot.ahead);
    }
    let [step] = of(What::ClockStep)[..] else { panic!("{told}") };
    assert!(step.subject == "n2" && step.text.contains(&format!("back by {} ms", -STEP)), "{told}");
    for nothing in [What::TookOver, What::Paused, What::Refused, What::Missing, What::Breach] {
        assert!(of(nothing).is_empty(), "{told}");
    }
    let ended = incident.boots.iter().filter(|b| b.lifecycle.iter().any(|(_, l)| *l == Lifecycle::Ended));
    assert_eq!(ended.count(), 3);
}

/// Attempts at each node as its own log has them: of a scheduler without holes exactly, second by second
/// within half a second; of the killed one at least.
fn attempts(truth: &Truth, incident: &Incident) {
    for number in 0..3_u32 {
        let name = format!("n{number}");
        let read = folds::read(&truth.folders[number as usize..=number as usize]).unwrap();
        let boots: Vec<Fold> = read.into_iter().filter(|fold| fold.scheduler == name).collect();
        let offset = incident.boots.iter().find(|b| b.scheduler == name).unwrap().ahead;
        let one = Incident::of(&boots, Window::ALL);
        let whole = one.holes.is_empty();
        assert_eq!(whole, number != 1, "{:?}", one.holes);
        for node in 0..NODES {
            let arrived = truth.arrivals[node as usize].iter().filter(|(by, _)| *by == number);
            let arrived: Vec<u64> = arrived.map(|(_, at)| *at).collect();
            let table = one.nodes.iter().find(|table| table.name == format!("s{node}")).unwrap();
            let unsent = |counts: &heathward_incident::NodeCounts| counts.ends[4];
            let total = table.series.total();
            let (sent, real) = (total.sent - unsent(&total), arrived.len() as u64);
            match whole {
                true => assert_eq!(sent, real, "{name} to s{node}"),
                false => assert!(sent <= real && real - sent <= 60, "{name} to s{node}: {sent} of {real}"),
            }
            if !whole {
                continue;
            }
            // So many by the end of each second: no more and no less than the node had by half a second more
            // and less, and what a loaded machine is late.
            let mut so_far = 0;
            for (from, counts) in table.series.iter() {
                so_far += counts.sent - unsent(counts);
                let end = (from + SECOND).saturating_add_signed(-offset);
                let by = |at: u64| arrived.iter().filter(|arrival| **arrival <= at).count() as u64;
                let (least, most) = (by(end - 800_000), by(end + 800_000));
                assert!(
                    (least..=most).contains(&so_far),
                    "{name} to s{node} by {end}: {so_far}, {least} to {most}"
                );
            }
        }
    }
    let [hole] = incident.holes[..] else { panic!("{:?}", incident.holes) };
    assert_eq!((hole.why, incident.boots[hole.boot].scheduler.as_str()), (Missing::Cut, "n1"));
}

/// Clients' final answers are the requests that were served, refused or failed: all of them of those whose
/// schedulers lived, at least so many in all.
fn answers(truth: &Truth, incident: &Incident) {
    let ended: u64 = incident.classes.iter().map(|table| table.series.total().ended()).sum();
    let answered: u64 = truth.answers.iter().sum();
    // What the killed one had not told of in its last second and a half.
    assert!(ended <= answered + 36 && answered <= ended + 120, "{ended} told, {answered} given");
}

fn audit(incident: &Incident, told: &str) {
    assert_eq!(incident.audit_broken(), 0, "{told}");
    for rule in Rule::ALL {
        assert!(incident.audit.of(rule).looked > 0, "{rule:?} was not looked at");
    }
}

/// The page holds each finding and needs nothing from elsewhere; the tables are whole.
fn report(incident: &Incident) {
    let page = html(incident);
    for finding in &incident.findings {
        let text = finding.text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
        assert!(page.contains(&text), "{text}");
    }
    let own = page.replace("http://www.w3.org/2000/svg", "");
    for foreign in ["<script", "http://", "https://", "<link", "@import", "src="] {
        assert!(!own.contains(foreign), "{foreign}");
    }
    let tables = Tables::of(incident);
    assert!(tables.json().unwrap().contains("\"findings\""));
    let csv = tables.csv();
    for (name, text) in FILES.iter().zip(&csv) {
        let columns =
            |line: &str| line.split('"').step_by(2).map(|part| part.matches(',').count()).sum::<usize>();
        let head = columns(text.lines().next().unwrap());
        assert!(text.lines().all(|line| columns(line) == head), "{name}");
    }
    assert_eq!(csv[0].lines().count(), incident.findings.len() + 1);
}
