//! An operator file with every setting, as it is evaluated and as it is read. The files under `fixtures/` do
//! not change with the code's names.
#![cfg(test)]

use std::fmt::Write;
use std::path::{Path, PathBuf};

use heathward_config::{evaluate_jsonnet, parse_configuration, OperatorSettings};
use heathward_logs::{Filter, Format};
use rstest::rstest;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/operator").join(name)
}

/// Compares with the fixture of that name. What differs is left in the target folder, to be looked at.
fn assert_matches_fixture(name: &str, actual: &str) {
    let expected = std::fs::read(fixture(name)).unwrap_or_default();
    if expected != actual.as_bytes() {
        let other = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&other, actual).unwrap();
        panic!("not as in {name}: see {}", other.display());
    }
}

/// The settings as text, each by the name that it has in the file.
fn print(operator: &OperatorSettings) -> String {
    let mut text = String::new();
    let format = match operator.log.format {
        Format::Text => "text",
        Format::Json => "json",
    };
    writeln!(text, "log.format={format}").unwrap();
    let Some(map) = &operator.nvme_map else { panic!("no NVMe front") };
    let addresses = format!("nvme.listen={}\nnvme.subsystem={}", map.listen, map.subsystem);
    writeln!(text, "{addresses}\nnvme.queues={}\nnvme.depth={}", map.queues, map.depth).unwrap();
    writeln!(text, "nvme.block={}\nnvme.unit_blocks={}", map.block, map.unit_blocks).unwrap();
    writeln!(text, "nvme.read={} {}", map.read.id.0, map.read.name).unwrap();
    writeln!(text, "nvme.write={} {}", map.write.id.0, map.write.name).unwrap();
    for space in &map.namespaces {
        let shards: Vec<u32> = space.shards.iter().map(|shard| shard.0).collect();
        write!(text, "namespace nsid={} volume={:x} ", space.nsid, space.volume.0).unwrap();
        write!(text, "plan={} hosts={} blocks={} ", space.plan.0, space.hosts, space.blocks).unwrap();
        writeln!(text, "stripe={} shards={shards:?}", space.stripe).unwrap();
    }
    for target in &map.targets {
        writeln!(text, "target node={} subsystem={}", target.node, target.subsystem).unwrap();
    }
    let Some(records) = &operator.recorder else { panic!("no records") };
    let (rotation, clock) = (&records.limits.rotation, &records.clock_skew);
    writeln!(text, "records.folder={}", records.folder.display()).unwrap();
    writeln!(text, "records.segment bytes={} micros={}", rotation.max_bytes, rotation.max_age).unwrap();
    writeln!(
        text,
        "records.total bytes={}\nrecords.waiting={}",
        records.limits.max_total_bytes, records.queue_capacity
    )
    .unwrap();
    writeln!(text, "records.requests={}", records.records_requests).unwrap();
    write!(text, "records.clock offset_ms={} ", clock.offset_ms).unwrap();
    writeln!(text, "step_after_ms={} step_ms={}", clock.step_after_ms, clock.step_ms).unwrap();
    text
}

#[test]
fn every_setting_is_evaluated_and_read_as_pinned() {
    let configuration =
        parse_configuration(include_str!("../../../examples/config.json")).unwrap_or_else(|e| panic!("{e}"));
    let json = evaluate_jsonnet(&fixture("every_setting.jsonnet")).unwrap();
    assert_matches_fixture("every_setting.json", &json);
    let operator = OperatorSettings::parse(&json, Some(&configuration.deployment)).unwrap();
    assert_matches_fixture("every_setting.txt", &print(&operator));
    let filter: Filter = "warn,heathward_core=debug".parse().unwrap();
    assert_eq!(format!("{:?}", operator.log.filter), format!("{filter:?}"));
}

/// What is absent or null stands at its default.
#[rstest]
#[case("{}")]
#[case(r#"{"log":null,"nvme":null,"records":null}"#)]
fn an_operator_file_without_settings_sets_nothing(#[case] text: &str) {
    let operator = OperatorSettings::parse(text, None).unwrap();
    assert_eq!(operator.log.format, Format::Text);
    assert!(operator.nvme_map.is_none() && operator.recorder.is_none());
    let least = OperatorSettings::parse(r#"{"records":{"folder":"/r"}}"#, None).unwrap().recorder.unwrap();
    assert_eq!((least.limits.rotation.max_bytes, least.limits.rotation.max_age), (16 << 20, 600_000_000));
    assert_eq!(
        (least.limits.max_total_bytes, least.queue_capacity, least.records_requests),
        (512 << 20, 8192, false)
    );
}
