//! The messages and exit codes of `heathward check`, for valid files and for each invalid field.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

use crate::assert_matches_fixture;

const CONFIGURATION: &str = include_str!("../../../../examples/config.json");
const NVME_MAP: &str = include_str!("../../../../examples/nvme.json");
const RULES: &str = include_str!("../../../../examples/rules.json");
const OPERATOR: &str =
    "{ log: { format: 'json', filter: 'info,heathward_core=debug' }, nvme: import 'nvme.json',
  records: { folder: '/records', segmentMb: 8, segmentSeconds: 60, totalMb: 16, waiting: 64, requests: true,
    clock: { offsetMs: -300, stepAfterMs: 1000, stepMs: 20 } } }";

/// Creates a folder for one test, in which files are given by their plain names.
fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("check-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for (name, text) in [("config.json", CONFIGURATION), ("nvme.json", NVME_MAP), ("rules.json", RULES)] {
        std::fs::write(folder.join(name), text).unwrap();
    }
    std::fs::write(folder.join("operator.jsonnet"), OPERATOR).unwrap();
    folder
}

/// Returns the output of the check of these files, and its exit code; the folder is masked.
fn check(folder: &Path, files: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathward"));
    command.current_dir(folder).arg("check").args(files);
    let output = command.env_remove("GW_CONFIG").output().unwrap();
    let masked = |bytes| String::from_utf8(bytes).unwrap().replace(folder.to_str().unwrap(), "<folder>");
    let (out, error) = (masked(output.stdout), masked(output.stderr));
    format!("stdout: {out:?}\nstderr: {error:?}\nexit: {:?}\n", output.status.code().unwrap())
}

/// Returns the output of the check of `file`, once per case with one text replaced in it, together with the
/// files `others`.
fn check_replaced(name: &str, file: &str, others: &[&str], cases: &[(&str, &str)]) -> String {
    let folder = folder(name);
    let text = std::fs::read_to_string(folder.join(file)).unwrap();
    let files: Vec<&str> = others.iter().copied().chain([file]).collect();
    let mut output_text = String::new();
    for (from, to) in cases {
        assert!(text.contains(from), "{from}");
        std::fs::write(folder.join(file), text.replacen(from, to, 1)).unwrap();
        write!(output_text, "--- {from} -> {to}\n{}", check(&folder, &files)).unwrap();
    }
    std::fs::remove_dir_all(folder).unwrap();
    output_text
}

/// The help texts and usage errors of the command line.
#[test]
fn the_help_texts_are_as_pinned() {
    let mut output_text = String::new();
    for arguments in
        [&["--help"][..], &["-h"], &["check", "--help"], &["check"], &["--rules", "x"], &["--nothing"]]
    {
        let output = Command::new(env!("CARGO_BIN_EXE_heathward"))
            .args(arguments)
            .env_remove("GW_CONFIG")
            .output()
            .unwrap();
        let (out, error) =
            (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap());
        let code = output.status.code().unwrap();
        write!(output_text, "--- {arguments:?}\n{out}--- stderr\n{error}--- exit {code}\n").unwrap();
    }
    assert_matches_fixture("help.txt", &output_text);
}

#[test]
fn messages_on_valid_files_are_as_pinned() {
    let folder = folder("good");
    std::fs::write(folder.join("other.json"), "{}").unwrap();
    let mut output_text = String::new();
    for files in [
        &["config.json", "nvme.json", "rules.json", "operator.jsonnet"][..],
        &["rules.json"],
        &["nvme.json"],
        &["operator.jsonnet"],
        &["nowhere.json", "config.json"],
        &["nowhere.jsonnet"],
        &["other.json"],
    ] {
        write!(output_text, "--- {files:?}\n{}", check(&folder, files)).unwrap();
    }
    std::fs::remove_dir_all(folder).unwrap();
    assert_matches_fixture("check_good_files.txt", &output_text);
}

#[test]
fn messages_on_configurations_are_as_pinned() {
    let cases = [
        ("{", "["),
        ("\"seed\": \"8c1f30d27a5be964\",", ""),
        ("8c1f30d27a5be964", "none"),
        ("\"sockets\": 1024", "\"sockets\": 3"),
        ("\"sockets\": 1024", "\"sockets\": \"many\""),
        ("\"memory_mb\": 192", "\"memory_mb\": 15"),
        ("\"memory_mb\": 192", "\"memory_mb\": \"much\""),
        ("\"listen\": \"127.0.0.1:8080\",", ""),
        ("127.0.0.1:8080", "somewhere"),
        ("127.0.0.1:8500", "nowhere"),
        ("\"seed\"", "\"ops\": \"nobody\", \"seed\""),
        ("\"known\"", "\"unknown\""),
        ("\"revision\": 1,", ""),
        ("\"complete\": true", "\"complete\": 7"),
        ("127.0.0.1:9100", "127.0.0.1"),
        ("in_service", "asleep"),
        ("\"cell\": 0", "\"cell\": -3"),
        ("\"id\": \"toy-0\", ", ""),
        ("\"settings\": {", "\"settings\": 7, \"more\": {"),
        ("\"balancers\": 1", "\"balancers\": 0"),
        ("\"balancers\": 1", "\"balancers\": 1.5"),
        ("\"slotNo\": 0", "\"slotNo\": 1"),
        ("\"slotNo\": 0", "\"slotNo\": -1"),
        ("\"pushed\"", "\"pulled\""),
        ("\"pushed\"", "\"on_request\""),
        ("\"resolutionMs\": 2.0", "\"resolutionMs\": 0"),
        ("\"resolutionMs\": 2.0", "\"resolutionMs\": 1e300"),
        ("\"name\": \"consulta\", ", ""),
        ("\"aimMs\": 150.0", "\"aimMs\": -150"),
        ("\"aimMs\": 150.0", "\"aimMs\": 0"),
        ("\"aimMs\": 150.0", "\"aimMs\": 5000"),
        ("\"deadlineMs\": 1000.0", "\"deadlineMs\": 0"),
        ("\"deadlineMs\": 1000.0", "\"deadlineMs\": \"soon\""),
        ("\"credit\": 2.0", "\"credit\": -2"),
        ("\"credit\": 2.0", "\"credit\": 0"),
        ("\"lateWorth\": 0.2", "\"lateWorth\": 2"),
        ("\"lateWorth\": 0.2", "\"lateWorth\": \"little\""),
        ("\"free\"", "\"often\""),
        ("\"dedupScope\": \"all\"", "\"dedupScope\": \"some\""),
        ("\"dedupWindowMs\": 5000.0", "\"dedupWindowMs\": -1"),
        ("\"dedupWindowMs\": 5000.0", "\"dedupWindowMs\": 5000.0, \"inTurn\": \"perhaps\""),
        ("\"name\": \"basico\", ", ""),
        ("\"usualRate\": 4.8", "\"usualRate\": -1"),
        ("\"reserve\": 0.0", "\"reserve\": -1"),
        ("\"parts\": 1.0", "\"parts\": -1"),
        ("\"parts\": 1.0", "\"parts\": 0"),
        ("\"price\": 0.72", "\"price\": -1"),
        ("\"price\": 0.72", "\"price\": 1, \"ceilingRate\": -1"),
        ("\"price\": 0.72", "\"price\": 1, \"burst\": -1"),
        ("\"unitMean\": 2.0", "\"unitMean\": 0"),
        ("\"unitMean\": 2.0", "\"unitMean\": -2"),
        ("\"maxUnits\": 8", "\"maxUnits\": 0"),
        ("\"maxUnits\": 8", "\"maxUnits\": -8"),
        ("\"withinShare\": 0.3", "\"withinShare\": -1"),
        ("\"spareWorth\": 0.05", "\"spareWorth\": -1"),
        ("\"youngLimit\": 72.0", "\"youngLimit\": -1"),
        ("\"youngLimit\": 72.0", "\"youngLimit\": 72.0, \"meterPeriodMs\": -1"),
        ("\"sendCap\": 3", "\"sendCap\": 0"),
        ("\"sendCap\": 3", "\"sendCap\": 1.5"),
        ("\"connectTimeoutMs\": 250.0", "\"connectTimeoutMs\": -1"),
        ("\"idleCloseMs\": 15000.0", "\"idleCloseMs\": -1"),
        ("\"retryAfter\": true", "\"retryAfter\": \"perhaps\""),
        ("\"maxRetryAfterMs\": 2000.0", "\"maxRetryAfterMs\": -1"),
        ("\"coldShare\": 0.24", "\"coldShare\": -1"),
        ("\"coldShare\": 0.24", "\"coldShare\": 2"),
        ("\"coldMs\": 18000.0", "\"coldMs\": -1"),
        ("\"fallMs\": 2000.0", "\"fallMs\": -1"),
        ("\"fallMs\": 2000.0", "\"fallMs\": 2000.0, \"tipMultiple\": -1"),
        ("\"fallMs\": 2000.0", "\"fallMs\": 2000.0, \"keyQuietMs\": -1"),
        ("\"fallMs\": 2000.0", "\"fallMs\": 2000.0, \"budgetFree\": -1"),
        ("\"fallMs\": 2000.0", "\"fallMs\": 2000.0, \"extraRatio\": -1"),
        ("\"fallMs\": 2000.0", "\"fallMs\": 2000.0, \"budgetSpanMs\": -1"),
        ("\"fallMs\": 2000.0", "\"fallMs\": 2000.0, \"stopSendingWithinMs\": -1"),
    ];
    assert_matches_fixture("check_configuration.txt", &check_replaced("config", "config.json", &[], &cases));
}

#[test]
fn messages_on_nvme_maps_are_as_pinned() {
    let cases = [
        ("\"queues\": 4,", ""),
        ("127.0.0.1:4420", "here"),
        ("nqn.2026-12", "2026-12"),
        ("\"queues\": 4", "\"queues\": 0"),
        ("\"depth\": 32", "\"depth\": 1"),
        ("\"block\": 512", "\"block\": 513"),
        ("\"unit_blocks\": 16", "\"unit_blocks\": 0"),
        ("\"unit_blocks\": 16", "\"unit_blocks\": 1"),
        ("consulta", "pedido"),
        ("pedido", "nada"),
        ("\"nsid\": 1", "\"nsid\": 0"),
        ("0000000000000007", "seven"),
        ("prioritario", "oro"),
        ("\"hosts\": 1", "\"hosts\": 0"),
        ("\"blocks\": 2097152", "\"blocks\": 0"),
        ("\"stripe\": 256", "\"stripe\": 0"),
        ("[0, 1]", "[]"),
        (
            "\"namespaces\": [",
            "\"namespaces\": [{\"nsid\": 1, \"volume\": \"1\", \"plan\": \"basico\", \"hosts\": 1, \
             \"blocks\": 1, \"stripe\": 1, \"shards\": [0]}, ",
        ),
    ];
    assert_matches_fixture(
        "check_nvme_map.txt",
        &check_replaced("nvme", "nvme.json", &["config.json"], &cases),
    );
}

#[test]
fn messages_on_rules_are_as_pinned() {
    let cases = [
        ("\"shards\": 2,", ""),
        ("consulta", "nada"),
        ("pedido", "nada"),
        ("basico", "oro"),
        ("8192", "0"),
        ("\"shards\": 2", "\"shards\": 0"),
        ("\"hosts\": 1", "\"hosts\": 0"),
    ];
    let output_text = check_replaced("rules", "rules.json", &["config.json"], &cases)
        + &check_replaced("rules-alone", "rules.json", &[], &cases);
    assert_matches_fixture("check_rules.txt", &output_text);
}

#[test]
fn messages_on_operator_files_are_as_pinned() {
    let cases = [
        ("{ log", "{ log: }"),
        ("{ log", "{ error 'no', log"),
        ("{ log", "[] + { log"),
        ("{ log", "{ logs"),
        ("log: {", "log: 7, more: {"),
        ("format", "fromat"),
        ("'json'", "'xml'"),
        ("'info,heathward_core=debug'", "'loud'"),
        ("import 'nvme.json'", "import '../nvme.json'"),
        ("import 'nvme.json'", "import 'nothing.json'"),
        ("import 'nvme.json'", "import '.'"),
        ("import 'nvme.json'", "import |||\n a\n|||"),
        ("import 'nvme.json'", "import 'nvme"),
        ("import 'nvme.json'", "import 'nvme.json' + { depth: 1 }"),
        ("import 'nvme.json'", "std.foldl(function(a, b) a + a, std.range(1, 30), 'x')"),
        ("import 'nvme.json'", "(import 'nvme.json') + { queues: 0 }"),
        ("'/records'", "'records'"),
        ("folder: '/records',", ""),
        ("segmentMb: 8", "segmentMb: 0"),
        ("segmentMb: 8", "segmentMb: 9"),
        ("segmentSeconds: 60", "segmentSeconds: 100000"),
        ("segmentSeconds: 60", "segmentsSeconds: 60"),
        ("totalMb: 16", "totalMb: 1"),
        ("waiting: 64", "waiting: -1"),
        ("waiting: 64", "waiting: 1"),
        ("requests: true", "requests: 'maybe'"),
        ("clock: {", "clock: 7, more: {"),
        ("offsetMs", "ofsetMs"),
        ("offsetMs: -300", "offsetMs: 'early'"),
        ("stepAfterMs: 1000", "stepAfterMs: 0.5"),
        ("stepMs: 20", "stepMs: 'x'"),
    ];
    let output_text = check_replaced("operator", "operator.jsonnet", &["config.json"], &cases);
    assert_matches_fixture("check_operator_file.txt", &output_text);
}
