//! The adapter on lines of our own: decode, encode, restarts, and what it says of lines that are wrong.
#![cfg(test)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ENLIST: &str =
    "ENLIST\twho=0\tprng=5\tbalancers=1\tlanes.count=1\tlanes.0.name=get\tlanes.0.aimMs=300.0\t\
    lanes.0.deadlineMs=900.0\tlanes.0.credit=1\tlanes.0.repeat=free\tcontracts.count=1\tcontracts.0.name=p\t\
    contracts.0.usualRate=50\tcontracts.0.reserve=50\tcontracts.0.parts=1\tcontracts.0.price=1\t\
    familyInfo.unitMean=2.0\tfamilyInfo.maxUnits=8\tresolutionMs=2\tlimits.sendCap=3\tnobody.knows=this";
const LIST: &str = "PEERS_KNOWN\twho=0\tepoch=1\tform=C\tentries=1\nM\tnode=disk-a:71\taz=z\tcluster=3\t\
    lifecycle=in_service\tcapacityHint=1";
const ASK: &str =
    "NEW_REQUEST\twho=0\txid=41\tunits=2\tgraceMs=900.5\tcls=get\tgrade=p\tslotNo=3\tattached=1\t\
    shareId=v";

fn adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_heathward-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("it reads its input");
    child.wait_with_output().expect("it ends")
}

fn batch(now: &str, lines: &[&str]) -> String {
    format!("TURN\tsimTimeMs={now}\n{}\nOVER_TO_YOU\n", lines.join("\n"))
}

fn replies(input: &str) -> Vec<String> {
    let output = adapter(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("text");
    text.lines().filter(|l| !l.starts_with("NOTIFY_ME")).map(str::to_owned).collect()
}

#[test]
fn a_request_travels_through_and_names_come_back_unchanged() {
    let out = replies(&batch("10.5", &[ENLIST, LIST, ASK]));
    assert_eq!(out, ["DELIVER\twho=0\txid=41\tnode=disk-a:71\tlimitMs=900.000", "EOR"]);
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(replies("TURN\tsimTimeMs=1\nOVER_TO_YOU\nTURN\tsimTimeMs=2\nOVER_TO_YOU\n"), ["EOR", "EOR"]);
}

#[test]
fn timers_are_clock_times_in_milliseconds() {
    let output = adapter(&batch("10.5", &[ENLIST, LIST, ASK]));
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.contains("NOTIFY_ME\twho=0\thandle=1\twhenMs=911.000"), "{text}");
}

#[test]
fn an_instance_that_is_killed_and_comes_back_in_one_batch_knows_nothing() {
    let out = replies(&batch("10", &[ENLIST, LIST, "KILL\twho=0", ENLIST, ASK]));
    assert_eq!(out[0], "SHED\twho=0\txid=41", "no list, no node: {out:?}");
}

#[test]
fn a_very_long_batch_gets_one_reply() {
    let asks: Vec<String> = (0..5_000).map(|i| ASK.replace("xid=41", &format!("xid={i}"))).collect();
    let mut lines = vec![ENLIST, LIST];
    lines.extend(asks.iter().map(String::as_str));
    let out = replies(&batch("10", &lines));
    assert_eq!(out.iter().filter(|l| *l == "EOR").count(), 1);
    assert!(out.iter().any(|l| l.starts_with("DELIVER")));
}

#[test]
fn wrong_lines_stop_it_with_line_and_field() {
    let outcome = "CLOSED_ATTEMPT\twho=0\txid=41\tsendNo=0\telapsedMs=3\tnode=disk-a:71";
    let cases = [
        ("TURN\n".to_owned(), "line 1: simTimeMs"),
        ("TURN\tsimTimeMs=soon\n".to_owned(), "line 1: simTimeMs"),
        ("HELLO\n".to_owned(), "line 1: first word"),
        (batch("1", &["NEW_REQUEST\twho=7\txid=1"]), "line 2: who"),
        (batch("1", &["WHAT\twho=0"]), "line 2: who"),
        (batch("1", &[ENLIST, "WHAT\twho=0"]), "line 3: first word"),
        (batch("1", &[ENLIST, &ASK.replace("units=2", "units=-2")]), "line 3: units"),
        (batch("1", &[ENLIST, &ASK.replace("graceMs=900.5", "graceMs=NaN")]), "line 3: graceMs"),
        (batch("1", &[ENLIST, &ASK.replace("cls=get", "cls=put")]), "line 3: cls"),
        (batch("1", &[ENLIST, &LIST.replace("in_service", "asleep")]), "line 4: lifecycle"),
        (batch("1", &[ENLIST, &format!("{outcome}\trc=ODD")]), "line 3: rc"),
        (batch("1", &[ENLIST, &format!("{outcome}\trc=OK\tdoneFlag=7")]), "line 3: doneFlag"),
        (batch("1", &[&ENLIST.replace("balancers=1", "balancers=0")]), "line 2: env: settings: hosts"),
        (format!("TURN\tsimTimeMs=1\n{ENLIST}\n"), "line 3: input"),
    ];
    for (input, says) in cases {
        let output = adapter(&input);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{says}: {text}");
        assert!(text.contains(says), "expected {says:?} in {text:?}");
    }
}
