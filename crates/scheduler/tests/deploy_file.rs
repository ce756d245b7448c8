//! The requirements of the platform and of the fleet's standing test on the deploy file and on the program
//! that it starts.
#![cfg(test)]

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::process::Command;

use heathward_fakes::*;
use rstest::rstest;
use tokio::net::TcpStream;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Returns the faults of a deploy file, each beginning with its key. `exists` returns whether a path below
/// the repository root exists.
fn faults(text: &str, exists: impl Fn(&str) -> bool) -> Vec<String> {
    let table: toml::Table = match text.parse() {
        Ok(table) => table,
        Err(error) => return vec![error.to_string()],
    };
    let mut faults = Vec::new();
    for key in table.keys().filter(|key| !ALLOWED_KEYS.contains(&key.as_str())) {
        faults.push(format!("{key}: unknown"));
    }
    for key in ["build", "run", "sim"] {
        let command = table.get(key).and_then(|value| value.as_str()).unwrap_or_default();
        let mut words = command.split_whitespace();
        let has_required_exec = key == "build" || words.next() == Some("exec");
        // The command is `exec` and the program alone, without arguments or other commands, so that there is
        // one process.
        if command.is_empty() || !has_required_exec || (key != "build" && words.count() != 1) {
            faults.push(format!("{key}: {command:?}"));
        }
    }
    for key in ["policy", "node"] {
        let names = table.get(key).and_then(|value| value.as_array()).cloned().unwrap_or_default();
        if names.is_empty() {
            faults.push(format!("{key}: empty"));
        }
        for name in names.iter().map(|name| name.as_str().unwrap_or_default()) {
            if !exists(name) {
                faults.push(format!("{key}: {name:?} does not exist"));
            }
        }
    }
    faults
}

const ALLOWED_KEYS: [&str; 6] = ["build", "run", "sim", "policy", "node", "packages"];

fn deploy_file() -> String {
    fs::read_to_string(Path::new(ROOT).join("deploy/balancer.toml")).unwrap()
}

#[test]
fn the_deploy_file_has_the_form_that_the_platform_requires() {
    let exists = |name: &str| Path::new(ROOT).join(name).exists();
    assert_eq!(faults(&deploy_file(), exists), [""; 0]);
}

/// Each fault in the deploy file is reported under its key.
#[rstest]
#[case::no_exec("run = \"exec ", "run = \"", "run: ")]
#[case::another_command("run = \"exec ", "run = \"exec sleep 1 & ", "run: ")]
#[case::an_argument("heathward\"\nsim", "heathward --operator x\"\nsim", "run: ")]
#[case::no_simulator("sim =", "simulator =", "sim: ")]
#[case::an_unknown_key("build =", "built =", "built: unknown")]
#[case::a_file_that_moved("scheduler.rs", "schedulers.rs", "policy: ")]
#[case::a_folder_that_moved("crates/transport/src", "crates/wire/src", "node: ")]
#[case::invalid_toml("build =", "build", "")]
fn a_fault_in_the_deploy_file_is_detected(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = deploy_file();
    let broken = text.replacen(from, to, 1);
    assert_ne!(text, broken);
    let exists = |name: &str| Path::new(ROOT).join(name).exists();
    let faults = faults(&broken, exists);
    assert!(faults.iter().any(|fault| fault.contains(expected)), "{faults:?}");
}

/// Returns the process ids of the children of `parent` that /proc lists now.
fn children(parent: u32) -> BTreeSet<u32> {
    let entries = fs::read_dir("/proc").unwrap();
    let ids = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let is_child = |id: &u32| {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The process name in parentheses may contain any character; the state and the parent's id follow it.
        let rest = stat.rsplit(')').next().unwrap_or_default();
        rest.split_whitespace().nth(1) == Some(parent.to_string().as_str())
    };
    ids.filter(is_child).collect()
}

/// Returns the page faults plus the CPU ticks of all children that have ended and that the process waited
/// for. It is 0 if there was none.
fn child_resource_usage(id: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let rest: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    // The minor and major page faults of children, and their CPU time in user and system mode.
    [rest[8], rest[10], rest[13], rest[14]].iter().map(|field| field.parse::<u64>().unwrap()).sum()
}

/// On the platform the program is one process without an io_uring instance. With an operator file it
/// evaluates Jsonnet in a child process, which the same check detects; the platform uses no operator file.
#[rstest]
#[case::on_the_platform(false)]
#[case::with_an_operator_file(true)]
#[tokio::test]
async fn the_program_serves_as_one_process(#[case] with_operator_file: bool) {
    let log = Log::default();
    let node = http_node(0, &[NodeBehavior::Serve], &log).await;
    let discovery = Discovery::start(vec![Listed {
        id: "s0".to_owned(),
        address: node,
        shard: 0,
        phase: "in_service",
        up_since_ms: 0,
    }])
    .await;
    let config = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("deploy-{with_operator_file}.json"));
    fs::write(&config, config_text("127.0.0.1:0", &discovery.address.to_string(), "")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
    command.env("GW_CONFIG", &config);
    if with_operator_file {
        command.args(["--operator", &format!("{ROOT}/deploy/heathward.jsonnet")]);
    }
    let program = Program::start(command);
    for call in 0..50 {
        let mut client = TcpStream::connect(program.listen).await.unwrap();
        let text = request("consulta", call, 0, 900, "");
        tokio::io::AsyncWriteExt::write_all(&mut client, text.as_bytes()).await.unwrap();
        answer(&mut client).await;
        assert_eq!(children(program.id()), BTreeSet::new());
    }
    assert!(log.all().len() > 20, "more than 20 requests reach the node");
    let links = fs::read_dir(format!("/proc/{}/fd", program.id())).unwrap();
    let open_files: Vec<_> = links.filter_map(|link| fs::read_link(link.unwrap().path()).ok()).collect();
    assert!(!open_files.iter().any(|link| link.to_string_lossy().contains("io_uring")), "{open_files:?}");
    assert_eq!(child_resource_usage(program.id()) > 0, with_operator_file, "whether a child process has run");
}
