//! Made-up entries: what a state owes, and which falls are larger than chance.
#![cfg(test)]

use heathward_bench_journal::entry::File;
use heathward_bench_journal::{owed, Entry, Row, State, Table, Verdict, RUNS};
use rstest::rstest;

fn file(path: &str, text: &str) -> File {
    File { path: path.to_owned(), sha256: text.to_owned() }
}

fn state() -> State {
    State { module: vec![file("a.rs", "1")], network: vec![file("b.rs", "2"), file("c.rs", "3")] }
}

/// An entry as the bench would write it: what was played, with which module, and how a day ended.
fn text(
    number: usize,
    command: &str,
    site: &str,
    panel: &str,
    module: &str,
    score: f64,
    tail: &str,
) -> String {
    format!(
        r#"{{"v":1,"id":"e{number}","at":["2026-01-01T00:00:{number:02}Z","x"],"cmd":"{command}",
        "site":"{site}","panel":"{panel}","policy":[{{"path":"a.rs","sha256":"{module}","lines":3}}],
        "node":[{{"path":"c.rs","sha256":"3"}},{{"path":"b.rs","sha256":"2"}}],
        "figures":{{"real_score":{score}}},"ok":true,"days":[{{"name":"day","seed":7,"day":"d","balancers":3,
        "score":{score},{tail}}}]}}"#
    )
}

const KEPT: &str = r#""rules":{"drain":0},"fault":null"#;

/// One of each run, as the module was then.
fn all(module: &str) -> Vec<Entry> {
    let played = [
        ("real-score", "predio-norte", "real:calm+mass,herd+mass:quick"),
        ("score", "predio-norte", "x"),
        ("real-score", "predio-norte", "real:churn,reload:quick"),
        ("real-score", "predio-norte", "real:herd+vast:quick"),
        ("real-score", "granite-shelf-main", "real:upgrade:quick"),
        ("score", "granite-shelf-main", "x"),
        ("real-score", "predio-norte", "real:soak,calm+mass"),
        ("real-score", "granite-shelf-main", "real:upgrade,herd"),
        ("real-score", "predio-norte", "real:9:roll+brink+mass-1,calm+brink+mass-2"),
    ];
    let entry = |(number, (command, site, panel)): (usize, &(&str, &str, &str))| {
        Entry::parse("j", &text(number, command, site, panel, module, 0.5, KEPT)).unwrap()
    };
    played.iter().enumerate().map(entry).collect()
}

fn due(entries: &[Entry]) -> Vec<&'static str> {
    owed::owed(&state(), entries).iter().filter(|owed| owed.is_due()).map(|owed| owed.run.name).collect()
}

#[test]
fn what_was_never_played_with_this_state_is_due() {
    let names: Vec<_> = RUNS.iter().map(|run| run.name).collect();
    assert_eq!(due(&[]), names);
    assert_eq!(due(&all("1")), [""; 0]);
    assert_eq!(due(&all("0")), names, "the module has changed since");
    let mut moved = state();
    moved.network[0].sha256 = "9".to_owned();
    let left = owed::owed(&moved, &all("1"));
    let left: Vec<_> = left.iter().filter(|owed| !owed.is_due()).map(|owed| owed.run.name).collect();
    assert_eq!(left, ["module-quick", "granite-module"], "the simulator plays the module alone");
    // The quick days are part of all days, not the other way round.
    assert!(!due(&all("1")[6..]).contains(&"fleet-quick"));
    assert!(due(&all("1")[..1]).contains(&"fleet-full"));
    // Nor do days of few schedulers stand for those of many.
    let left = due(&all("1")[8..]);
    assert!(left.contains(&"fleet-full") && left.contains(&"fleet-quick") && !left.contains(&"brink"));
}

#[rstest]
#[case::rule(r#""rules":{"drain":2,"lost":0},"fault":null"#, "day (seed 7): drain broken 2 times")]
#[case::crash(r#""rules":{},"fault":"n3 ended""#, "day (seed 7): n3 ended")]
fn a_run_that_failed_is_due_again(#[case] tail: &str, #[case] said: &str) {
    let mut entries = all("1");
    let again = text(30, "real-score", "predio-norte", "real:herd+mass:quick", "1", 0.0, tail);
    entries.push(Entry::parse("j", &again).unwrap());
    assert_eq!(due(&entries), ["fleet-quick"]);
    let Verdict::Failed { id, why } = &owed::owed(&state(), &entries)[0].verdict else { panic!() };
    assert_eq!((id.as_str(), why.as_str()), ("e30", said));
    // An older one that failed no longer counts.
    entries.last_mut().unwrap().began = "2025".to_owned();
    assert_eq!(due(&entries), [""; 0]);
}

#[rstest]
#[case::gate("\"figures\":{", "\"figures\":{\"gate\":0.0,", "the gate failed")]
#[case::void("\"real_score\":0.9", "\"x\":0", "no score: the machine was too busy")]
#[case::cut_off("\"ok\":true", "\"ok\":false", "it was not played to its end")]
fn a_gate_that_failed_or_a_run_cut_off_is_due_again(
    #[case] from: &str,
    #[case] to: &str,
    #[case] said: &str,
) {
    let whole = text(3, "real-score", "predio-norte", "real:herd+mass:quick", "1", 0.9, KEPT);
    let entry = Entry::parse("j", &whole.replace(from, to)).unwrap();
    assert!(!entry.kept() && owed::why(&entry) == said);
}

#[test]
fn a_torn_entry_is_named_with_its_place() {
    let whole = text(1, "score", "s", "p", "1", 0.5, KEPT);
    for cut in [0, 1, whole.len() / 2, whole.len() - 1] {
        let torn = Entry::parse("journal/e1.json", &whole[..cut]).unwrap_err();
        assert!(torn.to_string().starts_with("journal/e1.json: ") && torn.why.contains("column"), "{torn}");
    }
    let empty = whole.replace(r#"["2026-01-01T00:00:01Z","x"]"#, "[]");
    assert_eq!(Entry::parse("e", &empty).unwrap_err().why, "at: empty");
}

/// Entries of one day by module and score, in the order of play.
fn played(plays: &[(&str, f64)]) -> Vec<Entry> {
    let entry = |(number, (module, score)): (usize, &(&str, f64))| {
        Entry::parse("j", &text(number, "real", "s", "p", module, *score, KEPT)).unwrap()
    };
    plays.iter().enumerate().map(entry).collect()
}

#[rstest]
#[case::never_repeated(&[("1", 0.9), ("2", 0.8)], None)]
#[case::within_chance(&[("1", 0.9), ("1", 0.75), ("2", 0.8)], Some(false))]
#[case::larger(&[("1", 0.9), ("1", 0.88), ("2", 0.8)], Some(true))]
#[case::repeated_after_it(&[("1", 0.9), ("2", 0.8), ("2", 0.7)], Some(true))]
fn a_fall_is_real_where_repeated_plays_differ_less(
    #[case] plays: &[(&str, f64)],
    #[case] real: Option<bool>,
) {
    let table = Table::new(&played(plays));
    let falls = table.falls();
    assert_eq!((falls.len(), falls[0].is_real()), (1, real), "{falls:?}");
}

/// The bench may be replaced, and draw other days from the seeds of before.
#[test]
fn a_lower_score_of_another_day_from_the_same_seed_is_no_fall() {
    let mut entries = played(&[("1", 0.9), ("2", 0.8)]);
    entries[1].days[0].drawn = "e".to_owned();
    assert!(Table::new(&entries).falls().is_empty());
}

#[test]
fn a_table_goes_by_day_seed_and_the_order_of_versions() {
    let table = Table::new(&played(&[("2", 0.5), ("1", 0.75), ("2", 0.75)]));
    assert_eq!(table.rows.iter().map(Row::mean).collect::<Vec<_>>(), [0.625, 0.75]);
    assert!(table.falls().is_empty() && table.spread("day") == Some(0.25));
    let mut csv = Vec::new();
    table.write_csv(&mut csv).unwrap();
    let csv = String::from_utf8(csv).unwrap();
    let lines: Vec<&str> = csv.lines().collect();
    assert_eq!(lines.len(), 3);
    assert!(lines[1].ends_with(",2026-01-01T00:00:00Z,2,0.625,0.250,0,"), "{csv}");
}
