//! The operators' tool as they use it: exit codes, several addresses, what it prints.
#![cfg(test)]

use std::process::{Command, Output};

use heathward_fakes::{http_node, listen, member, rig, unused_address, Log, NodeBehavior, Rig};
use heathward_transport::admin;
use rstest::rstest;

fn ctl(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathwardctl"));
    command.args(arguments).env_remove("HEATHWARD_OPS").env_remove("GW_CONFIG");
    command
}

async fn run(arguments: &[&str]) -> (i32, String, String) {
    let mut command = ctl(arguments);
    let output: Output = tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap(), text(&output.stdout), text(&output.stderr))
}

/// A scheduler with a second address.
async fn scheduler() -> (Rig, String) {
    let node = http_node(0, &[NodeBehavior::Serve], &Log::default()).await;
    let rig = rig(&[member("s0", node, 0, "in_service", 0)], None).await;
    let (listener, address) = listen().await;
    tokio::spawn(admin::serve(listener, rig.core.clone(), 8));
    (rig, address.to_string())
}

#[rstest]
#[case::status(&["status"], 0, "serves")]
#[case::suspend(&["suspend", "s0"], 0, "done")]
#[case::unknown_node(&["suspend", "s9"], 1, "unknown storage node")]
#[case::pause(&["pause"], 0, "done")]
#[case::resume(&["resume"], 0, "done")]
#[case::metrics(&["metrics"], 0, "app.pool_size=1")]
#[case::json(&["metrics", "--json"], 0, "\"app.pool_size\":1")]
#[tokio::test]
async fn what_the_scheduler_says_is_the_exit_code(
    #[case] call: &[&str],
    #[case] code: i32,
    #[case] said: &str,
) {
    let (_rig, at) = scheduler().await;
    let (got, out, err) = run(&[call, &["--at", &at]].concat()).await;
    assert_eq!(got, code, "{out}{err}");
    assert!(format!("{out}{err}").contains(said), "{out}{err}");
}

#[tokio::test]
async fn a_suspension_holds_at_the_scheduler() {
    let (rig, at) = scheduler().await;
    assert_eq!(run(&["suspend", "s0", "--at", &at]).await.0, 0);
    assert_eq!(rig.core.metrics().await.unwrap().avoided_nodes, 1);
    assert_eq!(run(&["restore", "s0", "--at", &at]).await.0, 0);
    assert_eq!(rig.core.metrics().await.unwrap().avoided_nodes, 0);
}

/// All are asked, and the worst counts.
#[tokio::test]
async fn of_several_addresses_each_is_told_of() {
    let (_rig, at) = scheduler().await;
    let (_kept, none) = unused_address();
    let (code, out, err) = run(&["status", "--at", &format!("{at},{none}")]).await;
    assert_eq!(code, 3, "{out}{err}");
    assert!(out.contains(&format!("{at}: serves")) && err.contains(&none.to_string()), "{out}{err}");
}

#[rstest]
#[case::no_address(&["status"])]
#[case::no_number(&["status", "--at", "here"])]
#[case::no_node(&["suspend", "--at", "127.0.0.1:1"])]
#[case::no_rules(&["load", "list", "--har", "x.har"])]
#[case::no_file(&["load", "list", "--har", "/nowhere.har", "--rules", "/nowhere.json"])]
#[tokio::test]
async fn wrong_use_is_told_apart(#[case] call: &[&str]) {
    let (code, out, err) = run(call).await;
    assert_eq!(code, 2, "{out}{err}");
    assert!(out.is_empty() && !err.is_empty(), "{out}{err}");
}

/// Without a configuration: the rules' own names are the classes.
#[tokio::test]
async fn a_source_of_load_is_listed_without_a_configuration() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let (log, rules) = (format!("{examples}/access.log"), format!("{examples}/rules.json"));
    let (code, out, err) = run(&["load", "list", "--access-log", &log, "--rules", &rules]).await;
    assert_eq!(code, 1, "one entry is skipped: {err}");
    assert!(out.lines().count() == 2 && out.contains("write /pedido/0000000000000007/"), "{out}");
    assert!(err.contains("entry 3"), "{err}");
}

#[rstest]
#[case("bash")]
#[case("zsh")]
#[case("fish")]
#[tokio::test]
async fn completions_name_the_commands(#[case] shell: &str) {
    let (code, out, _) = run(&["completions", shell]).await;
    assert!(code == 0 && out.contains("suspend") && out.contains("metrics"), "{out}");
}
